#ifndef LIMPETDRUM_DAEMON_NODE_H
#define LIMPETDRUM_DAEMON_NODE_H

#include "limpetdrum/process/Settings.h"

#include <functional>
#include <memory>

namespace limpetdrum {

class EventLoop;

/// \brief The process beside a target: binds the decisions to the loop.
///
/// \code
///   EventLoop Loop;
///   Node Beside(Loop, parseSettings(Text, File), [&]() { Loop.stop(); });
///   Loop.run();
/// \endcode
class Node {
public:
  /// \param OnLeft called when a graceful leave is complete.
  /// \throws NetworkError if an address cannot be bound.
  Node(EventLoop &Loop, const Settings &Chosen, std::function<void()> OnLeft);
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  /// \brief Leaves: no new work soon, all in flight is answered, the
  ///   idempotency keys are handed over.
  void leave();

  struct State;

private:
  std::unique_ptr<State> Impl;
};

} // namespace limpetdrum

#endif
