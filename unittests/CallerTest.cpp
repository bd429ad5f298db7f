#include "limpetdrum/daemon/Caller.h"
#include "DaemonNode.h"

#include <catch2/catch.hpp>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

using trompeloeil::_;

/// A node that calls the single node of a service, without I/O.
struct CallingNode : DaemonNode {
  explicit CallingNode(const std::string &Name)
      : DaemonNode(makeMember(Name, "a"), makeOrderingMember("callee", "a")) {}

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
