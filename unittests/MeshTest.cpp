#include "limpetdrum/daemon/fleet/Mesh.h"
#include "MeshNode.h"
#include "RawClient.h"

#include <catch2/catch.hpp>
#include <limits>

using namespace limpetdrum;
using namespace limpetdrum::test;

TEST_CASE("Mesh links to an added node only, and calls it", "[rpc]") {
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  MeshNode B(Loop, "b", PortB, 2);
  A.Links.add(contact("b", PortB));
  waitUntil(Loop, [&]() { return reaches(A, "b"); });
  CHECK(reaches(A, "b"));
  // The number of links of a node does not depend on how many call it.
  CHECK(B.Links.peers().empty());
  CallResults Results;
  A.Links.call(NodeId("b"), attempt(), Results.recorder());
  waitUntil(Loop, [&]() { return !Results.All.empty(); });
  REQUIRE(Results.All.size() == 1);
  CHECK(Results.All[0].Kind == MeshResult::Kind::Replied);
  CHECK(Results.All[0].Reply.Body == "b");
}

TEST_CASE("Mesh distinguishes callers with the same incarnation", "[rpc]") {
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  MeshNode C(Loop, "c", PortC, 1);
  MeshNode B(Loop, "b", PortB, 2);
  B.HoldsReplies = true;
  A.Links.add(contact("b", PortB));
  C.Links.add(contact("b", PortB));
  waitUntil(Loop, [&]() { return reaches(A, "b") && reaches(C, "b"); });
  CallResults ResultsOfA;
  CallResults ResultsOfC;
  A.Links.call(NodeId("b"), attempt(), ResultsOfA.recorder());
  waitUntil(Loop, [&]() { return B.Attempts.size() == 1; });
  C.Links.call(NodeId("b"), attempt(), ResultsOfC.recorder());
  waitUntil(Loop, [&]() { return B.Attempts.size() == 2; });
  REQUIRE(B.Attempts.size() == 2);
  B.answer(0);
  waitUntil(Loop, [&]() { return !ResultsOfA.All.empty(); });
  wait(Loop, 20);
  CHECK(ResultsOfA.All.size() == 1);
  CHECK(ResultsOfC.All.empty());
}

TEST_CASE("Mesh accepts the status of a later process with a lower incarnation",
          "[rpc]") {
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  auto B = std::make_unique<MeshNode>(Loop, "b", PortB, 9);
  B->Target.Id = "t1";
  A.Links.add(contact("b", PortB));
  waitUntil(Loop, [&]() { return reaches(A, "b"); });
  B.reset();
  B = std::make_unique<MeshNode>(Loop, "b", PortB, 5);
  B->Target.Id = "t2";
  waitUntil(Loop, [&]() {
    return A.Links.peers().at(NodeId("b")).Status->Target.Id == "t2";
  });
  CHECK(A.Links.peers().at(NodeId("b")).Status->Target.Id == "t2");
}

TEST_CASE("Mesh removes a node whose address is used by another one", "[rpc]") {
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  MeshNode B(Loop, "b", PortB, 2);
  A.Links.add(contact("b", PortB));
  waitUntil(Loop, [&]() { return reaches(A, "b"); });
  A.Links.add(contact("gone", PortB));
  waitUntil(Loop, [&]() { return A.Links.peers().count(NodeId("gone")) == 0; });
  CHECK(A.Links.peers().count(NodeId("gone")) == 0);
  // The link to the node at this address still carries replies.
  CallResults Results;
  A.Links.call(NodeId("b"), attempt(), Results.recorder());
  waitUntil(Loop, [&]() { return !Results.All.empty(); });
  REQUIRE(Results.All.size() == 1);
  CHECK(Results.All[0].Kind == MeshResult::Kind::Replied);
}

TEST_CASE("Mesh reports a sent call as lost and an unsent one as never sent",
          "[rpc]") {
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  CallResults Results;
  {
    MeshNode B(Loop, "b", PortB, 2);
    B.HoldsReplies = true;
    A.Links.add(contact("b", PortB));
    waitUntil(Loop, [&]() { return reaches(A, "b"); });
    A.Links.call(NodeId("b"), attempt(), Results.recorder());
    waitUntil(Loop, [&]() { return !B.Attempts.empty(); });
    REQUIRE(B.Attempts.size() == 1);
  }
  // The call is lost when the next connection, made with or without a retry
  // pause, is refused.
  waitUntil(Loop, [&]() { return !Results.All.empty(); });
  REQUIRE(Results.All.size() == 1);
  CHECK(Results.All[0].Kind == MeshResult::Kind::Lost);
  A.Links.call(NodeId("b"), attempt(), Results.recorder());
  waitUntil(Loop, [&]() { return Results.All.size() == 2; });
  REQUIRE(Results.All.size() == 2);
  CHECK(Results.All[1].Kind == MeshResult::Kind::NeverSent);
}

