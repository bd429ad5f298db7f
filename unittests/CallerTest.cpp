#include "limpetdrum/daemon/Caller.h"
#include "FakeClock.h"
#include "MockPorts.h"
#include "limpetdrum/daemon/Executor.h"

#include <catch2/catch.hpp>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

using trompeloeil::_;

Member member(const std::string &Name) {
  Member M;
  M.Node = NodeId(Name);
  M.Incarnation = Incarnation(1); // all have started at the same moment
  M.FailureDomain = FailureDomain("a");
  M.Region = Region("home");
  return M;
}

/// A node that calls the one node of a service, without any I/O.
struct CallingNode {
  FakeClock Clock;
  Metrics Counters;
  InForce Releases;
  LevelTable Levels;
  Membership Members;
  MockTarget Target;
  MockPeers Peers;
  limpetdrum::Clock Now = [this]() { return this->Clock.now(); };
  Router Routes{FailureDomain("a"), Region("home"), 1};
  Executor Own{
      {Incarnation(1), true, 1}, Target, Releases, Levels, Counters, Now};
  ServiceDirectory Directory{Members};
  Caller Calls{Members,
               Directory,
               Routes,
               Levels,
               Own,
               Peers,
               Counters,
               Now,
               [](Microseconds, std::function<void()>) { return Timer(); }};

  explicit CallingNode(const std::string &Name) : Members{member(Name), {}, 1} {
    auto Callee = member("callee");
    Callee.Service = ServiceName("ordering");
    Callee.Target = TargetState::Ready;
    static_cast<void>(this->Members.merge({Callee}, this->Clock.now()));
  }

  AttemptId firstAttempt() {
    AttemptId Seen;
    ALLOW_CALL(this->Peers, execute(_, _, _)).LR_SIDE_EFFECT(Seen = _2.Id);
    CallRequest R;
    R.Spec.Path = "/ordering/check";
    R.Spec.TimeLeft = std::chrono::seconds(2);
    R.Runs = RunSemantics::Idempotent;
    R.Service = ServiceName("ordering");
    static_cast<void>(this->Calls.start(R, [](const Reply &) {}));
    return Seen;
  }
};

} // namespace

TEST_CASE("Attempts of nodes that started at the same moment differ",
          "[call]") {
  CallingNode One("one");
  CallingNode Two("two");
  auto First = One.firstAttempt();
  REQUIRE(First.Sequence == 1);
  CHECK_FALSE(First == Two.firstAttempt());
  CallingNode Again("one");
  CHECK(First == Again.firstAttempt());
}
