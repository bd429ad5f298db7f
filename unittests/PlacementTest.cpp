#include "limpetdrum/request/Placement.h"
#include "FakeClock.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

struct PlacementFixture {
  FakeClock Clock;
  Placement Selector{FailureDomain("a"), 5};
  std::vector<PlacementCandidate> Candidates = {
      {NodeId("near"), FailureDomain("a"), 0, 20},
      {NodeId("far"), FailureDomain("b"), 0, 20},
      {NodeId("farther"), FailureDomain("c"), 0, 20}};

  std::map<std::string, int> place(int Count, bool Failing = false,
                                   const std::string &FailingNode = "") {
    std::map<std::string, int> Counts;
    for (int I = 0; I < Count; ++I) {
      auto Node =
          this->Selector.pick(this->Candidates, {}, this->Clock.now()).value();
      ++Counts[Node.value()];
      bool Fails = Failing && Node.value() == FailingNode && I % 2 == 0;
      this->Selector.end(Node, Fails ? CallResult::Failed : CallResult::Served,
                         this->Clock.now());
    }
    return Counts;
  }
};

} // namespace

TEST_CASE("Placement prefers the local failure domain while it has capacity") {
  PlacementFixture Fixture;
  CHECK(Fixture.place(100)["near"] == 100);
  Fixture.Candidates[0].Outstanding = 15;
  CHECK(Fixture.place(100)["near"] == 100);
}

TEST_CASE("Placement leaves a full local domain, by the room elsewhere") {
  PlacementFixture Fixture;
  Fixture.Candidates[0].Outstanding = 24;
  Fixture.Candidates[1].Outstanding = 10;
  auto Counts = Fixture.place(300);
  CHECK(Counts["near"] == 0);
  // Half of the room gets half of the requests at most, but not none.
  CHECK(Counts["far"] <= 75);
  CHECK(Counts["far"] >= 40);
  CHECK(Counts["farther"] == 300 - Counts["far"]);
}

TEST_CASE("Placement counts calls in flight between two load reports") {
  PlacementFixture Fixture;
  std::map<std::string, int> Counts;
  for (int I = 0; I < 40; ++I)
    ++Counts[Fixture.Selector.pick(Fixture.Candidates, {}, Fixture.Clock.now())
                 ->value()];
  CHECK(Counts["near"] < 20);
  CHECK(Counts["far"] > 5);
  CHECK(Counts["farther"] > 5);
}

TEST_CASE("Placement avoids a failing target until its penalty has decayed") {
  PlacementFixture Fixture;
  (void)Fixture.place(60, true, "near");
  CHECK(Fixture.place(20)["near"] == 0);
  Fixture.Clock.advance(std::chrono::seconds(20));
  CHECK(Fixture.place(20)["near"] == 20);
}

TEST_CASE("Placement gives targets what they can serve") {
  PlacementFixture Fixture;
  Fixture.Candidates.resize(1);
  Fixture.Candidates.push_back({NodeId("slow"), FailureDomain("a"), 0, 20});
  Fixture.Candidates.push_back({NodeId("small"), FailureDomain("a"), 0, 10});
  for (auto &Each : Fixture.Candidates)
    Each.ServiceTime = Milliseconds(100);
  Fixture.Candidates[1].ServiceTime = Milliseconds(200);
  auto Counts = Fixture.place(120);
  CHECK(Counts["near"] == 60);
  CHECK(Counts["slow"] == 30);
  CHECK(Counts["small"] == 30);
  Fixture.Candidates[0].Pace = 300;
  Counts = Fixture.place(120);
  CHECK(Counts["near"] == 30);
}

TEST_CASE("Placement gives less to a target that holds its calls") {
  PlacementFixture Fixture;
  Fixture.Candidates[1].FailureDomain = FailureDomain("a");
  std::map<std::string, int> Counts;
  for (int I = 0; I < 40; ++I) {
    auto Node =
        Fixture.Selector.pick(Fixture.Candidates, {}, Fixture.Clock.now())
            .value();
    ++Counts[Node.value()];
    Fixture.Selector.onReport(Node, Fixture.Clock.now());
    if (Node != NodeId("near"))
      Fixture.Selector.end(Node, CallResult::Served, Fixture.Clock.now());
  }
  CHECK(Counts["near"] < 7);
}

