#include "SidecarFixture.h"
#include "limpetdrum/connection/SocketAddress.h"

#include <catch2/catch.hpp>

#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

/// Client with a small receive buffer, which reads when it is told to.
class SlowClient {
public:
  SlowClient(Endpoint Server, const std::string &Request)
      : Socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    int Bytes = 8192;
    int Segment = 1460; // the large segments of loopback fill large buffers
    setsockopt(this->Socket, SOL_SOCKET, SO_RCVBUF, &Bytes, sizeof(Bytes));
    setsockopt(this->Socket, IPPROTO_TCP, TCP_MAXSEG, &Segment,
               sizeof(Segment));
    auto Address = toSocketAddress(Server);
    REQUIRE(connect(this->Socket, reinterpret_cast<sockaddr *>(&Address),
                    sizeof(Address)) == 0);
    REQUIRE(send(this->Socket, Request.data(), Request.size(), 0) ==
            static_cast<ssize_t>(Request.size()));
  }
  ~SlowClient() { close(this->Socket); }
  SlowClient(const SlowClient &) = delete;
  SlowClient &operator=(const SlowClient &) = delete;

  /// Reads up to \p Most bytes that have arrived.
  void read(std::size_t Most) {
    std::vector<char> Bytes(Most);
    auto Size = recv(this->Socket, Bytes.data(), Most, MSG_DONTWAIT);
    if (Size > 0)
      this->Received.append(Bytes.data(), static_cast<std::size_t>(Size));
    else if (Size == 0 || errno != EAGAIN)
      this->HasEnded = true;
  }

  std::string Received;
  bool HasEnded = false;

private:
  int Socket;
};

} // namespace

// Guards against a leaving node that runs attempts of other nodes in the last
// moments of its process and cuts them when it ends.
TEST_CASE("Sidecar ends no run that another node waits for when it leaves",
          "[rpc]") {
  SidecarFixture Fixture;
  std::size_t Replied = 0;
  std::size_t NotRun = 0;
  std::size_t Broken = 0;
  auto OnResult = [&](const MeshResult &Result) {
    if (Result.Kind == MeshResult::Kind::Suspected)
      return;
    if (Result.Kind != MeshResult::Kind::Replied)
      ++Broken;
    else if (Result.Reply.Outcome == Outcome::NotRun)
      ++NotRun;
    else
      ++Replied;
  };
  std::size_t Sent = 0;
  auto Send = [&]() {
    MeshAttempt Attempt;
    Attempt.RequestId = "r" + std::to_string(++Sent);
    Attempt.Request.Method = "POST";
    Attempt.Request.Target = "/orders/1";
    Attempt.Request.Headers = {{HeaderNames().RequestId, Attempt.RequestId}};
    Attempt.TimeLeft = Milliseconds(3000);
    Attempt.TargetId = "t1";
    (void)Fixture.Peer->call(NodeId("ordering-1"), std::move(Attempt),
                             OnResult);
  };
  Fixture.Process->leave();
  // The schedule lets an idle process end after 2.5 s. The node is idle between
  // two runs, and each run takes longer than the end of the process.
  Fixture.wait(Milliseconds(2400));
  while (!Fixture.HasLeft) {
    Send();
    Fixture.wait(Fixture.RunTime + Milliseconds(60));
  }
  Fixture.wait(Milliseconds(300));
  CHECK(Fixture.HasLeft);
  CHECK(Broken == 0);
  CHECK(Fixture.StartedRuns == Replied);
}

TEST_CASE("Sidecar tells the other nodes that it refuses runs before it ends",
          "[rpc]") {
  SidecarFixture Fixture;
  REQUIRE(Fixture.status() != nullptr);
  CHECK_FALSE(Fixture.status()->RefusesRuns);
  Fixture.Process->leave();
  Fixture.waitUntil(
      [&]() { return Fixture.HasLeft || Fixture.status()->RefusesRuns; });
  CHECK_FALSE(Fixture.HasLeft);
  CHECK(Fixture.status()->Leaving);
  // Nodes return the record to the next process, which must not take the
  // target for one that has left.
  CHECK(Fixture.status()->Target.State == TargetState::Ready);
  Fixture.waitUntil([&]() { return Fixture.HasLeft; });
  CHECK(Fixture.HasLeft);
}

