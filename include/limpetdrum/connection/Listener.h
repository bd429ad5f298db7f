#ifndef LIMPETDRUM_CONNECTION_LISTENER_H
#define LIMPETDRUM_CONNECTION_LISTENER_H

#include "limpetdrum/connection/EventLoop.h"
#include "limpetdrum/process/Types.h"

#include <functional>
#include <memory>
#include <string>

namespace limpetdrum {

/// \brief Accepts TCP connections on one address.
///
/// While connections cannot be accepted, because no descriptor or no memory is
/// free, it tries again at intervals; clients wait in the backlog meanwhile.
class Listener {
public:
  using AcceptHandler = std::function<void(int Socket)>;
  /// \param Problem the address and why connections cannot be accepted there.
  using ErrorHandler = std::function<void(const std::string &Problem)>;

  /// \param OnError called at most once a second; may be empty.
  /// \throws NetworkError if \p Local cannot be bound.
  Listener(EventLoop &Loop, Endpoint Local, AcceptHandler OnAccept,
           ErrorHandler OnError);
  ~Listener();
  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace limpetdrum

#endif
