#include "limpetdrum/connection/Datagram.h"

#include "limpetdrum/Config.h"
#include "limpetdrum/connection/SocketAddress.h"
#include "limpetdrum/process/Error.h"

#include <array>
#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

namespace limpetdrum {

struct DatagramSocket::State {
  int Socket = -1;
  event *Readable = nullptr;
  Handler OnReceive;

  static void onReadable(evutil_socket_t Socket, short /*Events*/,
                         void *Context) {
    // Bounds the time for which one socket occupies the loop.
    constexpr int MaxDatagramsPerWakeup = 64;
    std::array<char, 2 * MaxDatagramBytes> Buffer;
    for (int I = 0; I < MaxDatagramsPerWakeup; ++I) {
      auto Size = recv(Socket, Buffer.data(), Buffer.size(), 0);
      if (Size < 0)
        return;
      static_cast<State *>(Context)->OnReceive(
          std::string(Buffer.data(), static_cast<std::size_t>(Size)));
    }
  }
};

DatagramSocket::DatagramSocket(EventLoop &Loop, Endpoint Local,
                               Handler OnReceive)
    : Impl(std::make_unique<State>()) {
  auto &S = *this->Impl;
  S.OnReceive = std::move(OnReceive);
  S.Socket = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  auto Address = toSocketAddress(Local);
  if (S.Socket < 0 || bind(S.Socket, reinterpret_cast<sockaddr *>(&Address),
                           sizeof(Address)) != 0) {
    close(S.Socket);
    throw NetworkError("cannot bind UDP on " + toString(Local),
                       "free the port or change 'listen.gossip'");
  }
  S.Readable = event_new(Loop.base(), S.Socket, EV_READ | EV_PERSIST,
                         &State::onReadable, &S);
  event_add(S.Readable, nullptr);
}

DatagramSocket::~DatagramSocket() {
  event_free(this->Impl->Readable);
  close(this->Impl->Socket);
}

void DatagramSocket::send(Endpoint Destination, const std::string &Bytes) {
  auto Address = toSocketAddress(Destination);
  // Datagrams are dropped if the send buffer is full, as on the network.
  static_cast<void>(sendto(this->Impl->Socket, Bytes.data(), Bytes.size(), 0,
                           reinterpret_cast<sockaddr *>(&Address),
                           sizeof(Address)));
}

} // namespace limpetdrum
