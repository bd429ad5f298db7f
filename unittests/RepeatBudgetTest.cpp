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
const ServiceName One("one");
const ServiceName Two("two");
constexpr Milliseconds Window{10'000};
constexpr double Ratio = 0.2;

/// The repeats that a budget grants of \p Count requests, all of which fail.
int granted(RepeatBudget &Of, RouteKind Where, int Count, FakeClock &Clock) {
  int Repeats = 0;
  for (int I = 0; I < Count; ++I) {
    Clock.advance(Milliseconds(10));
    Of.onRequest(One, Where, Clock.now());
    Repeats += Of.take(One, Where, 0, Clock.now()) ? 1 : 0;
  }
  return Repeats;
}

} // namespace

TEST_CASE("RepeatBudget grants leaves most of the ratio", "[budget]") {
  FakeClock Clock;
  RepeatBudget Budget(Ratio, Window, 1);
  // 0.5 and 0.1 of 0.2.
  CHECK(granted(Budget, RouteKind::Leaf, 1000, Clock) == Approx(100).margin(1));
  CHECK(granted(Budget, RouteKind::Inner, 1000, Clock) == Approx(20).margin(1));
}

TEST_CASE("RepeatBudget keeps services apart, and what was saved up is bounded",
          "[budget]") {
  FakeClock Clock;
  RepeatBudget Budget(Ratio, Window, 1);
  for (int I = 0; I < 100'000; ++I) {
    Clock.advance(Milliseconds(1));
    Budget.onRequest(One, RouteKind::Leaf, Clock.now());
  }
  int Saved = 0;
  while (Budget.take(One, RouteKind::Leaf, 0, Clock.now()))
    ++Saved;
  // Two seconds of 1000 requests each.
  CHECK(Saved == Approx(2000 * Ratio * 0.5).epsilon(0.01));
  CHECK_FALSE(Budget.take(Two, RouteKind::Leaf, 0, Clock.now()));
}

