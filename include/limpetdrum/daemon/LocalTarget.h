#ifndef LIMPETDRUM_DAEMON_LOCALTARGET_H
#define LIMPETDRUM_DAEMON_LOCALTARGET_H

#include "limpetdrum/daemon/HeaderNames.h"
#include "limpetdrum/daemon/MeshCodec.h"
#include "limpetdrum/daemon/Ports.h"
#include "limpetdrum/process/EventLog.h"
#include "limpetdrum/process/Metrics.h"
#include "limpetdrum/request/Admission.h"
#include "limpetdrum/request/AttemptLedger.h"
#include "limpetdrum/request/CallContext.h"
#include "limpetdrum/request/DrainGate.h"

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

namespace limpetdrum {

/// \brief What happens to a run at the target.
enum class RunEvent : std::uint8_t { Started, Served, Failed };

/// \brief The target beside this node: the only way to it, and so the place
///   where at most once, draining, slots and its identity are enforced.
class LocalTarget {
public:
  struct Options {
    Milliseconds DrainAllowance{1000};
    std::uint64_t Seed = 1;
    /// The time of day that targets of this instance start by.
    std::function<std::int64_t()> UnixMillis;
    /// That targets of this instance belong to.
    ServiceName Service;
  };
  struct Report {
    TargetRecord Target;
    Milliseconds WarmUp{0}; ///< it is slow for so long
  };

  LocalTarget(const Options &Chosen, HeaderNames Names, TargetPort &Port,
              EventLog &Log, Metrics &Counters, Clock Now);

  /// \brief Takes in what the target says of itself.
  /// \returns whether it is in force now, so that it may be acknowledged.
  bool onReport(const Report &Value);
  /// \brief Another node remembers the target from an earlier process here.
  void onRecordFromPeer(const TargetRecord &Theirs);
  /// \brief The target with this id leaves or has left.
  bool onLeave(const std::string &Id);
  /// \brief The id under which the target answers a status check.
  void onStatusCheck(const std::string &Id, const ServiceName &Service,
                     Slots Announced);

  /// \brief Runs an attempt, or attaches to it if it is known.
  /// \param OnReply called once for each call of execute().
  void execute(Incarnation Caller, const MeshAttempt &Attempt,
               ReplyDone OnReply);
  /// \brief Takes no further attempts; known ones go on and can be attached to.
  void refuseNewWork() noexcept { this->IsClosed = true; }
  /// \brief Ends an attempt that nobody waits for.
  void cancel(Incarnation Caller, std::uint64_t Call);
  /// \brief The caller has the reply to an attempt.
  void acknowledge(Incarnation Caller, std::uint64_t Call);
  /// \returns what calls of the request with this id inherit; nothing if the
  ///   target does not run it.
  [[nodiscard]] std::optional<CallContext>
  callContext(const std::string &RequestId) const;
  /// \brief A call of the run of this request has failed.
  void onCallFailed(const std::string &RequestId);
  /// \brief Call it every 10 to 20 ms.
  void tick();

  [[nodiscard]] const TargetRecord &record() const noexcept {
    return this->Record;
  }
  /// \brief Fills in what the other nodes need to know.
  void fillStatus(NodeStatus &Into) const;
  [[nodiscard]] std::size_t outstanding() const noexcept {
    return this->Active.size();
  }
  /// \brief Who hears of each run that begins or ends at the target.
  void setOnRun(std::function<void(const std::string &, RunEvent)> To) {
    this->OnRun = std::move(To);
  }
  void setOnChange(std::function<void()> Action) {
    this->OnChange = std::move(Action);
  }

private:
  struct Entry {
    MeshAttempt Attempt;
    TimePoint Deadline;
    TimePoint Arrived;
    TimePoint Dispatched;
    std::vector<ReplyDone> Waiting;
    std::uint64_t Ticket = 0; ///< 0: queued
    bool CallFailed = false;  ///< of those that the run made
    /// Nobody waits any more: ended then, if the target has not answered.
    std::optional<TimePoint> CancelAt;
  };

  [[nodiscard]] bool hasDeparted(const TargetRecord &Value) const;
  void replace(const TargetRecord &New, Milliseconds WarmUp);
  void perform(const AdmissionDecisions &Decisions);
  void dispatch(AttemptId Id);
  [[nodiscard]] HttpCall makeCall(const Entry &Of, Milliseconds Left) const;
  void onAnswer(AttemptId Id, HttpResponse Answer);
  [[nodiscard]] Reply toReply(HttpResponse &Answer);
  void finish(AttemptId Id, Reply Value);
  void endCancelled();
  void closeIfDrained();
  [[nodiscard]] Milliseconds retryAfter() const;

  Options Chosen;
  HeaderNames Names;
  TargetPort &Port;
  EventLog &Log;
  Metrics &Counters;
  Clock Now;
  TargetRecord Record;
  /// Ids whose leave was acknowledged, with its time of day in milliseconds.
  std::unordered_map<std::string, std::int64_t> Departed;
  DrainGate Gate;
  bool GateWasClosed = false;
  bool IsClosed = false; ///< the node ends soon
  AttemptLedger Ledger;
  Admission Queue;
  std::unordered_map<AttemptId, Entry> Active;
  std::unordered_map<std::string, AttemptId> RunningById; ///< by request id
  std::size_t Cancelled = 0;                              ///< of Active
  std::function<void(const std::string &Route, RunEvent)> OnRun;
  std::function<void()> OnChange;
};

} // namespace limpetdrum

#endif
