#ifndef LIMPETDRUM_DAEMON_SIDECARSTART_H
#define LIMPETDRUM_DAEMON_SIDECARSTART_H

#include "limpetdrum/daemon/Sidecar.h"
#include "limpetdrum/process/Error.h"

#include <functional>
#include <memory>

namespace limpetdrum {

/// \brief Starts a sidecar once all of its addresses can be bound.
///
/// An address may be in use for a while: by the process that ran before, or by
/// a connection to which the kernel gave the port. Until then no address is
/// bound, so that nothing finds a sidecar that is half started.
class SidecarStart {
public:
  /// \param Make creates the sidecar; throws NetworkError if an address cannot
  ///   be bound.
  /// \param OnFailed called if the addresses could not be bound in time.
  /// \param Limit time for which it is tried.
  SidecarStart(EventLoop &Loop, std::function<std::unique_ptr<Sidecar>()> Make,
               std::function<void(const NetworkError &)> OnFailed,
               EventLog &Log, Milliseconds Limit = DefaultLimit);

  /// \brief Returns the sidecar; null until it has started.
  [[nodiscard]] Sidecar *sidecar() const noexcept {
    return this->Started.get();
  }

  /// As long as a connection usually holds a port, and longer than a process
  /// takes to end.
  static constexpr Milliseconds DefaultLimit{30'000};

private:
  void tryStart();

  EventLoop &Loop;
  std::function<std::unique_ptr<Sidecar>()> Make;
  std::function<void(const NetworkError &)> OnFailed;
  EventLog &Log;
  TimePoint End;
  std::unique_ptr<Sidecar> Started;
  Timer Retry;
};

} // namespace limpetdrum

#endif
