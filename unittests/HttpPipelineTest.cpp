#include "OwnAddress.h"
#include "limpetdrum/connection/Http.h"
#include "limpetdrum/connection/SocketAddress.h"

#include <array>
#include <catch2/catch.hpp>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>

using namespace limpetdrum;

namespace {

const Endpoint ServerAddress{test::ownAddress(), 20997};

/// Connection whose bytes are written and read by the test.
struct RawConnection {
  EventLoop &Loop;
  bufferevent *Event;
  std::string Received;
  bool Ended = false;
  bool Orderly = false;

  explicit RawConnection(EventLoop &Loop)
      : Loop(Loop),
        Event(bufferevent_socket_new(Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)) {
    auto Address = toSocketAddress(ServerAddress);
    bufferevent_setcb(
        this->Event,
        [](bufferevent *E, void *Self) {
          static_cast<RawConnection *>(Self)->readAll(E);
        },
        nullptr,
        [](bufferevent *E, short Events, void *Context) {
          auto *Self = static_cast<RawConnection *>(Context);
          if ((Events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
            return;
          Self->readAll(E);
          Self->Ended = true;
          Self->Orderly = (Events & BEV_EVENT_EOF) != 0;
        },
        this);
    bufferevent_enable(this->Event, EV_READ | EV_WRITE);
    bufferevent_socket_connect(
        this->Event, reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
  }
  ~RawConnection() { bufferevent_free(this->Event); }
  RawConnection(const RawConnection &) = delete;
  RawConnection &operator=(const RawConnection &) = delete;

  void readAll(bufferevent *Source) {
    auto *Input = bufferevent_get_input(Source);
    std::string Bytes(evbuffer_get_length(Input), '\0');
    evbuffer_remove(Input, Bytes.data(), Bytes.size());
    this->Received += Bytes;
  }
  void send(const std::string &Bytes) {
    bufferevent_write(this->Event, Bytes.data(), Bytes.size());
  }
  void wait(int Millis) {
    auto StopTimer =
        this->Loop.after(Milliseconds(Millis), [this]() { this->Loop.stop(); });
    this->Loop.run();
  }
};

std::string get(const std::string &Path) {
  return "GET " + Path + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

std::size_t count(const std::string &Text, const std::string &Pattern) {
  std::size_t Result = 0;
  for (auto Position = Text.find(Pattern); Position != std::string::npos;
       Position = Text.find(Pattern, Position + 1))
    ++Result;
  return Result;
}

/// Server that keeps each exchange open until the test responds to it.
struct HoldingServer {
  EventLoop Loop;
  std::vector<std::shared_ptr<HttpExchange>> Open;
  HttpServer Server{Loop, ServerAddress,
                    [this](std::shared_ptr<HttpExchange> E) {
                      this->Open.push_back(std::move(E));
                    }};
};

/// Server that answers each request with the next of several texts.
struct ScriptedServer {
  EventLoop &Loop;
  std::vector<std::string> Texts;
  std::size_t Next = 0;
  bool CloseAfterResponse = false;
  int Accepted = 0;
  evconnlistener *Listener;
  std::vector<bufferevent *> Connections;

  ScriptedServer(EventLoop &Loop, std::vector<std::string> Texts,
                 bool CloseAfterResponse = false)
      : Loop(Loop), Texts(std::move(Texts)),
        CloseAfterResponse(CloseAfterResponse) {
    auto Address = toSocketAddress(ServerAddress);
    this->Listener = evconnlistener_new_bind(
        Loop.base(),
        [](evconnlistener *, evutil_socket_t Socket, sockaddr *, int,
           void *Context) {
          auto *Self = static_cast<ScriptedServer *>(Context);
          ++Self->Accepted;
          auto *Event = bufferevent_socket_new(Self->Loop.base(), Socket,
                                               BEV_OPT_CLOSE_ON_FREE);
          Self->Connections.push_back(Event);
          bufferevent_setcb(Event, &ScriptedServer::onReadable, nullptr,
                            nullptr, Self);
          bufferevent_enable(Event, EV_READ | EV_WRITE);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 16,
        reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
    REQUIRE(this->Listener != nullptr);
  }
  ~ScriptedServer() {
    for (auto *Event : this->Connections)
      bufferevent_free(Event);
    evconnlistener_free(this->Listener);
  }
  ScriptedServer(const ScriptedServer &) = delete;
  ScriptedServer &operator=(const ScriptedServer &) = delete;

  static void onReadable(bufferevent *Event, void *Context) {
    auto *Self = static_cast<ScriptedServer *>(Context);
    auto *Input = bufferevent_get_input(Event);
    evbuffer_drain(Input, evbuffer_get_length(Input));
    if (Self->Next >= Self->Texts.size())
      return;
    const auto &Text = Self->Texts[Self->Next++];
    bufferevent_write(Event, Text.data(), Text.size());
    if (Self->CloseAfterResponse)
      bufferevent_setcb(
          Event, nullptr,
          [](bufferevent *E, void *) {
            shutdown(bufferevent_getfd(E), SHUT_WR);
          },
          nullptr, nullptr);
  }
};

std::string ok(const std::string &Id, const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nEcho: " + Id +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

HttpResponse sendRequest(EventLoop &Loop, HttpClient &Client,
                         const std::string &Id) {
  HttpResponse Result;
  HttpCall Call;
  Call.Path = "/x";
  Call.ExpectedEcho = Id;
  Call.Timeout = Milliseconds(300);
  Client.send(Call, [&](HttpResponse Response) {
    Result = std::move(Response);
    Loop.stop();
  });
  Loop.run();
  return Result;
}

HttpClientOptions strictOptions() {
  HttpClientOptions Options;
  Options.EchoHeader = "Echo";
  Options.AcceptCloseDelimited = true;
  return Options;
}

} // namespace

TEST_CASE(
    "HttpServer handles pipelined requests concurrently and responds in order",
    "[http]") {
  HoldingServer Fixture;
  RawConnection Client(Fixture.Loop);
  Client.send(get("/1") + get("/2") + get("/3"));
  Client.wait(30);
  REQUIRE(Fixture.Open.size() == 3);
  Fixture.Open[2]->reply(200, {}, "third");
  Fixture.Open[1]->reply(200, {}, "second");
  Client.wait(30);
  CHECK(Client.Received.empty());
  Fixture.Open[0]->reply(200, {}, "first");
  Client.wait(30);
  CHECK(Client.Received.find("first") < Client.Received.find("second"));
  CHECK(Client.Received.find("second") < Client.Received.find("third"));
}

// The part of the third request is still in the buffer when the client
// disconnects.
TEST_CASE(
    "HttpServer notifies open exchanges if the client disconnects mid-request",
    "[http]") {
  HoldingServer Fixture;
  int Disconnects = 0;
  {
    RawConnection Client(Fixture.Loop);
    Client.send(get("/1") + get("/2") + "GET /3 HT");
    Client.wait(30);
    REQUIRE(Fixture.Open.size() == 2);
    for (auto &Exchange : Fixture.Open)
      Exchange->onClientDisconnect([&]() { ++Disconnects; });
  }
  auto StopTimer =
      Fixture.Loop.after(Milliseconds(30), [&]() { Fixture.Loop.stop(); });
  Fixture.Loop.run();
  CHECK(Disconnects == 2);
}

TEST_CASE("HttpServer preserves the path, query and headers as sent",
          "[http]") {
  HoldingServer Fixture;
  RawConnection Client(Fixture.Loop);
  Client.send("POST /a%2Fb/../c?q=%20&r HTTP/1.1\r\nHost: A.example\r\n"
              "X-MiXed: v  w\r\nTransfer-Encoding: chunked\r\n\r\n"
              "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  Client.wait(30);
  REQUIRE(Fixture.Open.size() == 1);
  CHECK(Fixture.Open[0]->request().Target == "/a%2Fb/../c?q=%20&r");
  CHECK(Fixture.Open[0]->header("x-mixed") == "v  w");
  CHECK(Fixture.Open[0]->body() == "abcde");
}

// Guards against request smuggling: part of the body must not be read as a
// second request.
TEST_CASE("HttpServer rejects a request with both length and chunked encoding",
          "[http]") {
  HoldingServer Fixture;
  RawConnection Client(Fixture.Loop);
  Client.send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
              "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
              get("/2"));
  Client.wait(30);
  CHECK(Fixture.Open.empty());
  CHECK(Client.Received.find("HTTP/1.1 400") == 0);
}

TEST_CASE("HttpServer answers only the requests already read while draining",
          "[http]") {
  HoldingServer Fixture;
  RawConnection Client(Fixture.Loop);
  Client.send(get("/1") + get("/2"));
  Client.wait(30);
  REQUIRE(Fixture.Open.size() == 2);
  Fixture.Server.drain();
  Client.send(get("/3"));
  Fixture.Open[0]->reply(200, {}, "one");
  Client.wait(30);
  CHECK(Fixture.Open.size() == 2);
  CHECK_FALSE(Client.Ended);
  Fixture.Open[1]->reply(200, {}, "two");
  Client.wait(30);
  CHECK(count(Client.Received, "HTTP/1.1 200") == 2);
  CHECK(count(Client.Received, "Connection: close") == 1);
  CHECK(Client.Ended);
  CHECK(Client.Orderly);
  // An idle or new connection still serves one request.
  RawConnection LateClient(Fixture.Loop);
  LateClient.send(get("/4"));
  LateClient.wait(30);
  REQUIRE(Fixture.Open.size() == 3);
  Fixture.Open[2]->reply(200, {}, "four");
  LateClient.wait(30);
  CHECK(count(LateClient.Received, "Connection: close") == 1);
}

TEST_CASE("HttpServer announces the close with an answer that was ready before "
          "it drains",
          "[http]") {
  HoldingServer Fixture;
  RawConnection Client(Fixture.Loop);
  Client.send(get("/1") + get("/2"));
  Client.wait(30);
  REQUIRE(Fixture.Open.size() == 2);
  Fixture.Open[1]->reply(200, {}, "two");
  Fixture.Server.drain();
  Fixture.Open[0]->reply(200, {}, "one");
  Client.wait(30);
  CHECK(count(Client.Received, "HTTP/1.1 200") == 2);
  auto Last = Client.Received.rfind("HTTP/1.1 200");
  CHECK(Client.Received.find("Connection: close", Last) != std::string::npos);
  CHECK(count(Client.Received, "Connection: close") == 1);
  CHECK(Client.Ended);
}

TEST_CASE("HttpServer asks for a body that is announced behind other requests",
          "[http]") {
  HoldingServer Fixture;
  RawConnection Client(Fixture.Loop);
  Client.send(get("/1") + "PUT /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                          "Expect: 100-continue\r\n\r\n");
  Client.wait(30);
  REQUIRE(Fixture.Open.size() == 1);
  CHECK(Client.Received.empty());
  Fixture.Open[0]->reply(200, {}, "one");
  Client.wait(30);
  CHECK(count(Client.Received, "HTTP/1.1 100") == 1);
  Client.send("abc");
  Client.wait(30);
  CHECK(Fixture.Open.size() == 2);
}

TEST_CASE("HttpClient drops a response to another request", "[http]") {
  EventLoop Loop;
  ScriptedServer Server(Loop,
                        {ok("old", "late") + ok("1", "mine"), ok("2", "next")});
  HttpClient Client(Loop, ServerAddress, strictOptions());
  CHECK(sendRequest(Loop, Client, "1").Body == "mine");
  CHECK(sendRequest(Loop, Client, "2").Body == "next");
  // The connection that carried the other response was not reused.
  CHECK(Server.Accepted == 2);
}

TEST_CASE("HttpClient does not reuse a connection with surplus bytes",
          "[http]") {
  EventLoop Loop;
  ScriptedServer Server(Loop,
                        {ok("1", "mine") + ok("1", "again"), ok("2", "next")});
  HttpClient Client(Loop, ServerAddress, strictOptions());
  CHECK(sendRequest(Loop, Client, "1").Body == "mine");
  CHECK(sendRequest(Loop, Client, "2").Body == "next");
  CHECK(Server.Accepted == 2);
}

TEST_CASE("HttpClient reuses a connection after a complete response",
          "[http]") {
  EventLoop Loop;
  ScriptedServer Server(Loop, {ok("1", "one"), ok("2", "two")});
  HttpClient Client(Loop, ServerAddress, strictOptions());
  CHECK_FALSE(sendRequest(Loop, Client, "1").ReusedConnection);
  CHECK(sendRequest(Loop, Client, "2").ReusedConnection);
  CHECK(Server.Accepted == 1);
}

TEST_CASE("HttpClient accepts a body without length that an orderly close ends",
          "[http]") {
  EventLoop Loop;
  ScriptedServer Server(Loop, {"HTTP/1.1 200 OK\r\nEcho: 1\r\n\r\nall of it"},
                        true);
  HttpClient Client(Loop, ServerAddress, strictOptions());
  auto Result = sendRequest(Loop, Client, "1");
  CHECK(Result.Outcome == HttpOutcome::Answered);
  CHECK(Result.Body == "all of it");
}

// Guards against an answer that ends within its head and is taken for one with
// an empty body that the end of the connection completes.
TEST_CASE("HttpClient rejects an answer that ends within its head", "[http]") {
  EventLoop Loop;
  const std::string Lengths[] = {
      "", "Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n",
      "Connection: close\r\n", "Content-Length: 0\r\n"};
  const auto &Length = Lengths[GENERATE(range(0, 5))];
  std::string Head =
      "HTTP/1.1 200 OK\r\nEcho: 1\r\n" + Length + "Receipt: abcdef\r\n\r\n";
  for (std::size_t Size = 1; Size < Head.size(); ++Size) {
    ScriptedServer Server(Loop, {Head.substr(0, Size)}, true);
    HttpClient Client(Loop, ServerAddress, strictOptions());
    auto Outcome = sendRequest(Loop, Client, "1").Outcome;
    CAPTURE(Head.substr(0, Size));
    CHECK(Outcome == HttpOutcome::Broken);
  }
}

TEST_CASE("HttpClient rejects a body shorter than its length", "[http]") {
  EventLoop Loop;
  ScriptedServer Server(
      Loop, {"HTTP/1.1 200 OK\r\nEcho: 1\r\nContent-Length: 90\r\n\r\npart"},
      true);
  HttpClient Client(Loop, ServerAddress, strictOptions());
  CHECK(sendRequest(Loop, Client, "1").Outcome == HttpOutcome::Broken);
}

namespace {

/// Sends a text over the first connection of a server in two pieces.
void sendInPieces(ScriptedServer &Server, const std::string &Text,
                  std::size_t FirstPiece) {
  auto *Connection = Server.Connections.front();
  bufferevent_write(Connection, Text.data(), FirstPiece);
  auto StopTimer =
      Server.Loop.after(Milliseconds(10), [&]() { Server.Loop.stop(); });
  Server.Loop.run();
  bufferevent_write(Connection, Text.data() + FirstPiece,
                    Text.size() - FirstPiece);
}

} // namespace

// The target sends a second copy of an answer while the next request is waiting
// on the same connection.
TEST_CASE("HttpClient drops a late second copy of an earlier answer",
          "[http]") {
  EventLoop Loop;
  auto LateCopy =
      GENERATE(ok("1", "mine"),
               std::string("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine"));
  auto FirstPiece = GENERATE(std::size_t(1), std::size_t(20), std::size_t(0));
  ScriptedServer Server(Loop, {ok("1", "mine"), ""});
  HttpClient Client(Loop, ServerAddress, strictOptions());
  REQUIRE(sendRequest(Loop, Client, "1").Body == "mine");
  HttpCall Call;
  Call.Path = "/x";
  Call.ExpectedEcho = "2";
  Call.Timeout = Milliseconds(1000);
  std::optional<HttpResponse> Received;
  Client.send(Call, [&](HttpResponse Response) {
    Received = std::move(Response);
    Loop.stop();
  });
  auto Late = Loop.after(Milliseconds(10), [&]() { Loop.stop(); });
  Loop.run();
  REQUIRE(Server.Accepted == 1);
  sendInPieces(Server, LateCopy, FirstPiece);
  sendInPieces(Server, ok("2", "next"), FirstPiece);
  Loop.run();
  REQUIRE(Received);
  CHECK(Received->Body == "next");
  // The connection is not trusted any more.
  Server.Texts.push_back(ok("3", "third"));
  CHECK(sendRequest(Loop, Client, "3").Body == "third");
  CHECK(Server.Accepted == 2);
}

// Guards against a refusal that a target writes once more, which is taken for
// the answer to the same request when it was sent again.
TEST_CASE("HttpClient sends a request again on another connection", "[http]") {
  EventLoop Loop;
  const std::string Refusal = "HTTP/1.1 503 Service Unavailable\r\nEcho: 1\r\n"
                              "not-executed: 1\r\nContent-Length: 0\r\n\r\n";
  ScriptedServer Server(Loop, {Refusal, ""});
  HttpClient Client(Loop, ServerAddress, strictOptions());
  REQUIRE(sendRequest(Loop, Client, "1").Status == 503);
  HttpCall Call;
  Call.Path = "/x";
  Call.ExpectedEcho = "1";
  Call.Timeout = Milliseconds(1000);
  std::optional<HttpResponse> Received;
  Client.send(Call, [&](HttpResponse Response) {
    Received = std::move(Response);
    Loop.stop();
  });
  auto Late = Loop.after(Milliseconds(10), [&]() { Loop.stop(); });
  Loop.run();
  bufferevent_write(Server.Connections.front(), Refusal.data(), Refusal.size());
  auto Ran = ok("1", "ran");
  bufferevent_write(Server.Connections.back(), Ran.data(), Ran.size());
  if (!Received)
    Loop.run();
  REQUIRE(Received);
  CHECK(Received->Status == 200);
  CHECK(Received->Body == "ran");
}

TEST_CASE("HttpClient sends other requests on a connection after a refusal",
          "[http]") {
  EventLoop Loop;
  const std::string Refusal = "HTTP/1.1 503 Service Unavailable\r\nEcho: 1\r\n"
                              "Content-Length: 0\r\n\r\n";
  ScriptedServer Server(Loop, {Refusal, ok("2", "next")});
  HttpClient Client(Loop, ServerAddress, strictOptions());
  REQUIRE(sendRequest(Loop, Client, "1").Status == 503);
  CHECK(sendRequest(Loop, Client, "2").Body == "next");
  CHECK(Server.Accepted == 1);
}

TEST_CASE("HttpClient does not reuse a connection on which a byte came late",
          "[http]") {
  EventLoop Loop;
  ScriptedServer Server(Loop, {ok("1", "mine"), ok("2", "next")});
  HttpClient Client(Loop, ServerAddress, strictOptions());
  REQUIRE(sendRequest(Loop, Client, "1").Body == "mine");
  bufferevent_write(Server.Connections.front(), "H", 1);
  auto Late = Loop.after(Milliseconds(10), [&]() { Loop.stop(); });
  Loop.run();
  CHECK(sendRequest(Loop, Client, "2").Body == "next");
  CHECK(Server.Accepted == 2);
}

// A client whose connection the kernel has accepted, but not yet the server,
// when the server starts to drain.
TEST_CASE("HttpServer answers a connection that waits in its listen queue",
          "[http]") {
  HoldingServer Fixture;
  int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  auto Address = toSocketAddress(ServerAddress);
  REQUIRE(::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                    sizeof(Address)) == 0);
  auto Request = get("/1");
  REQUIRE(::send(Socket, Request.data(), Request.size(), 0) ==
          static_cast<ssize_t>(Request.size()));
  Fixture.Server.drain();
  auto Wait = [&]() {
    auto StopTimer =
        Fixture.Loop.after(Milliseconds(30), [&]() { Fixture.Loop.stop(); });
    Fixture.Loop.run();
  };
  Wait();
  REQUIRE(Fixture.Open.size() == 1);
  Fixture.Open[0]->reply(200, {}, "one");
  Wait();
  std::array<char, 512> Buffer{};
  auto Size = ::recv(Socket, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
  REQUIRE(Size > 0);
  std::string Received(Buffer.data(), static_cast<std::size_t>(Size));
  CHECK(count(Received, "HTTP/1.1 200") == 1);
  CHECK(count(Received, "Connection: close") == 1);
  ::close(Socket);
}