TEST_CASE("Mesh does not send a call of an earlier process to a later one",
          "[rpc]") {
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  CallResults Results;
  auto B = std::make_unique<MeshNode>(Loop, "b", PortB, 2);
  B->HoldsReplies = true;
  B->Target.Id = "t1";
  A.Links.add(contact("b", PortB));
  waitUntil(Loop, [&]() { return reaches(A, "b"); });
  A.Links.call(NodeId("b"), attempt(), Results.recorder());
  waitUntil(Loop, [&]() { return !B->Attempts.empty(); });
  B.reset();
  B = std::make_unique<MeshNode>(Loop, "b", PortB, 3);
  waitUntil(Loop, [&]() {
    return !Results.All.empty() && !B->RecordFromPeer.Id.empty();
  });
  CHECK(B->Attempts.empty());
  REQUIRE(Results.All.size() == 1);
  CHECK(Results.All[0].Kind == MeshResult::Kind::Lost);
  // Its peers send it the record of the target that it had.
  CHECK(B->RecordFromPeer.Id == "t1");
  A.Links.call(NodeId("b"), attempt(), Results.recorder());
  waitUntil(Loop, [&]() { return Results.All.size() == 2; });
  CHECK(Results.All.back().Kind == MeshResult::Kind::Replied);
}

TEST_CASE("Mesh brings a restarted node the rate that its target named",
          "[rpc]") {
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  MeshNode B(Loop, "b", PortB, 2);
  B.Target.Id = "t1";
  A.Links.add(contact("b", PortB));
  auto RateAtA = [&]() {
    auto Found = A.Links.peers().find(NodeId("b"));
    return Found == A.Links.peers().end() || !Found->second.Status
               ? std::nullopt
               : Found->second.Status->Target.RequestRate;
  };
  waitUntil(Loop, [&]() { return reaches(A, "b"); });
  CHECK_FALSE(RateAtA());
  for (double Rate : {16.5, 0.0}) {
    B.Target.RequestRate = Rate;
    B.Links.broadcast();
    waitUntil(Loop, [&]() { return RateAtA() == Rate; });
    CHECK(RateAtA() == Rate);
  }
}

// Guards against peers that keep an old record of a target while versions
// change quickly: each change sends the load, which postponed the status.
TEST_CASE("Mesh repeats the whole status while the load is sent often",
          "[rpc]") {
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  MeshNode B(Loop, "b", PortB, 2);
  B.Target.Id = "t1";
  A.Links.add(contact("b", PortB));
  waitUntil(Loop, [&]() { return reaches(A, "b"); });
  auto Frequent =
      Loop.every(Milliseconds(150), [&]() { B.Links.broadcastLoad(); });
  B.Target.RequestRate = 2;
  auto RateAtA = [&]() {
    return A.Links.peers().at(NodeId("b")).Status->Target.RequestRate;
  };
  for (int Try = 0; Try < 2 && !RateAtA(); ++Try)
    waitUntil(Loop, [&]() { return RateAtA().has_value(); });
  CHECK(RateAtA() == 2);
}

TEST_CASE("Mesh sends the load without the whole status", "[rpc]") {
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  MeshNode B(Loop, "b", PortB, 2);
  B.Target.Id = "t1";
  A.Links.add(contact("b", PortB));
  waitUntil(Loop, [&]() { return reaches(A, "b"); });
  B.Running = 17;
  auto LastStatus = [&]() { return *A.Links.peers().at(NodeId("b")).Status; };
  waitUntil(Loop, [&]() { return LastStatus().Running == 17; });
  CHECK(LastStatus().Running == 17);
  CHECK(LastStatus().Target.Id == "t1");
}