TEST_CASE("RepeatBudget restores the slack within a window", "[budget]") {
  FakeClock Clock;
  RepeatBudget Budget(Ratio, Window, 1);
  Budget.setSlack(40);
  auto Take = [&]() {
    return Budget.take(One, RouteKind::Leaf, 0, Clock.now());
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

TEST_CASE("RepeatBudget gets back what reached no target", "[budget]") {
  FakeClock Clock;
  RepeatBudget Budget(Ratio, Window, 1);
  Budget.setSlack(4);
  REQUIRE(Budget.take(One, RouteKind::Leaf, 0, Clock.now()));
  REQUIRE_FALSE(Budget.take(One, RouteKind::Leaf, 0, Clock.now()));
  Budget.refund(One, RouteKind::Leaf, Clock.now());
  Budget.refund(One, RouteKind::Leaf, Clock.now());
  CHECK(Budget.take(One, RouteKind::Leaf, 0, Clock.now()));
  CHECK_FALSE(Budget.take(One, RouteKind::Leaf, 0, Clock.now()));
}

TEST_CASE("RepeatBudgets of a fleet keep a chain within the allowance",
          "[budget][property]") {
  // Requests pass three services to a leaf that each run asks twice; half of
  // all runs are lost at each service. Counted is what the leaf gets beyond
  // the first arrival of each call, the calls of repeated runs included.
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
    int Asked = 0;
    int Repeated = 0;
    std::function<void(int, bool)> Send = [&](int Depth, bool IsRepeat) {
      auto Where = Depth == 3 ? RouteKind::Leaf : RouteKind::Inner;
      auto &Mine = Budgets[Random() % Nodes];
      ServiceName Service("s" + std::to_string(Depth));
      Mine.onRequest(Service, Where, Clock.now());
      bool Again = false;
      do {
        if (Depth == 3) {
          Asked += Again ? 0 : 1;
          Repeated += Again || IsRepeat ? 1 : 0;
        } else {
          for (int I = 0; I < (Depth == 2 ? 2 : 1); ++I)
            Send(Depth + 1, IsRepeat || Again);
        }
        if (Random() % 2 == 0)
          return;
        Again = true;
      } while (Mine.take(Service, Where, 0, Clock.now()));
    };
    for (int I = 0; I < 3000; ++I) {
      Clock.advance(Milliseconds(3)); // 9 s in all: one window
      Send(0, false);
    }
    INFO("seed " << Seed << ", " << Asked << " asked, " << Repeated
                 << " repeated");
    CHECK(Repeated <= Ratio * Asked + FleetSlack);
    CHECK(Repeated >= Ratio * Asked / 3);
  }
}

TEST_CASE("RepeatBudget serves whole orders while a deep service refuses",
          "[budget][property]") {
  // Orders make 8 calls each of a service that refuses 55 in 100, and lookups
  // 4; each call may be sent eight times. A request fails with its first call.
  constexpr double Refused = 0.55;
  constexpr double RepeatsOfOrder = 8 * Refused / (1 - Refused);
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    std::map<bool, int> Completed; // by whether repeats go by position
    double Allowed = 0;
    for (bool ByPosition : {true, false}) {
      FakeClock Clock;
      std::mt19937_64 Random(Seed);
      std::uniform_real_distribution<double> Draw(0, 1);
      RepeatBudget Budget(Ratio, Window, 1);
      for (int I = 0; I < 8000; ++I) {
        Clock.advance(Milliseconds(4)); // 62 orders and 188 lookups a second
        bool IsOrder = I % 4 == 0;
        auto Place = normalizedPosition(ClassRank(IsOrder ? 0 : 2),
                                        static_cast<float>(Draw(Random)));
        bool Serves = true;
        for (int Call = 0; Serves && Call < (IsOrder ? 8 : 4); ++Call) {
          Budget.onRequest(One, RouteKind::Leaf, Clock.now());
          Allowed += ByPosition ? Ratio / 2 : 0;
          int Sends = 1;
          Serves = Draw(Random) > Refused;
          while (!Serves && Sends++ < 8 &&
                 Budget.take(One, RouteKind::Leaf, ByPosition ? Place : 0,
                             Clock.now()))
            Serves = Draw(Random) > Refused;
        }
        Completed[ByPosition] += Serves && IsOrder ? 1 : 0;
      }
    }
    INFO("seed " << Seed << ": " << Completed[true] << " of 2000 instead of "
                 << Completed[false]);
    CHECK(Completed[true] > 2 * Completed[false]);
    // A third of what all repeats together could complete.
    CHECK(Completed[true] > Allowed / RepeatsOfOrder / 3);
  }
}

TEST_CASE("RepeatBudgets of many idle nodes keep to the slack together",
          "[budget][property]") {
  // The grown fleet: a service that is asked for rarely, of which then every
  // request fails at once, on an inner and on a leaf route.
  constexpr int Nodes = 79;
  constexpr double FleetSlack = 109;
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    FakeClock Clock;
    std::vector<RepeatBudget> Budgets;
    for (int I = 0; I < Nodes; ++I) {
      Budgets.emplace_back(Ratio, Window, Seed * Nodes + I);
      Budgets.back().setSlack(FleetSlack / Nodes);
    }
    int Asked = 0;
    int Repeated = 0;
    auto Ask = [&](bool Fails) {
      for (auto &Of : Budgets)
        for (auto Where : {RouteKind::Leaf, RouteKind::Inner}) {
          Of.onRequest(One, Where, Clock.now());
          Asked += Fails ? 1 : 0;
          Repeated += Fails && Of.take(One, Where, 0, Clock.now()) ? 1 : 0;
        }
    };
    Ask(false);
    for (int Second = 0; Second < 60; ++Second) {
      Clock.advance(std::chrono::seconds(1));
      if (Second % 20 == 0)
        Ask(false);
    }
    Ask(true);
    INFO("seed " << Seed << ": " << Repeated << " of " << Asked);
    CHECK(Repeated <= Ratio * Asked + FleetSlack);
    CHECK(Repeated > 0);
  }
}
