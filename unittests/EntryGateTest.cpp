#include "FakeClock.h"
#include "limpetdrum/request/OverloadControl.h"

#include <catch2/catch.hpp>
#include <map>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

TrafficRoute route(const std::string &Name, const std::string &Service,
                   unsigned Rank) {
  TrafficRoute Of;
  Of.Name = Name;
  Of.Host = "shop.example";
  Of.Prefix = "/" + Name + "/";
  Of.Idempotent = true;
  Of.Timeout = Milliseconds(2000);
  Of.Rank = ClassRank(static_cast<std::uint8_t>(Rank));
  Of.Services = {{ServiceName(Service), 1}};
  return Of;
}

/// Orders and browsing go through the front services to a deep one, whose
/// other work are views; the deep service has 50 slots.
struct Fleet {
  FakeClock Clock;
  TrafficPolicy Policy{
      Revision(1),
      {route("order", "ordering", 0), route("browse", "catalogue", 2),
       route("view", "planning", 2), route("lookup", "planning", 1)},
      {},
      {},
      ""};
  OverloadControl Control{7};
  ServiceLoad Planning{50, 45, 0, 0};

  static RouteUsage use(const std::string &Name, double Arrivals, double Runs,
                        int SlotMillis, std::vector<RouteCalls> Calls = {}) {
    return {Name, Arrivals, Runs, Milliseconds(SlotMillis), std::move(Calls)};
  }

  /// Each of three nodes sees a third of the demand, in requests a second.
  void learn(double Orders, double Browses, double Views) {
    auto Clients = [&](std::vector<RouteUsage> Own) {
      for (const auto &[Name, Rate] :
           {std::pair("order", Orders), std::pair("browse", Browses),
            std::pair("view", Views)}) {
        bool Known = false;
        for (auto &Use : Own)
          if (Use.Route == Name) {
            Use.Arrivals = Rate / 3;
            Known = true;
          }
        if (!Known)
          Own.push_back(use(Name, Rate / 3, 0, 0));
      }
      return Own;
    };
    auto Now = this->Clock.now();
    auto Record = [&](const char *Node, const char *Service,
                      std::vector<RouteUsage> Own) {
      this->Control.demand().record(
          NodeId(Node), {ServiceName(Service), 1, Clients(std::move(Own))},
          Now);
    };
    Record(
        "a", "ordering",
        {use("order", 0, 20, 150, {{"lookup", 8}}), use("lookup", 160, 0, 0)});
    Record("b", "catalogue",
           {use("browse", 0, 100, 120, {{"lookup", 4}}),
            use("lookup", 400, 0, 0)});
    Record("c", "planning",
           {use("view", 0, 20, 360), use("lookup", 0, 500, 22)});
    this->Control.update(this->Policy,
                         {{ServiceName("planning"), this->Planning},
                          {ServiceName("ordering"), {100, 10, 0, 0}},
                          {ServiceName("catalogue"), {100, 10, 0, 0}}},
                         Now);
  }

  double admitted(const std::string &Name, int Count = 2000) {
    int In = 0;
    for (int I = 0; I < Count; ++I)
      if (!this->Control.admit({Name, this->Control.isCalled(Name),
                                Milliseconds(2000), Milliseconds(1000)}))
        ++In;
    return static_cast<double>(In) / Count;
  }
};

} // namespace

TEST_CASE("EntryGate lets everything in that fits") {
  Fleet Of;
  // 20 x 0.176 + 100 x 0.088 + 20 x 0.36 = 19.5 of 50 slots.
  Of.learn(20, 100, 20);
  CHECK(Of.admitted("order") == 1);
  CHECK(Of.admitted("browse") == 1);
  CHECK(Of.admitted("view") == 1);
}

TEST_CASE("EntryGate cuts the less important ranks for a deep service") {
  Fleet Of;
  // Orders take 17.6 of 52 slots, the others want 35.2 + 36: 48% fits.
  Of.learn(100, 400, 100);
  CHECK(Of.admitted("order") == 1);
  CHECK(Of.admitted("browse") == Approx(0.48).margin(0.05));
  CHECK(Of.admitted("view") == Approx(0.48).margin(0.05));
  // Calls belong to requests that have been let in.
  CHECK(Of.admitted("lookup") == 1);
}