TEST_CASE("Placement trusts a report less the older it is") {
  PlacementFixture Fixture;
  Fixture.Candidates = {{NodeId("full"), FailureDomain("a"), 20, 20},
                        {NodeId("half"), FailureDomain("a"), 10, 20}};
  for (auto &Each : Fixture.Candidates) {
    Each.ServiceTime = Milliseconds(100);
    Fixture.Selector.onReport(Each.Node, Fixture.Clock.now());
  }
  auto Fresh = Fixture.place(100)["full"];
  Fixture.Clock.advance(Milliseconds(200));
  auto Older = Fixture.place(100)["full"];
  Fixture.Clock.advance(Milliseconds(1800));
  auto Old = Fixture.place(100)["full"];
  CHECK(Fresh < 20);
  CHECK(Older > Fresh + 10);
  CHECK(Old >= 49);
}

TEST_CASE("Placement uses a failing target once the sound ones are full") {
  PlacementFixture Fixture;
  Fixture.Candidates.resize(2);
  Fixture.Candidates[1].FailureDomain = FailureDomain("a");
  for (int I = 0; I < 60; ++I)
    Fixture.Selector.end(NodeId("near"),
                         I % 4 == 0 ? CallResult::Failed : CallResult::Served,
                         Fixture.Clock.now());
  Fixture.Candidates[1].Outstanding = 15;
  CHECK(Fixture.place(20)["near"] == 0);
  Fixture.Candidates[1].Outstanding = 38;
  CHECK(Fixture.place(20)["near"] > 5);
}

TEST_CASE("Placement selects nothing when all candidates are excluded") {
  PlacementFixture Fixture;
  CHECK_FALSE(Fixture.Selector.pick(
      Fixture.Candidates, {NodeId("near"), NodeId("far"), NodeId("farther")},
      Fixture.Clock.now()));
}

TEST_CASE("Placement explains the choice that it makes") {
  std::mt19937_64 Random(11);
  auto Below = [&](unsigned Bound) {
    return static_cast<unsigned>(Random() % Bound);
  };
  FakeClock Clock;
  Placement Selector(FailureDomain("0"), 5);
  for (int State = 0; State < 1000; ++State) {
    Clock.advance(Milliseconds(Below(300)));
    std::vector<PlacementCandidate> Candidates;
    std::vector<NodeId> Excluded;
    for (unsigned I = Below(12); I > 0; --I) {
      PlacementCandidate Each{NodeId("n" + std::to_string(I)),
                              FailureDomain(std::to_string(I % 3)), Below(60),
                              Below(40)};
      Each.ServiceTime = Milliseconds(Below(400));
      Each.Pace = static_cast<std::uint16_t>(Below(300));
      Each.IsCurrent = I == 1;
      if (Below(2) == 0)
        Selector.onReport(Each.Node, Clock.now());
      if (Below(6) == 0)
        Excluded.push_back(Each.Node);
      Candidates.push_back(Each);
    }
    std::optional<NodeId> Explained;
    const auto &Unchanged = Selector;
    for (int Asked = 0; Asked < 2; ++Asked) {
      Explained.reset();
      for (const auto &Each :
           Unchanged.explain(Candidates, Excluded, Clock.now()))
        if (Each.IsTaken)
          Explained = Each.Candidate.Node;
    }
    auto Picked = Selector.pick(Candidates, Excluded, Clock.now());
    REQUIRE(Picked == Explained);
    if (Picked && Below(3) > 0)
      Selector.end(*Picked,
                   Below(5) == 0 ? CallResult::Failed : CallResult::Served,
                   Clock.now());
  }
}

TEST_CASE("Placement tells what its choice was made from") {
  PlacementFixture Fixture;
  Fixture.Candidates[0].Outstanding = 30;
  for (const auto &Each : Fixture.Candidates)
    Fixture.Selector.onReport(Each.Node, Fixture.Clock.now());
  Fixture.Clock.advance(Milliseconds(10));
  REQUIRE(Fixture.Selector.pick(Fixture.Candidates, {}, Fixture.Clock.now()));
  CHECK(Fixture.Selector.lastChoice().LeavesDomain);
  CHECK(Fixture.Selector.lastChoice().NewsAge == Milliseconds(10));
  Fixture.Candidates[0].Outstanding = 3;
  Fixture.Candidates[1].FailureDomain = FailureDomain("a");
  Fixture.Candidates[1].Outstanding = 1;
  auto Node =
      Fixture.Selector.pick(Fixture.Candidates, {}, Fixture.Clock.now());
  REQUIRE(Node);
  CHECK_FALSE(Fixture.Selector.lastChoice().LeavesDomain);
  CHECK(Fixture.Selector.lastChoice().Unevenness > 1.1);
}
