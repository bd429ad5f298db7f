#include "MemoryMeter.h"
#include "MeshNode.h"
#include "limpetdrum/connection/FrameReceiver.h"
#include "limpetdrum/connection/SocketAddress.h"

#include <catch2/catch.hpp>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

constexpr std::size_t Megabyte = 1U << 20U;
/// Of both ends of each connection, beside the messages.
constexpr std::size_t ConnectionBytes = 128U << 10U;

/// Connections that send the same bytes and never read or end.
class RawLinks {
public:
  /// \param Bytes are not copied.
  RawLinks(EventLoop &Loop, std::size_t Count, const std::string &Bytes) {
    auto Address = toSocketAddress(local(PortB));
    for (std::size_t I = 0; I < Count; ++I) {
      auto *Event =
          bufferevent_socket_new(Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
      bufferevent_setcb(
          Event, nullptr, nullptr,
          [](bufferevent *Ended, short Events, void *Self) {
            if ((Events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
              return;
            bufferevent_disable(Ended, EV_READ | EV_WRITE);
            ++static_cast<RawLinks *>(Self)->Closed;
          },
          this);
      bufferevent_enable(Event, EV_READ | EV_WRITE);
      bufferevent_socket_connect(Event, reinterpret_cast<sockaddr *>(&Address),
                                 sizeof(Address));
      evbuffer_add_reference(bufferevent_get_output(Event), Bytes.data(),
                             Bytes.size(), nullptr, nullptr);
      this->Events.push_back(Event);
    }
  }
  ~RawLinks() {
    for (auto *Event : this->Events)
      bufferevent_free(Event);
  }
  RawLinks(const RawLinks &) = delete;
  RawLinks &operator=(const RawLinks &) = delete;

  std::size_t Closed = 0;

private:
  std::vector<bufferevent *> Events;
};

/// Returns the beginning of a message.
std::string beginning(std::size_t Length, std::size_t Sent) {
  std::string Text;
  for (unsigned I = 0; I < FrameReceiver::LengthBytes; ++I)
    Text += static_cast<char>(Length >> (8 * I) & 0xff);
  return Text.append(Sent, 'a');
}

std::string hello(Incarnation Current) {
  MeshHello Hello;
  Hello.Status.Self = contact("c", PortC);
  Hello.Status.Incarnation = Current;
  return codec::encodeHello(Hello);
}

/// Returns the format of plain messages and a hello.
std::string plainHello() {
  return std::string(1, '\0') + hello(Incarnation(3));
}

} // namespace

// Guards against bytes without end from something that is no node.
TEST_CASE("Mesh bounds what it keeps of links without a hello", "[rpc]") {
  constexpr std::size_t Count = 200;
  auto Length = GENERATE(8 * Megabyte, 60'000);
  auto Bytes =
      std::string(1, '\0') + beginning(Length, std::min(Length, Megabyte) - 1);
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  MeshNode B(Loop, "b", PortB, 2);
  A.Links.add(contact("b", PortB));
  waitUntil(Loop, [&]() { return reaches(A, "b"); });
  MemoryMeter Meter;
  RawLinks Strangers(Loop, Count, Bytes);
  wait(Loop, 1000);
  CHECK(Meter.peak() < 4 * Megabyte + Count * ConnectionBytes / 4);
  CallResults Results;
  A.Links.call(NodeId("b"), attempt(), Results.recorder());
  waitUntil(Loop, [&]() { return !Results.All.empty(); });
  REQUIRE(Results.All.size() == 1);
  CHECK(Results.All[0].Kind == MeshResult::Kind::Replied);
  CHECK(A.Counters.counter("peers_lost") == 0);
  waitUntil(Loop, [&]() { return Strangers.Closed == Count; });
  CHECK(Strangers.Closed == Count);
}

TEST_CASE("Mesh closes links that carry no hello", "[rpc]") {
  EventLoop Loop;
  MeshNode B(Loop, "b", PortB, 2);
  std::string Format(1, '\x01');
  RawLinks Silent(Loop, 10, Format);
  waitUntil(Loop, [&]() { return Silent.Closed == 10; });
  CHECK(Silent.Closed == 10);
}

// Guards against messages that are each below the limit for one, and together
// exceed the memory of the process.
TEST_CASE("Mesh bounds the sum of messages that do not end", "[rpc]") {
  constexpr std::size_t Count = 30;
  auto Bytes = plainHello() + beginning(8 * Megabyte, 3 * Megabyte);
  EventLoop Loop;
  MeshNode A(Loop, "a", PortA, 1);
  MeshNode B(Loop, "b", PortB, 2);
  A.Links.add(contact("b", PortB));
  waitUntil(Loop, [&]() { return reaches(A, "b"); });
  MemoryMeter Meter;
  RawLinks Others(Loop, Count, Bytes);
  wait(Loop, 1000);
  CHECK(Meter.peak() <
        B.Frames.limit() + 4 * Megabyte + Count * ConnectionBytes);
  CallResults Results;
  A.Links.call(NodeId("b"), attempt(), Results.recorder());
  waitUntil(Loop, [&]() { return !Results.All.empty(); });
  REQUIRE(Results.All.size() == 1);
  CHECK(Results.All[0].Kind == MeshResult::Kind::Replied);
  CHECK(A.Counters.counter("peers_lost") == 0);
}

// Guards against announced bodies that hold the budget for requests for ever.
TEST_CASE("Mesh frees the memory of a body that does not come", "[rpc]") {
  EventLoop Loop;
  MeshNode B(Loop, "b", PortB, 2);
  auto Attempt = attempt();
  Attempt.Call = 1;
  Attempt.Request.Body = std::string(20 * Megabyte, 'b');
  Attempt.TimeLeft = Milliseconds(500);
  auto Bytes =
      plainHello() + codec::encodeAttempt(Attempt, {}, BodyPlace::InParts);
  RawLinks Other(Loop, 1, Bytes);
  waitUntil(Loop, [&]() { return B.Memory.used() > 0; });
  CHECK(B.Memory.used() > 0);
  CHECK(B.Memory.used() < Megabyte);
  waitUntil(Loop, [&]() { return B.Memory.used() == 0; });
  CHECK(B.Memory.used() == 0);
}

TEST_CASE("FrameReceiver restores messages however they are split") {
  auto Step = GENERATE(1U, 3U, 5000U, 20'000U);
  AnswerMemory Memory(Megabyte);
  FrameReceiver Receiver([]() {});
  Receiver.setLimits(10'000, &Memory);
  auto Sent = beginning(9000, 9000) + beginning(0, 0) + beginning(2, 2);
  std::vector<std::size_t> Lengths;
  for (std::size_t I = 0; I < Sent.size(); I += Step) {
    auto Piece = std::string_view(Sent).substr(I, Step);
    while (!Piece.empty()) {
      auto Result = Receiver.read(Piece);
      REQUIRE(Result != FrameReceiver::Result::NoMemory);
      if (Result != FrameReceiver::Result::Complete)
        continue;
      CHECK(Receiver.message() == std::string(Receiver.message().size(), 'a'));
      Lengths.push_back(Receiver.message().size());
      Receiver.drop();
    }
  }
  CHECK(Lengths == std::vector<std::size_t>{9000, 0, 2});
  CHECK(Memory.used() == 0);
}

TEST_CASE("FrameReceiver gives the longest message up") {
  AnswerMemory Memory(100'000);
  std::size_t GivenUp = 0;
  FrameReceiver Long([&]() { ++GivenUp; });
  FrameReceiver Short([&]() { GivenUp += 10; });
  Long.setLimits(Megabyte, &Memory);
  Short.setLimits(Megabyte, &Memory);
  auto Bytes = beginning(Megabyte, 60'000);
  std::string_view Input = Bytes;
  CHECK(Long.read(Input) == FrameReceiver::Result::NeedMore);
  Bytes = beginning(50'000, 50'000);
  Input = std::string_view(Bytes).substr(0, 45'000);
  CHECK(Short.read(Input) == FrameReceiver::Result::NeedMore);
  CHECK(GivenUp == 1);
  CHECK(Memory.used() <= Memory.limit());
  CHECK(Long.read(Input) == FrameReceiver::Result::NoMemory);
  Input = std::string_view(Bytes).substr(45'000);
  CHECK(Short.read(Input) == FrameReceiver::Result::Complete);
  CHECK(Short.message().size() == 50'000);
}

// Guards against a process that ends when it replies to a caller whose link
// took another name before it closed.
TEST_CASE("Mesh ignores a second hello of another incarnation", "[rpc]") {
  EventLoop Loop;
  MeshNode B(Loop, "b", PortB, 2);
  auto Bytes = plainHello() + hello(Incarnation(4));
  auto Renamed = std::make_unique<RawLinks>(Loop, 1, Bytes);
  waitUntil(Loop,
            [&]() { return B.Counters.counter("mesh_frames_malformed") == 1; });
  CHECK(B.Counters.counter("mesh_frames_malformed") == 1);
  Renamed.reset();
  wait(Loop, 100);
  CHECK_FALSE(B.Links.reply(callerKey(NodeId("c"), Incarnation(3)), 1, {}));
  CHECK_FALSE(B.Links.reply(callerKey(NodeId("c"), Incarnation(4)), 1, {}));
}
