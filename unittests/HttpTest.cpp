#include "limpetdrum/connection/Http.h"
#include "OwnAddress.h"
#include "RawClient.h"
#include "limpetdrum/Config.h"

#include <array>
#include <catch2/catch.hpp>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <optional>
#include <random>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

const Endpoint ServerAddress{test::ownAddress(), 20998};

/// Server that sends a fixed response to any input and closes the connection
/// 20 ms later.
class RawServer {
public:
  RawServer(EventLoop &Loop, std::string Response)
      : Loop(Loop), Response(std::move(Response)) {
    auto Address = toSocketAddress(ServerAddress);
    this->Listener = evconnlistener_new_bind(
        Loop.base(),
        [](evconnlistener *, evutil_socket_t Socket, sockaddr *, int,
           void *Self) { static_cast<RawServer *>(Self)->onAccept(Socket); },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 16,
        reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
    REQUIRE(this->Listener != nullptr);
  }
  ~RawServer() {
    this->closeAll();
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
          static_cast<RawServer *>(Self)->respond(E);
        },
        nullptr, nullptr, this);
    bufferevent_enable(Event, EV_READ | EV_WRITE);
    this->Open.push_back(Event);
  }

  void closeAll() {
    for (auto *Event : std::exchange(this->Open, {}))
      bufferevent_free(Event);
  }

  void respond(bufferevent *Event) {
    bufferevent_write(Event, this->Response.data(), this->Response.size());
    bufferevent_disable(Event, EV_READ);
    this->CloseTimer =
        this->Loop.after(Milliseconds(20), [this]() { this->closeAll(); });
  }

  EventLoop &Loop;
  std::string Response;
  evconnlistener *Listener;
  Timer CloseTimer;
  std::vector<bufferevent *> Open;
};

/// Server whose connections are accepted, written and closed by the test,
/// without the loop.
class RawListener {
public:
  RawListener() : Listener(::socket(AF_INET, SOCK_STREAM, 0)) {
    int Enable = 1;
    ::setsockopt(this->Listener, SOL_SOCKET, SO_REUSEADDR, &Enable,
                 sizeof(Enable));
    auto Address = toSocketAddress(ServerAddress);
    REQUIRE(::bind(this->Listener, reinterpret_cast<sockaddr *>(&Address),
                   sizeof(Address)) == 0);
    REQUIRE(::listen(this->Listener, 256) == 0);
  }
  ~RawListener() {
    this->closeAll();
    ::close(this->Listener);
  }
  RawListener(const RawListener &) = delete;
  RawListener &operator=(const RawListener &) = delete;

  void acceptAndSend(const std::string &Bytes) {
    this->Open.push_back(::accept(this->Listener, nullptr, nullptr));
    REQUIRE(::send(this->Open.back(), Bytes.data(), Bytes.size(), 0) ==
            static_cast<ssize_t>(Bytes.size()));
  }
  void closeAll() {
    for (int Socket : std::exchange(this->Open, {}))
      ::close(Socket);
  }

private:
  int Listener;
  std::vector<int> Open;
};

HttpResponse sendRequest(EventLoop &Loop, const HttpCall &Call = {}) {
  HttpClient Client(Loop, ServerAddress);
  HttpResponse Result;
  auto Request = Call;
  Request.Path = "/x";
  Client.send(Request, [&](HttpResponse Response) {
    Result = std::move(Response);
    Loop.stop();
  });
  Loop.run();
  return Result;
}

} // namespace

TEST_CASE("HttpClient accepts only complete responses", "[http]") {
  struct Case {
    const char *Response;
    HttpOutcome Expected;
  };
  auto C = GENERATE(
      Case{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
           HttpOutcome::Answered},
      Case{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
           "5\r\nhello\r\n0\r\n\r\n",
           HttpOutcome::Answered},
      // Truncated body, truncated chunk, no length, malformed, empty line.
      Case{"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello",
           HttpOutcome::Broken},
      Case{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
           "50\r\nhello",
           HttpOutcome::Broken},
      Case{"HTTP/1.1 200 OK\r\n\r\nhello", HttpOutcome::Broken},
      Case{"what?\r\n\r\n", HttpOutcome::Broken},
      Case{"\r\n", HttpOutcome::Broken});
  EventLoop Loop;
  RawServer Server(Loop, C.Response);
  auto Result = sendRequest(Loop);
  INFO(C.Response);
  CHECK(Result.Outcome == C.Expected);
  if (C.Expected == HttpOutcome::Answered)
    CHECK(Result.Body == "hello");
}

