#include "RawClient.h"
#include "limpetdrum/connection/RpcClient.h"
#include "limpetdrum/daemon/PeerPool.h"

#include <catch2/catch.hpp>
#include <random>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

constexpr Endpoint Where{0x7f000001, 20999};

/// Answers probes only.
class ProbeService final : public rpc::Node::Server {
protected:
  kj::Promise<void> probe(ProbeContext Context) override {
    Context.getResults().setIncarnation(42);
    return kj::READY_NOW;
  }
};

/// Holds whatever watches its levels.
class HoldingService final : public rpc::Node::Server {
public:
  explicit HoldingService(kj::Own<kj::PromiseFulfiller<void>> &Held)
      : Held(Held) {}

protected:
  kj::Promise<void> watchLevels(WatchLevelsContext Context) override {
    Context.allowCancellation();
    auto Pair = kj::newPromiseAndFulfiller<void>();
    this->Held = kj::mv(Pair.fulfiller);
    return kj::mv(Pair.promise);
  }

private:
  kj::Own<kj::PromiseFulfiller<void>> &Held;
};

/// Runs the loop until something holds, for 5 seconds at most.
bool runUntil(EventLoop &Loop, const std::function<bool()> &Holds) {
  for (int Passes = 0; Passes < 1000 && !Holds(); ++Passes) {
    auto Pause = Loop.after(Milliseconds(5), [&]() { Loop.stop(); });
    Loop.run();
  }
  return Holds();
}

/// \returns the incarnation that a probe gave, or 0 if it failed.
std::uint64_t probe(EventLoop &Loop, RpcClient &Client) {
  std::uint64_t Seen = 0;
  auto Task = Client.node()
                  .probeRequest()
                  .send()
                  .then(
                      [&](capnp::Response<rpc::Node::ProbeResults> &&R) {
                        Seen = R.getIncarnation();
                        Loop.stop();
                      },
                      [&](kj::Exception &&) { Loop.stop(); })
                  .eagerlyEvaluate(nullptr);
  Loop.run();
  return Seen;
}

} // namespace

TEST_CASE("RpcServer outlives the connections of its callers", "[rpc]") {
  EventLoop Loop;
  RpcServer Server(Loop, Where, kj::heap<ProbeService>());
  for (int I = 0; I < 5; ++I) {
    RpcClient Client(Loop, Where);
    CHECK(probe(Loop, Client) == 42);
  }
}

TEST_CASE("RpcServer outlives whatever bytes it is sent", "[rpc]") {
  EventLoop Loop;
  RpcServer Server(Loop, Where, kj::heap<ProbeService>());
  std::mt19937_64 Random(5);
  auto Bytes = [&](std::size_t Count) {
    std::string Text(Count, '\0');
    for (auto &Byte : Text)
      Byte = static_cast<char>(Random());
    return Text;
  };
  for (int I = 0; I < 100; ++I)
    sendRaw(Loop, Where, Bytes(1 + Random() % 300));
  // One segment of 4 G words; one of 8 words that hold nonsense.
  sendRaw(Loop, Where, std::string("\0\0\0\0\xff\xff\xff\xff", 8));
  for (int I = 0; I < 100; ++I)
    sendRaw(Loop, Where, std::string("\0\0\0\0\x08\0\0\0", 8) + Bytes(64));
  RpcClient Client(Loop, Where);
  CHECK(probe(Loop, Client) == 42);
}

TEST_CASE("RpcServer tells that the caller of a held call has hung up",
          "[rpc]") {
  EventLoop Loop;
  kj::Own<kj::PromiseFulfiller<void>> Held;
  RpcServer Server(Loop, Where, kj::heap<HoldingService>(Held));
  auto Client = std::make_unique<RpcClient>(Loop, Where);
  auto Task =
      Client->node().watchLevelsRequest().send().ignoreResult().eagerlyEvaluate(
          [](kj::Exception &&) {});
  REQUIRE(runUntil(Loop, [&]() { return Held.get() != nullptr; }));
  CHECK(Held->isWaiting());
  Client->fail("the test hangs up");
  Task = nullptr;
  Client.reset();
  CHECK(runUntil(Loop, [&]() { return !Held->isWaiting(); }));
}

TEST_CASE("PeerPool hands nothing over to a node that has gone", "[rpc]") {
  EventLoop Loop;
  Metrics Counters;
  PeerPool Peers(Loop, Counters);
  Member To;
  To.Node = NodeId("gone");
  To.Rpc = Where;
  auto Execute = [&]() {
    std::optional<PeerResult> Got;
    Peers.execute(To, AttemptSpec(), [&](const PeerResult &Result) {
      Got = Result;
      Loop.stop();
    });
    while (!Got)
      Loop.run();
    return *Got;
  };
  auto Server =
      std::make_unique<RpcServer>(Loop, Where, kj::heap<ProbeService>());
  // It answers, if only that it does not know the call.
  CHECK(Execute().Kind == PeerResult::Kind::Malformed);
  RpcClient Other(Loop, Where);
  CHECK(probe(Loop, Other) == 42);
  Server.reset();
  // Both connections end at once.
  REQUIRE(runUntil(Loop, [&]() { return Other.isClosed(); }));
  static_cast<void>(
      runUntil(Loop, [Passes = 2]() mutable { return Passes-- == 0; }));
  auto Lost = Execute();
  CHECK(Lost.Kind == PeerResult::Kind::Lost);
  CHECK_FALSE(Lost.HandedOver);
}

TEST_CASE("RpcClient tells a refused connection from a lost one", "[rpc]") {
  EventLoop Loop;
  RpcClient Client(Loop, Where);
  CHECK(probe(Loop, Client) == 0);
  CHECK_FALSE(Client.wasConnected());
}
