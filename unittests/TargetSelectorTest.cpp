#include "limpetdrum/daemon/calls/TargetSelector.h"
#include "LocalTargetFixture.h"

#include <catch2/catch.hpp>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

/// A node with its local target and no links.
struct SelectorFixture : LocalTargetFixture {
  EventLoop Loop;
  Contact Self{NodeId("a"), Endpoint{0x7f000001, 1}, FailureDomain("z")};
  Mesh Links{this->Loop, this->Self, Incarnation(1), this->Log, this->Counters};
  TargetSelector Selector{
      {this->Self.Node, this->Self.FailureDomain, 1,
       [](const ServiceName &, const std::vector<NodeId> &) {
         return std::nullopt;
       }},
      this->Loop,
      this->Links,
      this->Target,
      this->Log,
      this->Counters};
  ServiceName Ordering{"ordering"};
};

} // namespace

TEST_CASE("TargetSelector explains without a trace what it selects") {
  SelectorFixture Fixture;
  Fixture.Target.onReport(Fixture.report("t1", 1, 1));
  auto Before = Fixture.Counters.text();
  auto Weighed = Fixture.Selector.explain(Fixture.Ordering, {});
  REQUIRE(Weighed.size() == 1);
  CHECK(Weighed[0].IsTaken);
  NodeStatus Status;
  Fixture.Target.fillStatus(Status);
  CHECK(Weighed[0].Candidate.Limit == Status.Limit);
  CHECK(Fixture.Selector.explain(ServiceName("other"), {}).empty());
  CHECK(Fixture.Selector.explain(Fixture.Ordering, {NodeId("a")}).empty());
  CHECK(Fixture.Counters.text() == Before);
  CHECK(Fixture.Selector.select({"r1", Fixture.Ordering, {}}) ==
        Weighed[0].Candidate.Node);
  CHECK(Fixture.Counters.counter("placements") == 1);
}

TEST_CASE("TargetSelector selects no node that refuses runs") {
  SelectorFixture Fixture;
  Fixture.Target.onReport(Fixture.report("t1", 1, 1));
  REQUIRE(Fixture.Selector.select({"r1", Fixture.Ordering, {}}));
  Fixture.Target.refuseNewWork(Milliseconds(1000));
  CHECK_FALSE(Fixture.Selector.select({"r2", Fixture.Ordering, {}}));
  CHECK_FALSE(Fixture.Selector.hasUntriedNode({"r2", Fixture.Ordering, {}}));
}

TEST_CASE("TargetSelector counts a call to the local target once") {
  SelectorFixture Fixture;
  Fixture.Target.onReport(Fixture.report("t1", 1, 1));
  for (std::uint64_t Call = 1; Call <= 4; ++Call) {
    REQUIRE(Fixture.Selector.select({"r", Fixture.Ordering, {}}));
    Fixture.execute(Call);
  }
  auto Weighed = Fixture.Selector.explain(Fixture.Ordering, {});
  REQUIRE(Weighed.size() == 1);
  CHECK(Weighed[0].Load * Weighed[0].Candidate.Limit == Approx(4));
}
