#include "limpetdrum/daemon/Entrance.h"
#include "FakeClock.h"
#include "MockPorts.h"

#include <catch2/catch.hpp>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

using trompeloeil::_;

constexpr const char *Release = R"(revision: 1
classes: [{name: check, importance: 1}]
services:
  - name: ordering
    routes: [{path: /ordering/check, class: check, method: GET}]
)";

Member member(const std::string &Name) {
  Member M;
  M.Node = NodeId(Name);
  M.Incarnation = Incarnation(1);
  M.FailureDomain = FailureDomain("a");
  M.Region = Region("home");
  return M;
}

/// A node without a target, and one other node, whose target serves a service.
struct EntranceNode {
  FakeClock Clock;
  Metrics Counters;
  InForce Releases;
  LevelTable Levels;
  Membership Members{member("here"), {}, 1};
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
  KeyedCalls Keyed{Members,  Directory, LocalExecutor, Calls, Releases,
                   Counters, Now};
  Entrance Requests{{},     LocalExecutor, Calls,    Keyed,
                    Levels, Releases,      Counters, Now};

  EntranceNode() {
    this->Releases.offer(Release);
    auto Other = member("there");
    Other.Service = ServiceName("ordering");
    Other.Target = TargetState::Ready;
    Other.Slots = Slots(5);
    static_cast<void>(this->Members.merge({Other}, this->Clock.now()));
  }

  /// \returns true if the request was answered at once.
  bool request() {
    HttpRequest Message;
    Message.Method = "GET";
    Message.Target = "/ordering/check";
    auto Exchange = std::make_shared<HttpExchange>(
        Message, std::weak_ptr<HttpServerConnection>());
    this->Requests.onClientRequest(Exchange);
    return !Exchange->isOpen();
  }
};

} // namespace

// Guards against requests that are passed on during the last moments of a
// process, and cut by its end.
TEST_CASE("Entrance passes nothing on once it is closed", "[call]") {
  EntranceNode Node;
  {
    REQUIRE_CALL(Node.Peers, execute(_, _, _));
    CHECK_FALSE(Node.request());
  }
  Node.Requests.close();
  FORBID_CALL(Node.Peers, execute(_, _, _));
  CHECK(Node.request());
  CHECK(Node.Requests.openRequests() == 1);
}
