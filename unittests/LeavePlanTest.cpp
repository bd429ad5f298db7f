#include "limpetdrum/request/LeavePlan.h"
#include "FakeClock.h"

#include <catch2/catch.hpp>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

constexpr Milliseconds LatencyTarget{300};

} // namespace

TEST_CASE("LeavePlan accepts all requests until the node leaves") {
  FakeClock Clock;
  LeavePlan Plan(Milliseconds(6000));
  CHECK_FALSE(Plan.refusalDelay(false, LatencyTarget, Clock.now()));
  CHECK_FALSE(Plan.mayClose(true, Clock.now()));
}

TEST_CASE("LeavePlan refuses requests that could no longer be completed") {
  FakeClock Clock;
  LeavePlan Plan(Milliseconds(6000));
  Plan.begin(Clock.now());
  Clock.advance(Milliseconds(2900));
  CHECK_FALSE(Plan.refusalDelay(false, LatencyTarget, Clock.now()));
  Clock.advance(Milliseconds(200));
  auto RetryDelay = Plan.refusalDelay(false, LatencyTarget, Clock.now());
  REQUIRE(RetryDelay);
  CHECK(*RetryDelay >= Milliseconds(1000));
  // Calls complete requests in flight and are accepted for longer.
  CHECK_FALSE(Plan.refusalDelay(true, LatencyTarget, Clock.now()));
  Clock.advance(Milliseconds(2000));
  CHECK(Plan.refusalDelay(true, LatencyTarget, Clock.now()));
}

TEST_CASE("LeavePlan closes the node when idle, at the latest before the "
          "limit") {
  FakeClock Clock;
  LeavePlan Plan(Milliseconds(6000));
  Plan.begin(Clock.now());
  CHECK_FALSE(Plan.mayClose(true, Clock.now()));
  Clock.advance(Milliseconds(2600));
  CHECK(Plan.mayClose(true, Clock.now()));
  CHECK_FALSE(Plan.mayClose(false, Clock.now()));
  Clock.advance(Milliseconds(3100));
  CHECK(Plan.mayClose(false, Clock.now()));
}

TEST_CASE("LeavePlan refuses all requests while the process ends") {
  FakeClock Clock;
  LeavePlan Plan(Milliseconds(6000));
  Plan.begin(Clock.now());
  Clock.advance(Milliseconds(2600));
  REQUIRE(Plan.mayClose(true, Clock.now()));
  CHECK_FALSE(Plan.refusalDelay(false, LatencyTarget, Clock.now()));
  CHECK_FALSE(Plan.mayExit(true, Clock.now()));
  Plan.close(Clock.now());
  CHECK(Plan.refusalDelay(false, LatencyTarget, Clock.now()));
  CHECK(Plan.refusalDelay(true, LatencyTarget, Clock.now()));
}

// Guards against runs that begin while the process ends.
TEST_CASE("LeavePlan gives the target no run once the node is closed") {
  FakeClock Clock;
  LeavePlan Plan(Milliseconds(6000));
  Plan.begin(Clock.now());
  Clock.advance(Milliseconds(2600));
  CHECK_FALSE(Plan.refusesRuns(Clock.now()));
  Plan.close(Clock.now());
  CHECK(Plan.refusesRuns(Clock.now()));
  CHECK(Plan.retryAfter(Clock.now()) == Milliseconds(1000));
}

TEST_CASE("LeavePlan ends a closed process once other nodes send nothing") {
  FakeClock Clock;
  LeavePlan Plan(Milliseconds(6000));
  Plan.begin(Clock.now());
  Clock.advance(Milliseconds(2600));
  Plan.close(Clock.now());
  Clock.advance(Milliseconds(90));
  CHECK_FALSE(Plan.mayExit(true, Clock.now()));
  Plan.onAttempt(Clock.now());
  Clock.advance(Milliseconds(90));
  CHECK_FALSE(Plan.mayExit(true, Clock.now()));
  Clock.advance(Milliseconds(10));
  CHECK(Plan.mayExit(true, Clock.now()));
  CHECK_FALSE(Plan.mayExit(false, Clock.now()));
}

