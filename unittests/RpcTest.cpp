#include "OwnAddress.h"
#include "RawClient.h"
#include "limpetdrum/connection/RpcClient.h"
#include "limpetdrum/daemon/PeerPool.h"

#include <catch2/catch.hpp>
#include <random>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

const Endpoint ServerEndpoint{test::ownAddress(), 20999};

/// Service that implements only probes.
class ProbeService final : public rpc::Node::Server {
protected:
  kj::Promise<void> probe(ProbeContext Context) override {
    Context.getResults().setIncarnation(42);
    return kj::READY_NOW;
  }
};

/// Service that holds level watches open.
class HoldingService final : public rpc::Node::Server {
public:
  explicit HoldingService(kj::Own<kj::PromiseFulfiller<void>> &HeldCall)
      : HeldCall(HeldCall) {}

protected:
  kj::Promise<void> watchLevels(WatchLevelsContext Context) override {
    Context.allowCancellation();
    auto Pair = kj::newPromiseAndFulfiller<void>();
    this->HeldCall = kj::mv(Pair.fulfiller);
    return kj::mv(Pair.promise);
  }

private:
  kj::Own<kj::PromiseFulfiller<void>> &HeldCall;
};

/// Runs the loop until a condition holds, for at most 5 seconds.
bool runUntil(EventLoop &Loop, const std::function<bool()> &Holds) {
  for (int Passes = 0; Passes < 1000 && !Holds(); ++Passes) {
    auto Pause = Loop.after(Milliseconds(5), [&]() { Loop.stop(); });
    Loop.run();
  }
  return Holds();
}

/// \returns the incarnation in the reply to a probe, or 0 if the probe failed.
std::uint64_t probe(EventLoop &Loop, RpcClient &Client) {
  std::uint64_t Incarnation = 0;
  auto Task = Client.node()
                  .probeRequest()
                  .send()
                  .then(
                      [&](capnp::Response<rpc::Node::ProbeResults> &&R) {
                        Incarnation = R.getIncarnation();
                        Loop.stop();
                      },
                      [&](kj::Exception &&) { Loop.stop(); })
                  .eagerlyEvaluate(nullptr);
  Loop.run();
  return Incarnation;
}

} // namespace

TEST_CASE("RpcServer serves a new caller after earlier ones have disconnected",
          "[rpc]") {
  EventLoop Loop;
  RpcServer Server(Loop, ServerEndpoint, kj::heap<ProbeService>());
  for (int I = 0; I < 5; ++I) {
    RpcClient Client(Loop, ServerEndpoint);
    CHECK(probe(Loop, Client) == 42);
  }
}

TEST_CASE("RpcServer serves callers after it received malformed bytes",
          "[rpc]") {
  EventLoop Loop;
  RpcServer Server(Loop, ServerEndpoint, kj::heap<ProbeService>());
  std::mt19937_64 Random(5);
  auto Bytes = [&](std::size_t Count) {
    std::string Text(Count, '\0');
    for (auto &Byte : Text)
      Byte = static_cast<char>(Random());
    return Text;
  };
  for (int I = 0; I < 100; ++I)
    sendRaw(Loop, ServerEndpoint, Bytes(1 + Random() % 300));
  // A segment that claims 4 G words; then segments of 8 words of random data.
  sendRaw(Loop, ServerEndpoint, std::string("\0\0\0\0\xff\xff\xff\xff", 8));
  for (int I = 0; I < 100; ++I)
    sendRaw(Loop, ServerEndpoint,
            std::string("\0\0\0\0\x08\0\0\0", 8) + Bytes(64));
  RpcClient Client(Loop, ServerEndpoint);
  CHECK(probe(Loop, Client) == 42);
}

// A call that is held for a caller that has disconnected would otherwise occupy
// its place among the watchers.
TEST_CASE("RpcServer cancels a held call when its caller disconnects",
          "[rpc]") {
  EventLoop Loop;
  kj::Own<kj::PromiseFulfiller<void>> HeldCall;
  RpcServer Server(Loop, ServerEndpoint, kj::heap<HoldingService>(HeldCall));
  auto Client = std::make_unique<RpcClient>(Loop, ServerEndpoint);
  auto Task =
      Client->node().watchLevelsRequest().send().ignoreResult().eagerlyEvaluate(
          [](kj::Exception &&) {});
  REQUIRE(runUntil(Loop, [&]() { return HeldCall.get() != nullptr; }));
  CHECK(HeldCall->isWaiting());
  Client->fail("disconnected by the test");
  Task = nullptr;
  Client.reset();
  CHECK(runUntil(Loop, [&]() { return !HeldCall->isWaiting(); }));
}

// The pool keeps connections open. If an attempt were sent on one that the peer
// has closed, it would count as handed over, and a request that runs once could
// not be tried at another node.
TEST_CASE("PeerPool reports an attempt to a stopped node as not handed over",
          "[rpc]") {
  EventLoop Loop;
  Metrics Counters;
  PeerPool Peers(Loop, Counters);
  Member Stopped;
  Stopped.Node = NodeId("gone");
  Stopped.Rpc = ServerEndpoint;
  auto Execute = [&]() {
    std::optional<PeerResult> Received;
    Peers.execute(Stopped, AttemptSpec(), [&](const PeerResult &Result) {
      Received = Result;
      Loop.stop();
    });
    while (!Received)
      Loop.run();
    return *Received;
  };
  auto Server = std::make_unique<RpcServer>(Loop, ServerEndpoint,
                                            kj::heap<ProbeService>());
  // The service does not implement execute(), so that its reply is
  // reported as malformed.
  CHECK(Execute().Kind == PeerResult::Kind::Malformed);
  RpcClient Other(Loop, ServerEndpoint);
  CHECK(probe(Loop, Other) == 42);
  Server.reset();
  // Both connections end at the same time.
  REQUIRE(runUntil(Loop, [&]() { return Other.isClosed(); }));
  static_cast<void>(
      runUntil(Loop, [Passes = 2]() mutable { return Passes-- == 0; }));
  auto Lost = Execute();
  CHECK(Lost.Kind == PeerResult::Kind::Lost);
  CHECK_FALSE(Lost.HandedOver);
}

TEST_CASE("RpcClient reports a refused connection as never connected",
          "[rpc]") {
  EventLoop Loop;
  RpcClient Client(Loop, ServerEndpoint);
  CHECK(probe(Loop, Client) == 0);
  CHECK_FALSE(Client.wasConnected());
}
