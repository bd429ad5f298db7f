#include "limpetdrum/daemon/KeyedCalls.h"
#include "FakeClock.h"
#include "MockPorts.h"

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

Member member(const std::string &Name, const std::string &Domain) {
  Member M;
  M.Node = NodeId(Name);
  M.Incarnation = Incarnation(1);
  M.FailureDomain = FailureDomain(Domain);
  M.Region = Region("home");
  M.Service = ServiceName("ordering");
  M.Target = TargetState::Ready;
  return M;
}

/// A node of a service with one other node, without any I/O.
struct Bench {
  FakeClock Clock;
  Metrics Counters;
  InForce Releases;
  LevelTable Levels;
  Membership Members{member("here", "a"), {}, 1};
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
  KeyedCalls Keyed{Members, Directory, Own, Calls, Releases, Counters, Now};
  unsigned Answers = 0;
  std::vector<HttpClient::Callback> AtTarget;

  Bench() {
    this->Releases.offer(Release);
    this->Members.announce(ServiceName("ordering"), Slots(5),
                           TargetState::Ready);
    this->Own.onAnnounced(ServiceName("ordering"), Slots(5), Milliseconds(0));
    static_cast<void>(
        this->Members.merge({member("there", "b")}, this->Clock.now()));
  }

  /// A key whose home is this node, and whose witness is the other.
  static std::string keyWithHomeHere() {
    std::vector<KeyCandidate> Both = {{NodeId("here"), FailureDomain("a")},
                                      {NodeId("there"), FailureDomain("b")}};
    for (int I = 0;; ++I) {
      auto Name = std::to_string(I);
      auto Key = scopedKey(Tenant(), "/ordering/place", Name);
      if (findKeyNodes(Key, Both)->Home == NodeId("here"))
        return Name;
    }
  }

  void ask(const std::string &Key) {
    CallRequest R;
    R.Spec.Path = "/ordering/place";
    R.Spec.Key = scopedKey(Tenant(), R.Spec.Path, Key);
    R.Spec.TimeLeft = std::chrono::seconds(2);
    R.Spec.Retries = 3;
    R.Runs = RunSemantics::Once;
    R.Service = ServiceName("ordering");
    this->Keyed.start(R, [this](const Reply &Value) {
      this->Answers += Value.Outcome == Outcome::Answered ? 1 : 0;
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

TEST_CASE("KeyedCalls runs a key once when its witness cannot be reached",
          "[keys]") {
  Bench B;
  auto Key = Bench::keyWithHomeHere();
  ALLOW_CALL(B.Peers, execute(_, _, _)).SIDE_EFFECT(_3(refusedConnection()));
  REQUIRE_CALL(B.Target, send(_, _))
      .TIMES(1)
      .LR_SIDE_EFFECT(B.AtTarget.push_back(_2))
      .RETURN(1);
  B.ask(Key);
  B.ask(Key);
  HttpResponse Answer;
  Answer.Outcome = HttpOutcome::Answered;
  Answer.Status = 200;
  B.AtTarget.front()(Answer);
  B.ask(Key);
  CHECK(B.Answers == 3);
}

TEST_CASE("KeyedCalls says unknown of a key whose holder is gone", "[keys]") {
  Bench B;
  auto Key = Bench::keyWithHomeHere();
  KeyRecord Elsewhere;
  Elsewhere.Holder = {NodeId("there"), Incarnation(0)};
  Elsewhere.Expiry = B.Clock.now() + std::chrono::minutes(5);
  B.Keyed.adopt({{scopedKey(Tenant(), "/ordering/place", Key), Elsewhere}});
  FORBID_CALL(B.Target, send(_, _));
  ALLOW_CALL(B.Peers, execute(_, _, _)).SIDE_EFFECT(_3(refusedConnection()));
  B.ask(Key);
  CHECK(B.Answers == 0);
  CHECK(B.Counters.counter("keys_unknown") == 1);
}

TEST_CASE("KeyedCalls of a leaving node takes on no key that it would take "
          "along",
          "[keys]") {
  Bench B;
  ALLOW_CALL(B.Peers, execute(_, _, _));
  B.Own.refuseNewWork();
  B.Keyed.refuseNewKeys();
  AttemptSpec Spec;
  Spec.Path = "/ordering/place";
  Spec.Key = scopedKey(Tenant(), Spec.Path, "k");
  Spec.Role = AttemptRole::Witness;
  Spec.TimeLeft = std::chrono::seconds(2);
  std::optional<Reply> Got;
  B.Keyed.execute(Spec, [&](const Reply &Value) { Got = Value; });
  REQUIRE(Got);
  CHECK(Got->Outcome == Outcome::NotRun);
  CHECK(Got->Reason == Reason::Draining);
  CHECK(B.Keyed.size() == 0);
}

TEST_CASE("KeyedCalls gives the keys of a dead node a second holder again",
          "[keys]") {
  Bench B;
  static_cast<void>(B.Members.merge({member("third", "c")}, B.Clock.now()));
  std::vector<KeyCandidate> All = {{NodeId("here"), FailureDomain("a")},
                                   {NodeId("there"), FailureDomain("b")},
                                   {NodeId("third"), FailureDomain("c")}};
  std::set<std::string> Shared;
  for (int I = 0; I < 200; ++I) {
    auto Key = scopedKey(Tenant(), "/ordering/place", std::to_string(I));
    KeyRecord Record;
    Record.Expiry = B.Clock.now() + std::chrono::minutes(5);
    B.Keyed.adopt({{Key, Record}});
    auto Nodes = findKeyNodes(Key, All);
    if (Nodes->Home != NodeId("third") && Nodes->Witness != NodeId("third"))
      Shared.insert(Key.value());
  }
  REQUIRE(!Shared.empty());
  REQUIRE(Shared.size() < 200);
  auto Lost = member("there", "b");
  Lost.Health = Health::Dead;
  static_cast<void>(B.Members.merge({Lost}, B.Clock.now()));
  std::set<std::string> Given;
  B.Keyed.replaceLost({Lost.Node, Lost.FailureDomain},
                      [&](const Member &To, const auto &Records, auto) {
                        CHECK(To.Node == NodeId("third"));
                        for (const auto &Record : Records)
                          Given.insert(Record.first.value());
                      });
  // Third holds the rest by itself already.
  CHECK(Given == Shared);
}
