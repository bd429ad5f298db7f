#include "limpetdrum/request/UsageExchange.h"
#include "FakeClock.h"
#include "limpetdrum/request/DemandModel.h"

#include <catch2/catch.hpp>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

const ServiceName Front("front");
const ServiceName Deep("deep");

TrafficPolicy policy() {
  auto Route = [](const char *Name, const ServiceName &Service) {
    TrafficRoute Of;
    Of.Name = Name;
    Of.Host = "shop.example";
    Of.Prefix = std::string("/") + Name + "/";
    Of.Services = {{Service, 1}};
    return Of;
  };
  return {
      Revision(1), {Route("browse", Front), Route("lookup", Deep)}, {}, {}, ""};
}

/// What the nodes of one failure domain see: a front target that makes four
/// look-ups a run, and a deep one.
std::vector<std::pair<std::string, UsageSummary>>
domain(const std::string &Name, double Load) {
  RouteUsage Browse{
      "browse", 10 * Load, 20 * Load, Milliseconds(100), {{"lookup", 4}}};
  RouteUsage LookupsThere{"lookup", 80 * Load, 0, Milliseconds(0), {}};
  RouteUsage BrowseBeside{"browse", 10 * Load, 0, Milliseconds(0), {}};
  RouteUsage Lookups{"lookup", 0, 80 * Load, Milliseconds(25), {}};
  return {{Name + "1", {Front, 1, {Browse, LookupsThere}}},
          {Name + "2", {Deep, 1, {BrowseBeside, Lookups}}}};
}

struct Node {
  NodeId Name;
  FailureDomain Domain;
};
const std::vector<Node> Fleet = {
    {NodeId("a1"), FailureDomain("a")}, {NodeId("a2"), FailureDomain("a")},
    {NodeId("b1"), FailureDomain("b")}, {NodeId("b2"), FailureDomain("b")},
    {NodeId("b3"), FailureDomain("b")}, {NodeId("c1"), FailureDomain("c")}};

UsageExchange exchange(const Node &Self, const std::string &Gone = "") {
  UsageExchange Of(Self.Name, Self.Domain);
  for (const auto &Other : Fleet)
    if (!(Other.Name == Self.Name) && Other.Name.value() != Gone)
      Of.add(Other.Name, Other.Domain);
  return Of;
}

} // namespace

TEST_CASE("Sums of failure domains tell as much as their nodes") {
  FakeClock Clock;
  DemandModel Whole;
  DemandModel There;
  DemandModel Here;
  for (const auto &[Name, Seen] : domain("a", 1)) {
    Whole.record(NodeId(Name), Seen, Clock.now());
    Here.record(NodeId(Name), Seen, Clock.now());
  }
  for (double Load : {1.0, 3.0})
    for (const auto &[Name, Seen] : domain(Load == 1 ? "b" : "bb", Load)) {
      Whole.record(NodeId(Name), Seen, Clock.now());
      There.record(NodeId(Name), Seen, Clock.now());
    }
  for (auto &Sum : There.summaries(Clock.now()))
    Here.recordDomain(FailureDomain("b"), std::move(Sum), Clock.now());
  auto Policy = policy();
  Whole.update(Policy, Clock.now());
  Here.update(Policy, Clock.now());
  CHECK(Here.offered("browse") == Approx(Whole.offered("browse")));
  CHECK(Here.isCalled("lookup"));
  CHECK_FALSE(Here.isCalled("browse"));
  REQUIRE(Here.costs("browse") != nullptr);
  CHECK(Here.costs("browse")->at(Front) == Approx(0.1));
  CHECK(Here.costs("browse")->at(Deep) ==
        Approx(Whole.costs("browse")->at(Deep)));
  CHECK(Here.costs("browse")->at(Deep) == Approx(4 * 0.025));
}

TEST_CASE("A sum that is told twice counts once, an old one not at all") {
  FakeClock Clock;
  DemandModel Here;
  for (int I = 0; I < 2; ++I)
    for (const auto &[Name, Seen] : domain("b", 1))
      Here.recordDomain(FailureDomain("b"), Seen, Clock.now());
  auto Policy = policy();
  Here.update(Policy, Clock.now());
  CHECK(Here.offered("browse") == Approx(20));
  Clock.advance(std::chrono::seconds(5));
  Here.update(Policy, Clock.now());
  CHECK(Here.offered("browse") == 0);
  CHECK(Here.summaries(Clock.now()).empty());
}

TEST_CASE("One node of each failure domain speaks for it") {
  std::map<FailureDomain, int> Speakers;
  for (const auto &Self : Fleet)
    Speakers[Self.Domain] += exchange(Self).isRepresentative() ? 1 : 0;
  CHECK(Speakers == std::map<FailureDomain, int>{{FailureDomain("a"), 1},
                                                 {FailureDomain("b"), 1},
                                                 {FailureDomain("c"), 1}});
  auto Of = exchange(Fleet[0]);
  CHECK(Of.neighbours() == std::vector<NodeId>{NodeId("a2")});
  CHECK(Of.representatives() ==
        std::vector<NodeId>{NodeId("b1"), NodeId("c1")});
}

TEST_CASE("The next node speaks for a failure domain whose first is gone") {
  CHECK(exchange(Fleet[3], "b1").isRepresentative());
  CHECK_FALSE(exchange(Fleet[4], "b1").isRepresentative());
  CHECK(exchange(Fleet[0], "b1").representatives() ==
        std::vector<NodeId>{NodeId("b2"), NodeId("c1")});
  // The last one speaks for itself.
  CHECK(exchange(Fleet[5]).isRepresentative());
}

TEST_CASE("What crosses between failure domains does not grow with the fleet") {
  std::size_t Messages = 0;
  for (const auto &Self : Fleet) {
    auto Of = exchange(Self);
    Messages += Of.isRepresentative() ? Of.representatives().size() : 0;
  }
  CHECK(Messages == 3 * 2);
}
