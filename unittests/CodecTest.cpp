#include "limpetdrum/daemon/Codec.h"
#include "FakeClock.h"
#include "limpetdrum/Config.h"
#include "limpetdrum/process/Error.h"

#include <capnp/message.h>
#include <catch2/catch.hpp>
#include <random>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

GossipMessage rumor(std::size_t Updates) {
  GossipMessage M;
  M.Kind = GossipKind::Rumor;
  M.Sender = NodeId("ordering-1");
  M.Revision = Revision(7);
  for (std::size_t I = 0; I < Updates; ++I) {
    Member Update;
    Update.Node = NodeId("node-" + std::to_string(I));
    Update.Incarnation = Incarnation(1'700'000'000'000'000 + I);
    Update.Service = ServiceName("ordering");
    Update.FailureDomain = FailureDomain("trondelag-a");
    Update.Region = Region("trondelag");
    Update.Rpc = {0x0a000007, 7402};
    Update.Target = TargetState::Draining;
    M.Updates.push_back(Update);
  }
  return M;
}

} // namespace

TEST_CASE("Codec round-trips a datagram", "[codec]") {
  auto Decoded = codec::decode(codec::encode(rumor(3)));
  REQUIRE(Decoded);
  CHECK(Decoded->Sender == NodeId("ordering-1"));
  CHECK(Decoded->Revision == Revision(7));
  REQUIRE(Decoded->Updates.size() == 3);
  CHECK(Decoded->Updates[2].Target == TargetState::Draining);
  CHECK(Decoded->Updates[2].Rpc == Endpoint{0x0a000007, 7402});
}

TEST_CASE("Codec limits datagrams to MaxDatagramBytes", "[codec]") {
  auto Bytes = codec::encode(rumor(100));
  CHECK(Bytes.size() <= MaxDatagramBytes);
  REQUIRE(codec::decode(Bytes));
  CHECK(codec::decode(Bytes)->Updates.size() > 5);
}

// Any bytes can arrive from the network: decode() must neither throw nor read
// out of bounds.
TEST_CASE("Codec decodes truncated and altered datagrams without failure",
          "[codec]") {
  auto Whole = codec::encode(rumor(5));
  std::mt19937_64 Random(3);
  for (std::size_t Size = 0; Size < Whole.size(); ++Size)
    static_cast<void>(codec::decode(Whole.substr(0, Size)));
  for (int I = 0; I < 20000; ++I) {
    auto Altered = Whole;
    for (int Changes = 0; Changes < 4; ++Changes)
      Altered[Random() % Altered.size()] = static_cast<char>(Random());
    static_cast<void>(codec::decode(Altered));
  }
  CHECK_FALSE(codec::decode(""));
  CHECK_FALSE(codec::decode("hello"));
}

TEST_CASE("Codec rejects attempts with a field out of range", "[codec]") {
  capnp::MallocMessageBuilder Message;
  auto Out = Message.initRoot<rpc::Attempt>();
  SECTION("cohort above 1") { Out.setCohort(2); }
  SECTION("cohort that is not a number") { Out.setCohort(std::nanf("")); }
  SECTION("class rank above the maximum") { Out.setClassRank(200); }
  SECTION("key too long") { Out.setKey(std::string(5000, 'k')); }
  SECTION("body too long") { Out.initBody(MaxBodyBytes + 1); }
  CHECK_THROWS_AS(codec::read(Out.asReader()), ValueError);
}

TEST_CASE("Codec rejects level thresholds out of range", "[codec]") {
  capnp::MallocMessageBuilder Message;
  auto Level = Message.initRoot<rpc::Reply>().initLevels(1)[0];
  auto Read = [&]() {
    return codec::read(Message.getRoot<rpc::Reply>().asReader());
  };
  Level.setThreshold(0.5F);
  CHECK(Read().Levels.size() == 1);
  Level.setThreshold(GENERATE(-1.0F, 1000.0F, std::nanf("")));
  CHECK_THROWS_AS(Read(), ValueError);
}

TEST_CASE("Codec round-trips a key record with its reply", "[codec]") {
  FakeClock Clock;
  capnp::MallocMessageBuilder Message;
  KeyRecord Record;
  Record.Holder = {NodeId("a"), Incarnation(3)};
  Record.Settled = true;
  Record.Reply.Outcome = Outcome::Answered;
  Record.Reply.Body = "pallet";
  Record.Expiry = Clock.now() + Milliseconds(500);
  auto Out = Message.initRoot<rpc::KeyRecord>();
  codec::write(Out, IdempotencyKey("k"), Record, Clock.now());
  Clock.advance(Milliseconds(100));
  auto [Key, Decoded] = codec::read(Out.asReader(), Clock.now());
  CHECK(Key == IdempotencyKey("k"));
  CHECK(Decoded.Holder == Record.Holder);
  CHECK(Decoded.Reply.Body == "pallet");
  CHECK(Decoded.Expiry == Clock.now() + Milliseconds(500));
}
