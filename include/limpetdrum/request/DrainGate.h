#ifndef LIMPETDRUM_REQUEST_DRAINGATE_H
#define LIMPETDRUM_REQUEST_DRAINGATE_H

#include "limpetdrum/process/Types.h"

#include <optional>

namespace limpetdrum {

/// \brief Stops requests to a leaving target a fixed time after the leave was
///   acknowledged, independently of the state known to other nodes.
class DrainGate {
public:
  /// \param Allowance time in which requests are still accepted from nodes that
  ///   have not received the leave yet.
  explicit DrainGate(Milliseconds Allowance) noexcept : Allowance(Allowance) {}

  /// \brief Starts draining; has no effect if draining has started already.
  void beginDraining(TimePoint Now) noexcept {
    if (!this->ClosesAt)
      this->ClosesAt = Now + this->Allowance;
  }
  /// \brief Closes the gate immediately.
  void close(TimePoint Now) noexcept { this->ClosesAt = Now; }
  /// \brief Reopens the gate for a new target process.
  void reset() noexcept { this->ClosesAt.reset(); }

  [[nodiscard]] bool isDraining() const noexcept {
    return this->ClosesAt.has_value();
  }
  /// \brief Returns true if no further request may be handed to the target.
  [[nodiscard]] bool isClosed(TimePoint Now) const noexcept {
    return this->ClosesAt && Now >= *this->ClosesAt;
  }

private:
  Milliseconds Allowance;
  std::optional<TimePoint> ClosesAt;
};

} // namespace limpetdrum

#endif