// Guards against answers that are cut because a leaving node took them for
// delivered when they were in its own buffers.
TEST_CASE("Sidecar writes answers to slow clients before it ends", "[rpc]") {
  SidecarFixture Fixture;
  Fixture.Body = std::string(3'500'000, 'a');
  SlowClient Client(SidecarFixture::local(SidecarFixture::OutboundPort),
                    "GET /orders/1 HTTP/1.1\r\nHost: shop.example\r\n"
                    "limpetdrum-request-id: r1\r\n"
                    "limpetdrum-time-left-ms: 5000\r\n\r\n");
  Fixture.wait(Fixture.RunTime + Milliseconds(100));
  REQUIRE(Fixture.StartedRuns == 1);
  Fixture.Process->leave();
  constexpr std::size_t ReadBytes = 9000; // in 4 s, the whole answer
  auto Start = Fixture.Loop.now();
  while (!Client.HasEnded && Fixture.Loop.now() - Start < Milliseconds(8000)) {
    Client.read(ReadBytes);
    Fixture.wait(Milliseconds(10));
  }
  auto HeadEnd = Client.Received.find("\r\n\r\n");
  REQUIRE(HeadEnd != std::string::npos);
  CHECK(Client.Received.size() - HeadEnd - 4 == Fixture.Body.size());
}

// Guards against calls that a leaving node passes on late and cuts unanswered
// when its process ends.
TEST_CASE("Sidecar answers each call that it passes on while it leaves",
          "[rpc]") {
  SidecarFixture Fixture;
  Fixture.linkPeer();
  HttpClient Client(Fixture.Loop,
                    SidecarFixture::local(SidecarFixture::OutboundPort));
  std::map<std::string, HttpResponse> Answers;
  auto Send = [&](const std::string &Id, const std::string &Path) {
    HttpCall Call;
    Call.Method = "POST";
    Call.Path = Path;
    Call.Headers = {{"Host", "shop.example"},
                    {HeaderNames().RequestId, Id},
                    {HeaderNames().TimeLeft, "5000"}};
    Call.Timeout = Milliseconds(8000);
    (void)Client.send(
        Call, [&, Id](HttpResponse Value) { Answers[Id] = std::move(Value); });
  };
  Fixture.RunTime = Milliseconds(4800);
  Fixture.PeerRunTime = Milliseconds(2500);
  Send("r1", "/orders/1");
  Fixture.wait(Milliseconds(300));
  REQUIRE(Fixture.StartedRuns == 1);
  Fixture.Process->leave();
  Fixture.wait(Milliseconds(4200));
  Send("r1.1", "/catalogue/1");
  Fixture.wait(Milliseconds(200));
  REQUIRE(Fixture.StartedPeerRuns == 1);
  Fixture.waitUntil([&]() { return Fixture.HasLeft; });
  Fixture.wait(Milliseconds(100));
  CHECK(Answers["r1"].Status == 200);
  CHECK(Answers["r1.1"].Outcome == HttpOutcome::Answered);
  CHECK(Answers["r1.1"].Status == 504);
  CHECK(Answers["r1.1"].Body.text() == SidecarFixture::StoppedBody);
}

// Guards against requests that are open when the leave begins and are cut
// unanswered when the process ends.
TEST_CASE("Sidecar answers requests that are open when it leaves", "[rpc]") {
  SidecarFixture Fixture;
  auto Settings = SidecarFixture::settings();
  Settings.ExitLimit = Milliseconds(4000);
  Fixture.Process->reload(Settings);
  Fixture.RunTime = Milliseconds(9000);
  HttpClient Client(Fixture.Loop,
                    SidecarFixture::local(SidecarFixture::OutboundPort));
  HttpCall Call;
  Call.Method = "POST";
  Call.Path = "/orders/1";
  Call.Headers = {{"Host", "shop.example"}, {HeaderNames().RequestId, "r1"}};
  Call.Timeout = Milliseconds(8000);
  std::optional<HttpResponse> Answer;
  (void)Client.send(Call,
                    [&](HttpResponse Value) { Answer = std::move(Value); });
  Fixture.wait(Milliseconds(200));
  REQUIRE(Fixture.StartedRuns == 1);
  Fixture.Process->leave();
  Fixture.waitUntil([&]() { return Fixture.HasLeft; });
  Fixture.wait(Milliseconds(100));
  REQUIRE(Answer);
  CHECK(Answer->Outcome == HttpOutcome::Answered);
  CHECK(Answer->Status == 504);
}
