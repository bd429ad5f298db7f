#include "limpetdrum/daemon/SidecarStart.h"

namespace limpetdrum {

namespace {

/// Short beside the time in which a fleet notices that a node is missing.
constexpr Milliseconds RetryPeriod{500};

} // namespace

SidecarStart::SidecarStart(EventLoop &Loop,
                           std::function<std::unique_ptr<Sidecar>()> Make,
                           std::function<void(const NetworkError &)> OnFailed,
                           EventLog &Log, Milliseconds Limit)
    : Loop(Loop), Make(std::move(Make)), OnFailed(std::move(OnFailed)),
      Log(Log), End(Loop.now() + Limit) {
  this->tryStart();
}

void SidecarStart::tryStart() {
  try {
    this->Started = this->Make();
  } catch (const NetworkError &E) {
    this->Log.state("start_delayed", {{"error", E.what()}});
    this->Log.flush();
    if (this->Loop.now() >= this->End)
      this->OnFailed(E);
    else
      this->Retry =
          this->Loop.after(RetryPeriod, [this]() { this->tryStart(); });
  }
}

} // namespace limpetdrum