TEST_CASE("Mesh sends usage to one node and to the linked nodes of a domain",
          "[rpc]") {
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  MeshNode B(Loop, "b", PortB, 2);
  MeshNode C(Loop, "c", PortC, 3);
  A.Links.add(contact("b", PortB));
  A.Links.add(contact("c", PortC));
  waitUntil(Loop, [&]() { return reaches(A, "b") && reaches(A, "c"); });
  MeshUsage Sum;
  Sum.Scope = UsageScope::FailureDomain;
  Sum.FailureDomain = FailureDomain("x");
  Sum.Usage = {ServiceName("front"),
               4,
               {{"browse", 12, 20, Milliseconds(100), {{"lookup", 4}}}}};
  A.Links.sendUsage(NodeId("b"), Sum);
  waitUntil(Loop, [&]() { return !B.Usages.empty(); });
  wait(Loop, 20);
  CHECK(C.Usages.empty());
  REQUIRE(B.Usages.size() == 1);
  const auto &Received = B.Usages[0];
  CHECK(Received.Scope == Sum.Scope);
  CHECK(Received.FailureDomain == Sum.FailureDomain);
  CHECK(Received.Usage.Service == Sum.Usage.Service);
  CHECK(Received.Usage.Nodes == 4);
  REQUIRE(Received.Usage.Routes.size() == 1);
  CHECK(Received.Usage.Routes[0].Arrivals == 12);
  CHECK(Received.Usage.Routes[0].SlotTime == Milliseconds(100));
  CHECK(Received.Usage.Routes[0].Calls.at(0).PerRun == 4);
  // In the other direction, over the link that A made.
  B.Links.sendUsage(FailureDomain("other"), Sum);
  B.Links.sendUsage(FailureDomain("a"), Sum);
  waitUntil(Loop, [&]() { return !A.Usages.empty(); });
  wait(Loop, 20);
  CHECK(A.Usages.size() == 1);
  // A sum over zero nodes would cause a division by zero.
  Sum.Usage.Nodes = 0;
  A.Links.sendUsage(NodeId("b"), Sum);
  waitUntil(Loop, [&]() {
    return B.Counters.text().find("mesh_frames_malformed") != std::string::npos;
  });
  CHECK(B.Usages.size() == 1);
}

TEST_CASE("Mesh closes the link to a removed node after its last call",
          "[rpc]") {
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  MeshNode B(Loop, "b", PortB, 2);
  B.HoldsReplies = true;
  A.Links.add(contact("b", PortB));
  waitUntil(Loop, [&]() { return reaches(A, "b"); });
  CallResults Results;
  A.Links.call(NodeId("b"), attempt(), Results.recorder());
  waitUntil(Loop, [&]() { return B.Attempts.size() == 1; });
  A.Links.remove(NodeId("b"));
  wait(Loop, 300);
  CHECK(reaches(A, "b"));
  CHECK(Results.All.empty());
  B.answer(0);
  waitUntil(Loop, [&]() { return A.Links.peers().empty(); });
  REQUIRE(Results.All.size() == 1);
  CHECK(Results.All[0].Kind == MeshResult::Kind::Replied);
  CHECK(A.Links.peers().empty());
  CHECK(A.Removed == std::vector<NodeId>{NodeId("b")});
}

TEST_CASE("Mesh makes a link for a call, and fills in the target", "[rpc]") {
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  MeshNode B(Loop, "b", PortB, 2);
  B.Target.Id = "t1";
  B.Target.Started = 17;
  B.Target.State = TargetState::Ready;
  CallResults Results;
  A.Links.add(contact("b", PortB));
  A.Links.call(NodeId("b"), attempt(), Results.recorder());
  waitUntil(Loop, [&]() { return !Results.All.empty(); });
  REQUIRE(Results.All.size() == 1);
  CHECK(Results.All[0].Kind == MeshResult::Kind::Replied);
  REQUIRE(B.Attempts.size() == 1);
  CHECK(B.Attempts[0].TargetId == "t1");
  CHECK(B.Attempts[0].TargetStarted == 17);
}

TEST_CASE("Mesh does not send a call to a node whose target is not ready",
          "[rpc]") {
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  MeshNode B(Loop, "b", PortB, 2);
  B.Target.Id = "t1";
  B.Target.State = TargetState::Draining;
  CallResults Results;
  A.Links.add(contact("b", PortB));
  A.Links.call(NodeId("b"), attempt(), Results.recorder());
  waitUntil(Loop, [&]() { return !Results.All.empty(); });
  REQUIRE(Results.All.size() == 1);
  CHECK(Results.All[0].Kind == MeshResult::Kind::NeverSent);
  CHECK(B.Attempts.empty());
}

// The pause between two tries grows while a node is down. Gossip tells when it
// is back.
TEST_CASE("Mesh reconnects at once to a node that is known to be back",
          "[rpc]") {
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  A.Links.add(contact("b", PortB));
  wait(Loop, 2500);
  MeshNode B(Loop, "b", PortB, 2);
  A.Links.retry(NodeId("b"));
  auto Start = Loop.now();
  waitUntil(Loop, [&]() { return reaches(A, "b"); });
  CHECK(Loop.now() - Start < Milliseconds(100));
}

