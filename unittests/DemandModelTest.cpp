#include "limpetdrum/request/DemandModel.h"
#include "FakeClock.h"

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

TEST_CASE("DemandModel uses a fleet sum in place of the reports it contains") {
  FakeClock Clock;
  DemandModel Holder;
  DemandModel Node;
  for (const auto &[Name, Usage] : domain("a", 1)) {
    Holder.record(NodeId(Name), Usage, Clock.now());
    Node.record(NodeId(Name), Usage, Clock.now());
  }
  for (const auto &[Name, Usage] : domain("b", 3))
    Holder.recordDomain(FailureDomain("b"), Usage, Clock.now());
  for (auto &Sum : Holder.fleetSummaries(Clock.now()))
    Node.recordFleet(std::move(Sum), Clock.now());
  auto Policy = policy();
  Holder.update(Policy, Clock.now());
  Node.update(Policy, Clock.now());
  CHECK(Node.offered("browse") == Approx(20 + 60));
  CHECK(Node.offered("browse") == Approx(Holder.offered("browse")));
  CHECK(Node.costs("browse")->at(Deep) ==
        Approx(Holder.costs("browse")->at(Deep)));
  // Without fresh sums, the node falls back to what it knows itself.
  Clock.advance(std::chrono::seconds(5));
  for (const auto &[Name, Usage] : domain("a", 1))
    Node.record(NodeId(Name), Usage, Clock.now());
  Node.update(Policy, Clock.now());
  CHECK(Node.offered("browse") == Approx(20));
}
