#include "limpetdrum/request/Allowances.h"
#include "AllowanceFleet.h"
#include "FakeClock.h"

#include <catch2/catch.hpp>

#include <numeric>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

using std::chrono::seconds;

constexpr std::size_t NodeCount = 60;
/// An allowance is a multiple of the usual demand.
constexpr double Headroom = 1.6;

OrganisationPolicy organisation(double Rate, const std::string &Name = "a") {
  OrganisationPolicy Result;
  Result.Name = Organisation(Name);
  Result.RatePerSecond = Rate;
  Result.Burst = Rate;
  return Result;
}

/// Returns a demand of the first \p Nodes nodes together, in multiples of the
/// usual one.
AllowanceFleet::Demand demand(double Factor, std::size_t Nodes = NodeCount) {
  return [=](const OrganisationPolicy &Entry, std::size_t Node) {
    return Node < Nodes ? Entry.RatePerSecond / Headroom * Factor /
                              static_cast<double>(Nodes)
                        : 0;
  };
}

/// Returns the most that was granted in any five seconds, as a share of what
/// the rule allows.
double worstWindow(const AllowanceFleet::Count &Sum, double Rate,
                   std::size_t Begin = 0) {
  constexpr std::size_t Window = 500;
  auto Allowed = (Rate * 5 + Rate) * 1.1 + 20;
  int Total = 0;
  int Worst = 0;
  for (auto I = Begin; I < Sum.Granted.size(); ++I) {
    Total += Sum.Granted[I];
    if (I >= Begin + Window)
      Total -= Sum.Granted[I - Window];
    Worst = std::max(Worst, Total);
  }
  return Worst / Allowed;
}

/// Returns the share of the requests within the allowance that was refused.
double lost(const AllowanceFleet::Count &Sum, std::size_t Begin = 0) {
  auto Total = [Begin](const std::vector<int> &Steps) {
    return std::accumulate(Steps.begin() + static_cast<std::ptrdiff_t>(Begin),
                           Steps.end(), 0);
  };
  return 1 - static_cast<double>(Total(Sum.Granted)) / Total(Sum.Owed);
}

} // namespace

TEST_CASE("Allowances refuse next to nothing of usual demand") {
  for (auto [Rate, Nodes] : {std::pair(316.0, 60), {40.0, 60}, {5.0, 3}}) {
    INFO("rate " << Rate << " at " << Nodes << " nodes");
    AllowanceFleet Fleet({organisation(Rate)}, NodeCount, 1);
    Fleet.run(seconds(5), demand(1, Nodes));
    auto Settled = Fleet.count("a").Asked.size();
    Fleet.run(seconds(60), demand(1, Nodes));
    CHECK(lost(Fleet.count("a"), Settled) < 0.01);
    Fleet.run(seconds(20), demand(1.3, Nodes));
    CHECK(lost(Fleet.count("a"), Settled) < 0.01);
    // A little more than the rate is cut to about the rate.
    auto Begin = Fleet.count("a").Asked.size();
    Fleet.run(seconds(20), demand(1.8, Nodes));
    CHECK(lost(Fleet.count("a"), Begin) < 0.06);
    CHECK(worstWindow(Fleet.count("a"), Rate) < 0.9);
  }
}

TEST_CASE("Allowances keep one organisation at ten times its share to its own "
          "among seventy") {
  std::vector<OrganisationPolicy> Entries;
  for (int I = 0; I < 70; ++I)
    Entries.push_back(organisation(I < 5 ? 200 : 20, "o" + std::to_string(I)));
  AllowanceFleet Fleet(Entries, NodeCount, 2);
  auto Usual = demand(1);
  Fleet.run(seconds(5), Usual);
  auto Begin = Fleet.count("o0").Asked.size();
  Fleet.run(seconds(7), [&](const OrganisationPolicy &Entry, std::size_t Node) {
    return Usual(Entry, Node) * (Entry.Name.value() == "o0" ? 10 : 1);
  });
  CHECK(worstWindow(Fleet.count("o0"), 200) < 1);
  CHECK(lost(Fleet.count("o0"), Begin) < 0.15);
  Fleet.run(seconds(10), Usual);
  for (const auto &Entry : Entries)
    if (Entry.Name.value() != "o0") {
      INFO(Entry.Name.value());
      CHECK(lost(Fleet.count(Entry.Name.value()), Begin) < 0.03);
    }
}

