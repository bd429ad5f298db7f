#include "limpetdrum/daemon/Mesh.h"

#include <catch2/catch.hpp>
#include <fcntl.h>

using namespace limpetdrum;

namespace {

Endpoint local(std::uint16_t Port) { return {0x7f000001, Port}; }

Contact contact(const std::string &Name, std::uint16_t Port) {
  return {NodeId(Name), local(Port), FailureDomain("a")};
}

/// A node that answers attempts with its own name, at once or when told.
struct MeshNode {
  EventLoop &Loop;
  std::string Name;
  Incarnation Current;
  Metrics Counters;
  EventLog Log{open("/dev/null", O_WRONLY)};
  Mesh Links;
  std::vector<MeshAttempt> Attempts;
  std::vector<Incarnation> Callers;
  bool Holds = false;
  TargetRecord Remembered;
  TargetRecord OwnTarget;
  std::uint64_t Version = 0;
  std::uint32_t Running = 0;
  std::vector<MeshUsage> Usages;

  MeshNode(EventLoop &Loop, const std::string &Name, std::uint16_t Port,
           std::uint64_t Incarnated)
      : Loop(Loop), Name(Name), Current(Incarnated),
        Links(Loop, contact(Name, Port), Incarnation(Incarnated), this->Log,
              this->Counters) {
    Mesh::Handlers Handlers;
    Handlers.OnAttempt = [this](const NodeId &, Incarnation Caller,
                                const MeshAttempt &Attempt) {
      this->Attempts.push_back(Attempt);
      this->Callers.push_back(Caller);
      if (!this->Holds)
        this->answer(this->Attempts.size() - 1);
    };
    Handlers.OnCancel = [](Incarnation, std::uint64_t) {};
    Handlers.OnAcknowledged = [](Incarnation, std::uint64_t) {};
    Handlers.OnStatus = [](const NodeId &) {};
    Handlers.OnUsage = [this](MeshUsage Theirs) {
      this->Usages.push_back(std::move(Theirs));
    };
    Handlers.OnPolicy = [](const std::string &) {};
    Handlers.OnRecordFromPeer = [this](const TargetRecord &Theirs) {
      if (!Theirs.Id.empty())
        this->Remembered = Theirs;
    };
    Handlers.OwnStatus = [this, Port]() {
      NodeStatus Status;
      Status.Self = contact(this->Name, Port);
      Status.Incarnation = this->Current;
      Status.Version = ++this->Version;
      Status.Target = this->OwnTarget;
      Status.Running = this->Running;
      return Status;
    };
    Handlers.PolicyText = []() { return std::string(); };
    this->Links.start(std::move(Handlers), local(Port));
  }

  void answer(std::size_t Which) {
    Reply Value;
    Value.Outcome = Outcome::Answered;
    Value.Status = 200;
    Value.Body = this->Name;
    (void)this->Links.reply(this->Callers[Which], this->Attempts[Which].Call,
                            Value);
  }
};

struct Results {
  std::vector<MeshResult> All;
  Mesh::Done take() {
    return [this](const MeshResult &Result) { this->All.push_back(Result); };
  }
};

MeshAttempt attempt() {
  MeshAttempt Asked;
  Asked.RequestId = "r";
  Asked.TimeLeft = Milliseconds(5000);
  return Asked;
}

void wait(EventLoop &Loop, int Millis) {
  auto Over = Loop.after(Milliseconds(Millis), [&]() { Loop.stop(); });
  Loop.run();
}

/// Runs the loop until \p Holds, at most for five seconds.
template <typename Condition> void waitUntil(EventLoop &Loop, Condition Holds) {
  constexpr Milliseconds Limit{5000};
  auto Start = Loop.now();
  while (!Holds() && Loop.now() - Start < Limit)
    wait(Loop, 5);
}

bool reaches(const MeshNode &From, const char *To) {
  auto Found = From.Links.peers().find(NodeId(To));
  return Found != From.Links.peers().end() && Found->second.IsReachable;
}

constexpr std::uint16_t PortA = 20981;
constexpr std::uint16_t PortB = 20982;
constexpr std::uint16_t PortC = 20983;

} // namespace

TEST_CASE("Mesh calls a node that it knows by a contact", "[rpc]") {
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  MeshNode B(Loop, "b", PortB, 2);
  A.Links.add(contact("b", PortB));
  // One contact is enough for both ways.
  waitUntil(Loop, [&]() { return reaches(A, "b") && reaches(B, "a"); });
  CHECK(reaches(B, "a"));
  Results Of;
  A.Links.call(NodeId("b"), attempt(), Of.take());
  waitUntil(Loop, [&]() { return !Of.All.empty(); });
  REQUIRE(Of.All.size() == 1);
  CHECK(Of.All[0].Kind == MeshResult::Kind::Replied);
  CHECK(Of.All[0].Reply.Body == "b");
}

