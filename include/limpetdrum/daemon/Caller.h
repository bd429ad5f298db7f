#ifndef LIMPETDRUM_DAEMON_CALLER_H
#define LIMPETDRUM_DAEMON_CALLER_H

#include "limpetdrum/connection/EventLoop.h"
#include "limpetdrum/daemon/Executor.h"
#include "limpetdrum/daemon/ServiceDirectory.h"
#include "limpetdrum/daemon/calls/Ports.h"
#include "limpetdrum/request/Call.h"
#include "limpetdrum/request/Router.h"

#include <functional>
#include <unordered_map>

namespace limpetdrum {

/// \brief Selects the node for each attempt of a keyed request.
using NodeSelector = std::function<std::optional<NodeIncarnation>(
    const std::vector<NodeId> &Tried)>;

/// \brief Request to send, with its retry limits.
struct CallRequest {
  AttemptSpec Spec; ///< Id and Executor are set for each attempt
  RunSemantics Runs = RunSemantics::Idempotent;
  ServiceName Service;
  unsigned CallDepth = 0;       ///< see CompiledRoute::CallDepth
  bool MayTryOtherNodes = true; ///< false: only one node is tried
  bool MayHaveRun = false;      ///< an earlier call for the key may have run
  bool RetryOnOverload = false; ///< see Call::retryOnOverload()
  NodeSelector Selector;        ///< if empty, the router selects the node
};

/// \brief Drives the outgoing calls of this node: attempts, routing and
///   deadlines.
class Caller {
public:
  using TimerFactory =
      std::function<Timer(Microseconds Delay, std::function<void()>)>;

  Caller(const Membership &Members, ServiceDirectory &Directory, Router &Routes,
         LevelTable &Levels, Executor &LocalExecutor, PeerPort &Peers,
         Metrics &Counters, Clock Now, TimerFactory StartTimer);

  /// \brief Handler of attempts that this node addresses to itself; they take
  ///   the same path as attempts from a peer.
  using LocalHandler = std::function<void(const AttemptSpec &, ReplyCallback)>;
  void setLocalHandler(LocalHandler Handler) {
    this->OnLocalAttempt = std::move(Handler);
  }

  /// \brief Starts a call; \p Done receives its final reply.
  /// \returns a ticket for cancel().
  std::uint64_t start(CallRequest Request, ReplyCallback Done);
  /// \brief Cancels a call whose caller has disconnected, and its current
  ///   attempt. \p Done is not called.
  void cancel(std::uint64_t Ticket);
  /// \brief Returns a new id for an attempt of this node.
  [[nodiscard]] AttemptId nextAttemptId();
  /// \brief Returns true if this incarnation of the node may still answer.
  [[nodiscard]] bool isReachable(const NodeIncarnation &Peer) const;
  /// \brief Returns the current incarnation of a member.
  /// \returns nothing if \p Node is not a member.
  [[nodiscard]] std::optional<NodeIncarnation>
  incarnationOf(const NodeId &Node) const;
  [[nodiscard]] std::size_t inFlight() const noexcept {
    return this->ActiveCalls.size();
  }

private:
  struct ActiveCall {
    CallRequest Request;
    Call Decisions;
    ReplyCallback Done;
    TimePoint Deadline;
    TimePoint SentAt;
    Timer DeadlineTimer;
    Timer PauseTimer;
    unsigned Resends = 0;
    bool Routed = false; ///< the router counts the attempt as in flight

    ActiveCall(CallRequest Request, RetryRatio &Ratio, ReplyCallback Done)
        : Request(std::move(Request)),
          Decisions(this->Request.Runs, this->Request.MayTryOtherNodes,
                    this->Request.Spec.Retries, Ratio),
          Done(std::move(Done)) {
      if (this->Request.MayHaveRun)
        this->Decisions.assumeMayHaveRun();
      if (this->Request.RetryOnOverload)
        this->Decisions.retryOnOverload(this->Request.Spec.Rank);
      this->Decisions.setCallDepth(this->Request.CallDepth);
    }
  };

  void perform(std::uint64_t Ticket, Call::Step Step);
  void selectNode(std::uint64_t Ticket);
  void pause(std::uint64_t Ticket);
  void send(std::uint64_t Ticket, const Call::Send &Attempt);
  void finish(std::uint64_t Ticket, Reply Value);
  void onResult(std::uint64_t Ticket, AttemptId Id, const PeerResult &Result);
  void onDeadline(std::uint64_t Ticket);
  void endRoute(ActiveCall &Ended, CallResult Result);
  void cancelAttempt(const ActiveCall &Call);

  const Membership &Members;
  ServiceDirectory &Directory;
  Router &Routes;
  LevelTable &Levels;
  Executor &LocalExecutor;
  PeerPort &Peers;
  Metrics &Counters;
  Clock Now;
  TimerFactory StartTimer;
  LocalHandler OnLocalAttempt;
  RetryRatio Ratio;
  std::mt19937_64 Random;
  std::uint64_t LastTicket = 0;
  std::uint64_t LastSequence = 0;
  std::unordered_map<std::uint64_t, ActiveCall> ActiveCalls;
};

} // namespace limpetdrum

#endif
