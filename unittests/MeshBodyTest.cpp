#include "MeshNode.h"

#include <catch2/catch.hpp>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

/// Returns bytes that do not compress.
std::string noise(std::size_t Size) {
  std::string Text(Size, '\0');
  std::uint64_t State = 7;
  for (auto &Byte : Text) {
    State = State * 6364136223846793005U + 1442695040888963407U;
    Byte = static_cast<char>(State >> 56);
  }
  return Text;
}

MeshAttempt post(std::size_t Bytes) {
  auto Attempt = attempt();
  Attempt.Request.Method = "POST";
  Attempt.Request.Body = noise(Bytes);
  return Attempt;
}

} // namespace

// Guards against a link that is ended and made anew, with all calls sent again,
// because of one long body.
TEST_CASE("Mesh passes a long body on and other calls beside it", "[rpc]") {
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  MeshNode B(Loop, "b", PortB, 2);
  A.Links.add(contact("b", PortB));
  waitUntil(Loop, [&]() { return reaches(A, "b"); });
  CallResults Long;
  CallResults Short;
  auto Sent = post(30'000'000);
  A.Links.call(NodeId("b"), Sent, Long.recorder());
  for (int I = 0; I < 20; ++I)
    A.Links.call(NodeId("b"), attempt(), Short.recorder());
  waitUntil(Loop, [&]() { return Short.All.size() == 20; });
  CHECK(Short.All.size() == 20);
  CHECK(Long.All.empty());
  waitUntil(Loop, [&]() { return !Long.All.empty(); });
  REQUIRE(Long.All.size() == 1);
  CHECK(Long.All[0].Kind == MeshResult::Kind::Replied);
  REQUIRE(B.Attempts.size() == 21);
  CHECK((B.Attempts.back().Request.Body == Sent.Request.Body));
  CHECK(B.Attempts.back().TimeLeft < Sent.TimeLeft);
  CHECK(A.Counters.counter("peers_lost") == 0);
  CHECK(A.Counters.counter("peer_connections") == 1);
  B.Attempts.clear();
  CHECK(B.Memory.used() == 0);
}

TEST_CASE("Mesh delivers many long replies over one link", "[rpc]") {
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  MeshNode B(Loop, "b", PortB, 2);
  A.Links.add(contact("b", PortB));
  waitUntil(Loop, [&]() { return reaches(A, "b"); });
  B.Answer = noise(1'000'000);
  CallResults Results;
  for (int I = 0; I < 40; ++I)
    A.Links.call(NodeId("b"), attempt(), Results.recorder());
  waitUntil(Loop, [&]() { return Results.All.size() == 40; });
  REQUIRE(Results.All.size() == 40);
  for (const auto &Result : Results.All) {
    REQUIRE(Result.Kind == MeshResult::Kind::Replied);
    CHECK((Result.Reply.Body == B.Answer));
  }
  CHECK(A.Counters.counter("peers_lost") == 0);
}

// Guards against long replies that fill the memory of their node until the
// caller's next attempt.
TEST_CASE("Mesh acknowledges long replies at once", "[rpc]") {
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  MeshNode B(Loop, "b", PortB, 2);
  A.Links.add(contact("b", PortB));
  waitUntil(Loop, [&]() { return reaches(A, "b"); });
  B.Answer = noise(1'000'000);
  CallResults Results;
  A.Links.call(NodeId("b"), attempt(), Results.recorder());
  waitUntil(Loop, [&]() { return Results.All.size() == 1; });
  wait(Loop, 50);
  CHECK(B.Acknowledged == 1);
}

TEST_CASE("Mesh refuses an attempt whose body exceeds the memory", "[rpc]") {
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  MeshNode B(Loop, "b", PortB, 2);
  A.Links.add(contact("b", PortB));
  waitUntil(Loop, [&]() { return reaches(A, "b"); });
  auto Held = B.Memory.take(B.Memory.limit() - 1'000'000);
  CallResults Results;
  A.Links.call(NodeId("b"), post(5'000'000), Results.recorder());
  waitUntil(Loop, [&]() { return !Results.All.empty(); });
  REQUIRE(B.Attempts.size() == 1);
  CHECK(B.Attempts[0].Request.ExceedsMemory);
  CHECK(B.Attempts[0].Request.Body.empty());
  A.Links.call(NodeId("b"), post(50'000), Results.recorder());
  waitUntil(Loop, [&]() { return Results.All.size() == 2; });
  REQUIRE(B.Attempts.size() == 2);
  CHECK_FALSE(B.Attempts[1].Request.ExceedsMemory);
  CHECK(A.Counters.counter("peers_lost") == 0);
}

// During an upgrade some nodes take bodies only within their messages, of at
// most 8 MiB.
TEST_CASE("Mesh sends a node of an earlier release only what it can take",
          "[rpc]") {
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  MeshHello Hello;
  Hello.Status.Self = contact("b", PortB);
  Hello.Status.Incarnation = Incarnation(2);
  std::unique_ptr<PeerLink> Earlier;
  std::vector<std::size_t> Received;
  PeerListener Listener(Loop, local(PortB), [&](int Socket) {
    PeerLink::Events Events;
    Events.OnFrame = [&](mesh::Frame::Reader Frame, const FrameBody &Body) {
      CHECK(Frame.getBodyCall() == 0);
      CHECK(Body.Content.empty());
      if (!Frame.isAttempt())
        return;
      Received.push_back(Frame.getAttempt().getBody().size());
      Reply Value;
      Value.Outcome = Outcome::Answered;
      Value.Status = 200;
      Earlier->send(
          codec::encodeReply(Frame.getAttempt().getCall(), Value, {}));
    };
    Events.OnClosed = [](bool) {};
    Earlier = std::make_unique<PeerLink>(Loop, Socket, std::move(Events));
    Earlier->send(codec::encodeHello(Hello));
  });
  A.Links.add(contact("b", PortB));
  waitUntil(Loop, [&]() { return reaches(A, "b"); });
  CallResults Fits;
  CallResults TooLong;
  A.Links.call(NodeId("b"), post(8'000'000), Fits.recorder());
  A.Links.call(NodeId("b"), post(20'000'000), TooLong.recorder());
  waitUntil(Loop, [&]() { return !Fits.All.empty() && !TooLong.All.empty(); });
  REQUIRE(Fits.All.size() == 1);
  CHECK(Fits.All[0].Kind == MeshResult::Kind::Replied);
  REQUIRE(TooLong.All.size() == 1);
  CHECK(TooLong.All[0].Kind == MeshResult::Kind::NeverSent);
  CHECK(Received == std::vector<std::size_t>{8'000'000});
  CHECK(A.Counters.counter("peers_lost") == 0);
}

TEST_CASE("Mesh stops to send the body of a cancelled call", "[rpc]") {
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  MeshNode B(Loop, "b", PortB, 2);
  A.Links.add(contact("b", PortB));
  waitUntil(Loop, [&]() { return reaches(A, "b"); });
  CallResults Results;
  auto Number = A.Links.call(NodeId("b"), post(30'000'000), Results.recorder());
  wait(Loop, 3);
  A.Links.cancel(NodeId("b"), Number);
  A.Links.call(NodeId("b"), attempt(), Results.recorder());
  waitUntil(Loop, [&]() { return !Results.All.empty(); });
  REQUIRE(Results.All.size() == 1);
  CHECK(B.Attempts.size() == 1);
  wait(Loop, 50);
  CHECK(B.Attempts.size() == 1);
  CHECK(B.Memory.used() == 0);
  CHECK(A.Counters.counter("peers_lost") == 0);
}
