#include "limpetdrum/daemon/KeyedCalls.h"
#include "DaemonNode.h"

#include <catch2/catch.hpp>
#include <set>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

using trompeloeil::_;

constexpr const char *Release = R"(revision: 1
classes: [{name: order, importance: 1}]
services:
  - name: ordering
    routes: [{path: /ordering/place, class: order, runs: once}]
)";

/// A node of a service with one other node, without I/O.
struct KeyedNode : DaemonNode {
  KeyedCalls Keyed{Members,  Directory, LocalExecutor, Calls, Releases,
                   Counters, Now};
  unsigned AnsweredCount = 0;
  std::vector<HttpClient::Callback> TargetCallbacks;

  KeyedNode()
      : DaemonNode(makeOrderingMember("here", "a"),
                   makeOrderingMember("there", "b")) {
    this->Releases.offer(Release);
    this->Members.announce(ServiceName("ordering"), Slots(5),
                           TargetState::Ready);
    this->LocalExecutor.onAnnounced(ServiceName("ordering"), Slots(5),
                                    Milliseconds(0));
  }

  /// Returns a client key whose home is this node and whose witness is the
  /// other.
  static std::string keyWithHomeHere() {
    std::vector<KeyCandidate> Both = {{NodeId("here"), FailureDomain("a")},
                                      {NodeId("there"), FailureDomain("b")}};
    for (int I = 0;; ++I) {
      auto Name = std::to_string(I);
      auto Key = scopedKey(Organisation(), "/ordering/place", Name);
      if (findKeyNodes(Key, Both)->Home == NodeId("here"))
        return Name;
    }
  }

  void startCall(const std::string &Key) {
    CallRequest R;
    R.Spec.Path = "/ordering/place";
    R.Spec.Key = scopedKey(Organisation(), R.Spec.Path, Key);
    R.Spec.TimeLeft = std::chrono::seconds(2);
    R.Spec.Retries = 3;
    R.Runs = RunSemantics::Once;
    R.Service = ServiceName("ordering");
    this->Keyed.start(R, [this](const Reply &Value) {
      this->AnsweredCount += Value.Outcome == Outcome::Answered ? 1 : 0;
    });
  }
};

PeerResult refusedConnection() {
  PeerResult Lost;
  Lost.Kind = PeerResult::Kind::Lost;
  Lost.HandedOver = false;
  return Lost;
}

} // namespace

// Without a reachable witness, requests for a key go directly to its home,
// which must attach or replay instead of running the key again.
TEST_CASE("KeyedCalls runs a key once when its witness cannot be reached",
          "[keys]") {
  KeyedNode Node;
  auto Key = KeyedNode::keyWithHomeHere();
  ALLOW_CALL(Node.Peers, execute(_, _, _)).SIDE_EFFECT(_3(refusedConnection()));
  REQUIRE_CALL(Node.Target, send(_, _))
      .TIMES(1)
      .LR_SIDE_EFFECT(Node.TargetCallbacks.push_back(_2))
      .RETURN(1);
  Node.startCall(Key);
  Node.startCall(Key);
  HttpResponse Answer;
  Answer.Outcome = HttpOutcome::Answered;
  Answer.Status = 200;
  Node.TargetCallbacks.front()(Answer);
  Node.startCall(Key);
  CHECK(Node.AnsweredCount == 3);
}

// An earlier incarnation of the holder may have run the key, so that neither a
// new run nor the outcome "not run" is safe.
TEST_CASE("KeyedCalls replies unknown to a key whose holder is gone",
          "[keys]") {
  KeyedNode Node;
  auto Key = KeyedNode::keyWithHomeHere();
  KeyRecord Record;
  Record.Holder = {NodeId("there"), Incarnation(0)};
  Record.Expiry = Node.Clock.now() + std::chrono::minutes(5);
  Node.Keyed.adopt(
      {{scopedKey(Organisation(), "/ordering/place", Key), Record}});
  FORBID_CALL(Node.Target, send(_, _));
  ALLOW_CALL(Node.Peers, execute(_, _, _)).SIDE_EFFECT(_3(refusedConnection()));
  Node.startCall(Key);
  CHECK(Node.AnsweredCount == 0);
  CHECK(Node.Counters.counter("keys_unknown") == 1);
}

