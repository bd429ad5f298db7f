#ifndef LIMPETDRUM_DAEMON_EXECUTOR_H
#define LIMPETDRUM_DAEMON_EXECUTOR_H

#include "limpetdrum/daemon/calls/Ports.h"
#include "limpetdrum/process/Metrics.h"
#include "limpetdrum/request/Admission.h"
#include "limpetdrum/request/AttemptLedger.h"
#include "limpetdrum/request/LevelTable.h"
#include "limpetdrum/request/RetryAfter.h"
#include "limpetdrum/request/RetryBudget.h"
#include "limpetdrum/version/InForce.h"

#include <functional>
#include <unordered_map>

namespace limpetdrum {

/// \brief Context that calls made by the target inherit from the attempt it is
///   handling.
struct ParentContext {
  AttemptSpec Spec;
  TimePoint Deadline;
  RetryBudget Budget{0};
};

/// \brief Runs attempts at the local target, each at most once.
class Executor {
public:
  struct Options {
    Incarnation Self;
    bool OrderByClass = true;
    std::uint64_t Seed = 1;
  };

  Executor(Options Config, TargetPort &Target, const InForce &Releases,
           const LevelTable &Levels, Metrics &Counters, Clock Now);

  /// \brief Runs an attempt. An attempt that arrived before is attached to, or
  ///   its reply is replayed.
  void execute(const AttemptSpec &Attempt, ReplyCallback Done);
  /// \brief Cancels an attempt whose caller no longer waits for the reply.
  /// \param Recipient the incarnation that the attempt was sent to.
  /// \returns true if it is proven that the attempt did not and will not run.
  bool cancel(AttemptId Id, Incarnation Recipient);

  /// \brief Applies an announcement of the target, which makes it ready.
  void onAnnounced(const ServiceName &Service, Slots Announced,
                   Milliseconds WarmUp);
  /// \brief Refuses queued and new attempts from now on; running ones continue.
  void refuseNewWork();
  /// \brief Refuses queued attempts that can no longer meet their deadline,
  ///   updates the threshold, and removes expired ledger entries.
  void tick();

  /// \brief Returns the context of an attempt that runs here now, or null.
  [[nodiscard]] ParentContext *parent(AttemptId Id);
  /// \brief Adds an action to call when the parent ends for any reason.
  /// \param Key identifies the action for removeParentEndAction().
  void addParentEndAction(AttemptId Id, std::uint64_t Key,
                          std::function<void()> Action);
  void removeParentEndAction(AttemptId Id, std::uint64_t Key);

  [[nodiscard]] float threshold() const noexcept;
  [[nodiscard]] const ServiceName &service() const noexcept {
    return this->Service;
  }
  [[nodiscard]] std::size_t running() const noexcept;
  [[nodiscard]] std::size_t queued() const noexcept;
  [[nodiscard]] std::size_t limit() const noexcept;
  /// \brief Returns the number of attempts in the ledger.
  [[nodiscard]] std::size_t ledgerSize() const noexcept {
    return this->Ledger.size();
  }

private:
  struct Job {
    ParentContext Context;
    std::vector<ReplyCallback> Waiters;
    std::uint64_t Ticket = 0;
    std::unordered_map<std::uint64_t, std::function<void()>> EndActions;
  };

  void admit(const AttemptSpec &Attempt, ReplyCallback Done);
  void apply(AdmissionDecisions Decisions);
  void dispatch(AttemptId Id);
  void onTargetAnswer(AttemptId Id, const HttpResponse &Answer);
  void cancelAtTarget(AttemptId Id, Reason Cause);
  void finish(AttemptId Id, Reply Value);
  void refuse(AttemptId Id, Reason Cause);
  void addLevels(const std::string &Path, Reply &Value) const;

  Options Config;
  TargetPort &Target;
  const InForce &Releases;
  const LevelTable &Levels;
  Metrics &Counters;
  Clock Now;
  ServiceName Service;
  Admission AdmissionControl;
  AttemptLedger Ledger;
  RetryAfter RetryDelays;
  std::unordered_map<AttemptId, Job> Jobs;
  bool Ready = false;
  bool RefusesNewWork = false;
};

/// \brief Names of the HTTP headers between a node and its target.
namespace header {
inline constexpr const char *Attempt = "Limpetdrum-Attempt";
inline constexpr const char *Deadline = "Limpetdrum-Deadline-Ms";
inline constexpr const char *Organisation = "Limpetdrum-Tenant";
inline constexpr const char *Outcome = "Limpetdrum-Outcome";
inline constexpr const char *Reason = "Limpetdrum-Reason";
inline constexpr const char *RetryAfterMillis = "Limpetdrum-Retry-After-Ms";
inline constexpr const char *IdempotencyKey = "Idempotency-Key";
inline constexpr const char *ContentType = "Content-Type";
inline constexpr const char *TraceParent = "traceparent";
} // namespace header

} // namespace limpetdrum

#endif