TEST_CASE("HttpClient reports a refused connection as not connected",
          "[http]") {
  EventLoop Loop;
  CHECK(sendRequest(Loop).Outcome == HttpOutcome::NotConnected);
}

TEST_CASE("HttpClient fails a request to a server that sends nothing",
          "[http]") {
  EventLoop Loop;
  RawServer Server(Loop, "");
  HttpCall Call;
  Call.Timeout = Milliseconds(50);
  CHECK(sendRequest(Loop, Call).Outcome != HttpOutcome::Answered);
}

TEST_CASE("HttpServer limits the size of bodies and headers", "[http]") {
  EventLoop Loop;
  int Served = 0;
  HttpServer Server(Loop, ServerAddress,
                    [&](std::shared_ptr<HttpExchange> Exchange) {
                      ++Served;
                      Exchange->reply(200, {}, "ok");
                    });
  HttpCall Call;
  Call.Method = "POST";
  SECTION("body at the limit") {
    Call.Body = std::string(MaxBodyBytes, 'x');
    CHECK(sendRequest(Loop, Call).Status == 200);
  }
  SECTION("body above the limit") {
    Call.Body = std::string(MaxBodyBytes + 1, 'x');
    CHECK(sendRequest(Loop, Call).Status != 200);
    CHECK(Served == 0);
  }
  SECTION("headers above the limit") {
    Call.Headers.emplace_back("X", std::string(MaxHeaderBytes + 1, 'x'));
    CHECK(sendRequest(Loop, Call).Status != 200);
    CHECK(Served == 0);
  }
}

TEST_CASE("HttpServer passes only complete requests to its handler and "
          "survives malformed input",
          "[http]") {
  EventLoop Loop;
  std::vector<std::string> Served;
  HttpServer Server(Loop, ServerAddress,
                    [&](std::shared_ptr<HttpExchange> Exchange) {
                      Served.push_back(Exchange->body());
                      Exchange->reply(200, {}, "ok");
                    });
  std::mt19937_64 Random(5);
  const std::string Complete =
      "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 20\r\n\r\n"
      "twenty bytes of text";
  for (std::size_t Length = 0; Length < Complete.size(); Length += 3)
    sendRaw(Loop, ServerAddress, Complete.substr(0, Length));
  CHECK(Served.empty());
  for (int I = 0; I < 100; ++I) {
    auto Altered = Complete;
    Altered[Random() % 70] = static_cast<char>(Random());
    sendRaw(Loop, ServerAddress, Altered);
  }
  for (int I = 0; I < 50; ++I) {
    std::string Noise(1 + Random() % 300, '\0');
    for (auto &Byte : Noise)
      Byte = static_cast<char>(Random());
    sendRaw(Loop, ServerAddress, Noise);
  }
  Served.clear();
  sendRaw(Loop, ServerAddress, Complete);
  CHECK(Served == std::vector<std::string>{"twenty bytes of text"});
}

TEST_CASE("HttpServer notifies the handler when the client disconnects",
          "[http]") {
  EventLoop Loop;
  std::shared_ptr<HttpExchange> Open;
  bool Disconnected = false;
  HttpServer Server(Loop, ServerAddress,
                    [&](std::shared_ptr<HttpExchange> Exchange) {
                      Open = std::move(Exchange);
                      Open->onClientDisconnect([&]() {
                        Disconnected = true;
                        Loop.stop();
                      });
                    });
  HttpClient Client(Loop, ServerAddress);
  HttpCall Call;
  Call.Path = "/x";
  auto CallId = Client.send(Call, [](const HttpResponse &) {});
  auto Cancel = Loop.after(Milliseconds(30), [&]() { Client.cancel(CallId); });
  auto Timeout = Loop.after(std::chrono::seconds(5), [&]() { Loop.stop(); });
  Loop.run();
  CHECK(Disconnected);
  CHECK_FALSE(Open->isOpen());
}

