#ifndef LIMPETDRUM_UNITTESTS_FAKECLOCK_H
#define LIMPETDRUM_UNITTESTS_FAKECLOCK_H

#include "limpetdrum/process/Types.h"

namespace limpetdrum::test {

/// \brief Clock that advances only on a call to advance().
class FakeClock {
public:
  [[nodiscard]] TimePoint now() const noexcept { return this->Time; }
  void advance(Microseconds Span) noexcept { this->Time += Span; }

private:
  TimePoint Time = TimePoint(std::chrono::hours(1));
};

inline AttemptId attempt(std::uint64_t Sequence, std::uint64_t Caller = 7) {
  return {Incarnation(Caller), Sequence};
}

} // namespace limpetdrum::test

#endif
