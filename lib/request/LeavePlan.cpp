#include "limpetdrum/request/LeavePlan.h"

#include <algorithm>

namespace limpetdrum {

namespace {

/// Minimum time from the signal to the end of the process. Clients observe the
/// leave at their next two readiness checks, one per second, and send their
/// last requests shortly afterwards.
constexpr Milliseconds MinLeaveTime{2500};
/// Divisor of the exit limit. Requests of clients are accepted in the first
/// half of it, so that they have the other half to complete.
constexpr int ClientLimitDivisor = 2;
/// Bounds of the time that an accepted call has until the node closes: its
/// latency target, but no less than a few round trips and a short run take, and
/// no more than most runs take.
constexpr Milliseconds MinCallTime{600};
constexpr Milliseconds MaxCallTime{1500};
/// Time before the exit limit from which no run begins. Most runs take less
/// than 1.5 s, so those that began earlier end before the process.
constexpr Milliseconds RunMargin{2000};
/// Time before the exit limit at which the node closes whatever is in flight.
constexpr Milliseconds CloseMargin{400};
/// Time before the exit limit by which requests are answered: the shutdown of
/// the process and one check of its leave before it.
constexpr Milliseconds AnswerMargin{350};
/// Time between the end of work and the answer limit, in which the target's
/// answer returns.
constexpr Milliseconds WorkMargin{150};
/// Part of the exit limit that is reserved for the shutdown of the process
/// itself.
constexpr Milliseconds ExitMargin{300};
/// Time without attempts of other nodes after which a closed node may end: by
/// then they know that it is closed, and have received its last replies.
constexpr Milliseconds QuietTime{100};
/// Time after which a closed node ends although other nodes, which may not know
/// of closed nodes, still send it attempts.
constexpr Milliseconds MaxClosedTime{500};
/// Time from the end of a process to the readiness of its successor.
constexpr Milliseconds RestartTime{1000};

} // namespace

Microseconds LeavePlan::elapsed(TimePoint Now) const {
  return this->BeganAt ? Now - *this->BeganAt : Microseconds(0);
}

Milliseconds LeavePlan::retryAfter(TimePoint Now) const {
  if (this->ClosedAt)
    return RestartTime;
  auto Left = this->ExitLimit -
              std::chrono::duration_cast<Milliseconds>(this->elapsed(Now));
  return std::max(Milliseconds(0), Left) / 2 + RestartTime;
}

std::optional<Milliseconds> LeavePlan::refusalDelay(bool IsCall,
                                                    Milliseconds LatencyTarget,
                                                    TimePoint Now) const {
  if (!this->BeganAt)
    return std::nullopt;
  auto RefusedFrom =
      IsCall ? this->ExitLimit - CloseMargin -
                   std::clamp(LatencyTarget, MinCallTime, MaxCallTime)
             : this->ExitLimit / ClientLimitDivisor;
  if (!this->ClosedAt && this->elapsed(Now) < RefusedFrom)
    return std::nullopt;
  return this->retryAfter(Now);
}

std::optional<TimePoint> LeavePlan::answerLimit() const {
  if (!this->BeganAt)
    return std::nullopt;
  return *this->BeganAt + this->ExitLimit - AnswerMargin;
}

std::optional<TimePoint> LeavePlan::workLimit() const {
  auto Limit = this->answerLimit();
  return Limit ? std::optional(*Limit - WorkMargin) : std::nullopt;
}

bool LeavePlan::refusesRuns(TimePoint Now) const {
  return this->ClosedAt ||
         (this->BeganAt && this->elapsed(Now) >= this->ExitLimit - RunMargin);
}

bool LeavePlan::mayClose(bool Idle, TimePoint Now) const {
  if (!this->BeganAt || this->ClosedAt)
    return false;
  return this->elapsed(Now) >= this->ExitLimit - CloseMargin ||
         (Idle && this->elapsed(Now) >= MinLeaveTime);
}

bool LeavePlan::mayExit(bool Idle, TimePoint Now) const {
  if (!this->ClosedAt)
    return false;
  if (this->elapsed(Now) >= this->ExitLimit - ExitMargin)
    return true;
  bool IsQuiet = Now - this->LastAttemptAt >= QuietTime ||
                 Now - *this->ClosedAt >= MaxClosedTime;
  return Idle && IsQuiet && Now - *this->ClosedAt >= QuietTime;
}

} // namespace limpetdrum