TEST_CASE("Mesh keeps apart callers that started at the same moment", "[rpc]") {
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  MeshNode C(Loop, "c", PortC, 1);
  MeshNode B(Loop, "b", PortB, 2);
  B.Holds = true;
  A.Links.add(contact("b", PortB));
  C.Links.add(contact("b", PortB));
  waitUntil(Loop, [&]() { return reaches(A, "b") && reaches(C, "b"); });
  Results OfA;
  Results OfC;
  A.Links.call(NodeId("b"), attempt(), OfA.take());
  waitUntil(Loop, [&]() { return B.Attempts.size() == 1; });
  C.Links.call(NodeId("b"), attempt(), OfC.take());
  waitUntil(Loop, [&]() { return B.Attempts.size() == 2; });
  REQUIRE(B.Attempts.size() == 2);
  B.answer(0);
  waitUntil(Loop, [&]() { return !OfA.All.empty(); });
  wait(Loop, 20);
  CHECK(OfA.All.size() == 1);
  CHECK(OfC.All.empty());
}

TEST_CASE("Mesh believes a later process whose clock was set back", "[rpc]") {
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  auto B = std::make_unique<MeshNode>(Loop, "b", PortB, 9);
  B->OwnTarget.Id = "t1";
  A.Links.add(contact("b", PortB));
  waitUntil(Loop, [&]() { return reaches(A, "b"); });
  B.reset();
  B = std::make_unique<MeshNode>(Loop, "b", PortB, 5);
  B->OwnTarget.Id = "t2";
  waitUntil(Loop, [&]() {
    return A.Links.peers().at(NodeId("b")).Status->Target.Id == "t2";
  });
  CHECK(A.Links.peers().at(NodeId("b")).Status->Target.Id == "t2");
}

TEST_CASE("Mesh forgets a node whose address another one uses", "[rpc]") {
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  MeshNode B(Loop, "b", PortB, 2);
  A.Links.add(contact("b", PortB));
  waitUntil(Loop, [&]() { return reaches(A, "b"); });
  A.Links.add(contact("gone", PortB));
  waitUntil(Loop, [&]() { return A.Links.peers().count(NodeId("gone")) == 0; });
  CHECK(A.Links.peers().count(NodeId("gone")) == 0);
  // The link to the node that lives there still brings replies.
  Results Of;
  A.Links.call(NodeId("b"), attempt(), Of.take());
  waitUntil(Loop, [&]() { return !Of.All.empty(); });
  REQUIRE(Of.All.size() == 1);
  CHECK(Of.All[0].Kind == MeshResult::Kind::Replied);
}

TEST_CASE("Mesh tells apart what was never sent and what may have run",
          "[rpc]") {
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  Results Of;
  {
    MeshNode B(Loop, "b", PortB, 2);
    B.Holds = true;
    A.Links.add(contact("b", PortB));
    waitUntil(Loop, [&]() { return reaches(A, "b"); });
    A.Links.call(NodeId("b"), attempt(), Of.take());
    waitUntil(Loop, [&]() { return !B.Attempts.empty(); });
    REQUIRE(B.Attempts.size() == 1);
  }
  // Known when the next connection is refused, after a pause or without one.
  waitUntil(Loop, [&]() { return !Of.All.empty(); });
  REQUIRE(Of.All.size() == 1);
  CHECK(Of.All[0].Kind == MeshResult::Kind::Lost);
  A.Links.call(NodeId("b"), attempt(), Of.take());
  waitUntil(Loop, [&]() { return Of.All.size() == 2; });
  REQUIRE(Of.All.size() == 2);
  CHECK(Of.All[1].Kind == MeshResult::Kind::NeverSent);
}

TEST_CASE("Mesh sends no call of an earlier process to a later one", "[rpc]") {
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  Results Of;
  auto B = std::make_unique<MeshNode>(Loop, "b", PortB, 2);
  B->Holds = true;
  B->OwnTarget.Id = "t1";
  A.Links.add(contact("b", PortB));
  waitUntil(Loop, [&]() { return reaches(A, "b"); });
  A.Links.call(NodeId("b"), attempt(), Of.take());
  waitUntil(Loop, [&]() { return !B->Attempts.empty(); });
  B.reset();
  B = std::make_unique<MeshNode>(Loop, "b", PortB, 3);
  waitUntil(Loop,
            [&]() { return !Of.All.empty() && !B->Remembered.Id.empty(); });
  CHECK(B->Attempts.empty());
  REQUIRE(Of.All.size() == 1);
  CHECK(Of.All[0].Kind == MeshResult::Kind::Lost);
  // Its peers remember the target that it had.
  CHECK(B->Remembered.Id == "t1");
  A.Links.call(NodeId("b"), attempt(), Of.take());
  waitUntil(Loop, [&]() { return Of.All.size() == 2; });
  CHECK(Of.All.back().Kind == MeshResult::Kind::Replied);
}

