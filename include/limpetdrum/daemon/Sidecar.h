#ifndef LIMPETDRUM_DAEMON_SIDECAR_H
#define LIMPETDRUM_DAEMON_SIDECAR_H

#include "limpetdrum/connection/EventLoop.h"
#include "limpetdrum/connection/ObjectStore.h"
#include "limpetdrum/daemon/policy/PlatformAdapter.h"
#include "limpetdrum/process/EventLog.h"
#include "limpetdrum/process/SidecarSettings.h"

#include <functional>
#include <memory>

namespace limpetdrum {

/// \brief Sidecar of one node: creates its components and connects them on the
///   event loop.
class Sidecar {
public:
  /// \param OnLeft called when the node has left and the process may exit.
  /// \throws NetworkError if an address cannot be bound.
  Sidecar(EventLoop &Loop, const SidecarSettings &Settings,
          const PlatformAdapter &Adapter, ObjectStore &Store, EventLog &Log,
          Metrics &Counters, std::function<void()> OnLeft);
  ~Sidecar();
  Sidecar(const Sidecar &) = delete;
  Sidecar &operator=(const Sidecar &) = delete;

  /// \brief Starts to leave: the node takes no new work, completes what is in
  ///   flight, and calls OnLeft. Further calls have no effect.
  void leave();
  /// \brief Applies the settings that can change at run time, and logs whether
  ///   settings that need a restart have changed.
  void reload(const SidecarSettings &Settings);

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace limpetdrum

#endif
