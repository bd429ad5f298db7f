#include "MemoryMeter.h"
#include "OwnAddress.h"
#include "limpetdrum/connection/Http.h"
#include "limpetdrum/connection/SocketAddress.h"

#include <catch2/catch.hpp>
#include <event2/bufferevent.h>
#include <event2/event.h>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

const Endpoint ServerAddress{test::ownAddress(), 20993};
constexpr std::size_t Megabyte = 1000U * 1000U;

/// Server whose handler keeps the exchanges until they are answered.
struct MemoryFixture {
  EventLoop Loop;
  MemoryBudget Memory{8 * Megabyte};
  std::vector<std::shared_ptr<HttpExchange>> Exchanges;
  HttpServer Server{this->Loop, ServerAddress,
                    [this](std::shared_ptr<HttpExchange> Exchange) {
                      if (Exchange->request().ExceedsMemory)
                        Exchange->reply(503, {{"Retry-After", "1"}}, "no room");
                      else
                        this->Exchanges.push_back(std::move(Exchange));
                    },
                    this->options()};
  HttpClient Client{this->Loop, ServerAddress};

  HttpServerOptions options() {
    HttpServerOptions Options;
    Options.MaxBodyBytes = 64 * Megabyte;
    Options.Memory = &this->Memory;
    return Options;
  }

  HttpCall post(std::size_t Bytes) const {
    HttpCall Call;
    Call.Method = "POST";
    Call.Path = "/x";
    Call.Body = std::string(Bytes, 'x');
    Call.Timeout = Milliseconds(10'000);
    return Call;
  }

  template <typename Condition> void waitUntil(Condition IsMet) {
    auto Start = this->Loop.now();
    while (!IsMet() && this->Loop.now() - Start < Milliseconds(10'000)) {
      auto Timeout =
          this->Loop.after(Milliseconds(2), [this]() { this->Loop.stop(); });
      this->Loop.run();
    }
  }
};

/// Client that sends bytes on a connection of its own.
struct RawConnection {
  RawConnection(EventLoop &Loop, const std::string &Bytes)
      : Event(bufferevent_socket_new(Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)) {
    bufferevent_setcb(
        this->Event,
        [](bufferevent *Source, void *Context) {
          auto *Self = static_cast<RawConnection *>(Context);
          char Part[4096];
          for (std::size_t Size = 1; Size > 0;) {
            Size = bufferevent_read(Source, Part, sizeof(Part));
            Self->Received.append(Part, Size);
          }
        },
        nullptr, nullptr, this);
    bufferevent_enable(this->Event, EV_READ | EV_WRITE);
    bufferevent_write(this->Event, Bytes.data(), Bytes.size());
    auto Address = toSocketAddress(ServerAddress);
    bufferevent_socket_connect(
        this->Event, reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
  }
  ~RawConnection() { bufferevent_free(this->Event); }
  RawConnection(const RawConnection &) = delete;
  RawConnection &operator=(const RawConnection &) = delete;

  bufferevent *Event;
  std::string Received;
};

} // namespace

// Guards against a process that holds more bodies than its memory.
TEST_CASE("HttpServer reads no body beyond its memory", "[http]") {
  MemoryFixture Fixture;
  std::vector<HttpResponse> Responses;
  auto Done = [&](HttpResponse Value) {
    Responses.push_back(std::move(Value));
  };
  (void)Fixture.Client.send(Fixture.post(6 * Megabyte), Done);
  Fixture.waitUntil([&]() { return Fixture.Exchanges.size() == 1; });
  CHECK(Fixture.Memory.used() >= 6 * Megabyte);
  // The client is answered although it is still sending.
  (void)Fixture.Client.send(Fixture.post(20 * Megabyte), Done);
  Fixture.waitUntil([&]() { return Responses.size() == 1; });
  REQUIRE(Responses.size() == 1);
  CHECK(Responses[0].Status == 503);
  CHECK(Responses[0].Body == "no room");
  CHECK(Fixture.Memory.used() <= 8 * Megabyte);
  // A body that fits is taken at the same time.
  (void)Fixture.Client.send(Fixture.post(Megabyte), Done);
  Fixture.waitUntil([&]() { return Fixture.Exchanges.size() == 2; });
  REQUIRE(Fixture.Exchanges.size() == 2);
  CHECK(Fixture.Exchanges[1]->body().size() == Megabyte);
  for (auto &Exchange : Fixture.Exchanges)
    Exchange->reply(200, {}, "ok");
  Fixture.waitUntil([&]() { return Responses.size() == 3; });
  CHECK(Responses[1].Status == 200);
  CHECK(Responses[2].Status == 200);
  Fixture.Exchanges.clear();
  CHECK(Fixture.Memory.used() == 0);
}

// Guards against input that piles up while no request is read.
TEST_CASE("HttpServer stops to receive behind a full pipeline", "[http]") {
  MemoryFixture Fixture;
  HttpServerOptions Options = Fixture.options();
  Options.PipelineDepth = 4;
  Fixture.Server.setOptions(Options);
  const std::string Request = "POST /x HTTP/1.1\r\nHost: a\r\n"
                              "Content-Length: 5000000\r\n\r\n" +
                              std::string(5 * Megabyte, 'p');
  std::string Bytes;
  for (int I = 0; I < 4; ++I)
    Bytes += "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
  for (int I = 0; I < 4; ++I)
    Bytes += Request;
  RawConnection Client(Fixture.Loop, Bytes);
  Bytes.clear();
  Bytes.shrink_to_fit();
  MemoryMeter Meter;
  Fixture.waitUntil([&]() { return Fixture.Exchanges.size() == 4; });
  auto Start = Fixture.Loop.now();
  Fixture.waitUntil(
      [&]() { return Fixture.Loop.now() - Start > Milliseconds(300); });
  CHECK(Meter.peak() < Megabyte);
  for (auto &Exchange : std::exchange(Fixture.Exchanges, {}))
    Exchange->reply(200, {}, "ok");
  Fixture.waitUntil([&]() { return Fixture.Exchanges.size() >= 1; });
  CHECK(Fixture.Exchanges.at(0)->body().size() == 5 * Megabyte);
}

TEST_CASE("HttpServer counts a body of unknown length as it arrives",
          "[http]") {
  MemoryFixture Fixture;
  auto Chunks = GENERATE(8, 40);
  std::string Bytes = "POST /x HTTP/1.1\r\nHost: a\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n";
  for (int I = 0; I < Chunks; ++I)
    Bytes += "7a120\r\n" + std::string(Megabyte / 2, 'c') + "\r\n";
  Bytes += "0\r\n\r\n";
  RawConnection Client(Fixture.Loop, Bytes);
  if (Chunks == 8) {
    Fixture.waitUntil([&]() { return Fixture.Exchanges.size() == 1; });
    REQUIRE(Fixture.Exchanges.size() == 1);
    CHECK(Fixture.Exchanges[0]->body() == std::string(4 * Megabyte, 'c'));
    Fixture.Exchanges.clear();
  } else {
    Fixture.waitUntil([&]() { return !Client.Received.empty(); });
    CHECK(Client.Received.compare(0, 12, "HTTP/1.1 503") == 0);
    CHECK(Fixture.Exchanges.empty());
  }
  CHECK(Fixture.Memory.used() == 0);
}
