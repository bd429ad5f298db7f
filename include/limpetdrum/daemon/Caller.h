#ifndef LIMPETDRUM_DAEMON_CALLER_H
#define LIMPETDRUM_DAEMON_CALLER_H

#include "limpetdrum/connection/EventLoop.h"
#include "limpetdrum/daemon/Executor.h"
#include "limpetdrum/daemon/Ports.h"
#include "limpetdrum/daemon/ServiceDirectory.h"
#include "limpetdrum/request/Call.h"
#include "limpetdrum/request/Router.h"

#include <functional>
#include <unordered_map>

namespace limpetdrum {

/// \brief Chooses the node of a keyed request anew for each attempt.
using NodeSelector = std::function<std::optional<NodeIncarnation>(
    const std::vector<NodeId> &Tried)>;

/// \brief A request to be called, with the limits it runs under.
struct CallRequest {
  AttemptSpec Spec; ///< without the id and executor
  RunSemantics Runs = RunSemantics::Idempotent;
  ServiceName Service;
  unsigned CallDepth = 0;       ///< see CompiledRoute::CallDepth
  bool MayTryOtherNodes = true; ///< whether other nodes may be tried
  bool MayHaveRun = false;      ///< by an earlier call for the same key
  bool RetryOnOverload = false; ///< see Call::retryOnOverload()
  NodeSelector Selector;        ///< empty: the router chooses
};

/// \brief Drives calls from this node: attempts, routing, deadlines.
class Caller {
public:
  using LaterPort =
      std::function<Timer(Microseconds Delay, std::function<void()>)>;

  Caller(const Membership &Members, ServiceDirectory &Directory, Router &Routes,
         LevelTable &Levels, Executor &Own, PeerPort &Peers, Metrics &Counters,
         Clock Now, LaterPort Later);

  /// \brief How an attempt arrives at this very node: as from a peer.
  using LocalArrival = std::function<void(const AttemptSpec &, ReplyDone)>;
  void setLocalArrival(LocalArrival Arrive) {
    this->ArriveHere = std::move(Arrive);
  }

  /// \returns a ticket for cancel().
  std::uint64_t start(CallRequest Request, ReplyDone Done);
  /// \brief The caller left: ends the work below; \p Done is not called.
  void cancel(std::uint64_t Ticket);
  /// \brief A new id for an attempt of this node.
  [[nodiscard]] AttemptId nextAttemptId();
  /// \brief Whether that life of a node may still answer.
  [[nodiscard]] bool isReachable(const NodeIncarnation &Life) const;
  [[nodiscard]] std::optional<NodeIncarnation>
  incarnationOf(const NodeId &Node) const;
  [[nodiscard]] std::size_t inFlight() const noexcept {
    return this->Calls.size();
  }

private:
  struct Active {
    CallRequest Request;
    Call Decisions;
    ReplyDone Done;
    TimePoint Deadline;
    TimePoint SentAt;
    Timer DeadlineTimer;
    Timer PauseTimer;
    unsigned Resends = 0;
    bool Routed = false; ///< the router counts the attempt as in flight

    Active(CallRequest Request, RetryRatio &Ratio, ReplyDone Done)
        : Request(std::move(Request)),
          Decisions(this->Request.Runs, this->Request.MayTryOtherNodes,
                    this->Request.Spec.Retries, Ratio),
          Done(std::move(Done)) {
      if (this->Request.MayHaveRun)
        this->Decisions.assumeMayHaveRun();
      if (this->Request.RetryOnOverload)
        this->Decisions.retryOnOverload();
      this->Decisions.setCallDepth(this->Request.CallDepth);
    }
  };

  void perform(std::uint64_t Ticket, Call::Step Step);
  void pick(std::uint64_t Ticket);
  void pause(std::uint64_t Ticket);
  void send(std::uint64_t Ticket, const Call::Send &Attempt);
  void finish(std::uint64_t Ticket, Reply Value);
  void onResult(std::uint64_t Ticket, AttemptId Id, const PeerResult &Result);
  void onDeadline(std::uint64_t Ticket);
  void endRoute(Active &Ended, CallResult How);
  void cancelAttempt(const Active &Call);

  const Membership &Members;
  ServiceDirectory &Directory;
  Router &Routes;
  LevelTable &Levels;
  Executor &Own;
  PeerPort &Peers;
  Metrics &Counters;
  Clock Now;
  LaterPort Later;
  LocalArrival ArriveHere;
  RetryRatio Ratio;
  std::mt19937_64 Random;
  std::uint64_t LastTicket = 0;
  std::uint64_t LastSequence = 0;
  std::unordered_map<std::uint64_t, Active> Calls;
};

} // namespace limpetdrum

#endif
