#ifndef LIMPETDRUM_REQUEST_LEAVEPLAN_H
#define LIMPETDRUM_REQUEST_LEAVEPLAN_H

#include "limpetdrum/process/Types.h"

#include <optional>

namespace limpetdrum {

/// \brief Schedule by which a node stops accepting requests after the signal to
///   terminate.
///
/// Requests of clients are accepted until the clients have observed that the
/// node is not ready, and longer in case too few other nodes are. Requests that
/// arrive too late to be completed are refused as not run. Calls of the local
/// target are accepted for longer, since they complete requests in flight. Once
/// nothing is in flight the node closes: it refuses everything, and ends when
/// the other nodes have stopped sending attempts.
class LeavePlan {
public:
  /// \param ExitLimit time from the signal to the forced end of the process.
  explicit LeavePlan(Milliseconds ExitLimit) noexcept : ExitLimit(ExitLimit) {}

  /// \brief Sets the time from the signal to the forced end of the process,
  /// which
  ///   the settings may change while the node runs.
  void setExitLimit(Milliseconds Value) noexcept { this->ExitLimit = Value; }
  /// \brief Starts the leave; \p Now is the time of the signal.
  void begin(TimePoint Now) noexcept { this->BeganAt = Now; }
  /// \brief Refuses all further requests and runs.
  void close(TimePoint Now) noexcept { this->ClosedAt = Now; }
  /// \brief Handles the arrival of an attempt that another node sent.
  void onAttempt(TimePoint Now) noexcept { this->LastAttemptAt = Now; }
  [[nodiscard]] bool isLeaving() const noexcept {
    return this->BeganAt.has_value();
  }
  /// \param IsCall true if the local target sent the request.
  /// \param LatencyTarget time in which the request is expected to be answered.
  /// \returns nothing if the request is accepted, else the delay after which it
  ///   may be retried.
  [[nodiscard]] std::optional<Milliseconds>
  refusalDelay(bool IsCall, Milliseconds LatencyTarget, TimePoint Now) const;
  /// \brief Returns the delay after which a refused request may be retried.
  [[nodiscard]] Milliseconds retryAfter(TimePoint Now) const;
  /// \brief Returns the time by which each accepted request has to be answered,
  ///   so that its answer is written before the process ends; nothing before
  ///   the leave.
  [[nodiscard]] std::optional<TimePoint> answerLimit() const;
  /// \brief Returns the time by which the work on a request that is passed on
  ///   has to end, so that the target's own answer returns in time; nothing
  ///   before the leave.
  [[nodiscard]] std::optional<TimePoint> workLimit() const;
  /// \brief Returns true if the local target is given no further runs.
  ///
  /// Before that, the other nodes have received the leave and send only
  /// requests that no other target can run.
  [[nodiscard]] bool refusesRuns(TimePoint Now) const;
  /// \brief Returns true if the node may close.
  /// \param Idle true if no request is in flight and all answers are written.
  [[nodiscard]] bool mayClose(bool Idle, TimePoint Now) const;
  /// \brief Returns true if the process may end.
  /// \param Idle true if all answers are written.
  [[nodiscard]] bool mayExit(bool Idle, TimePoint Now) const;

private:
  [[nodiscard]] Microseconds elapsed(TimePoint Now) const;

  Milliseconds ExitLimit;
  std::optional<TimePoint> BeganAt;
  std::optional<TimePoint> ClosedAt;
  TimePoint LastAttemptAt{};
};

} // namespace limpetdrum

#endif
