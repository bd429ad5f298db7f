#ifndef LIMPETDRUM_CONNECTION_DATAGRAM_H
#define LIMPETDRUM_CONNECTION_DATAGRAM_H

#include "limpetdrum/connection/EventLoop.h"

#include <functional>
#include <memory>
#include <string>

namespace limpetdrum {

/// \brief UDP socket served by the event loop.
class DatagramSocket {
public:
  using Handler = std::function<void(const std::string &Bytes)>;

  /// \param Local the address to bind; port 0 lets the system choose one.
  /// \throws NetworkError if \p Local cannot be bound.
  DatagramSocket(EventLoop &Loop, Endpoint Local, Handler OnReceive);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket &) = delete;
  DatagramSocket &operator=(const DatagramSocket &) = delete;

  /// \brief Sends a datagram, or drops it if the send buffer is full.
  void send(Endpoint Destination, const std::string &Bytes);

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace limpetdrum

#endif
