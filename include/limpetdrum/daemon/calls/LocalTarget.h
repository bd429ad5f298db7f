#ifndef LIMPETDRUM_DAEMON_CALLS_LOCALTARGET_H
#define LIMPETDRUM_DAEMON_CALLS_LOCALTARGET_H

#include "limpetdrum/daemon/calls/HeaderNames.h"
#include "limpetdrum/daemon/calls/Ports.h"
#include "limpetdrum/daemon/fleet/MeshCodec.h"
#include "limpetdrum/process/EventLog.h"
#include "limpetdrum/process/Metrics.h"
#include "limpetdrum/request/Admission.h"
#include "limpetdrum/request/AttemptLedger.h"
#include "limpetdrum/request/CallContext.h"
#include "limpetdrum/request/CrashHistory.h"
#include "limpetdrum/request/DrainGate.h"
#include "limpetdrum/request/SuspectTrials.h"
#include "limpetdrum/request/TargetIdentity.h"
#include "limpetdrum/request/TargetLoad.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

namespace limpetdrum {

/// \brief Event in the course of a run at the target.
enum class RunEvent : std::uint8_t { Started, Served, Failed };

/// \brief Access to the target of this node.
///
/// All requests to the target pass through it, so it enforces that an attempt
/// runs at most once, that a drained target gets no new requests, that the
/// target's slots are not exceeded, that only the addressed target runs an
/// attempt, and that a request which crashes targets does not run.
class LocalTarget {
public:
  struct Options {
    /// Time from the leave of a target until it gets no new requests.
    Milliseconds DrainAllowance{1000};
    std::uint64_t Seed = 1;
    /// Returns the time of day in milliseconds since the Unix epoch, on the
    /// clock of the targets' start times.
    std::function<std::int64_t()> UnixMillis;
    ServiceName Service; ///< of the targets of this instance
  };
  struct Report {
    TargetRecord Target;
    Milliseconds WarmUp{0}; ///< time for which the target is slow
  };

  /// \param Crashes history of the whole fleet, to which this object adds.
  LocalTarget(const Options &Config, HeaderNames Names, TargetPort &Port,
              CrashHistory &Crashes, EventLog &Log, Metrics &Counters,
              Clock Now);

  /// \brief Handles a report that the target sent about itself.
  /// \returns true if the report is in force, so that it may be acknowledged.
  bool onReport(const Report &Value);
  /// \brief Handles a record of the target that another node received from an
  ///   earlier process of this node.
  void onRecordFromPeer(const TargetRecord &PeerRecord);
  /// \brief Adopts the request rate in another node's record of the target,
  ///   unless the target itself has answered since this process started.
  void onRequestRateFromPeer(const TargetRecord &PeerRecord);
  /// \brief Handles the notice that the target with this id is leaving or has
  ///   left.
  /// \returns true: a leave can always be acknowledged.
  bool onLeave(const std::string &Id);
  /// \brief Handles a departure that an earlier process of this node stored.
  /// \param At its time in milliseconds since the Unix epoch.
  void onDeparture(const TargetRecord &Departed, std::int64_t At);
  /// \brief Sets the target from its answer to a status check, unless a target
  ///   is known already.
  /// \param AnnouncedSlots number of slots of the target.
  void onStatusCheck(const std::string &Id, const ServiceName &Service,
                     Slots AnnouncedSlots);

  /// \brief Returns the load that the target states in an answer; none if it
  ///   states none or a malformed one, which is counted.
  [[nodiscard]] std::optional<TargetLoad> readLoad(const HttpResponse &Answer);

  /// \brief Runs an attempt, or attaches to it if it is known.
  /// \param OnReply called once with the reply. It is not called if the caller
  ///   cancels the running attempt, or if the same attempt is executed again
  ///   before it ends, which replaces the callback.
  void execute(Incarnation Caller, const MeshAttempt &Attempt,
               ReplyCallback OnReply);
  /// \brief Returns true if an attempt is queued, running or has ended lately,
  ///   so that executing it again needs no body.
  [[nodiscard]] bool knows(Incarnation Caller, std::uint64_t Call) const {
    return this->Ledger.contains({Caller, Call});
  }
  /// \brief Refuses new and queued attempts from now on; running ones continue
  ///   and can be attached to.
  /// \param RetryAfter time after which a refused request may be retried.
  void refuseNewWork(Milliseconds RetryAfter);
  /// \brief Ends an attempt whose caller no longer waits for the reply.
  void cancel(Incarnation Caller, std::uint64_t Call);
  /// \brief Discards the stored reply to an attempt, as its caller received it.
  void acknowledge(Incarnation Caller, std::uint64_t Call);
  /// \returns the context that calls of the request with this id inherit; none
  ///   if the target is not running the request.
  [[nodiscard]] std::optional<CallContext>
  callContext(const std::string &RequestId) const;
  /// \brief Handles the failure of a call that the run of a request made.
  void onCallFailed(const std::string &RequestId);
  /// \brief Does the periodic work; to be called every 10 to 20 ms.
  void tick();

