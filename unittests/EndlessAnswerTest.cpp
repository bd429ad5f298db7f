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
/// closes the connection.
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
    if (this->Connection != nullptr)
      bufferevent_free(this->Connection);
    evconnlistener_free(this->Listener);
  }
  EndlessServer(const EndlessServer &) = delete;
  EndlessServer &operator=(const EndlessServer &) = delete;

  std::size_t BytesSent = 0;

private:
  void onAccept(evutil_socket_t Socket) {
    this->Connection = bufferevent_socket_new(this->Loop.base(), Socket,
                                              BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(
        this->Connection,
        [](bufferevent *Event, void *Self) {
          bufferevent_disable(Event, EV_READ);
          static_cast<EndlessServer *>(Self)->begin();
        },
        [](bufferevent *, void *Self) {
          static_cast<EndlessServer *>(Self)->sendMore();
        },
        nullptr, this);
    bufferevent_enable(this->Connection, EV_READ | EV_WRITE);
  }
  void begin() {
    bufferevent_write(this->Connection, this->Beginning.data(),
                      this->Beginning.size());
  }
  void sendMore() {
    this->BytesSent += this->Block.size();
    bufferevent_write(this->Connection, this->Block.data(), this->Block.size());
  }

  EventLoop &Loop;
  std::string Beginning;
  std::string Block;
  evconnlistener *Listener;
  bufferevent *Connection = nullptr;
};

} // namespace

// Guards against a server in trouble that occupies memory and a slot until the
// deadline.
TEST_CASE("HttpClient closes a connection on which an answer does not end",
          "[http]") {
  struct Case {
    const char *Name;
    const char *Beginning;
    const char *Piece;
  };
  auto C = GENERATE(
      Case{"status line", "HTTP/1.1 200 ", "OK "},
      Case{"header value", "HTTP/1.1 200 OK\r\nX-Long: ", "aaaaaaaaaaaaaaa"},
      Case{"headers", "HTTP/1.1 200 OK\r\n", "X-Many: a\r\n"},
      Case{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
           "5\r\nhello\r\n"},
      Case{"chunk extension",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=",
           "aaaaaaaaaaaaaaaa"},
      Case{"trailer",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
           "X-Many: a\r\n"},
      Case{"body without length", "HTTP/1.1 200 OK\r\n\r\n", "aaaaaaaaaaaa"},
      Case{"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
      Case{"answers to other requests", "",
           "HTTP/1.1 200 OK\r\nid: other\r\nContent-Length: 0\r\n\r\n"},
      Case{"bytes that are no answer", "", "what? "});
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