TEST_CASE("Mesh tells the load without a whole status", "[rpc]") {
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  MeshNode B(Loop, "b", PortB, 2);
  B.OwnTarget.Id = "t1";
  A.Links.add(contact("b", PortB));
  waitUntil(Loop, [&]() { return reaches(A, "b"); });
  B.Running = 17;
  auto Seen = [&]() { return *A.Links.peers().at(NodeId("b")).Status; };
  waitUntil(Loop, [&]() { return Seen().Running == 17; });
  CHECK(Seen().Running == 17);
  CHECK(Seen().Target.Id == "t1");
}

TEST_CASE("Mesh tells usage to the nodes that it is meant for", "[rpc]") {
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  MeshNode B(Loop, "b", PortB, 2);
  MeshNode C(Loop, "c", PortC, 3);
  A.Links.add(contact("b", PortB));
  A.Links.add(contact("c", PortC));
  waitUntil(Loop, [&]() { return reaches(B, "a") && reaches(C, "a"); });
  MeshUsage Sum;
  Sum.FailureDomain = FailureDomain("x");
  Sum.Relayed = true;
  Sum.Usage = {ServiceName("front"),
               4,
               {{"browse", 12, 20, Milliseconds(100), {{"lookup", 4}}}}};
  A.Links.sendUsage({NodeId("b")}, Sum);
  waitUntil(Loop, [&]() { return !B.Usages.empty(); });
  wait(Loop, 20);
  CHECK(C.Usages.empty());
  REQUIRE(B.Usages.size() == 1);
  const auto &Told = B.Usages[0];
  CHECK(Told.FailureDomain == Sum.FailureDomain);
  CHECK(Told.Relayed);
  CHECK(Told.Usage.Service == Sum.Usage.Service);
  CHECK(Told.Usage.Nodes == 4);
  REQUIRE(Told.Usage.Routes.size() == 1);
  CHECK(Told.Usage.Routes[0].Arrivals == 12);
  CHECK(Told.Usage.Routes[0].SlotTime == Milliseconds(100));
  CHECK(Told.Usage.Routes[0].Calls.at(0).PerRun == 4);
  // A sum over no nodes would be divided by their number.
  Sum.Usage.Nodes = 0;
  A.Links.sendUsage({NodeId("b")}, Sum);
  waitUntil(Loop, [&]() {
    return B.Counters.text().find("mesh_frames_malformed") != std::string::npos;
  });
  CHECK(B.Usages.size() == 1);
}

TEST_CASE("Mesh suspects a node that has calls and does not answer when asked",
          "[rpc]") {
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  // A process that stands still right after it has said hello.
  std::vector<std::unique_ptr<PeerLink>> Accepted;
  MeshHello Hello;
  Hello.Status.Self = contact("b", PortB);
  Hello.Status.Incarnation = Incarnation(2);
  PeerListener Listener(Loop, local(PortB), [&](int Socket) {
    bool IsFirst = Accepted.empty();
    PeerLink::Events Ignored;
    Ignored.OnFrame = [](mesh::Frame::Reader) {};
    Ignored.OnClosed = [](bool) {};
    Accepted.push_back(std::make_unique<PeerLink>(Loop, Socket, Ignored));
    if (IsFirst)
      Accepted.back()->send(codec::encodeHello(Hello));
  });
  A.Links.add(contact("b", PortB));
  waitUntil(Loop, [&]() { return reaches(A, "b"); });
  Results Of;
  A.Links.call(NodeId("b"), attempt(), Of.take());
  waitUntil(Loop, [&]() { return !Of.All.empty(); });
  REQUIRE(Of.All.size() == 1);
  CHECK(Of.All[0].Kind == MeshResult::Kind::Suspected);
  CHECK(A.Links.peers().at(NodeId("b")).IsSuspect);
}

TEST_CASE("Mesh does not suspect a node whose target is slow", "[rpc]") {
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  MeshNode B(Loop, "b", PortB, 2);
  B.Holds = true;
  A.Links.add(contact("b", PortB));
  waitUntil(Loop, [&]() { return reaches(A, "b"); });
  Results Of;
  A.Links.call(NodeId("b"), attempt(), Of.take());
  wait(Loop, 1500);
  CHECK(Of.All.empty());
  CHECK_FALSE(A.Links.peers().at(NodeId("b")).IsSuspect);
  B.answer(0);
  waitUntil(Loop, [&]() { return !Of.All.empty(); });
  CHECK(Of.All.size() == 1);
}
