#include "limpetdrum/connection/Liveness.h"
#include "FakeClock.h"

#include <catch2/catch.hpp>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

using Action = Liveness::Action;

/// Ticks every 50 ms until there is an action, for at most 5 s.
Action nextAction(Liveness &L, FakeClock &Clock, TimePoint LastRead) {
  for (int I = 0; I < 100; ++I) {
    Clock.advance(Milliseconds(50));
    auto Result = L.tick(true, LastRead, Clock.now());
    if (Result != Action::None)
      return Result;
  }
  return Action::None;
}

} // namespace

TEST_CASE(
    "Liveness does not probe without outstanding calls or while bytes arrive",
    "[liveness]") {
  FakeClock Clock;
  Liveness L;
  auto LongAgo = Clock.now() - Milliseconds(5000);
  CHECK(L.tick(false, LongAgo, Clock.now()) == Action::None);
  CHECK(L.tick(true, Clock.now(), Clock.now()) == Action::None);
}

TEST_CASE("Liveness replaces a connection if only a new one answers",
          "[liveness]") {
  FakeClock Clock;
  Liveness L;
  auto LastRead = Clock.now();
  CHECK(nextAction(L, Clock, LastRead) == Action::ProbeBoth);
  L.onNewConnectionAnswer();
  CHECK(nextAction(L, Clock, LastRead) == Action::Replace);
}

TEST_CASE("Liveness suspects a peer that answers on neither connection",
          "[liveness]") {
  FakeClock Clock;
  Liveness L;
  auto LastRead = Clock.now();
  CHECK(nextAction(L, Clock, LastRead) == Action::ProbeBoth);
  CHECK(nextAction(L, Clock, LastRead) == Action::Suspect);
  // A suspected peer is probed again later.
  CHECK(nextAction(L, Clock, LastRead) == Action::ProbeBoth);
}

TEST_CASE("Liveness stops probing if bytes arrive late", "[liveness]") {
  FakeClock Clock;
  Liveness L;
  CHECK(nextAction(L, Clock, Clock.now()) == Action::ProbeBoth);
  Clock.advance(Milliseconds(50));
  CHECK(L.tick(true, Clock.now(), Clock.now()) == Action::None);
}

TEST_CASE("Liveness probes the current connection alone before both",
          "[liveness]") {
  FakeClock Clock;
  Liveness L({Milliseconds(150), Milliseconds(250), Milliseconds(500)});
  auto LastRead = Clock.now();
  CHECK(nextAction(L, Clock, LastRead) == Action::ProbeCurrent);
  // The current connection answers, so no new one is needed.
  LastRead = Clock.now() + Milliseconds(1);
  Clock.advance(Milliseconds(20));
  CHECK(L.tick(true, LastRead, Clock.now()) == Action::None);
  CHECK(nextAction(L, Clock, LastRead) == Action::ProbeCurrent);
  auto ProbedAt = Clock.now();
  CHECK(nextAction(L, Clock, LastRead) == Action::ProbeBoth);
  CHECK(Clock.now() - ProbedAt == Milliseconds(250));
}

// On a busy machine a new connection takes longer than the probe. If the next
// probe discards it, the dead connection keeps its calls until they time out.
TEST_CASE("Liveness replaces a connection if the new one answers after the "
          "peer was suspected",
          "[liveness]") {
  FakeClock Clock;
  Liveness L;
  auto LastRead = Clock.now();
  CHECK(nextAction(L, Clock, LastRead) == Action::ProbeBoth);
  CHECK(nextAction(L, Clock, LastRead) == Action::Suspect);
  L.onNewConnectionAnswer();
  CHECK(nextAction(L, Clock, LastRead) == Action::Replace);
}

// The current connection answers late as well: it is not dead.
TEST_CASE("Liveness keeps a connection that answers after the peer was "
          "suspected",
          "[liveness]") {
  FakeClock Clock;
  Liveness L;
  auto LastRead = Clock.now();
  CHECK(nextAction(L, Clock, LastRead) == Action::ProbeBoth);
  CHECK(nextAction(L, Clock, LastRead) == Action::Suspect);
  L.onNewConnectionAnswer();
  LastRead = Clock.now();
  Clock.advance(Milliseconds(50));
  CHECK(L.tick(true, LastRead, Clock.now()) == Action::None);
}
