#include "limpetdrum/request/LoadEstimate.h"

#include <catch2/catch.hpp>

using namespace limpetdrum;

namespace {

const ServiceName Shop("shop");
const FailureDomain Near("near");
const FailureDomain Far("far");
const FailureDomain Unlinked("unlinked");

NodeStatus load(std::uint32_t Running, std::uint32_t Queued) {
  NodeStatus Status;
  Status.Limit = 10;
  Status.Running = Running;
  Status.Queued = Queued;
  Status.ServiceTime = Milliseconds(50);
  return Status;
}

/// Ten members in each failure domain, of which eight near ones and two far
/// ones are linked.
LoadEstimate estimate(const NodeStatus &NearLoad, const NodeStatus &FarLoad) {
  LoadEstimate Result;
  for (int I = 0; I < 10; ++I) {
    Result.addMember(Shop, Near);
    Result.addMember(Shop, Far);
    if (I < 8)
      Result.addSample(Shop, Near, NearLoad, true);
    if (I < 2)
      Result.addSample(Shop, Far, FarLoad, true);
  }
  return Result;
}

} // namespace

TEST_CASE("LoadEstimate weights failure domains by members, not by links") {
  auto Total = estimate(load(10, 5), load(2, 0)).total().at(Shop);
  CHECK(Total.Limit == Approx(200));
  CHECK(Total.Running == Approx(100 + 20));
  CHECK(Total.Queued == Approx(50));
  CHECK(Total.QueuedWork == Approx(50 * 0.05));
}

TEST_CASE("LoadEstimate assumes the mean where no member is linked") {
  auto Estimate = estimate(load(10, 0), load(10, 0));
  for (int I = 0; I < 10; ++I)
    Estimate.addMember(Shop, Unlinked);
  CHECK(Estimate.total().at(Shop).Limit == Approx(300));
  CHECK(Estimate.total().at(Shop).Running == Approx(300));
}

TEST_CASE("LoadEstimate counts members that take no requests as no capacity") {
  LoadEstimate Estimate;
  for (int I = 0; I < 4; ++I) {
    Estimate.addMember(Shop, Near);
    if (I < 2)
      Estimate.addSample(Shop, Near, load(10, 0), I == 0);
  }
  CHECK(Estimate.total().at(Shop).Limit == Approx(20));
  // A service of which nothing is known has no load.
  LoadEstimate Unknown;
  Unknown.addMember(Shop, Near);
  CHECK(Unknown.total().empty());
}
