#ifndef LIMPETDRUM_DAEMON_NODE_H
#define LIMPETDRUM_DAEMON_NODE_H

#include "limpetdrum/process/Settings.h"

#include <functional>
#include <memory>

namespace limpetdrum {

class EventLoop;

/// \brief Node beside a target: connects the decision classes to the event loop
///   and the network.
///
/// \code
///   EventLoop Loop;
///   Node Sidecar(Loop, parseSettings(Text, File), [&]() { Loop.stop(); });
///   Loop.run();
/// \endcode
class Node {
public:
  /// \brief Binds the addresses and joins the fleet.
  /// \param OnLeft called when a graceful leave is complete.
  /// \throws NetworkError if an address cannot be bound.
  Node(EventLoop &Loop, const Settings &Config, std::function<void()> OnLeft);
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  /// \brief Leaves the fleet gracefully: refuses new work after the grace
  ///   period, completes requests in flight up to the drain limit, and hands
  ///   over the idempotency keys.
  void leave();

  struct State;

private:
  std::unique_ptr<State> Impl;
};

} // namespace limpetdrum

#endif
