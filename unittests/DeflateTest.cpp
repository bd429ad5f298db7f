#include "limpetdrum/connection/Deflate.h"
#include "OwnAddress.h"
#include "limpetdrum/connection/PeerLink.h"

#include <catch2/catch.hpp>
#include <random>

using namespace limpetdrum;

namespace {

constexpr std::size_t MaxOutputBytes = 1U << 20U;

std::string message(std::mt19937_64 &Random, std::size_t Size) {
  std::string Text = "limpetdrum-request-id 9c41d07be2a35f68 /orders/";
  while (Text.size() < Size)
    Text += static_cast<char>('a' + Random() % 26);
  return Text;
}

} // namespace

TEST_CASE(
    "Inflater restores each message on arrival, however the bytes are split") {
  std::mt19937_64 Random(3);
  Deflater Compressor;
  Inflater Decompressor;
  std::string Restored;
  for (int I = 0; I < 300; ++I) {
    auto Sent = message(Random, I % 50 == 0 ? 70'000 : I);
    auto Bytes = Compressor.compress(Sent);
    Restored.clear();
    for (std::size_t Position = 0; Position < Bytes.size();) {
      auto Size =
          std::min<std::size_t>(Bytes.size() - Position, 1 + Random() % 999);
      REQUIRE(Decompressor.decompress(Bytes.data() + Position, Size,
                                      MaxOutputBytes, Restored));
      Position += Size;
    }
    REQUIRE(Restored == Sent);
  }
}

TEST_CASE("Deflater compresses a repeated message to a tenth of its size") {
  Deflater Compressor;
  std::mt19937_64 Random(3);
  auto Sent = message(Random, 400);
  (void)Compressor.compress(Sent);
  CHECK(Compressor.compress(Sent).size() < Sent.size() / 10);
}

TEST_CASE("Inflater rejects malformed, ended and oversized streams") {
  std::string Restored;
  CHECK_FALSE(
      Inflater().decompress("\xff\xff\xff\xff", 4, MaxOutputBytes, Restored));
  // The final block of a stream, which has no end.
  CHECK_FALSE(Inflater().decompress("\x03\x00", 2, MaxOutputBytes, Restored));
  Deflater Compressor;
  auto Bytes = Compressor.compress(std::string(100'000, 'a'));
  REQUIRE(Bytes.size() < 2'000);
  CHECK_FALSE(
      Inflater().decompress(Bytes.data(), Bytes.size(), 50'000, Restored));
  CHECK(Restored.size() <= 50'000);
}

TEST_CASE("PeerLink delivers messages in order in both formats", "[rpc]") {
  auto Format = GENERATE(PeerLink::Format::Plain, PeerLink::Format::Compressed);
  const Endpoint Address{test::ownAddress(), 20984};
  EventLoop Loop;
  std::unique_ptr<PeerLink> Accepted;
  PeerListener Listener(Loop, Address, [&](int Socket) {
    PeerLink::Events Events;
    // Echoes the texts to the sender.
    Events.OnFrame = [&](mesh::Frame::Reader Frame, const FrameBody &) {
      capnp::MallocMessageBuilder Message;
      Message.initRoot<mesh::Frame>().setPolicy(Frame.getPolicy());
      Accepted->send(encodeFrame(Message));
    };
    Accepted = std::make_unique<PeerLink>(Loop, Socket, std::move(Events));
  });
  std::mt19937_64 Random(5);
  std::vector<std::string> Sent;
  std::vector<std::string> Received;
  PeerLink::Events Events;
  Events.OnFrame = [&](mesh::Frame::Reader Frame, const FrameBody &) {
    Received.emplace_back(Frame.getPolicy().cStr());
    if (Received.size() == Sent.size())
      Loop.stop();
  };
  PeerLink Link(Loop, Address, std::move(Events), Format);
  for (int I = 0; I < 200; ++I) {
    Sent.push_back(message(Random, I % 40 == 0 ? 200'000 : 300));
    capnp::MallocMessageBuilder Message;
    Message.initRoot<mesh::Frame>().setPolicy(Sent.back());
    Link.send(encodeFrame(Message));
  }
  auto Timeout = Loop.after(Milliseconds(10'000), [&]() { Loop.stop(); });
  Loop.run();
  CHECK(Received == Sent);
}