namespace {

/// Client that asks for a large body and reads it in pieces.
class SlowReader {
public:
  explicit SlowReader(EventLoop &Loop)
      : Socket(::socket(AF_INET, SOCK_STREAM, 0)) {
    int Size = 4096;
    setsockopt(this->Socket, SOL_SOCKET, SO_RCVBUF, &Size, sizeof(Size));
    auto Address = toSocketAddress(ServerAddress);
    REQUIRE(::connect(this->Socket, reinterpret_cast<sockaddr *>(&Address),
                      sizeof(Address)) == 0);
    const std::string Request = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
    REQUIRE(::send(this->Socket, Request.data(), Request.size(), 0) ==
            static_cast<ssize_t>(Request.size()));
    this->Ticker = Loop.every(Milliseconds(20), [this]() { this->read(); });
  }
  ~SlowReader() { ::close(this->Socket); }
  SlowReader(const SlowReader &) = delete;
  SlowReader &operator=(const SlowReader &) = delete;

  unsigned PiecesPerTick = 1;
  std::size_t Received = 0;
  bool Closed = false;

private:
  void read() {
    std::array<char, 16384> Buffer;
    for (unsigned I = 0; I < this->PiecesPerTick && !this->Closed; ++I) {
      auto Size =
          ::recv(this->Socket, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
      if (Size < 0 && errno == EAGAIN)
        return;
      this->Closed = Size <= 0;
      this->Received += static_cast<std::size_t>(std::max<ssize_t>(Size, 0));
    }
  }

  int Socket;
  Timer Ticker;
};

} // namespace

TEST_CASE("HttpServer keeps a client that reads slowly, not one that stalls",
          "[http]") {
  constexpr std::size_t BodyBytes = 64U * 1024U * 1024U;
  EventLoop Loop;
  HttpServerOptions Options;
  Options.StallTimeout = Milliseconds(600);
  HttpServer Server(
      Loop, ServerAddress,
      [](const std::shared_ptr<HttpExchange> &Exchange) {
        Exchange->reply(200, {}, std::string(BodyBytes, '.'));
      },
      Options);
  auto Run = [&](Milliseconds Span) {
    auto Timeout = Loop.after(Span, [&]() { Loop.stop(); });
    Loop.run();
  };
  auto ReadAll = [&](SlowReader &Reader) {
    // Sanitizers on a busy machine take seconds for the body; a client that is
    // cut off ends the loop at once.
    constexpr int MaxTurns = 600;
    Reader.PiecesPerTick = 10'000;
    for (int I = 0;
         I < MaxTurns && !Reader.Closed && Reader.Received <= BodyBytes; ++I)
      Run(Milliseconds(50));
  };
  SlowReader Slow(Loop);
  Run(Milliseconds(1500));
  ReadAll(Slow);
  CHECK(Slow.Received > BodyBytes);
  SlowReader Stalled(Loop);
  Stalled.PiecesPerTick = 0;
  Run(Milliseconds(1500));
  ReadAll(Stalled);
  CHECK(Stalled.Closed);
  CHECK(Stalled.Received < BodyBytes);
}

TEST_CASE("HttpClient reads answers that arrived during a pause before it "
          "times out",
          "[http]") {
  constexpr std::size_t CallCount = 100;
  constexpr std::size_t BodyBytes = 40'000;
  EventLoop Loop;
  RawListener Server;
  HttpClient Client(Loop, ServerAddress);
  std::size_t Ended = 0;
  std::size_t Answered = 0;
  HttpCall Call;
  Call.Timeout = Milliseconds(1000);
  for (std::size_t I = 0; I < CallCount; ++I)
    Client.send(Call, [&](const HttpResponse &Response) {
      Answered += Response.Outcome == HttpOutcome::Answered ? 1 : 0;
      if (++Ended == CallCount)
        Loop.stop();
    });
  auto Sent = Loop.after(Milliseconds(100), [&]() { Loop.stop(); });
  Loop.run();
  for (std::size_t I = 0; I < CallCount; ++I)
    Server.acceptAndSend(
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(BodyBytes) +
        "\r\n\r\n" + std::string(BodyBytes, '.'));
  std::this_thread::sleep_for(Call.Timeout + Milliseconds(200));
  auto Limit = Loop.after(Milliseconds(5000), [&]() { Loop.stop(); });
  Loop.run();
  CHECK(Ended == CallCount);
  CHECK(Answered == CallCount);
}

TEST_CASE("HttpClient reads an early answer that a reset follows", "[http]") {
  EventLoop Loop;
  RawListener Server;
  HttpClient Client(Loop, ServerAddress);
  std::optional<HttpResponse> Result;
  HttpCall Call;
  Call.Method = "PUT";
  Call.Body = std::string(16U * 1024U * 1024U, '.');
  Client.send(Call, [&](HttpResponse Response) {
    Result = std::move(Response);
    Loop.stop();
  });
  auto Sent = Loop.after(Milliseconds(100), [&]() { Loop.stop(); });
  Loop.run();
  Server.acceptAndSend("HTTP/1.1 503 Service Unavailable\r\n"
                       "Content-Length: 0\r\nConnection: close\r\n\r\n");
  Server.closeAll();
  auto Limit = Loop.after(Milliseconds(2000), [&]() { Loop.stop(); });
  Loop.run();
  REQUIRE(Result);
  CHECK(Result->Outcome == HttpOutcome::Answered);
  CHECK(Result->Status == 503);
}

TEST_CASE("HttpClient finds out whether a server has ended", "[http]") {
  EventLoop Loop;
  HttpClient Client(Loop, ServerAddress);
  auto HasEnded = [&]() {
    std::optional<bool> Result;
    Client.checkEnded([&](bool Value) {
      Result = Value;
      Loop.stop();
    });
    Loop.run();
    return Result;
  };
  CHECK(HasEnded() == true);
  HttpServer Server(Loop, ServerAddress,
                    [](const std::shared_ptr<HttpExchange> &Exchange) {
                      Exchange->reply(200, {}, "");
                    });
  CHECK(HasEnded() == false);
  // The connection is not wasted.
  auto Opened = Client.connectionsOpened();
  HttpResponse Answer;
  HttpCall Call;
  Call.Path = "/";
  Client.send(Call, [&](HttpResponse Value) {
    Answer = std::move(Value);
    Loop.stop();
  });
  Loop.run();
  CHECK(Answer.Status == 200);
  CHECK(Client.connectionsOpened() == Opened);
}

// Guards against taking a connection that fails at once for a sign that the
// server has ended.
TEST_CASE("HttpClient checks a server to which no socket can be opened",
          "[http]") {
  EventLoop Loop;
  constexpr Endpoint LoopbackBroadcast{0x7fffffff, 20998};
  HttpClient Client(Loop, LoopbackBroadcast);
  std::optional<bool> HasEnded;
  Client.checkEnded([&](bool Value) { HasEnded = Value; });
  auto Timeout = Loop.after(Milliseconds(300), [&]() { Loop.stop(); });
  Loop.run();
  CHECK(HasEnded == false);
}

// Guards against a request that could not be sent and is held until its time
// has passed.
TEST_CASE("HttpClient reports a connection that fails at once, from the loop",
          "[http]") {
  EventLoop Loop;
  constexpr Endpoint LoopbackBroadcast{0x7fffffff, 20998};
  HttpClient Client(Loop, LoopbackBroadcast);
  std::optional<HttpOutcome> Outcome;
  HttpCall Call;
  auto Send = [&]() {
    return Client.send(Call, [&](const HttpResponse &Value) {
      Outcome = Value.Outcome;
      Loop.stop();
    });
  };
  (void)Send();
  CHECK_FALSE(Outcome);
  Loop.run();
  CHECK(Outcome == HttpOutcome::NotConnected);
  Outcome.reset();
  Client.cancel(Send());
  auto Timeout = Loop.after(Milliseconds(50), [&]() { Loop.stop(); });
  Loop.run();
  CHECK_FALSE(Outcome);
}
