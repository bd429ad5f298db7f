#include "limpetdrum/connection/Http.h"
#include "limpetdrum/connection/SocketAddress.h"

#include <catch2/catch.hpp>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

using namespace limpetdrum;

namespace {

constexpr Endpoint Where{0x7f000001, 20997};

/// A connection whose bytes a test writes and reads itself.
struct RawConnection {
  EventLoop &Loop;
  bufferevent *Event;
  std::string Read;
  bool Ended = false;
  bool InOrder = false;

  explicit RawConnection(EventLoop &Loop)
      : Loop(Loop),
        Event(bufferevent_socket_new(Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)) {
    auto Address = toSocketAddress(Where);
    bufferevent_setcb(
        this->Event,
        [](bufferevent *E, void *Self) {
          static_cast<RawConnection *>(Self)->take(E);
        },
        nullptr,
        [](bufferevent *E, short What, void *Context) {
          auto *Self = static_cast<RawConnection *>(Context);
          if ((What & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
            return;
          Self->take(E);
          Self->Ended = true;
          Self->InOrder = (What & BEV_EVENT_EOF) != 0;
        },
        this);
    bufferevent_enable(this->Event, EV_READ | EV_WRITE);
    bufferevent_socket_connect(
        this->Event, reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
  }
  ~RawConnection() { bufferevent_free(this->Event); }
  RawConnection(const RawConnection &) = delete;
  RawConnection &operator=(const RawConnection &) = delete;

  void take(bufferevent *From) {
    auto *Input = bufferevent_get_input(From);
    std::string Bytes(evbuffer_get_length(Input), '\0');
    evbuffer_remove(Input, Bytes.data(), Bytes.size());
    this->Read += Bytes;
  }
  void send(const std::string &Bytes) {
    bufferevent_write(this->Event, Bytes.data(), Bytes.size());
  }
  void wait(int Millis) {
    auto Over =
        this->Loop.after(Milliseconds(Millis), [this]() { this->Loop.stop(); });
    this->Loop.run();
  }
};

std::string get(const std::string &Path) {
  return "GET " + Path + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

std::size_t count(const std::string &In, const std::string &What) {
  std::size_t Found = 0;
  for (auto At = In.find(What); At != std::string::npos;
       At = In.find(What, At + 1))
    ++Found;
  return Found;
}

struct Serving {
  EventLoop Loop;
  std::vector<std::shared_ptr<HttpExchange>> Open;
  HttpServer Server{Loop, Where, [this](std::shared_ptr<HttpExchange> E) {
                      this->Open.push_back(std::move(E));
                    }};
};

/// A server that answers each request with the next of several texts.
struct Scripted {
  EventLoop &Loop;
  std::vector<std::string> Texts;
  std::size_t Next = 0;
  bool HangUp = false;
  int Accepted = 0;
  evconnlistener *Listener;
  std::vector<bufferevent *> Held;

  Scripted(EventLoop &Loop, std::vector<std::string> Texts, bool HangUp = false)
      : Loop(Loop), Texts(std::move(Texts)), HangUp(HangUp) {
    auto Address = toSocketAddress(Where);
    this->Listener = evconnlistener_new_bind(
        Loop.base(),
        [](evconnlistener *, evutil_socket_t Socket, sockaddr *, int,
           void *Context) {
          auto *Self = static_cast<Scripted *>(Context);
          ++Self->Accepted;
          auto *Event = bufferevent_socket_new(Self->Loop.base(), Socket,
                                               BEV_OPT_CLOSE_ON_FREE);
          Self->Held.push_back(Event);
          bufferevent_setcb(Event, &Scripted::onReadable, nullptr, nullptr,
                            Self);
          bufferevent_enable(Event, EV_READ | EV_WRITE);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 16,
        reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
    REQUIRE(this->Listener != nullptr);
  }
  ~Scripted() {
    for (auto *Event : this->Held)
      bufferevent_free(Event);
    evconnlistener_free(this->Listener);
  }
  Scripted(const Scripted &) = delete;
  Scripted &operator=(const Scripted &) = delete;

  static void onReadable(bufferevent *Event, void *Context) {
    auto *Self = static_cast<Scripted *>(Context);
    auto *Input = bufferevent_get_input(Event);
    evbuffer_drain(Input, evbuffer_get_length(Input));
    if (Self->Next >= Self->Texts.size())
      return;
    const auto &Text = Self->Texts[Self->Next++];
    bufferevent_write(Event, Text.data(), Text.size());
    if (Self->HangUp)
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

HttpResponse ask(EventLoop &Loop, HttpClient &Client, const std::string &Id) {
  HttpResponse Got;
  HttpCall Call;
  Call.Path = "/x";
  Call.ExpectedEcho = Id;
  Call.Timeout = Milliseconds(300);
  Client.send(Call, [&](HttpResponse Answer) {
    Got = std::move(Answer);
    Loop.stop();
  });
  Loop.run();
  return Got;
}

HttpClientOptions strict() {
  HttpClientOptions Options;
  Options.EchoHeader = "Echo";
  Options.AcceptCloseDelimited = true;
  return Options;
}

} // namespace

TEST_CASE("HttpServer runs pipelined requests side by side, answers in order",
          "[http]") {
  Serving Of;
  RawConnection Client(Of.Loop);
  Client.send(get("/1") + get("/2") + get("/3"));
  Client.wait(30);
  REQUIRE(Of.Open.size() == 3);
  Of.Open[2]->reply(200, {}, "third");
  Of.Open[1]->reply(200, {}, "second");
  Client.wait(30);
  CHECK(Client.Read.empty());
  Of.Open[0]->reply(200, {}, "first");
  Client.wait(30);
  CHECK(Client.Read.find("first") < Client.Read.find("second"));
  CHECK(Client.Read.find("second") < Client.Read.find("third"));
}

TEST_CASE("HttpServer notices a client that leaves behind unread bytes",
          "[http]") {
  Serving Of;
  int Gone = 0;
  {
    RawConnection Client(Of.Loop);
    Client.send(get("/1") + get("/2") + "GET /3 HT");
    Client.wait(30);
    REQUIRE(Of.Open.size() == 2);
    for (auto &Exchange : Of.Open)
      Exchange->onClientDisconnect([&]() { ++Gone; });
  }
  auto Over = Of.Loop.after(Milliseconds(30), [&]() { Of.Loop.stop(); });
  Of.Loop.run();
  CHECK(Gone == 2);
}

TEST_CASE("HttpServer keeps the path, the query and the headers as sent",
          "[http]") {
  Serving Of;
  RawConnection Client(Of.Loop);
  Client.send("POST /a%2Fb/../c?q=%20&r HTTP/1.1\r\nHost: A.example\r\n"
              "X-MiXed: v  w\r\nTransfer-Encoding: chunked\r\n\r\n"
              "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  Client.wait(30);
  REQUIRE(Of.Open.size() == 1);
  CHECK(Of.Open[0]->request().Target == "/a%2Fb/../c?q=%20&r");
  CHECK(Of.Open[0]->header("x-mixed") == "v  w");
  CHECK(Of.Open[0]->body() == "abcde");
}

TEST_CASE("HttpServer takes no request out of another one", "[http]") {
  Serving Of;
  RawConnection Client(Of.Loop);
  Client.send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
              "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
              get("/2"));
  Client.wait(30);
  CHECK(Of.Open.empty());
  CHECK(Client.Read.find("HTTP/1.1 400") == 0);
}

TEST_CASE("A draining HttpServer answers what it has read, and nothing more",
          "[http]") {
  Serving Of;
  RawConnection Client(Of.Loop);
  Client.send(get("/1") + get("/2"));
  Client.wait(30);
  REQUIRE(Of.Open.size() == 2);
  Of.Server.drain();
  Client.send(get("/3"));
  Of.Open[0]->reply(200, {}, "one");
  Client.wait(30);
  CHECK(Of.Open.size() == 2);
  CHECK_FALSE(Client.Ended);
  Of.Open[1]->reply(200, {}, "two");
  Client.wait(30);
  CHECK(count(Client.Read, "HTTP/1.1 200") == 2);
  CHECK(count(Client.Read, "Connection: close") == 1);
  CHECK(Client.Ended);
  CHECK(Client.InOrder);
  // A connection that was idle, or is new, carries one more request.
  RawConnection Late(Of.Loop);
  Late.send(get("/4"));
  Late.wait(30);
  REQUIRE(Of.Open.size() == 3);
  Of.Open[2]->reply(200, {}, "four");
  Late.wait(30);
  CHECK(count(Late.Read, "Connection: close") == 1);
}

TEST_CASE("HttpClient drops an answer to another request", "[http]") {
  EventLoop Loop;
  Scripted Server(Loop, {ok("old", "late") + ok("1", "mine"), ok("2", "next")});
  HttpClient Client(Loop, Where, strict());
  CHECK(ask(Loop, Client, "1").Body == "mine");
  CHECK(ask(Loop, Client, "2").Body == "next");
  // The connection with the surplus answer was not used again.
  CHECK(Server.Accepted == 2);
}

TEST_CASE("HttpClient never uses a connection with surplus bytes again",
          "[http]") {
  EventLoop Loop;
  Scripted Server(Loop, {ok("1", "mine") + ok("1", "again"), ok("2", "next")});
  HttpClient Client(Loop, Where, strict());
  CHECK(ask(Loop, Client, "1").Body == "mine");
  CHECK(ask(Loop, Client, "2").Body == "next");
  CHECK(Server.Accepted == 2);
}

TEST_CASE("HttpClient uses a sound connection again", "[http]") {
  EventLoop Loop;
  Scripted Server(Loop, {ok("1", "one"), ok("2", "two")});
  HttpClient Client(Loop, Where, strict());
  CHECK_FALSE(ask(Loop, Client, "1").ReusedConnection);
  CHECK(ask(Loop, Client, "2").ReusedConnection);
  CHECK(Server.Accepted == 1);
}

TEST_CASE("HttpClient takes a body without length that ends in order",
          "[http]") {
  EventLoop Loop;
  Scripted Server(Loop, {"HTTP/1.1 200 OK\r\nEcho: 1\r\n\r\nall of it"}, true);
  HttpClient Client(Loop, Where, strict());
  auto Got = ask(Loop, Client, "1");
  CHECK(Got.Outcome == HttpOutcome::Answered);
  CHECK(Got.Body == "all of it");
}

TEST_CASE("HttpClient takes no body that stops short of its length", "[http]") {
  EventLoop Loop;
  Scripted Server(
      Loop, {"HTTP/1.1 200 OK\r\nEcho: 1\r\nContent-Length: 90\r\n\r\npart"},
      true);
  HttpClient Client(Loop, Where, strict());
  CHECK(ask(Loop, Client, "1").Outcome == HttpOutcome::Broken);
}
