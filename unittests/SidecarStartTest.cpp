#include "limpetdrum/daemon/SidecarStart.h"
#include "SidecarFixture.h"
#include "limpetdrum/connection/SocketAddress.h"

#include <catch2/catch.hpp>

#include <sys/socket.h>
#include <unistd.h>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

struct StartFixture : SidecarFixture {
  bool HasFailed = false;

  StartFixture() {
    this->Process.reset();
    this->Store.dropCalls();
    this->wait(Milliseconds(20));
  }

  std::unique_ptr<SidecarStart> start(Milliseconds Limit) {
    return std::make_unique<SidecarStart>(
        this->Loop, [this]() { return this->makeProcess(false); },
        [this](const NetworkError &) { this->HasFailed = true; }, this->Log,
        Limit);
  }
  /// Returns the status of the readiness address; 0 if nothing answers.
  int readiness() {
    HttpClient Client(this->Loop, local(ReadinessPort));
    std::optional<int> Status;
    (void)Client.send({}, [&](const HttpResponse &R) { Status = R.Status; });
    this->waitUntil([&]() { return Status.has_value(); });
    return Status.value_or(0);
  }
};

} // namespace

TEST_CASE("SidecarStart waits for an address that is in use, and opens none "
          "before",
          "[rpc]") {
  StartFixture Fixture;
  auto [Type, Port] = GENERATE(
      table<int, std::uint16_t>({{SOCK_STREAM, SidecarFixture::LinkPort},
                                 {SOCK_STREAM, SidecarFixture::OutboundPort},
                                 {SOCK_STREAM, SidecarFixture::MetricsPort},
                                 {SOCK_DGRAM, SidecarFixture::LinkPort}}));
  int Socket = socket(AF_INET, Type | SOCK_CLOEXEC, 0);
  int Enable = 1; // earlier connections may still hold the port
  if (Type == SOCK_STREAM)
    setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Enable, sizeof(Enable));
  auto Address = toSocketAddress(SidecarFixture::local(Port));
  REQUIRE(bind(Socket, reinterpret_cast<sockaddr *>(&Address),
               sizeof(Address)) == 0);
  REQUIRE((Type == SOCK_DGRAM || listen(Socket, 1) == 0));
  auto Start = Fixture.start(Milliseconds(20'000));
  Fixture.wait(Milliseconds(700));
  CHECK(Start->sidecar() == nullptr);
  CHECK(Fixture.readiness() == 0);
  close(Socket);
  Fixture.waitUntil([&]() { return Start->sidecar() != nullptr; });
  REQUIRE(Start->sidecar() != nullptr);
  CHECK(Fixture.report("/t1/ready") == 200);
  CHECK_FALSE(Fixture.HasFailed);
  Start.reset();
  Fixture.Store.dropCalls();
}

TEST_CASE("SidecarStart fails when an address stays in use", "[rpc]") {
  StartFixture Fixture;
  HttpServer Other(Fixture.Loop,
                   SidecarFixture::local(SidecarFixture::MetricsPort),
                   [](const std::shared_ptr<HttpExchange> &) {});
  auto Start = Fixture.start(Milliseconds(600));
  Fixture.waitUntil([&]() { return Fixture.HasFailed; });
  CHECK(Fixture.HasFailed);
  CHECK(Start->sidecar() == nullptr);
}
