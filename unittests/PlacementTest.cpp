#include "limpetdrum/request/Placement.h"
#include "FakeClock.h"

#include <catch2/catch.hpp>
#include <map>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

struct Service {
  FakeClock Clock;
  Placement Places{FailureDomain("a"), 5};
  std::vector<PlacementCandidate> Candidates = {
      {NodeId("near"), FailureDomain("a"), 0, 20},
      {NodeId("far"), FailureDomain("b"), 0, 20},
      {NodeId("farther"), FailureDomain("c"), 0, 20}};

  std::map<std::string, int> place(int Count, bool Failing = false,
                                   const std::string &FailsAt = "") {
    std::map<std::string, int> Chosen;
    for (int I = 0; I < Count; ++I) {
      auto Node =
          this->Places.pick(this->Candidates, {}, this->Clock.now()).value();
      ++Chosen[Node.value()];
      bool Fails = Failing && Node.value() == FailsAt && I % 2 == 0;
      this->Places.end(Node, Fails ? CallResult::Failed : CallResult::Served,
                       this->Clock.now());
    }
    return Chosen;
  }
};

} // namespace

TEST_CASE("Placement stays in the own failure domain while there is room") {
  Service Of;
  CHECK(Of.place(100)["near"] == 100);
  Of.Candidates[0].Outstanding = 15;
  CHECK(Of.place(100)["near"] == 100);
}

TEST_CASE("Placement leaves a full failure domain for the least loaded") {
  Service Of;
  Of.Candidates[0].Outstanding = 24;
  Of.Candidates[1].Outstanding = 10;
  CHECK(Of.place(100)["farther"] == 100);
}

TEST_CASE("Placement counts its own calls between two reports") {
  Service Of;
  std::map<std::string, int> Chosen;
  for (int I = 0; I < 40; ++I)
    ++Chosen[Of.Places.pick(Of.Candidates, {}, Of.Clock.now())->value()];
  CHECK(Chosen["near"] < 20);
  CHECK(Chosen["far"] > 5);
  CHECK(Chosen["farther"] > 5);
}

TEST_CASE("Placement avoids a target that fails, and tries it again") {
  Service Of;
  (void)Of.place(60, true, "near");
  CHECK(Of.place(20)["near"] == 0);
  Of.Clock.advance(std::chrono::seconds(20));
  CHECK(Of.place(20)["near"] == 20);
}

TEST_CASE("Placement goes nowhere when all have been tried") {
  Service Of;
  CHECK_FALSE(Of.Places.pick(Of.Candidates,
                             {NodeId("near"), NodeId("far"), NodeId("farther")},
                             Of.Clock.now()));
}
