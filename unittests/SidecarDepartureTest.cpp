#include "SidecarFixture.h"

#include <catch2/catch.hpp>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

/// Returns true if the other node may send requests to the sidecar's target.
bool isInUse(const SidecarFixture &Fixture) {
  return Fixture.status() != nullptr && Fixture.status()->Target.isReady();
}

} // namespace

// Guards against a late report of a target that has left, which is taken for
// news after all processes that knew of the leave have ended.
TEST_CASE("Sidecar takes no report of before a leave after a restart of all",
          "[rpc]") {
  SidecarFixture Fixture;
  REQUIRE(isInUse(Fixture));
  auto State = GENERATE("/t1/left", "/t1/draining");
  REQUIRE(Fixture.report(State) == 200);
  Fixture.restartAll();
  Fixture.wait(Milliseconds(300));
  (void)Fixture.report("/t1/ready");
  Fixture.wait(Milliseconds(300));
  CHECK_FALSE(isInUse(Fixture));
  // The target that follows is used.
  CHECK(Fixture.report("/t2/ready") == 200);
  Fixture.waitUntil([&]() { return isInUse(Fixture); });
  CHECK(isInUse(Fixture));
}

TEST_CASE("Sidecar acknowledges a draining target after a restart of all",
          "[rpc]") {
  SidecarFixture Fixture;
  REQUIRE(Fixture.report("/t1/draining") == 200);
  Fixture.restartAll();
  Fixture.wait(Milliseconds(300));
  CHECK(Fixture.report("/t1/draining") == 200);
  CHECK_FALSE(isInUse(Fixture));
}

// Guards against an acknowledged leave that no process knows of after a restart
// of all.
TEST_CASE("Sidecar acknowledges no leave that it cannot store", "[rpc]") {
  SidecarFixture Fixture;
  auto Leave = GENERATE("/t1/left", "/t1/draining");
  Fixture.Store.stop();
  auto Start = Fixture.Loop.now();
  CHECK(Fixture.report(Leave) == 503);
  auto Waited = Fixture.Loop.now() - Start;
  CHECK(Waited >= Milliseconds(400));
  CHECK(Waited < Milliseconds(900));
  // The target is not used all the same.
  CHECK_FALSE(isInUse(Fixture));
  Fixture.Store.Answers = true;
  Fixture.wait(Milliseconds(250));
  Start = Fixture.Loop.now();
  CHECK(Fixture.report(Leave) == 200);
  CHECK(Fixture.Loop.now() - Start < Milliseconds(200));
  Fixture.restartAll();
  Fixture.wait(Milliseconds(300));
  (void)Fixture.report("/t1/ready");
  Fixture.wait(Milliseconds(300));
  CHECK_FALSE(isInUse(Fixture));
}

// Guards against a leave that the store has lost with its restoration from a
// copy, although the node still knows it.
TEST_CASE("Sidecar stores a leave again if the store is restored", "[rpc]") {
  SidecarFixture Fixture;
  Fixture.waitUntil([&]() { return Fixture.Store.isWatched(); });
  auto Copy = Fixture.Store.Kinds;
  REQUIRE(Fixture.report("/t1/left") == 200);
  bool IsNoticed = GENERATE(true, false);
  if (!IsNoticed)
    Fixture.Store.stop();
  Fixture.wait(Milliseconds(500));
  Fixture.Store.restore(Copy);
  // A lost store is read again after a longer pause than this.
  Fixture.wait(Milliseconds(250));
  Fixture.restartAll();
  Fixture.wait(Milliseconds(300));
  (void)Fixture.report("/t1/ready");
  Fixture.wait(Milliseconds(300));
  CHECK_FALSE(isInUse(Fixture));
}

// Guards against the same at a node that does not watch the store.
TEST_CASE("Sidecar stores a leave again if a linked node loses the store",
          "[rpc]") {
  SidecarFixture Fixture;
  Fixture.linkPeer();
  REQUIRE(Fixture.report("/t1/left") == 200);
  Fixture.Store.Kinds["limpetdrum-departures"].clear();
  Fixture.PeerLostStore = true;
  Fixture.Peer->broadcast();
  Fixture.wait(Milliseconds(300));
  CHECK(Fixture.Store.Kinds["limpetdrum-departures"].size() == 1);
}

TEST_CASE("Sidecar takes reports without the store a while after its start",
          "[rpc]") {
  SidecarFixture Fixture;
  Fixture.Store.Answers = false;
  Fixture.restartAll();
  Fixture.wait(Milliseconds(100));
  CHECK(Fixture.report("/t1/ready") == 503);
  Fixture.wait(Milliseconds(3000));
  CHECK(Fixture.report("/t1/ready") == 200);
}

TEST_CASE("Sidecar drops a target once the store says that it left", "[rpc]") {
  SidecarFixture Fixture;
  REQUIRE(Fixture.report("/t1/left") == 200);
  Fixture.Store.Answers = false;
  Fixture.restartAll();
  Fixture.wait(Milliseconds(3200));
  REQUIRE(Fixture.report("/t1/ready") == 200);
  Fixture.waitUntil([&]() { return isInUse(Fixture); });
  Fixture.Store.Answers = true;
  Fixture.waitUntil([&]() { return !isInUse(Fixture); });
  CHECK_FALSE(isInUse(Fixture));
}