TEST_CASE("Allowances hold in a surge at a few nodes, or at all") {
  for (double Factor : {4.0, 8.0})
    for (auto [Rate, Nodes] :
         {std::pair(316.0, 60), {316.0, 3}, {40.0, 60}, {40.0, 3}, {5.0, 3}}) {
      INFO(Factor << " times, rate " << Rate << " at " << Nodes << " nodes");
      AllowanceFleet Fleet({organisation(Rate)}, NodeCount, 3);
      Fleet.run(seconds(10), demand(1, Nodes));
      auto Begin = Fleet.count("a").Asked.size();
      Fleet.run(seconds(7), demand(Factor, Nodes));
      CHECK(worstWindow(Fleet.count("a"), Rate) < 1);
      CHECK(lost(Fleet.count("a"), Begin) < 0.25);
      auto End = Fleet.count("a").Asked.size();
      Fleet.run(seconds(10), demand(1, Nodes));
      CHECK(worstWindow(Fleet.count("a"), Rate) < 1);
      CHECK(lost(Fleet.count("a"), End) < 0.2);
    }
}

TEST_CASE("Allowances follow demand that moves to one node and back") {
  AllowanceFleet Fleet({organisation(316)}, NodeCount, 4);
  Fleet.run(seconds(10), demand(1));
  auto Begin = Fleet.count("a").Asked.size();
  Fleet.run(seconds(10), demand(1, 1));
  CHECK(lost(Fleet.count("a"), Begin) < 0.1);
  Begin = Fleet.count("a").Asked.size();
  Fleet.run(seconds(10), demand(1));
  CHECK(lost(Fleet.count("a"), Begin) < 0.02);
  CHECK(worstWindow(Fleet.count("a"), 316) < 0.8);
}

TEST_CASE("Allowances hold while half of the nodes are cut off") {
  for (double Factor : {1.0, 1.5, 8.0})
    for (auto [Rate, Nodes] : {std::pair(316.0, 60), {40.0, 60}, {5.0, 3}}) {
      INFO(Factor << " times, rate " << Rate << " at " << Nodes << " nodes");
      AllowanceFleet Fleet({organisation(Rate)}, NodeCount, 5);
      Fleet.run(seconds(10), demand(1, Nodes));
      for (std::size_t I = 0; I < NodeCount; I += 2)
        Fleet.Cut.insert(I);
      auto Begin = Fleet.count("a").Asked.size();
      Fleet.run(seconds(8), demand(Factor, Nodes));
      Fleet.Cut.clear();
      Fleet.run(seconds(5), demand(1, Nodes));
      CHECK(worstWindow(Fleet.count("a"), Rate) < 1);
      CHECK(lost(Fleet.count("a"), Begin) < 0.25);
    }
}

TEST_CASE("Allowances hold if half of the nodes are cut off as a surge begins, "
          "for any seed") {
  for (std::uint64_t Seed = 1; Seed <= 24; ++Seed) {
    INFO("seed " << Seed);
    AllowanceFleet Fleet({organisation(316)}, NodeCount, Seed);
    Fleet.run(seconds(10), demand(1));
    for (std::size_t I = 0; I < NodeCount; I += 2)
      Fleet.Cut.insert(I);
    Fleet.run(seconds(8), demand(8));
    CHECK(worstWindow(Fleet.count("a"), 316) < 1);
  }
}

TEST_CASE("Allowances hold when all nodes start anew with a burst") {
  for (double Factor : {1.0, 8.0})
    for (auto [Rate, Nodes] : {std::pair(316.0, 60), {40.0, 60}, {5.0, 3}}) {
      INFO(Factor << " times, rate " << Rate << " at " << Nodes << " nodes");
      AllowanceFleet Fleet({organisation(Rate)}, NodeCount, 6);
      Fleet.run(seconds(10), demand(1, Nodes));
      auto Begin = Fleet.count("a").Asked.size();
      for (std::size_t I = 0; I < NodeCount; ++I)
        Fleet.restart(I);
      Fleet.run(seconds(7), demand(Factor, Nodes));
      CHECK(worstWindow(Fleet.count("a"), Rate) < 1);
      CHECK(lost(Fleet.count("a"), Begin) < (Factor > 1 ? 0.35 : 0.1));
    }
}

