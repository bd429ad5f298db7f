#include "limpetdrum/request/LeavePlan.h"

#include <algorithm>

namespace limpetdrum {

namespace {

/// Clients hear at their next two readiness checks, one a second, and their
/// last requests come soon after.
constexpr Milliseconds LeastLeaveTime{2500};
/// Requests of clients that come by then have half of the time to exit.
constexpr int ClientShareOfLimit = 2;
/// Calls that come by then have this long to be answered.
constexpr Milliseconds CallMargin{1000};
/// Runs that begin by then end before the process: most take less than 1.5 s.
constexpr Milliseconds RunMargin{2000};
/// Of the time to exit, kept for the end of the process itself.
constexpr Milliseconds ExitMargin{400};
/// From the end of a process to readiness of the next one.
constexpr Milliseconds RestartTime{1000};

} // namespace

std::optional<Milliseconds> LeavePlan::refuses(bool IsCall,
                                               TimePoint Now) const {
  if (this->Ended)
    return RestartTime;
  if (!this->Began)
    return std::nullopt;
  auto Passed = std::chrono::duration_cast<Milliseconds>(Now - *this->Began);
  auto Until = IsCall ? this->ExitLimit - CallMargin
                      : this->ExitLimit / ClientShareOfLimit;
  if (Passed < Until)
    return std::nullopt;
  return std::max(Milliseconds(0), this->ExitLimit - Passed) / 2 + RestartTime;
}

bool LeavePlan::refusesRuns(TimePoint Now) const {
  return this->Ended ||
         (this->Began && Now - *this->Began >= this->ExitLimit - RunMargin);
}

bool LeavePlan::mayExit(bool Idle, TimePoint Now) const {
  if (!this->Began)
    return false;
  auto Passed = Now - *this->Began;
  return Passed >= this->ExitLimit - ExitMargin ||
         (Idle && Passed >= LeastLeaveTime);
}

} // namespace limpetdrum
