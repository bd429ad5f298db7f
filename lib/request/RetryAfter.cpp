#include "limpetdrum/request/RetryAfter.h"

#include <algorithm>

namespace limpetdrum {

namespace {

/// Mean delay of a request at the threshold.
constexpr double BaseMs = 500;
/// Added per rank that the request's position lies above the threshold.
constexpr double PerRankMs = 1500;
/// Upper bound of the mean delay.
constexpr double MaxMeanMs = 10000;

} // namespace

Milliseconds RetryAfter::next(float Threshold, float Position) {
  double Excess = std::max(0.0F, Position - Threshold);
  double Mean = std::min(MaxMeanMs, BaseMs + PerRankMs * Excess);
  std::uniform_real_distribution<double> Spread(0.5, 1.5);
  return Milliseconds(static_cast<std::int64_t>(Mean * Spread(this->Random)));
}

} // namespace limpetdrum
