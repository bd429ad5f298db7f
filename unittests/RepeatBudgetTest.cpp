#include "limpetdrum/request/RepeatBudget.h"
#include "FakeClock.h"
#include "limpetdrum/request/Position.h"

#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <random>
#include <vector>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

using RouteKind = RepeatBudget::RouteKind;
const ServiceName FirstService("one");
const ServiceName SecondService("two");
constexpr Milliseconds Window{10'000};
constexpr double Ratio = 0.2;

/// Returns the number of repeats that a budget grants for \p Count requests,
/// all of which fail.
int granted(RepeatBudget &Budget, RouteKind Kind, int Count, FakeClock &Clock) {
  int Repeats = 0;
  for (int I = 0; I < Count; ++I) {
    Clock.advance(Milliseconds(10));
    Budget.onRequest(FirstService, Kind, Clock.now());
    Repeats += Budget.take(FirstService, Kind, 0, Clock.now()) ? 1 : 0;
  }
  return Repeats;
}

} // namespace

TEST_CASE("RepeatBudget grants leaf routes most of the ratio", "[budget]") {
  FakeClock Clock;
  RepeatBudget Budget(Ratio, Window, 1);
  // The leaf route gets 0.5 of the ratio of 0.2, the inner route 0.1 of it.
  CHECK(granted(Budget, RouteKind::Leaf, 1000, Clock) == Approx(100).margin(1));
  CHECK(granted(Budget, RouteKind::Inner, 1000, Clock) == Approx(20).margin(1));
}

TEST_CASE("RepeatBudget bounds accumulated repeats and keeps services separate",
          "[budget]") {
  FakeClock Clock;
  RepeatBudget Budget(Ratio, Window, 1);
  for (int I = 0; I < 100'000; ++I) {
    Clock.advance(Milliseconds(1));
    Budget.onRequest(FirstService, RouteKind::Leaf, Clock.now());
  }
  int Accumulated = 0;
  while (Budget.take(FirstService, RouteKind::Leaf, 0, Clock.now()))
    ++Accumulated;
  // Repeats accumulate for two seconds of 1000 requests each.
  CHECK(Accumulated == Approx(2000 * Ratio * 0.5).epsilon(0.01));
  CHECK_FALSE(Budget.take(SecondService, RouteKind::Leaf, 0, Clock.now()));
}

