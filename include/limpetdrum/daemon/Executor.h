#ifndef LIMPETDRUM_DAEMON_EXECUTOR_H
#define LIMPETDRUM_DAEMON_EXECUTOR_H

#include "limpetdrum/daemon/Ports.h"
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

/// \brief What an attempt that runs here lends to the calls its target makes.
struct ParentContext {
  AttemptSpec Spec;
  TimePoint Deadline;
  RetryBudget Budget{0};
};

/// \brief Runs attempts at the node's own target, each at most once.
class Executor {
public:
  struct Options {
    Incarnation Self;
    bool OrderByClass = true;
    std::uint64_t Seed = 1;
  };

  Executor(Options Chosen, TargetPort &Target, const InForce &Releases,
           const LevelTable &Levels, Metrics &Counters, Clock Now);

  /// \brief Runs an attempt, or attaches to it if it has been here before.
  void execute(const AttemptSpec &Attempt, ReplyDone Done);
  /// \brief Nobody waits for an attempt any more.
  /// \returns whether it is proven that it did not and will not run.
  bool cancel(AttemptId Id, Incarnation Life);

  void onAnnounced(const ServiceName &Service, Slots Announced,
                   Milliseconds WarmUp);
  /// \brief Refuses all new work from now on; what runs goes on.
  void refuseNewWork();
  void tick();

  /// \brief The attempt as a parent of calls, if it runs here now.
  [[nodiscard]] ParentContext *parent(AttemptId Id);
  /// \brief Has an action called when the parent ends for any reason.
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
  [[nodiscard]] std::size_t remembered() const noexcept {
    return this->Ledger.size();
  }

private:
  struct Job {
    ParentContext Context;
    std::vector<ReplyDone> Waiters;
    std::uint64_t Ticket = 0;
    std::unordered_map<std::uint64_t, std::function<void()>> EndActions;
  };

  void admit(const AttemptSpec &Attempt, ReplyDone Done);
  void apply(AdmissionDecisions Decisions);
  void dispatch(AttemptId Id);
  void onTargetAnswer(AttemptId Id, const HttpResponse &Answer);
  void cancelAtTarget(AttemptId Id, Reason Why);
  void finish(AttemptId Id, Reply Value);
  void refuse(AttemptId Id, Reason Why);
  void addLevels(const std::string &Path, Reply &Value) const;

  Options Chosen;
  TargetPort &Target;
  const InForce &Releases;
  const LevelTable &Levels;
  Metrics &Counters;
  Clock Now;
  ServiceName Service;
  Admission Admitted;
  AttemptLedger Ledger;
  RetryAfter ComeBack;
  std::unordered_map<AttemptId, Job> Jobs;
  bool Ready = false;
  bool Refusing = false;
};

/// \brief Headers between a node and its target.
namespace header {
inline constexpr const char *Attempt = "Limpetdrum-Attempt";
inline constexpr const char *Deadline = "Limpetdrum-Deadline-Ms";
inline constexpr const char *Tenant = "Limpetdrum-Tenant";
inline constexpr const char *Outcome = "Limpetdrum-Outcome";
inline constexpr const char *Reason = "Limpetdrum-Reason";
inline constexpr const char *RetryAfterMillis = "Limpetdrum-Retry-After-Ms";
inline constexpr const char *IdempotencyKey = "Idempotency-Key";
inline constexpr const char *ContentType = "Content-Type";
inline constexpr const char *TraceParent = "traceparent";
} // namespace header

} // namespace limpetdrum

#endif