// A node that is cut off neither accepts nor refuses a connection.
TEST_CASE("Mesh gives up soon on a call that waits for a link", "[rpc]") {
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  PeerListener Silent(Loop, local(PortB), [](int Socket) { close(Socket); });
  CallResults Results;
  A.Links.add(contact("b", PortB));
  auto Start = Loop.now();
  A.Links.call(NodeId("b"), attempt(), Results.recorder());
  waitUntil(Loop, [&]() { return !Results.All.empty(); });
  REQUIRE(Results.All.size() == 1);
  CHECK(Results.All[0].Kind == MeshResult::Kind::NeverSent);
  CHECK(Loop.now() - Start < Milliseconds(800));
}

TEST_CASE("Mesh fetches a newer policy from a linked node, once", "[rpc]") {
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  MeshNode B(Loop, "b", PortB, 2);
  MeshNode C(Loop, "c", PortC, 3);
  A.Links.add(contact("b", PortB));
  A.Links.add(contact("c", PortC));
  waitUntil(Loop, [&]() { return reaches(A, "b") && reaches(A, "c"); });
  B.Policy = C.Policy = Revision(4);
  B.Links.broadcastLoad();
  C.Links.broadcastLoad();
  waitUntil(Loop, [&]() { return !A.PoliciesReceived.empty(); });
  wait(Loop, 100);
  CHECK(A.PoliciesReceived.size() == 1);
  // A node that was restarted learns it from those that link to it.
  C.Policy = Revision(0);
  A.Policy = Revision(5);
  A.Links.remove(NodeId("c"));
  waitUntil(Loop, [&]() { return A.Links.peers().count(NodeId("c")) == 0; });
  A.Links.add(contact("c", PortC));
  waitUntil(Loop, [&]() { return !C.PoliciesReceived.empty(); });
  CHECK(C.PoliciesReceived.size() == 1);
}

TEST_CASE("Mesh suspects a node that has pending calls and answers no probe",
          "[rpc]") {
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  // A process that freezes right after it has sent its hello.
  std::vector<std::unique_ptr<PeerLink>> Accepted;
  MeshHello Hello;
  Hello.Status.Self = contact("b", PortB);
  Hello.Status.Incarnation = Incarnation(2);
  PeerListener Listener(Loop, local(PortB), [&](int Socket) {
    bool IsFirst = Accepted.empty();
    PeerLink::Events Ignored;
    Ignored.OnFrame = [](mesh::Frame::Reader, const FrameBody &) {};
    Ignored.OnClosed = [](bool) {};
    Accepted.push_back(std::make_unique<PeerLink>(Loop, Socket, Ignored));
    if (IsFirst)
      Accepted.back()->send(codec::encodeHello(Hello));
  });
  A.Links.add(contact("b", PortB));
  waitUntil(Loop, [&]() { return reaches(A, "b"); });
  CallResults Results;
  A.Links.call(NodeId("b"), attempt(), Results.recorder());
  waitUntil(Loop, [&]() { return !Results.All.empty(); });
  REQUIRE(Results.All.size() == 1);
  CHECK(Results.All[0].Kind == MeshResult::Kind::Suspected);
  CHECK(A.Links.peers().at(NodeId("b")).IsSuspect);
}

TEST_CASE("Mesh does not suspect a node whose target is slow", "[rpc]") {
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  MeshNode B(Loop, "b", PortB, 2);
  B.HoldsReplies = true;
  A.Links.add(contact("b", PortB));
  waitUntil(Loop, [&]() { return reaches(A, "b"); });
  CallResults Results;
  A.Links.call(NodeId("b"), attempt(), Results.recorder());
  wait(Loop, 1500);
  CHECK(Results.All.empty());
  CHECK_FALSE(A.Links.peers().at(NodeId("b")).IsSuspect);
  B.answer(0);
  waitUntil(Loop, [&]() { return !Results.All.empty(); });
  CHECK(Results.All.size() == 1);
}

