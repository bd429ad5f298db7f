#include "limpetdrum/request/Router.h"
#include "FakeClock.h"

#include <catch2/catch.hpp>
#include <map>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

std::vector<RouteCandidate> candidates(int Count) {
  std::vector<RouteCandidate> All;
  for (int I = 0; I < Count; ++I)
    All.push_back({NodeId("n" + std::to_string(I)),
                   FailureDomain("d" + std::to_string(I % 3)), Region("home")});
  return All;
}

void fail(Router &R, const NodeId &Node, int Times, const FakeClock &Clock) {
  for (int I = 0; I < Times; ++I) {
    R.begin(Node);
    R.end(Node, CallResult::Failed, Milliseconds(1), Clock.now());
  }
}

} // namespace

TEST_CASE("Router prefers a node with lower latency", "[router]") {
  FakeClock Clock;
  Router R(FailureDomain("x"), Region("home"), 1);
  auto All = candidates(2);
  std::map<NodeId, int> Counts;
  for (int I = 0; I < 500; ++I) {
    auto Node = *R.pick(All, {}, Clock.now());
    ++Counts[Node];
    auto Latency = Node == NodeId("n0") ? Milliseconds(50) : Milliseconds(5);
    R.end(Node, CallResult::Served, Latency, Clock.now());
  }
  CHECK(Counts[NodeId("n1")] > 2 * Counts[NodeId("n0")]);
}

TEST_CASE("Router prefers its own failure domain among equal nodes",
          "[router]") {
  FakeClock Clock;
  Router R(FailureDomain("d1"), Region("home"), 1);
  std::map<NodeId, int> Counts;
  for (int I = 0; I < 600; ++I) {
    auto Node = *R.pick(candidates(3), {}, Clock.now());
    ++Counts[Node];
    R.end(Node, CallResult::Served, Milliseconds(5), Clock.now());
  }
  CHECK(Counts[NodeId("n1")] > Counts[NodeId("n0")]);
  CHECK(Counts[NodeId("n1")] > Counts[NodeId("n2")]);
}

TEST_CASE(
    "Router ejects a failing node and readmits it with one call at a time",
    "[router]") {
  FakeClock Clock;
  Router R(FailureDomain("x"), Region("home"), 1);
  NodeId Failing("n0");
  fail(R, Failing, 5, Clock);
  CHECK(R.isEjected(Failing, Clock.now()));
  for (int I = 0; I < 50; ++I) {
    auto Node = *R.pick(candidates(4), {}, Clock.now());
    CHECK(Node != Failing);
    R.end(Node, CallResult::Served, Milliseconds(5), Clock.now());
  }
  Clock.advance(Milliseconds(1500));
  CHECK_FALSE(R.isEjected(Failing, Clock.now()));
  R.begin(Failing);
  CHECK(R.isEjected(Failing, Clock.now()));
  R.end(Failing, CallResult::Served, Milliseconds(5), Clock.now());
  R.begin(Failing);
  CHECK_FALSE(R.isEjected(Failing, Clock.now()));
}

TEST_CASE("Router uses all nodes when most of them are ejected", "[router]") {
  FakeClock Clock;
  Router R(FailureDomain("x"), Region("home"), 1);
  auto All = candidates(4);
  for (int I = 0; I < 3; ++I)
    fail(R, All[static_cast<std::size_t>(I)].Node, 5, Clock);
  std::map<NodeId, int> Counts;
  for (int I = 0; I < 200; ++I)
    ++Counts[*R.pick(All, {}, Clock.now())];
  CHECK(Counts.size() == 4);
}

TEST_CASE("Router selects nothing when all candidates are excluded",
          "[router]") {
  FakeClock Clock;
  Router R(FailureDomain("x"), Region("home"), 1);
  CHECK_FALSE(R.pick(candidates(2), {NodeId("n0"), NodeId("n1")}, Clock.now()));
}

TEST_CASE("subset bounds the number of candidates and prefers the nearest",
          "[router]") {
  auto All = candidates(60);
  auto FirstSubset =
      subset(All, NodeId("me"), FailureDomain("d2"), Region("home"), 12);
  REQUIRE(FirstSubset.size() == 12);
  for (const auto &C : FirstSubset)
    CHECK(C.FailureDomain == FailureDomain("d2"));
  // Different callers get different subsets.
  auto SecondSubset =
      subset(All, NodeId("you"), FailureDomain("d2"), Region("home"), 12);
  int Same = 0;
  for (std::size_t I = 0; I < 12; ++I)
    Same += FirstSubset[I].Node == SecondSubset[I].Node ? 1 : 0;
  CHECK(Same < 12);
}
