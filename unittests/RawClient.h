#ifndef LIMPETDRUM_UNITTESTS_RAWCLIENT_H
#define LIMPETDRUM_UNITTESTS_RAWCLIENT_H

#include "limpetdrum/connection/EventLoop.h"
#include "limpetdrum/connection/SocketAddress.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <string>

namespace limpetdrum::test {

/// \brief Sends bytes on a connection of their own and hangs up.
inline void sendRaw(EventLoop &Loop, Endpoint Where, const std::string &Bytes) {
  constexpr Milliseconds HangUpAfter{3};
  auto *Event = bufferevent_socket_new(Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  auto Address = toSocketAddress(Where);
  bufferevent_enable(Event, EV_READ | EV_WRITE);
  bufferevent_socket_connect(Event, reinterpret_cast<sockaddr *>(&Address),
                             sizeof(Address));
  bufferevent_write(Event, Bytes.data(), Bytes.size());
  auto Over = Loop.after(HangUpAfter, [&]() { Loop.stop(); });
  Loop.run();
  bufferevent_free(Event);
}

} // namespace limpetdrum::test

#endif
