#ifndef LIMPETDRUM_UNITTESTS_RAWCLIENT_H
#define LIMPETDRUM_UNITTESTS_RAWCLIENT_H

#include "limpetdrum/connection/EventLoop.h"
#include "limpetdrum/connection/SocketAddress.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <string>

namespace limpetdrum::test {

/// \brief Sends bytes on a new connection and closes it after 3 ms.
inline void sendRaw(EventLoop &Loop, Endpoint Server,
                    const std::string &Bytes) {
  constexpr Milliseconds CloseDelay{3};
  auto *Event = bufferevent_socket_new(Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  auto Address = toSocketAddress(Server);
  bufferevent_enable(Event, EV_READ | EV_WRITE);
  bufferevent_socket_connect(Event, reinterpret_cast<sockaddr *>(&Address),
                             sizeof(Address));
  bufferevent_write(Event, Bytes.data(), Bytes.size());
  auto StopTimer = Loop.after(CloseDelay, [&]() { Loop.stop(); });
  Loop.run();
  bufferevent_free(Event);
}

} // namespace limpetdrum::test

#endif