  [[nodiscard]] const TargetRecord &record() const noexcept {
    return this->Record;
  }
  /// \brief Sets the fields of a status that describe the target and its load.
  void fillStatus(NodeStatus &Status) const;
  /// \returns the number of queued and running attempts.
  [[nodiscard]] std::size_t outstanding() const noexcept {
    return this->Active.size();
  }
  /// \brief Sets the callback for each start and end of a run at the target.
  void setOnRun(std::function<void(const std::string &, RunEvent)> Action) {
    this->OnRun = std::move(Action);
  }
  /// \brief Sets the callback for what this object adds to the history of
  ///   crashes.
  void setOnCrashNews(std::function<void(const CrashNews &)> Action) {
    this->OnCrashNews = std::move(Action);
  }
  /// \brief Sets the callback for a change of the target or of its state.
  void setOnChange(std::function<void()> Action) {
    this->OnChange = std::move(Action);
  }

private:
  struct Entry {
    MeshAttempt Attempt;
    TimePoint Deadline;
    TimePoint ArrivedAt;
    std::vector<ReplyCallback> ReplyCallbacks;
    std::uint64_t Ticket = 0; ///< 0: queued
    bool CallFailed = false;  ///< true if a call that the run made has failed
    /// Computed when it is first needed.
    std::optional<RequestFingerprint> Fingerprint;
    /// Set when the caller cancels a running attempt: time at which the run is
    /// ended if the target has not answered.
    std::optional<TimePoint> CancelAt;
  };

  void setRecord(const TargetRecord &NewRecord, Milliseconds WarmUp);
  void applyDecisions(const AdmissionDecisions &Decisions);
  /// Queues an attempt for the target.
  void submit(AttemptId Id);
  /// Sends an attempt to the target, or refuses it.
  /// \returns the decisions that follow from a refusal, which the caller
  ///   applies, so that the stack does not grow with the queue.
  [[nodiscard]] AdmissionDecisions dispatch(AttemptId Id);
  [[nodiscard]] static RequestFingerprint fingerprintOf(Entry &Value);
  [[nodiscard]] CrashHistory::Verdict verdict(Entry &Value) const;
  /// Returns the number of targets that ended under a request, as far as this
  /// node or its caller knows.
  [[nodiscard]] unsigned earlierCrashes(Entry &Run) const;
  /// Returns true if the end of the target under \p Runs proves that the
  /// request on trial crashes targets.
  [[nodiscard]] bool provesTrial(const std::vector<AttemptId> &Runs);
  /// Refuses an attempt that crashes targets, and lets a suspected one wait
  /// while another is on trial.
  /// \returns true if the attempt may be queued or sent now.
  [[nodiscard]] bool mayRun(AttemptId Id);
  /// Refuses the attempts that wait for a trial if \p Condition holds.
  void refuseWaiting(const std::function<bool(const Entry &)> &Condition,
                     Reason Cause);
  [[nodiscard]] HttpCall makeCall(const Entry &Run,
                                  Milliseconds TimeLeft) const;
  void onAnswer(AttemptId Id, HttpResponse Answer);
  /// Ends the runs whose connections broke.
  /// \param HasEnded true if the target's process has ended.
  void endBrokenRuns(bool HasEnded);
  /// Reports under which runs the target's process ended.
  void reportCrash(const std::vector<AttemptId> &Runs);
  /// Reports that a suspected request was answered.
  void reportSound(Entry &Run);
  void endRun(AttemptId Id, Reply Value);
  /// Handles what the target says about itself in its answers.
  /// \returns the load that it states, if any.
  std::optional<TargetLoad> readNotices(const HttpResponse &Answer);
  /// Returns true if the target is not full, by what is known here and by the
  /// load that it states.
  [[nodiscard]] bool hasRoom(const std::optional<TargetLoad> &Stated) const;
  /// Updates the request rate that the target names in its answers.
  void readRequestRate(const HttpResponse &Answer);
  /// Keeps the target to a rate, in requests per second, from now on.
  /// \param Source origin of the rate, for the log.
  void setRequestRate(std::optional<double> PerSecond, const char *Source);
  void finish(AttemptId Id, Reply Value);
  /// Lets the attempts that waited for the end of this one take their turn.
  void endTrial(AttemptId Id);
  void endCancelledRuns();
  /// Refuses all attempts that were not sent to the target.
  void refuseQueued();
  void refuseQueuedIfGateClosed();
  [[nodiscard]] Milliseconds retryAfter() const;

  Options Config;
  HeaderNames Names;
  TargetPort &Port;
  CrashHistory &Crashes;
  EventLog &Log;
  Metrics &Counters;
  Clock Now;
  TargetRecord Record;
  TargetIdentity Identity;
  DrainGate Gate;
  bool GateCloseHandled = false;
  /// Set shortly before the node ends: retry delay of refused attempts.
  std::optional<Milliseconds> RetryAfterEnd;
  AttemptLedger Ledger;
  Admission Queue;
  std::unordered_map<AttemptId, Entry> Active;
  std::unordered_map<std::string, AttemptId> RunningByRequestId;
  std::size_t CancelledCount = 0; ///< entries of Active with CancelAt
  /// Time of the last log line about a malformed load.
  std::optional<TimePoint> LoadErrorLoggedAt;
  bool HasAnswered = false; ///< the target, since it was recorded here
  SuspectTrials Trials;
  /// Attempts whose end Trials is being told.
  std::deque<AttemptId> EndedAttempts;
  /// Runs whose connections broke, while it is found out whether the target's
  /// process has ended.
  std::vector<AttemptId> BrokenRuns;
  std::function<void(const CrashNews &)> OnCrashNews;
  std::function<void(const std::string &Route, RunEvent)> OnRun;
  std::function<void()> OnChange;
};

} // namespace limpetdrum

#endif