TEST_CASE("Allowances follow a limit that is cut far below the demand, and "
          "raised again") {
  AllowanceFleet Fleet({organisation(316)}, NodeCount, 7);
  auto Demand = [](const OrganisationPolicy & /*Entry*/, std::size_t /*Node*/) {
    return 316 / Headroom / NodeCount;
  };
  Fleet.run(seconds(10), Demand);
  Fleet.setPolicy({organisation(40)});
  auto Begin = Fleet.count("a").Asked.size();
  Fleet.run(seconds(5), Demand);
  auto Bound = Fleet.count("a").Asked.size();
  Fleet.run(seconds(20), Demand);
  CHECK(worstWindow(Fleet.count("a"), 40, Bound) < 1);
  CHECK(lost(Fleet.count("a"), Begin) < 0.15);
  Fleet.setPolicy({organisation(316)});
  Begin = Fleet.count("a").Asked.size();
  Fleet.run(seconds(10), Demand);
  CHECK(lost(Fleet.count("a"), Begin) < 0.03);
}

TEST_CASE("Allowances hold under any order of surges, cuts, restarts and lost "
          "news") {
  bool HasParts = GENERATE(true, false);
  double Worst = 0;
  for (std::uint64_t Seed = 1; Seed <= 12; ++Seed) {
    std::mt19937_64 Random(Seed);
    auto Draw = [&](int Min, int Max) {
      return std::uniform_int_distribution<int>(Min, Max)(Random);
    };
    auto Rate = std::array{316.0, 120.0, 40.0}[Seed % 3];
    AllowanceFleet Fleet({organisation(Rate)}, NodeCount, Seed);
    Fleet.HasParts = HasParts;
    Fleet.HasExchange = HasParts;
    for (std::size_t I = 0; I < NodeCount; ++I)
      Fleet.restart(I);
    for (int Turn = 0; Turn < 20; ++Turn) {
      Fleet.Loss = Draw(0, 2) * 0.1;
      Fleet.MaxDelay = Draw(1, 15);
      switch (Draw(0, 3)) {
      case 0:
        Fleet.Cut.clear();
        for (int I = 0; I < Draw(0, 30); ++I)
          Fleet.Cut.insert(static_cast<std::size_t>(Draw(0, NodeCount - 1)));
        break;
      case 1:
        Fleet.Cut.clear();
        break;
      case 2:
        for (int I = Draw(0, 5); I < static_cast<int>(NodeCount); I += 3)
          Fleet.restart(static_cast<std::size_t>(I));
        break;
      default:
        break;
      }
      auto Nodes = static_cast<std::size_t>(Draw(0, 2) == 0 ? Draw(1, 20) : 60);
      auto Factor = Draw(0, 2) == 0 ? Draw(2, 8) : 1;
      Fleet.run(Milliseconds(Draw(200, 6000)), demand(Factor, Nodes));
    }
    Worst = std::max(Worst, worstWindow(Fleet.count("a"), Rate));
  }
  if (HasParts)
    CHECK(Worst < 1);
  else
    CHECK(Worst > 2); // each node grants the whole allowance
}

TEST_CASE("Allowances give back what was refused later") {
  FakeClock Clock;
  auto Entry = organisation(10);
  Allowances Parts(1);
  Parts.setFleetSize(1);
  CHECK_FALSE(Parts.take(Entry, Clock.now()));
  Clock.advance(seconds(2));
  int Granted = 0;
  while (!Parts.take(Entry, Clock.now()))
    ++Granted;
  CHECK(Granted >= 10);
  CHECK(Granted <= 13);
  Parts.giveBack(Entry.Name, Clock.now());
  Parts.giveBack(Entry.Name, Clock.now());
  CHECK_FALSE(Parts.take(Entry, Clock.now()));
  Parts.giveBack(Organisation("unknown"), Clock.now());
}

