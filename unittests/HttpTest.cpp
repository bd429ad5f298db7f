#include "limpetdrum/connection/Http.h"
#include "RawClient.h"
#include "limpetdrum/Config.h"

#include <catch2/catch.hpp>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <random>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

constexpr Endpoint Where{0x7f000001, 20998};

/// A server that says one thing to whatever it reads, and then hangs up.
class RawServer {
public:
  RawServer(EventLoop &Loop, std::string Says)
      : Loop(Loop), Says(std::move(Says)) {
    auto Address = toSocketAddress(Where);
    this->Listener = evconnlistener_new_bind(
        Loop.base(),
        [](evconnlistener *, evutil_socket_t Socket, sockaddr *, int,
           void *Self) { static_cast<RawServer *>(Self)->onAccept(Socket); },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 16,
        reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
    REQUIRE(this->Listener != nullptr);
  }
  ~RawServer() {
    this->hangUp();
    evconnlistener_free(this->Listener);
  }
  RawServer(const RawServer &) = delete;
  RawServer &operator=(const RawServer &) = delete;

private:
  void onAccept(evutil_socket_t Socket) {
    auto *Event = bufferevent_socket_new(this->Loop.base(), Socket,
                                         BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(
        Event,
        [](bufferevent *E, void *Self) {
          static_cast<RawServer *>(Self)->answer(E);
        },
        nullptr, nullptr, this);
    bufferevent_enable(Event, EV_READ | EV_WRITE);
    this->Open.push_back(Event);
  }

  void hangUp() {
    for (auto *Event : std::exchange(this->Open, {}))
      bufferevent_free(Event);
  }

  void answer(bufferevent *Event) {
    bufferevent_write(Event, this->Says.data(), this->Says.size());
    bufferevent_disable(Event, EV_READ);
    this->HangUp =
        this->Loop.after(Milliseconds(20), [this]() { this->hangUp(); });
  }

  EventLoop &Loop;
  std::string Says;
  evconnlistener *Listener;
  Timer HangUp;
  std::vector<bufferevent *> Open;
};

HttpResponse ask(EventLoop &Loop, const HttpCall &Call = {}) {
  HttpClient Client(Loop, Where);
  HttpResponse Got;
  auto Sent = Call;
  Sent.Path = "/x";
  Client.send(Sent, [&](HttpResponse Answer) {
    Got = std::move(Answer);
    Loop.stop();
  });
  Loop.run();
  return Got;
}

} // namespace

TEST_CASE("HttpClient takes whole answers only", "[http]") {
  struct Case {
    const char *Says;
    HttpOutcome Expected;
  };
  auto C = GENERATE(
      Case{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
           HttpOutcome::Answered},
      Case{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
           "5\r\nhello\r\n0\r\n\r\n",
           HttpOutcome::Answered},
      // Cut in the body, cut in a chunk, without a length, nonsense, nothing.
      Case{"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello",
           HttpOutcome::Broken},
      Case{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
           "50\r\nhello",
           HttpOutcome::Broken},
      Case{"HTTP/1.1 200 OK\r\n\r\nhello", HttpOutcome::Broken},
      Case{"what?\r\n\r\n", HttpOutcome::Broken},
      Case{"\r\n", HttpOutcome::Broken});
  EventLoop Loop;
  RawServer Server(Loop, C.Says);
  auto Got = ask(Loop);
  INFO(C.Says);
  CHECK(Got.Outcome == C.Expected);
  if (C.Expected == HttpOutcome::Answered)
    CHECK(Got.Body == "hello");
}

TEST_CASE("HttpClient tells that nothing was handed over", "[http]") {
  EventLoop Loop;
  CHECK(ask(Loop).Outcome == HttpOutcome::NotConnected);
}

TEST_CASE("HttpClient gives up a silent server", "[http]") {
  EventLoop Loop;
  RawServer Server(Loop, "");
  HttpCall Call;
  Call.Timeout = Milliseconds(50);
  CHECK(ask(Loop, Call).Outcome != HttpOutcome::Answered);
}

TEST_CASE("HttpServer bounds what it reads", "[http]") {
  EventLoop Loop;
  int Served = 0;
  HttpServer Server(Loop, Where, [&](std::shared_ptr<HttpExchange> Exchange) {
    ++Served;
    Exchange->reply(200, {}, "ok");
  });
  HttpCall Call;
  Call.Method = "POST";
  SECTION("a body at the bound") {
    Call.Body.assign(MaxBodyBytes, 'x');
    CHECK(ask(Loop, Call).Status == 200);
  }
  SECTION("a body beyond it") {
    Call.Body.assign(MaxBodyBytes + 1, 'x');
    CHECK(ask(Loop, Call).Status != 200);
    CHECK(Served == 0);
  }
  SECTION("headers beyond theirs") {
    Call.Headers.emplace_back("X", std::string(MaxHeaderBytes + 1, 'x'));
    CHECK(ask(Loop, Call).Status != 200);
    CHECK(Served == 0);
  }
}

TEST_CASE("HttpServer passes on whole requests only, whatever it is sent",
          "[http]") {
  EventLoop Loop;
  std::vector<std::string> Served;
  HttpServer Server(Loop, Where, [&](std::shared_ptr<HttpExchange> Exchange) {
    Served.push_back(Exchange->body());
    Exchange->reply(200, {}, "ok");
  });
  std::mt19937_64 Random(5);
  const std::string Whole =
      "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 20\r\n\r\n"
      "twenty bytes of text";
  for (std::size_t Cut = 0; Cut < Whole.size(); Cut += 3)
    sendRaw(Loop, Where, Whole.substr(0, Cut));
  CHECK(Served.empty());
  for (int I = 0; I < 100; ++I) {
    auto Altered = Whole;
    Altered[Random() % 70] = static_cast<char>(Random());
    sendRaw(Loop, Where, Altered);
  }
  for (int I = 0; I < 50; ++I) {
    std::string Noise(1 + Random() % 300, '\0');
    for (auto &Byte : Noise)
      Byte = static_cast<char>(Random());
    sendRaw(Loop, Where, Noise);
  }
  Served.clear();
  sendRaw(Loop, Where, Whole);
  CHECK(Served == std::vector<std::string>{"twenty bytes of text"});
}

TEST_CASE("HttpServer tells that the client left", "[http]") {
  EventLoop Loop;
  std::shared_ptr<HttpExchange> Kept;
  bool Gone = false;
  HttpServer Server(Loop, Where, [&](std::shared_ptr<HttpExchange> Exchange) {
    Kept = std::move(Exchange);
    Kept->onClientDisconnect([&]() {
      Gone = true;
      Loop.stop();
    });
  });
  HttpClient Client(Loop, Where);
  HttpCall Call;
  Call.Path = "/x";
  auto Ticket = Client.send(Call, [](const HttpResponse &) {});
  auto Cancel = Loop.after(Milliseconds(30), [&]() { Client.cancel(Ticket); });
  auto Limit = Loop.after(std::chrono::seconds(5), [&]() { Loop.stop(); });
  Loop.run();
  CHECK(Gone);
  CHECK_FALSE(Kept->isOpen());
}