TEST_CASE("Mesh drops a second copy of a reply", "[rpc]") {
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  MeshNode B(Loop, "b", PortB, 2);
  B.HoldsReplies = true;
  A.Links.add(contact("b", PortB));
  waitUntil(Loop, [&]() { return reaches(A, "b"); });
  CallResults First;
  CallResults Second;
  A.Links.call(NodeId("b"), attempt(), First.recorder());
  waitUntil(Loop, [&]() { return B.Attempts.size() == 1; });
  B.answer(0);
  waitUntil(Loop, [&]() { return !First.All.empty(); });
  A.Links.call(NodeId("b"), attempt(), Second.recorder());
  waitUntil(Loop, [&]() { return B.Attempts.size() == 2; });
  B.answer(0);
  wait(Loop, 50);
  CHECK(First.All.size() == 1);
  CHECK(Second.All.empty());
  B.answer(1);
  waitUntil(Loop, [&]() { return !Second.All.empty(); });
  CHECK(Second.All.size() == 1);
}

// Longer than the time after which a call that was not sent is given up.
TEST_CASE("Mesh does not give up a sent call while its node is silent",
          "[rpc]") {
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  auto B = std::make_unique<MeshNode>(Loop, "b", PortB, 2);
  B->HoldsReplies = true;
  A.Links.add(contact("b", PortB));
  waitUntil(Loop, [&]() { return reaches(A, "b"); });
  CallResults Results;
  A.Links.call(NodeId("b"), attempt(), Results.recorder());
  waitUntil(Loop, [&]() { return !B->Attempts.empty(); });
  // A link that no plan wants any more is kept for the call too.
  A.Links.remove(NodeId("b"));
  wait(Loop, 2000);
  CHECK(Results.All.empty());
  B->answer(0);
  waitUntil(Loop, [&]() { return !Results.All.empty(); });
  REQUIRE(Results.All.size() == 1);
  CHECK(Results.All[0].Kind == MeshResult::Kind::Replied);
}

TEST_CASE("Mesh ends a connection that sends malformed bytes, and goes on",
          "[rpc]") {
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  MeshNode B(Loop, "b", PortB, 2);
  A.Links.add(contact("b", PortB));
  waitUntil(Loop, [&]() { return reaches(A, "b"); });
  auto Hello = []() {
    MeshHello Value;
    Value.Status.Self = contact("x", PortC);
    Value.Status.Incarnation = Incarnation(3);
    return codec::encodeHello(Value);
  }();
  MeshAttempt HighRank = attempt();
  HighRank.Rank = ClassRank(255);
  MeshAttempt BadCohort = attempt();
  BadCohort.Cohort = std::numeric_limits<float>::quiet_NaN();
  // Connections start with their format; 0 is that of plain frames.
  std::string Plain(1, '\0');
  std::vector<std::string> Inputs = {
      std::string("\x7f"),
      Plain + std::string("\xff\xff\xff\xff", 4),
      Plain + std::string("\x04\0\0\0\xff\xff\xff\xff", 8),
      Plain + Hello + std::string("\x08\0\0\0", 4) + std::string(8, '\x55'),
      Plain + codec::encodeAttempt(attempt(), {}), // before any hello
      Plain + Hello + codec::encodeAttempt(HighRank, {}),
      Plain + Hello + codec::encodeAttempt(BadCohort, {}),
      std::string(1, '\x01') + std::string(64, '\xee')};
  for (const auto &Input : Inputs)
    sendRaw(Loop, local(PortB), Input);
  wait(Loop, 100);
  CHECK(B.Attempts.empty());
  CHECK(B.Counters.text().find("mesh_frames_malformed") != std::string::npos);
  CallResults Results;
  A.Links.call(NodeId("b"), attempt(), Results.recorder());
  waitUntil(Loop, [&]() { return !Results.All.empty(); });
  REQUIRE(Results.All.size() == 1);
  CHECK(Results.All[0].Kind == MeshResult::Kind::Replied);
}

TEST_CASE("Mesh tells a restarted node which requests crash targets", "[rpc]") {
  EventLoop Loop;
  RequestFingerprint Request(42);
  MeshNode A(Loop, "a", PortA, 1);
  auto IsRefusedAt = [&](const MeshNode &Node) {
    return Node.Crashes.verdict(Request, Loop.now()) ==
           CrashHistory::Verdict::Crashing;
  };
  (void)A.Crashes.merge({{{Request, 1, true, Milliseconds(0)}}, {}},
                        Loop.now());
  // The restarted node makes the link, or the other one does.
  for (bool MakesLink : {true, false}) {
    MeshNode B(Loop, "b", PortB, MakesLink ? 2 : 3);
    auto &From = MakesLink ? B : A;
    From.Links.add(MakesLink ? contact("a", PortA) : contact("b", PortB));
    waitUntil(Loop, [&]() { return IsRefusedAt(B); });
    CHECK(IsRefusedAt(B));
  }
}
