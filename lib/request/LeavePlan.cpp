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
/// Time before the exit limit at which calls are refused; calls accepted before
/// have this long to be answered.
constexpr Milliseconds CallMargin{1000};
/// Time before the exit limit from which no run begins. Most runs take less
/// than 1.5 s, so those that began earlier end before the process.
constexpr Milliseconds RunMargin{2000};
/// Part of the exit limit that is reserved for the shutdown of the process
/// itself.
constexpr Milliseconds ExitMargin{400};
/// Time from the end of a process to the readiness of its successor.
constexpr Milliseconds RestartTime{1000};

} // namespace

std::optional<Milliseconds> LeavePlan::refusalDelay(bool IsCall,
                                                    TimePoint Now) const {
  if (this->Ended)
    return RestartTime;
  if (!this->BeganAt)
    return std::nullopt;
  auto Elapsed = std::chrono::duration_cast<Milliseconds>(Now - *this->BeganAt);
  auto RefusedFrom = IsCall ? this->ExitLimit - CallMargin
                            : this->ExitLimit / ClientLimitDivisor;
  if (Elapsed < RefusedFrom)
    return std::nullopt;
  return std::max(Milliseconds(0), this->ExitLimit - Elapsed) / 2 + RestartTime;
}

bool LeavePlan::refusesRuns(TimePoint Now) const {
  return this->Ended ||
         (this->BeganAt && Now - *this->BeganAt >= this->ExitLimit - RunMargin);
}

bool LeavePlan::mayExit(bool Idle, TimePoint Now) const {
  if (!this->BeganAt)
    return false;
  auto Elapsed = Now - *this->BeganAt;
  return Elapsed >= this->ExitLimit - ExitMargin ||
         (Idle && Elapsed >= MinLeaveTime);
}

} // namespace limpetdrum
