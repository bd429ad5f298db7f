#include "MemoryMeter.h"
#include "SidecarFixture.h"

#include <catch2/catch.hpp>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

constexpr std::size_t Megabyte = 1000U * 1000U;
constexpr std::size_t BodyBytes = 40 * Megabyte;
/// For all that is not a copy of the whole body.
constexpr std::size_t OtherBytes = 10 * Megabyte;

} // namespace

// Guards against a process that a single body within the limits takes over its
// memory, because of the copies that are made of it.
TEST_CASE("Sidecar holds a long body of a client once", "[rpc]") {
  SidecarFixture Fixture;
  HttpClient Client(Fixture.Loop,
                    SidecarFixture::local(SidecarFixture::OutboundPort));
  HttpResponse Answer;
  MemoryMeter Meter;
  {
    HttpCall Call;
    Call.Method = "POST";
    Call.Path = "/orders/1";
    Call.Headers = {{"Host", "shop.example"},
                    {HeaderNames().RequestId, "r1"},
                    {HeaderNames().TimeLeft, "5000"}};
    Call.Body = std::string(BodyBytes, 'b');
    Call.Timeout = Milliseconds(5000);
    (void)Client.send(Call,
                      [&](HttpResponse Value) { Answer = std::move(Value); });
  }
  Fixture.waitUntil([&]() { return Answer.Status != 0; });
  CHECK(Answer.Status == 200);
  CHECK(Fixture.ReceivedBytes == BodyBytes);
  // One copy each at the client, the sidecar and the target.
  CHECK(Meter.peak() < 3 * BodyBytes + OtherBytes);
}

TEST_CASE("Sidecar holds a long body of another node once", "[rpc]") {
  SidecarFixture Fixture;
  std::vector<MeshResult> Results;
  MemoryMeter Meter;
  {
    MeshAttempt Attempt;
    Attempt.RequestId = "r1";
    Attempt.Request.Method = "POST";
    Attempt.Request.Target = "/orders/1";
    Attempt.Request.Headers = {{HeaderNames().RequestId, "r1"}};
    Attempt.Request.Body = std::string(BodyBytes, 'b');
    Attempt.TimeLeft = Milliseconds(5000);
    Attempt.TargetId = "t1";
    (void)Fixture.Peer->call(
        NodeId("ordering-1"), std::move(Attempt),
        [&](const MeshResult &Value) { Results.push_back(Value); });
  }
  Fixture.waitUntil([&]() { return !Results.empty(); });
  REQUIRE(Results.size() == 1);
  CHECK(Results[0].Kind == MeshResult::Kind::Replied);
  CHECK(Results[0].Reply.Outcome == Outcome::Answered);
  CHECK(Fixture.ReceivedBytes == BodyBytes);
  // One copy each at the other node, the sidecar and the target.
  CHECK(Meter.peak() < 3 * BodyBytes + OtherBytes);
}

// Guards against bodies that many connections leave unfinished where nobody
// needs them.
TEST_CASE("Sidecar refuses long bodies where none is needed", "[rpc]") {
  SidecarFixture Fixture;
  auto Port =
      GENERATE(SidecarFixture::ReadinessPort, SidecarFixture::ReportsPort,
               SidecarFixture::MetricsPort);
  HttpClient Client(Fixture.Loop, SidecarFixture::local(Port));
  HttpResponse Answer;
  HttpCall Call;
  Call.Method = "POST";
  Call.Path = "/";
  Call.Body = std::string(100'000, 'b');
  (void)Client.send(Call,
                    [&](HttpResponse Value) { Answer = std::move(Value); });
  Fixture.waitUntil([&]() { return Answer.Status != 0; });
  CHECK(Answer.Status == 413);
}
