#ifndef LIMPETDRUM_REQUEST_LEAVEPLAN_H
#define LIMPETDRUM_REQUEST_LEAVEPLAN_H

#include "limpetdrum/process/Types.h"

#include <optional>

namespace limpetdrum {

/// \brief Which requests a node still takes after it was told to end.
///
/// Clients may come until they have heard that the node is not ready, and on
/// where too few others are. What comes too late to be completed is refused
/// while that is still true: not run. Calls of the own target are taken for
/// longer, as they complete requests that are in flight.
class LeavePlan {
public:
  /// \param ExitLimit from the signal to the forced end of the process.
  explicit LeavePlan(Milliseconds ExitLimit) noexcept : ExitLimit(ExitLimit) {}

  void begin(TimePoint Now) noexcept { this->Began = Now; }
  /// \brief The process ends now: nothing more is taken.
  void end() noexcept { this->Ended = true; }
  [[nodiscard]] bool isLeaving() const noexcept {
    return this->Began.has_value();
  }
  /// \returns nothing if the request is taken, else when to come back.
  [[nodiscard]] std::optional<Milliseconds> refuses(bool IsCall,
                                                    TimePoint Now) const;
  /// \brief Whether the own target gets no further runs: the other nodes know
  ///   of the leave, and send what has nowhere else to go.
  [[nodiscard]] bool refusesRuns(TimePoint Now) const;
  /// \brief Whether the process may end.
  /// \param Idle whether nothing is in flight.
  [[nodiscard]] bool mayExit(bool Idle, TimePoint Now) const;

private:
  Milliseconds ExitLimit;
  std::optional<TimePoint> Began;
  bool Ended = false;
};

} // namespace limpetdrum

#endif
