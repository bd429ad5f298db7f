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
  // The incarnations are equal, as if all had started in the same microsecond.
  M.Incarnation = Incarnation(1);
  M.FailureDomain = FailureDomain("a");
  M.Region = Region("home");
  return M;
}

/// A node that calls the single node of a service, without I/O.
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
  Executor LocalExecutor{
      {Incarnation(1), true, 1}, Target, Releases, Levels, Counters, Now};
  ServiceDirectory Directory{Members};
  Caller Calls{Members,
               Directory,
               Routes,
               Levels,
               LocalExecutor,
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
    AttemptId Sent;
    ALLOW_CALL(this->Peers, execute(_, _, _)).LR_SIDE_EFFECT(Sent = _2.Id);
    CallRequest R;
    R.Spec.Path = "/ordering/check";
    R.Spec.TimeLeft = std::chrono::seconds(2);
    R.Runs = RunSemantics::Idempotent;
    R.Service = ServiceName("ordering");
    static_cast<void>(this->Calls.start(R, [](const Reply &) {}));
    return Sent;
  }
};

} // namespace

// An incarnation is a start time in microseconds, so nodes can have equal ones.
// If their attempts had equal ids as well, the callee would take the attempt of
// one node for that of the other and reply with the wrong answer.
TEST_CASE("Caller gives distinct attempt ids at nodes with equal incarnations",
          "[call]") {
  CallingNode One("one");
  CallingNode Two("two");
  auto First = One.firstAttempt();
  REQUIRE(First.Sequence == 1);
  CHECK_FALSE(First == Two.firstAttempt());
  CallingNode SameName("one");
  CHECK(First == SameName.firstAttempt());
}