TEST_CASE("EntryGate does not take calm for room that was never used") {
  Fleet Of;
  for (int I = 0; I < 60; ++I)
    Of.learn(20, 100, 20);
  // The surge finds the slots that there are, not twice as many.
  Of.learn(100, 400, 100);
  CHECK(Of.admitted("browse") == Approx(0.48).margin(0.06));
}

TEST_CASE("EntryGate finds room beyond the slots while it holds back") {
  Fleet Of;
  Of.learn(100, 400, 100);
  auto Before = Of.admitted("browse");
  for (int I = 0; I < 5; ++I)
    Of.learn(100, 400, 100);
  CHECK(Of.admitted("browse") > Before + 0.1);
}

TEST_CASE("EntryGate opens at once when the demand has gone") {
  Fleet Of;
  Of.learn(100, 400, 100);
  REQUIRE(Of.admitted("browse") < 0.6);
  Of.Clock.advance(std::chrono::seconds(1));
  Of.learn(20, 100, 20);
  CHECK(Of.admitted("browse") == 1);
}

TEST_CASE("EntryGate lets in less while the deep service queues") {
  Fleet Of;
  Of.learn(100, 400, 100);
  auto Before = Of.admitted("browse");
  // A wait of 84 ms.
  Of.Planning.Queued = 70;
  Of.Planning.QueuedWork = 70 * 0.06;
  for (int I = 0; I < 5; ++I)
    Of.learn(100, 400, 100);
  CHECK(Of.admitted("browse") < Before - 0.05);
}

TEST_CASE("Most callers in a lasting overload are served at their first try",
          "[property]") {
  // Browsing is cut to some 48%. Clients come back once when they are told to.
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    Fleet Of;
    Of.Control = OverloadControl(Seed);
    Of.learn(100, 400, 100);
    std::multimap<TimePoint, bool> Arrivals; // whether it comes back
    for (int I = 0; I < 4000; ++I)
      Arrivals.emplace(Of.Clock.now() + Milliseconds(5 * I), false);
    int AtFirst = 0;
    int Later = 0;
    int RefusedAgain = 0;
    while (!Arrivals.empty()) {
      auto [At, Returns] = *Arrivals.begin();
      Arrivals.erase(Arrivals.begin());
      auto ComeBack = Of.Control.admit(
          {"browse", false, Milliseconds(3000), Milliseconds(1200)});
      if (!ComeBack) {
        ++(Returns ? Later : AtFirst);
        continue;
      }
      CHECK(*ComeBack > Milliseconds(0));
      CHECK(*ComeBack <= Milliseconds(1000));
      if (Returns)
        ++RefusedAgain;
      else
        Arrivals.emplace(At + *ComeBack, true);
    }
    INFO("seed " << Seed << ": " << AtFirst << " at first, " << Later
                 << " later, " << RefusedAgain << " refused again");
    CHECK(AtFirst > 1.5 * Later);
    // Those who come back have the same chance.
    CHECK(Later > 0.4 * (Later + RefusedAgain));
  }
}

TEST_CASE("Callers are told to come back in time for the latency target") {
  Fleet Of;
  Of.learn(100, 400, 100);
  Of.Control.onServed("browse", Milliseconds(300));
  int Early = 0;
  int Refused = 0;
  for (int I = 0; I < 1000; ++I) {
    auto ComeBack = Of.Control.admit(
        {"browse", false, Milliseconds(5000), Milliseconds(1200)});
    if (!ComeBack)
      continue;
    ++Refused;
    CHECK(*ComeBack >= Milliseconds(200));
    CHECK(*ComeBack + Milliseconds(300) <= Milliseconds(1200));
    Early += *ComeBack < Milliseconds(600) ? 1 : 0;
  }
  REQUIRE(Refused > 300);
  // They are spread, too.
  CHECK(Early > Refused / 3);
  CHECK(Early < Refused * 2 / 3);
}
