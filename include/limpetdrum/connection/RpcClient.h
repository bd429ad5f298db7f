#ifndef LIMPETDRUM_CONNECTION_RPCCLIENT_H
#define LIMPETDRUM_CONNECTION_RPCCLIENT_H

#include "limpetdrum/connection/EventLoop.h"

#include "Node.capnp.h"

#include <functional>
#include <memory>

namespace limpetdrum {

/// \brief One connection to another node's RPC endpoint.
class RpcClient {
public:
  /// \brief Begins to connect; calls may be made at once.
  RpcClient(EventLoop &Loop, Endpoint Peer);
  ~RpcClient();
  RpcClient(const RpcClient &) = delete;
  RpcClient &operator=(const RpcClient &) = delete;

  [[nodiscard]] rpc::Node::Client &node();
  /// \brief Whether the peer ever accepted; if not, nothing was handed over.
  [[nodiscard]] bool wasConnected() const noexcept;
  /// \brief Whether the connection has ended; calls on it reach nobody.
  [[nodiscard]] bool isClosed() const noexcept;
  /// \brief When bytes last came in.
  [[nodiscard]] TimePoint lastRead() const noexcept;
  /// \brief Gives the connection up; calls on it fail as disconnected.
  void fail(const char *Why);

private:
  struct State;
  std::unique_ptr<State> Impl;
};

/// \brief Accepts connections of other nodes.
class RpcServer {
public:
  /// \param Service gives the answers.
  /// \throws NetworkError if \p Where cannot be bound.
  RpcServer(EventLoop &Loop, Endpoint Where, rpc::Node::Client Service);
  ~RpcServer();
  RpcServer(const RpcServer &) = delete;
  RpcServer &operator=(const RpcServer &) = delete;

private:
  struct State;
  std::shared_ptr<State> Impl;
};

} // namespace limpetdrum

#endif
