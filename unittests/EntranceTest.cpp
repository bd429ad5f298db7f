#include "limpetdrum/daemon/Entrance.h"
#include "DaemonNode.h"

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

/// A node without a target, beside one whose target serves `ordering`.
struct EntranceNode : DaemonNode {
  KeyedCalls Keyed{Members,  Directory, LocalExecutor, Calls, Releases,
                   Counters, Now};
  Entrance Requests{{},     LocalExecutor, Calls,    Keyed,
                    Levels, Releases,      Counters, Now};

  EntranceNode()
      : DaemonNode(makeMember("here", "a"), makeOrderingMember("there", "a")) {
    this->Releases.offer(Release);
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