TEST_CASE("LeavePlan ends a closed process although attempts keep arriving") {
  FakeClock Clock;
  LeavePlan Plan(Milliseconds(6000));
  Plan.begin(Clock.now());
  Clock.advance(Milliseconds(2600));
  Plan.close(Clock.now());
  for (int I = 0; I < 10; ++I) {
    CHECK_FALSE(Plan.mayExit(true, Clock.now()));
    Clock.advance(Milliseconds(50));
    Plan.onAttempt(Clock.now());
  }
  CHECK(Plan.mayExit(true, Clock.now()));
}

TEST_CASE("LeavePlan ends a closed process before the limit in any case") {
  FakeClock Clock;
  LeavePlan Plan(Milliseconds(6000));
  Plan.begin(Clock.now());
  Clock.advance(Milliseconds(5600));
  REQUIRE(Plan.mayClose(false, Clock.now()));
  Plan.close(Clock.now());
  CHECK_FALSE(Plan.mayExit(false, Clock.now()));
  Clock.advance(Milliseconds(100));
  CHECK(Plan.mayExit(false, Clock.now()));
}

TEST_CASE("LeavePlan refuses runs that could not end before the process") {
  FakeClock Clock;
  LeavePlan Plan(Milliseconds(6000));
  CHECK_FALSE(Plan.refusesRuns(Clock.now()));
  Plan.begin(Clock.now());
  Clock.advance(Milliseconds(3900));
  CHECK_FALSE(Plan.refusesRuns(Clock.now()));
  Clock.advance(Milliseconds(100));
  CHECK(Plan.refusesRuns(Clock.now()));
  CHECK_FALSE(Plan.mayClose(false, Clock.now()));
}

TEST_CASE("LeavePlan applies an exit limit that is reloaded") {
  FakeClock Clock;
  LeavePlan Plan(Milliseconds(6000));
  Plan.setExitLimit(Milliseconds(10'000));
  Plan.begin(Clock.now());
  Clock.advance(Milliseconds(5700));
  CHECK_FALSE(Plan.mayClose(false, Clock.now()));
  Clock.advance(Milliseconds(4000));
  CHECK(Plan.mayClose(false, Clock.now()));
}

// Guards against calls that are passed on shortly before the process ends, and
// cut with it.
TEST_CASE("LeavePlan accepts only calls that can end before the process") {
  FakeClock Clock;
  LeavePlan Plan(Milliseconds(6000));
  Plan.begin(Clock.now());
  constexpr bool IsCall = true;
  Clock.advance(Milliseconds(4300));
  CHECK_FALSE(Plan.refusalDelay(IsCall, Milliseconds(1200), Clock.now()));
  Clock.advance(Milliseconds(200)); // the node closes in 1.1 s
  CHECK(Plan.refusalDelay(IsCall, Milliseconds(1200), Clock.now()));
  CHECK_FALSE(Plan.refusalDelay(IsCall, Milliseconds(300), Clock.now()));
  Clock.advance(Milliseconds(500));
  CHECK(Plan.refusalDelay(IsCall, Milliseconds(300), Clock.now()));
}

TEST_CASE("LeavePlan accepts calls of slow routes for a while") {
  FakeClock Clock;
  LeavePlan Plan(Milliseconds(6000));
  Plan.begin(Clock.now());
  Clock.advance(Milliseconds(3900));
  CHECK_FALSE(Plan.refusalDelay(true, Milliseconds(60'000), Clock.now()));
}

TEST_CASE("LeavePlan has each request answered before the process ends") {
  FakeClock Clock;
  LeavePlan Plan(Milliseconds(6000));
  CHECK_FALSE(Plan.answerLimit());
  Plan.begin(Clock.now());
  auto Limit = Plan.answerLimit();
  REQUIRE(Limit);
  // The answer of a target crosses two nodes.
  REQUIRE(Plan.workLimit());
  CHECK(*Limit - *Plan.workLimit() >= Milliseconds(100));
  Clock.advance(*Limit - Clock.now());
  Plan.close(Clock.now());
  CHECK_FALSE(Plan.mayExit(false, Clock.now()));
}
