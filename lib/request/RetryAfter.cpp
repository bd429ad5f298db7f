#include "limpetdrum/request/RetryAfter.h"

#include <algorithm>

namespace limpetdrum {

namespace {

constexpr double Base = 500; // milliseconds
constexpr double PerRankBeyond = 1500;
constexpr double Longest = 10000;

} // namespace

Milliseconds RetryAfter::next(float Threshold, float Position) {
  double Beyond = std::max(0.0F, Position - Threshold);
  double Span = std::min(Longest, Base + PerRankBeyond * Beyond);
  std::uniform_real_distribution<double> Spread(0.5, 1.5);
  return Milliseconds(static_cast<std::int64_t>(Span * Spread(this->Random)));
}

} // namespace limpetdrum
