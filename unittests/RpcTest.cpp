#include "limpetdrum/connection/RpcClient.h"

#include <catch2/catch.hpp>

using namespace limpetdrum;

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

TEST_CASE("RpcClient tells a refused connection from a lost one", "[rpc]") {
  EventLoop Loop;
  RpcClient Client(Loop, Where);
  CHECK(probe(Loop, Client) == 0);
  CHECK_FALSE(Client.wasConnected());
}