// A node that is killed and restarted at the same address within a moment
// receives the attempts that its callers send again after the lost connection.
// The earlier incarnation may have run them.
TEST_CASE("KeyedCalls runs no attempt addressed to an earlier incarnation",
          "[keys]") {
  KeyedNode Node;
  ALLOW_CALL(Node.Peers, execute(_, _, _));
  FORBID_CALL(Node.Target, send(_, _));
  AttemptSpec Spec;
  Spec.Path = "/ordering/place";
  Spec.Key = scopedKey(Organisation(), Spec.Path, KeyedNode::keyWithHomeHere());
  Spec.Executor = Incarnation(0);
  Spec.TimeLeft = std::chrono::seconds(2);
  for (auto Role : {AttemptRole::Execute, AttemptRole::Witness}) {
    Spec.Role = Role;
    std::optional<Reply> Received;
    Node.Keyed.execute(Spec, [&](const Reply &Value) { Received = Value; });
    REQUIRE(Received);
    CHECK(Received->Outcome == Outcome::Unknown);
    CHECK(Received->Reason == Reason::NodeGone);
    CHECK(Node.Keyed.size() == 0);
  }
}

// A record that a leaving node makes after its hand-over would be lost with it.
TEST_CASE("KeyedCalls of a leaving node refuses a new key without recording it",
          "[keys]") {
  KeyedNode Node;
  ALLOW_CALL(Node.Peers, execute(_, _, _));
  Node.LocalExecutor.refuseNewWork();
  Node.Keyed.refuseNewKeys();
  AttemptSpec Spec;
  Spec.Path = "/ordering/place";
  Spec.Key = scopedKey(Organisation(), Spec.Path, "k");
  Spec.Role = AttemptRole::Witness;
  Spec.Executor = Incarnation(1);
  Spec.TimeLeft = std::chrono::seconds(2);
  std::optional<Reply> Received;
  Node.Keyed.execute(Spec, [&](const Reply &Value) { Received = Value; });
  REQUIRE(Received);
  CHECK(Received->Outcome == Outcome::NotRun);
  CHECK(Received->Reason == Reason::Draining);
  CHECK(Node.Keyed.size() == 0);
}

// A key that was recorded at a dead node and here has one record left; without
// a second holder, the loss of this node would let the key run again.
TEST_CASE(
    "KeyedCalls restores the second holder of keys shared with a dead node",
    "[keys]") {
  KeyedNode Node;
  static_cast<void>(
      Node.Members.merge({makeOrderingMember("third", "c")}, Node.Clock.now()));
  std::vector<KeyCandidate> All = {{NodeId("here"), FailureDomain("a")},
                                   {NodeId("there"), FailureDomain("b")},
                                   {NodeId("third"), FailureDomain("c")}};
  std::set<std::string> Shared;
  for (int I = 0; I < 200; ++I) {
    auto Key = scopedKey(Organisation(), "/ordering/place", std::to_string(I));
    KeyRecord Record;
    Record.Expiry = Node.Clock.now() + std::chrono::minutes(5);
    Node.Keyed.adopt({{Key, Record}});
    auto Nodes = findKeyNodes(Key, All);
    if (Nodes->Home != NodeId("third") && Nodes->Witness != NodeId("third"))
      Shared.insert(Key.value());
  }
  REQUIRE(!Shared.empty());
  REQUIRE(Shared.size() < 200);
  auto Lost = makeOrderingMember("there", "b");
  Lost.Health = Health::Dead;
  static_cast<void>(Node.Members.merge({Lost}, Node.Clock.now()));
  std::set<std::string> Sent;
  Node.Keyed.replaceLost(
      {Lost.Node, Lost.FailureDomain},
      [&](const Member &Receiver, const auto &Records, auto) {
        CHECK(Receiver.Node == NodeId("third"));
        for (const auto &Record : Records)
          Sent.insert(Record.first.value());
      });
  // The third node already holds the records of the other keys.
  CHECK(Sent == Shared);
}
