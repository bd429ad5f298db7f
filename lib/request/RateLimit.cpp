#include "limpetdrum/request/RateLimit.h"

#include <algorithm>
#include <cmath>

namespace limpetdrum {

namespace {

constexpr double MinPerSecond = 0.5;
/// Smooths the arrivals; it is the time in which a full bucket refills.
constexpr double BurstSeconds = 0.25;

double seconds(Microseconds Span) noexcept {
  return std::chrono::duration<double>(Span).count();
}

} // namespace

void RateLimit::set(std::optional<double> PerSecond, TimePoint Now) noexcept {
  // A target that was not limited has just received its usual load.
  this->Tokens = this->isSet() ? this->tokensAt(Now) : 0;
  this->UpdatedAt = Now;
  this->PerSecond = PerSecond;
  if (this->PerSecond)
    this->PerSecond = std::max(MinPerSecond, *this->PerSecond);
}

double RateLimit::capacity() const noexcept {
  return std::max(1.0, *this->PerSecond * BurstSeconds);
}

double RateLimit::tokensAt(TimePoint Now) const noexcept {
  auto Refilled =
      *this->PerSecond *
      seconds(std::chrono::duration_cast<Microseconds>(Now - this->UpdatedAt));
  return std::min(this->capacity(), this->Tokens + Refilled);
}

bool RateLimit::allows(TimePoint Now) const noexcept {
  return !this->isSet() || this->tokensAt(Now) >= 1;
}

void RateLimit::onSent(TimePoint Now) noexcept {
  if (!this->isSet())
    return;
  this->Tokens = this->tokensAt(Now) - 1;
  this->UpdatedAt = Now;
}

Microseconds RateLimit::wait(std::size_t Ahead, TimePoint Now) const noexcept {
  if (!this->isSet())
    return Microseconds(0);
  constexpr double MicrosPerSecond = 1e6;
  auto Missing =
      std::max(0.0, static_cast<double>(Ahead + 1) - this->tokensAt(Now));
  return Microseconds(static_cast<std::int64_t>(
      std::ceil(Missing / *this->PerSecond * MicrosPerSecond)));
}

std::optional<std::size_t>
RateLimit::concurrency(Microseconds Latency) const noexcept {
  if (!this->isSet())
    return std::nullopt;
  // One more than are running on average: callers count the request that they
  // are about to send, and would otherwise never choose the target.
  return static_cast<std::size_t>(
             std::ceil(*this->PerSecond * seconds(Latency))) +
         1;
}

} // namespace limpetdrum
