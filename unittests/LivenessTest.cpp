#include "limpetdrum/connection/Liveness.h"
#include "FakeClock.h"

#include <catch2/catch.hpp>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

using Action = Liveness::Action;

/// Ticks until something is to be done.
Action next(Liveness &L, FakeClock &Clock, TimePoint LastRead) {
  for (int I = 0; I < 100; ++I) {
    Clock.advance(Milliseconds(50));
    auto Done = L.tick(true, LastRead, Clock.now());
    if (Done != Action::None)
      return Done;
  }
  return Action::None;
}

} // namespace

TEST_CASE("Liveness is quiet while nothing waits or bytes come in",
          "[liveness]") {
  FakeClock Clock;
  Liveness L;
  auto Long = Clock.now() - Milliseconds(5000);
  CHECK(L.tick(false, Long, Clock.now()) == Action::None);
  CHECK(L.tick(true, Clock.now(), Clock.now()) == Action::None);
}

TEST_CASE("Liveness replaces a connection when only a fresh one answers",
          "[liveness]") {
  FakeClock Clock;
  Liveness L;
  auto Last = Clock.now();
  CHECK(next(L, Clock, Last) == Action::ProbeBoth);
  L.onFreshAnswer();
  CHECK(next(L, Clock, Last) == Action::Replace);
}

TEST_CASE("Liveness suspects a peer that answers on neither", "[liveness]") {
  FakeClock Clock;
  Liveness L;
  auto Last = Clock.now();
  CHECK(next(L, Clock, Last) == Action::ProbeBoth);
  CHECK(next(L, Clock, Last) == Action::Suspect);
  // It tries again later.
  CHECK(next(L, Clock, Last) == Action::ProbeBoth);
}

TEST_CASE("Liveness takes a slow answer for life", "[liveness]") {
  FakeClock Clock;
  Liveness L;
  CHECK(next(L, Clock, Clock.now()) == Action::ProbeBoth);
  Clock.advance(Milliseconds(50));
  CHECK(L.tick(true, Clock.now(), Clock.now()) == Action::None);
}

TEST_CASE("Liveness asks on the old connection before it makes a fresh one",
          "[liveness]") {
  FakeClock Clock;
  Liveness L({Milliseconds(150), Milliseconds(250), Milliseconds(500)});
  auto Last = Clock.now();
  CHECK(next(L, Clock, Last) == Action::ProbeCurrent);
  // It answers: a fresh connection is not needed.
  Last = Clock.now() + Milliseconds(1);
  Clock.advance(Milliseconds(20));
  CHECK(L.tick(true, Last, Clock.now()) == Action::None);
  CHECK(next(L, Clock, Last) == Action::ProbeCurrent);
  auto Asked = Clock.now();
  CHECK(next(L, Clock, Last) == Action::ProbeBoth);
  CHECK(Clock.now() - Asked == Milliseconds(250));
}
