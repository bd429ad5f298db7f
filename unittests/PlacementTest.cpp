#include "limpetdrum/request/Placement.h"
#include "FakeClock.h"

#include <catch2/catch.hpp>
#include <map>

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

TEST_CASE("Placement selects the least loaded target when the local domain is "
          "full") {
  PlacementFixture Fixture;
  Fixture.Candidates[0].Outstanding = 24;
  Fixture.Candidates[1].Outstanding = 10;
  CHECK(Fixture.place(100)["farther"] == 100);
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

TEST_CASE("Placement selects nothing when all candidates are excluded") {
  PlacementFixture Fixture;
  CHECK_FALSE(Fixture.Selector.pick(
      Fixture.Candidates, {NodeId("near"), NodeId("far"), NodeId("farther")},
      Fixture.Clock.now()));
}
