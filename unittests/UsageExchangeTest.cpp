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
    TrafficRoute Result;
    Result.Name = Name;
    Result.Host = "shop.example";
    Result.Prefix = std::string("/") + Name + "/";
    Result.Services = {{Service, 1}};
    return Result;
  };
  return {
      Revision(1), {Route("browse", Front), Route("lookup", Deep)}, {}, {}, ""};
}

/// Returns the usage observed by the nodes of one failure domain: one with a
/// front target, whose runs make four look-ups each, and one with a deep
/// target.
std::vector<std::pair<std::string, UsageSummary>>
domain(const std::string &Name, double Load) {
  RouteUsage Browse{
      "browse", 10 * Load, 20 * Load, Milliseconds(100), {{"lookup", 4}}};
  RouteUsage LookupArrivals{"lookup", 80 * Load, 0, Milliseconds(0), {}};
  RouteUsage BrowseArrivals{"browse", 10 * Load, 0, Milliseconds(0), {}};
  RouteUsage Lookups{"lookup", 0, 80 * Load, Milliseconds(25), {}};
  return {{Name + "1", {Front, 1, {Browse, LookupArrivals}}},
          {Name + "2", {Deep, 1, {BrowseArrivals, Lookups}}}};
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
  UsageExchange Exchange(Self.Name, Self.Domain);
  for (const auto &Other : Fleet)
    if (!(Other.Name == Self.Name) && Other.Name.value() != Gone)
      Exchange.add(Other.Name, Other.Domain);
  return Exchange;
}

} // namespace

TEST_CASE(
    "DemandModel gives the same results for domain sums as for single nodes") {
  FakeClock Clock;
  DemandModel Whole;
  DemandModel Remote;
  DemandModel Local;
  for (const auto &[Name, Usage] : domain("a", 1)) {
    Whole.record(NodeId(Name), Usage, Clock.now());
    Local.record(NodeId(Name), Usage, Clock.now());
  }
  for (double Load : {1.0, 3.0})
    for (const auto &[Name, Usage] : domain(Load == 1 ? "b" : "bb", Load)) {
      Whole.record(NodeId(Name), Usage, Clock.now());
      Remote.record(NodeId(Name), Usage, Clock.now());
    }
  for (auto &Sum : Remote.summaries(Clock.now()))
    Local.recordDomain(FailureDomain("b"), std::move(Sum), Clock.now());
  auto Policy = policy();
  Whole.update(Policy, Clock.now());
  Local.update(Policy, Clock.now());
  CHECK(Local.offered("browse") == Approx(Whole.offered("browse")));
  CHECK(Local.isInternalRoute("lookup"));
  CHECK_FALSE(Local.isInternalRoute("browse"));
  REQUIRE(Local.costs("browse") != nullptr);
  CHECK(Local.costs("browse")->at(Front) == Approx(0.1));
  CHECK(Local.costs("browse")->at(Deep) ==
        Approx(Whole.costs("browse")->at(Deep)));
  CHECK(Local.costs("browse")->at(Deep) == Approx(4 * 0.025));
}

TEST_CASE(
    "DemandModel counts a repeated domain sum once and expires old ones") {
  FakeClock Clock;
  DemandModel Local;
  for (int I = 0; I < 2; ++I)
    for (const auto &[Name, Usage] : domain("b", 1))
      Local.recordDomain(FailureDomain("b"), Usage, Clock.now());
  auto Policy = policy();
  Local.update(Policy, Clock.now());
  CHECK(Local.offered("browse") == Approx(20));
  Clock.advance(std::chrono::seconds(5));
  Local.update(Policy, Clock.now());
  CHECK(Local.offered("browse") == 0);
  CHECK(Local.summaries(Clock.now()).empty());
}

TEST_CASE("UsageExchange has one representative per failure domain") {
  std::map<FailureDomain, int> Representatives;
  for (const auto &Self : Fleet)
    Representatives[Self.Domain] += exchange(Self).isRepresentative() ? 1 : 0;
  CHECK(Representatives ==
        std::map<FailureDomain, int>{{FailureDomain("a"), 1},
                                     {FailureDomain("b"), 1},
                                     {FailureDomain("c"), 1}});
  auto Exchange = exchange(Fleet[0]);
  CHECK(Exchange.neighbours() == std::vector<NodeId>{NodeId("a2")});
  CHECK(Exchange.representatives() ==
        std::vector<NodeId>{NodeId("b1"), NodeId("c1")});
}

TEST_CASE("UsageExchange replaces a representative that is gone") {
  CHECK(exchange(Fleet[3], "b1").isRepresentative());
  CHECK_FALSE(exchange(Fleet[4], "b1").isRepresentative());
  CHECK(exchange(Fleet[0], "b1").representatives() ==
        std::vector<NodeId>{NodeId("b2"), NodeId("c1")});
  // The only node of a failure domain represents it.
  CHECK(exchange(Fleet[5]).isRepresentative());
}

TEST_CASE(
    "UsageExchange traffic between failure domains does not grow with the "
    "number of nodes") {
  std::size_t Messages = 0;
  for (const auto &Self : Fleet) {
    auto Exchange = exchange(Self);
    Messages +=
        Exchange.isRepresentative() ? Exchange.representatives().size() : 0;
  }
  CHECK(Messages == 3 * 2);
}
