#include "limpetdrum/connection/Deflate.h"
#include "limpetdrum/connection/PeerLink.h"

#include <catch2/catch.hpp>
#include <random>

using namespace limpetdrum;

namespace {

constexpr std::size_t Most = 1U << 20U;

std::string message(std::mt19937_64 &Random, std::size_t Size) {
  std::string Text = "limpetdrum-request-id 9c41d07be2a35f68 /orders/";
  while (Text.size() < Size)
    Text += static_cast<char>('a' + Random() % 26);
  return Text;
}

} // namespace

TEST_CASE("An Inflater reads each message on its arrival, however it is cut") {
  std::mt19937_64 Random(3);
  Deflater Out;
  Inflater In;
  std::string Read;
  for (int I = 0; I < 300; ++I) {
    auto Sent = message(Random, I % 50 == 0 ? 70'000 : I);
    auto Bytes = Out.compress(Sent);
    Read.clear();
    for (std::size_t At = 0; At < Bytes.size();) {
      auto Size = std::min<std::size_t>(Bytes.size() - At, 1 + Random() % 999);
      REQUIRE(In.decompress(Bytes.data() + At, Size, Most, Read));
      At += Size;
    }
    REQUIRE(Read == Sent);
  }
}

TEST_CASE("A Deflater sends what repeats once") {
  Deflater Out;
  std::mt19937_64 Random(3);
  auto Sent = message(Random, 400);
  (void)Out.compress(Sent);
  CHECK(Out.compress(Sent).size() < Sent.size() / 10);
}

TEST_CASE("An Inflater refuses nonsense, an end, and too much") {
  std::string Read;
  CHECK_FALSE(Inflater().decompress("\xff\xff\xff\xff", 4, Most, Read));
  // The last block of a stream.
  CHECK_FALSE(Inflater().decompress("\x03\x00", 2, Most, Read));
  Deflater Out;
  auto Bytes = Out.compress(std::string(100'000, 'a'));
  REQUIRE(Bytes.size() < 2'000);
  CHECK_FALSE(Inflater().decompress(Bytes.data(), Bytes.size(), 50'000, Read));
  CHECK(Read.size() <= 50'000);
}

TEST_CASE("PeerLinks carry messages in either format", "[rpc]") {
  auto Format = GENERATE(PeerLink::Format::Plain, PeerLink::Format::Compressed);
  constexpr Endpoint Where{0x7f000001, 20984};
  EventLoop Loop;
  std::unique_ptr<PeerLink> Accepted;
  PeerListener Listener(Loop, Where, [&](int Socket) {
    PeerLink::Events Events;
    // Echoes the texts.
    Events.OnFrame = [&](mesh::Frame::Reader Frame) {
      capnp::MallocMessageBuilder Message;
      Message.initRoot<mesh::Frame>().setPolicy(Frame.getPolicy());
      Accepted->send(toBytes(Message));
    };
    Accepted = std::make_unique<PeerLink>(Loop, Socket, std::move(Events));
  });
  std::mt19937_64 Random(5);
  std::vector<std::string> Sent;
  std::vector<std::string> Back;
  PeerLink::Events Events;
  Events.OnFrame = [&](mesh::Frame::Reader Frame) {
    Back.emplace_back(Frame.getPolicy().cStr());
    if (Back.size() == Sent.size())
      Loop.stop();
  };
  PeerLink Link(Loop, Where, std::move(Events), Format);
  for (int I = 0; I < 200; ++I) {
    Sent.push_back(message(Random, I % 40 == 0 ? 200'000 : 300));
    capnp::MallocMessageBuilder Message;
    Message.initRoot<mesh::Frame>().setPolicy(Sent.back());
    Link.send(toBytes(Message));
  }
  auto Limit = Loop.after(Milliseconds(10'000), [&]() { Loop.stop(); });
  Loop.run();
  CHECK(Back == Sent);
}