TEST_CASE("Allowances tell a refused client when there is room") {
  FakeClock Clock;
  auto Entry = organisation(2);
  Allowances Parts(1);
  Parts.setFleetSize(10); // room for one request in 5 s
  std::optional<Milliseconds> Delay;
  while (!Delay)
    Delay = Parts.take(Entry, Clock.now());
  std::set<Milliseconds> Delays;
  for (int I = 0; I < 50; ++I) {
    Delays.insert(*Parts.take(Entry, Clock.now()));
    CHECK(*Delays.begin() >= Milliseconds(250));
    CHECK(*Delays.rbegin() <= seconds(15));
  }
  CHECK(Delays.size() > 20);
  Parts.onFleetUse({{Entry.Name, 20}}, 10, Clock.now());
  CHECK(*Parts.take(Entry, Clock.now()) > *Delays.begin());
}

TEST_CASE("Allowances hold state only of organisations with an allowance and "
          "traffic") {
  FakeClock Clock;
  Allowances Parts(1);
  Parts.setFleetSize(1);
  auto Unlimited = organisation(0, "unlimited");
  CHECK_FALSE(Parts.take(Unlimited, Clock.now()));
  CHECK(Parts.size() == 0);
  CHECK_FALSE(Parts.take(organisation(5, "a"), Clock.now()));
  CHECK_FALSE(Parts.take(organisation(5, "b"), Clock.now()));
  CHECK(Parts.report(Clock.now()).size() == 2);
  Parts.onFleetUse({{Organisation("c"), 100}}, 1, Clock.now());
  CHECK(Parts.size() == 2);
  Parts.setPolicy(Organisations({organisation(5, "a")}), Clock.now());
  CHECK(Parts.size() == 1);
  Clock.advance(seconds(31));
  CHECK(Parts.report(Clock.now()).empty());
  CHECK(Parts.size() == 0);
}

TEST_CASE("Allowances pass one request before the fleet is known") {
  FakeClock Clock;
  auto Entry = organisation(50);
  Allowances Parts(1);
  CHECK_FALSE(Parts.take(Entry, Clock.now()));
  CHECK(Parts.take(Entry, Clock.now()));
  Parts.setFleetSize(5);
  Clock.advance(seconds(1));
  CHECK_FALSE(Parts.take(Entry, Clock.now()));
}

TEST_CASE("OrganisationUseSums count a silent node with its part, and a "
          "leaving one not at all") {
  FakeClock Clock;
  Organisation Name("a");
  Organisations InForce({organisation(100)});
  OrganisationUseSums Sums;
  Sums.record(NodeId("1"), {{Name, 40}}, Clock.now());
  Sums.record(NodeId("2"), {{Name, 40}}, Clock.now());
  Sums.recordDomain(FailureDomain("b"), {2, {{Name, 20}}}, Clock.now());
  CHECK(Sums.hasChanged(InForce, Clock.now()));
  auto Asked = [&]() {
    auto Sum = Sums.fleetSum(InForce, Clock.now());
    return Sum.Uses.empty() ? 0 : Sum.Uses.front().Asked;
  };
  CHECK(Asked() == Approx(100));
  CHECK_FALSE(Sums.hasChanged(InForce, Clock.now()));
  CHECK(Sums.domainSum(Clock.now()).Nodes == 2);
  // The part of 0.4 that node 2 holds stays, whatever the others ask.
  Sums.record(NodeId("2"), {{Name, 40}}, Clock.now());
  Clock.advance(seconds(2));
  Sums.record(NodeId("1"), {{Name, 80}}, Clock.now());
  for (int I = 0; I < 20; ++I) {
    Sums.recordDomain(FailureDomain("b"), {2, {{Name, 40}}}, Clock.now());
    (void)Asked();
  }
  CHECK(Asked() == Approx(120 / 0.6).epsilon(0.01));
  Sums.remove(NodeId("2"));
  CHECK(Asked() == Approx(120));
  // A sum that lacks nodes is believed after a while only.
  Sums.recordDomain(FailureDomain("b"), {1, {{Name, 1}}}, Clock.now());
  CHECK(Asked() == Approx(120));
  Clock.advance(seconds(4));
  Sums.recordDomain(FailureDomain("b"), {1, {{Name, 30}}}, Clock.now());
  Sums.record(NodeId("1"), {{Name, 80}}, Clock.now());
  CHECK(Asked() == Approx(110));
  Clock.advance(seconds(21));
  CHECK(Sums.fleetSum(InForce, Clock.now()).Nodes == 0);
}