TEST_CASE("RepeatBudget refills the slack within a window", "[budget]") {
  FakeClock Clock;
  RepeatBudget Budget(Ratio, Window, 1);
  Budget.setSlack(40);
  auto Take = [&]() {
    return Budget.take(FirstService, RouteKind::Leaf, 0, Clock.now());
  };
  int First = 0;
  while (Take())
    ++First;
  CHECK(First == 10);
  Clock.advance(Milliseconds(5'001));
  int Second = 0;
  while (Take())
    ++Second;
  CHECK(Second == 5);
}

TEST_CASE("RepeatBudget refunds repeats up to its capacity", "[budget]") {
  FakeClock Clock;
  RepeatBudget Budget(Ratio, Window, 1);
  Budget.setSlack(4);
  REQUIRE(Budget.take(FirstService, RouteKind::Leaf, 0, Clock.now()));
  REQUIRE_FALSE(Budget.take(FirstService, RouteKind::Leaf, 0, Clock.now()));
  Budget.refund(FirstService, RouteKind::Leaf, Clock.now());
  Budget.refund(FirstService, RouteKind::Leaf, Clock.now());
  CHECK(Budget.take(FirstService, RouteKind::Leaf, 0, Clock.now()));
  CHECK_FALSE(Budget.take(FirstService, RouteKind::Leaf, 0, Clock.now()));
}

TEST_CASE("RepeatBudget keeps a chain within the allowance of the fleet",
          "[budget][property]") {
  // Guards against repeats that multiply over the hops of a chain. Requests
  // pass three services to a leaf, which each run of the last one calls twice;
  // half of all runs are lost at each service. Every request that reaches the
  // leaf beyond the first arrival of each call counts as a repeat, including
  // the calls of repeated runs.
  constexpr int Nodes = 12;
  constexpr double FleetSlack = 48;
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    FakeClock Clock;
    std::mt19937_64 Random(Seed);
    std::vector<RepeatBudget> Budgets;
    for (int I = 0; I < Nodes; ++I) {
      Budgets.emplace_back(Ratio, Window, Seed * Nodes + I);
      Budgets.back().setSlack(FleetSlack / Nodes);
    }
    int Requests = 0;
    int Repeats = 0;
    std::function<void(int, bool)> Send = [&](int Depth, bool IsRepeat) {
      auto Kind = Depth == 3 ? RouteKind::Leaf : RouteKind::Inner;
      auto &Budget = Budgets[Random() % Nodes];
      ServiceName Service("s" + std::to_string(Depth));
      Budget.onRequest(Service, Kind, Clock.now());
      bool RunsAgain = false;
      do {
        if (Depth == 3) {
          Requests += RunsAgain ? 0 : 1;
          Repeats += RunsAgain || IsRepeat ? 1 : 0;
        } else {
          for (int I = 0; I < (Depth == 2 ? 2 : 1); ++I)
            Send(Depth + 1, IsRepeat || RunsAgain);
        }
        if (Random() % 2 == 0)
          return;
        RunsAgain = true;
      } while (Budget.take(Service, Kind, 0, Clock.now()));
    };
    for (int I = 0; I < 3000; ++I) {
      Clock.advance(Milliseconds(3)); // 9 s in all: one window
      Send(0, false);
    }
    INFO("seed " << Seed << ": " << Requests << " requests, " << Repeats
                 << " repeats");
    CHECK(Repeats <= Ratio * Requests + FleetSlack);
    CHECK(Repeats >= Ratio * Requests / 3);
  }
}

TEST_CASE(
    "RepeatBudget grants repeats by position while a deep service refuses",
    "[budget][property]") {
  // Guards against repeats that are spread so evenly over all requests that
  // few orders complete. Each order makes 8 calls, and each lookup 4, to a
  // service that refuses 55 of 100 calls. A call may be sent eight times, and a
  // request fails with the first of its calls that fails.
  constexpr double Refused = 0.55;
  constexpr double RepeatsOfOrder = 8 * Refused / (1 - Refused);
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    std::map<bool, int> Completed; // orders, by ByPosition
    double Allowed = 0;
    for (bool ByPosition : {true, false}) {
      FakeClock Clock;
      std::mt19937_64 Random(Seed);
      std::uniform_real_distribution<double> Draw(0, 1);
      RepeatBudget Budget(Ratio, Window, 1);
      for (int I = 0; I < 8000; ++I) {
        Clock.advance(Milliseconds(4)); // 62 orders and 188 lookups per second
        bool IsOrder = I % 4 == 0;
        auto Position = normalizedPosition(ClassRank(IsOrder ? 0 : 2),
                                           static_cast<float>(Draw(Random)));
        bool IsServed = true;
        for (int Call = 0; IsServed && Call < (IsOrder ? 8 : 4); ++Call) {
          Budget.onRequest(FirstService, RouteKind::Leaf, Clock.now());
          Allowed += ByPosition ? Ratio / 2 : 0;
          int Sends = 1;
          IsServed = Draw(Random) > Refused;
          while (!IsServed && Sends++ < 8 &&
                 Budget.take(FirstService, RouteKind::Leaf,
                             ByPosition ? Position : 0, Clock.now()))
            IsServed = Draw(Random) > Refused;
        }
        Completed[ByPosition] += IsServed && IsOrder ? 1 : 0;
      }
    }
    INFO("seed " << Seed << ": " << Completed[true]
                 << " of 2000 orders completed with repeats by position, "
                 << Completed[false] << " without");
    CHECK(Completed[true] > 2 * Completed[false]);
    // At least a third of the orders that all granted repeats could complete.
    CHECK(Completed[true] > Allowed / RepeatsOfOrder / 3);
  }
}

TEST_CASE("RepeatBudget of many idle nodes stays within the slack of the fleet",
          "[budget][property]") {
  // Guards against one repeat at every node of a large fleet, which together
  // exceed the slack. Requests for the service are rare, and then all of them
  // fail at the same time, on an inner and on a leaf route.
  constexpr int Nodes = 79;
  constexpr double FleetSlack = 109;
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    FakeClock Clock;
    std::vector<RepeatBudget> Budgets;
    for (int I = 0; I < Nodes; ++I) {
      Budgets.emplace_back(Ratio, Window, Seed * Nodes + I);
      Budgets.back().setSlack(FleetSlack / Nodes);
    }
    int Requests = 0;
    int Repeats = 0;
    auto SendAll = [&](bool Fails) {
      for (auto &Budget : Budgets)
        for (auto Kind : {RouteKind::Leaf, RouteKind::Inner}) {
          Budget.onRequest(FirstService, Kind, Clock.now());
          Requests += Fails ? 1 : 0;
          Repeats +=
              Fails && Budget.take(FirstService, Kind, 0, Clock.now()) ? 1 : 0;
        }
    };
    SendAll(false);
    for (int Second = 0; Second < 60; ++Second) {
      Clock.advance(std::chrono::seconds(1));
      if (Second % 20 == 0)
        SendAll(false);
    }
    SendAll(true);
    INFO("seed " << Seed << ": " << Repeats << " repeats of " << Requests
                 << " requests");
    CHECK(Repeats <= Ratio * Requests + FleetSlack);
    CHECK(Repeats > 0);
  }
}
