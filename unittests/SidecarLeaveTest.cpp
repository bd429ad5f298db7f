#include "SidecarFixture.h"

#include <catch2/catch.hpp>

using namespace limpetdrum;
using namespace limpetdrum::test;

// Guards against a leaving node that runs attempts of other nodes in the last
// moments of its process and cuts them when it ends.
TEST_CASE("Sidecar ends no run that another node waits for when it leaves",
          "[rpc]") {
  SidecarFixture Fixture;
  std::size_t Replied = 0;
  std::size_t NotRun = 0;
  std::size_t Broken = 0;
  auto OnResult = [&](const MeshResult &Result) {
    if (Result.Kind == MeshResult::Kind::Suspected)
      return;
    if (Result.Kind != MeshResult::Kind::Replied)
      ++Broken;
    else if (Result.Reply.Outcome == Outcome::NotRun)
      ++NotRun;
    else
      ++Replied;
  };
  std::size_t Sent = 0;
  auto Send = [&]() {
    MeshAttempt Attempt;
    Attempt.RequestId = "r" + std::to_string(++Sent);
    Attempt.Request.Method = "POST";
    Attempt.Request.Target = "/orders/1";
    Attempt.Request.Headers = {{HeaderNames().RequestId, Attempt.RequestId}};
    Attempt.TimeLeft = Milliseconds(3000);
    Attempt.TargetId = "t1";
    (void)Fixture.Peer.call(NodeId("ordering-1"), std::move(Attempt), OnResult);
  };
  Fixture.Process->leave();
  // The schedule lets an idle process end after 2.5 s. The node is idle between
  // two runs, and each run takes longer than the end of the process.
  Fixture.wait(Milliseconds(2400));
  while (!Fixture.HasLeft) {
    Send();
    Fixture.wait(Fixture.RunTime + Milliseconds(60));
  }
  Fixture.wait(Milliseconds(300));
  CHECK(Fixture.HasLeft);
  CHECK(Broken == 0);
  CHECK(Fixture.StartedRuns == Replied);
}

TEST_CASE("Sidecar tells the other nodes that it refuses runs before it ends",
          "[rpc]") {
  SidecarFixture Fixture;
  REQUIRE(Fixture.status() != nullptr);
  CHECK_FALSE(Fixture.status()->RefusesRuns);
  Fixture.Process->leave();
  Fixture.waitUntil(
      [&]() { return Fixture.HasLeft || Fixture.status()->RefusesRuns; });
  CHECK_FALSE(Fixture.HasLeft);
  CHECK(Fixture.status()->Leaving);
  // Nodes return the record to the next process, which must not take the
  // target for one that has left.
  CHECK(Fixture.status()->Target.State == TargetState::Ready);
  Fixture.waitUntil([&]() { return Fixture.HasLeft; });
  CHECK(Fixture.HasLeft);
}
