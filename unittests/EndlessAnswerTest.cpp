#include "MemoryMeter.h"
#include "OwnAddress.h"
#include "limpetdrum/connection/Http.h"
#include "limpetdrum/connection/SocketAddress.h"

#include <catch2/catch.hpp>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <optional>

using namespace limpetdrum;

namespace {

const Endpoint ServerAddress{test::ownAddress(), 20998};

/// Server that sends a beginning and then repeats a piece until the client
/// closes the connection; on each of its connections.
class EndlessServer {
public:
  EndlessServer(EventLoop &Loop, const std::string &Beginning,
                std::string Piece)
      : Loop(Loop), Beginning(Beginning) {
    constexpr std::size_t BlockBytes = 16384;
    while (this->Block.size() < BlockBytes)
      this->Block += Piece;
    auto Address = toSocketAddress(ServerAddress);
    this->Listener = evconnlistener_new_bind(
        Loop.base(),
        [](evconnlistener *, evutil_socket_t Socket, sockaddr *, int,
           void *Self) {
          static_cast<EndlessServer *>(Self)->onAccept(Socket);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 16,
        reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
    REQUIRE(this->Listener != nullptr);
  }
  ~EndlessServer() {
    for (auto *Connection : this->Connections)
      bufferevent_free(Connection);
    evconnlistener_free(this->Listener);
  }
  EndlessServer(const EndlessServer &) = delete;
  EndlessServer &operator=(const EndlessServer &) = delete;

  std::size_t BytesSent = 0;

private:
  void onAccept(evutil_socket_t Socket) {
    auto *Connection = bufferevent_socket_new(this->Loop.base(), Socket,
                                              BEV_OPT_CLOSE_ON_FREE);
    this->Connections.push_back(Connection);
    bufferevent_setcb(
        Connection,
        [](bufferevent *Event, void *Self) {
          bufferevent_disable(Event, EV_READ);
          static_cast<EndlessServer *>(Self)->begin(Event);
        },
        [](bufferevent *Event, void *Self) {
          static_cast<EndlessServer *>(Self)->sendMore(Event);
        },
        nullptr, this);
    bufferevent_enable(Connection, EV_READ | EV_WRITE);
  }
  void begin(bufferevent *Connection) {
    bufferevent_write(Connection, this->Beginning.data(),
                      this->Beginning.size());
  }
  void sendMore(bufferevent *Connection) {
    this->BytesSent += this->Block.size();
    bufferevent_write(Connection, this->Block.data(), this->Block.size());
  }

  EventLoop &Loop;
  std::string Beginning;
  std::string Block;
  evconnlistener *Listener;
  std::vector<bufferevent *> Connections;
};

struct EndlessForm {
  const char *Name;
  const char *Beginning;
  const char *Piece;
};

const std::vector<EndlessForm> EndlessForms = {
    {"status line", "HTTP/1.1 200 ", "OK "},
    {"header value", "HTTP/1.1 200 OK\r\nX-Long: ", "aaaaaaaaaaaaaaa"},
    {"headers", "HTTP/1.1 200 OK\r\n", "X-Many: a\r\n"},
    {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
     "5\r\nhello\r\n"},
    {"chunk extension",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=",
     "aaaaaaaaaaaaaaaa"},
    {"chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
     "0000000000000000"},
    {"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
     "X-Many: a\r\n"},
    {"body without length", "HTTP/1.1 200 OK\r\n\r\n", "aaaaaaaaaaaa"},
    {"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
    {"answers to other requests", "",
     "HTTP/1.1 200 OK\r\nid: other\r\nContent-Length: 0\r\n\r\n"},
    {"bytes that are no answer", "", "what? "}};

} // namespace

// Guards against a server in trouble that occupies memory and a slot until the
// deadline.
TEST_CASE("HttpClient closes a connection on which an answer does not end",
          "[http]") {
  auto C = GENERATE(from_range(EndlessForms));
  CAPTURE(C.Name);
  EventLoop Loop;
  EndlessServer Server(Loop, C.Beginning[0] == 0 ? C.Piece : C.Beginning,
                       C.Piece);
  HttpClientOptions Options;
  Options.EchoHeader = "id";
  Options.AcceptCloseDelimited = true;
  Options.MaxBodyBytes = 1 << 20;
  HttpClient Client(Loop, ServerAddress, Options);
  HttpCall Call;
  Call.Path = "/x";
  Call.ExpectedEcho = "mine";
  Call.Timeout = Milliseconds(2000);
  std::optional<HttpResponse> Result;
  Client.send(Call, [&](HttpResponse Response) {
    Result = std::move(Response);
    Loop.stop();
  });
  Loop.run();
  REQUIRE(Result);
  CHECK(Result->Outcome == HttpOutcome::Broken);
  constexpr std::size_t MaxBytesSent = 8U << 20U;
  CHECK(Server.BytesSent < MaxBytesSent);
}

// Guards against answers that are each below the limit for one, and together
// exceed the memory of the process.
TEST_CASE("HttpClient bounds the sum of answers that do not end", "[http]") {
  auto C = GENERATE(from_range(EndlessForms));
  CAPTURE(C.Name);
  constexpr std::size_t Calls = 40;
  constexpr std::size_t AnswerBytes = 2U << 20U;
  /// Of the server and the client on each connection, beside the answers.
  constexpr std::size_t ConnectionBytes = 128U << 10U;
  EventLoop Loop;
  EndlessServer Server(Loop, C.Beginning[0] == 0 ? C.Piece : C.Beginning,
                       C.Piece);
  AnswerMemory Memory(AnswerBytes);
  HttpClientOptions Options;
  Options.EchoHeader = "id";
  Options.AcceptCloseDelimited = true;
  Options.MaxBodyBytes = 4U << 20U;
  Options.Memory = &Memory;
  HttpClient Client(Loop, ServerAddress, Options);
  HttpCall Call;
  Call.Path = "/x";
  Call.ExpectedEcho = "mine";
  Call.Timeout = Milliseconds(10'000);
  std::size_t Ended = 0;
  std::size_t MostUsed = 0;
  auto Sampling = Loop.every(
      Milliseconds(1), [&]() { MostUsed = std::max(MostUsed, Memory.used()); });
  test::MemoryMeter Meter;
  for (std::size_t I = 0; I < Calls; ++I)
    Client.send(Call, [&](const HttpResponse &Response) {
      CHECK(Response.Outcome == HttpOutcome::Broken);
      CHECK(Response.Defect != HttpDefect::Ended);
      if (++Ended == Calls)
        Loop.stop();
    });
  Loop.run();
  CHECK(Ended == Calls);
  CHECK(MostUsed <= AnswerBytes);
  CHECK(Meter.peak() < AnswerBytes + Calls * ConnectionBytes);
  CHECK(Memory.used() == 0);
}
