#ifndef LIMPETDRUM_CONNECTION_RPCCLIENT_H
#define LIMPETDRUM_CONNECTION_RPCCLIENT_H

#include "limpetdrum/connection/EventLoop.h"

#include "Node.capnp.h"

#include <functional>
#include <memory>

namespace limpetdrum {

/// \brief Connection to another node's RPC endpoint.
class RpcClient {
public:
  /// \brief Starts to connect; calls may be made immediately.
  RpcClient(EventLoop &Loop, Endpoint Peer);
  ~RpcClient();
  RpcClient(const RpcClient &) = delete;
  RpcClient &operator=(const RpcClient &) = delete;

  [[nodiscard]] rpc::Node::Client &node();
  /// \brief Returns true if the connection was ever established. If not, no
  /// call was sent.
  [[nodiscard]] bool wasConnected() const noexcept;
  /// \brief Returns true if the connection has ended; calls on it fail.
  [[nodiscard]] bool isClosed() const noexcept;
  /// \brief Returns the time at which bytes were last received.
  [[nodiscard]] TimePoint lastRead() const noexcept;
  /// \brief Ends the connection; calls on it fail as disconnected.
  void fail(const char *Reason);

private:
  struct State;
  std::unique_ptr<State> Impl;
};

/// \brief Accepts connections from other nodes.
class RpcServer {
public:
  /// \param Service handles the calls of all connections.
  /// \throws NetworkError if \p Local cannot be bound.
  RpcServer(EventLoop &Loop, Endpoint Local, rpc::Node::Client Service);
  ~RpcServer();
  RpcServer(const RpcServer &) = delete;
  RpcServer &operator=(const RpcServer &) = delete;

private:
  struct State;
  std::shared_ptr<State> Impl;
};

} // namespace limpetdrum

#endif
