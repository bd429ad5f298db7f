#ifndef LIMPETDRUM_CONNECTION_DATAGRAM_H
#define LIMPETDRUM_CONNECTION_DATAGRAM_H

#include "limpetdrum/connection/EventLoop.h"

#include <functional>
#include <memory>
#include <string>

namespace limpetdrum {

/// \brief A UDP socket on the loop; port 0 stands for any.
class DatagramSocket {
public:
  using Handler = std::function<void(const std::string &Bytes)>;

  /// \throws NetworkError if \p Where cannot be bound.
  DatagramSocket(EventLoop &Loop, Endpoint Where, Handler OnReceive);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket &) = delete;
  DatagramSocket &operator=(const DatagramSocket &) = delete;

  /// \brief Sends, or drops the datagram if the socket is full.
  void send(Endpoint To, const std::string &Bytes);

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace limpetdrum

#endif
