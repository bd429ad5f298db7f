#ifndef LIMPETDRUM_REQUEST_TARGETLOAD_H
#define LIMPETDRUM_REQUEST_TARGETLOAD_H

#include "limpetdrum/process/Types.h"

#include <cstdint>
#include <optional>
#include <string>

namespace limpetdrum {

/// \brief Load of a target as it states it in an answer.
struct TargetLoad {
  std::uint16_t Running = 0; ///< requests that it is working on
  std::uint16_t Waiting = 0; ///< requests in its own queue
  limpetdrum::Slots Slots;
  /// Time that work takes on the target's instance at this moment, in percent
  /// of the usual time; none if the target does not state it.
  std::optional<std::uint16_t> Pace;
};

/// \brief Parses `running,waiting,slots` or `running,waiting,slots,pace`.
///
/// Nothing is guessed from a malformed text, so that it moves no limit.
/// \throws ValueError unless \p Text has three or four whole numbers up to
///   65,535 without spaces or signs, of which slots and pace are not 0.
[[nodiscard]] TargetLoad parseTargetLoad(const std::string &Text);

/// \brief Pace of a target's instance, which changes many times a second.
///
/// Serves the load of instances that share their hardware: the latencies of the
/// requests that ended, without the pace while they ran, give the usual time,
/// and the pace now says how much longer those take that start now.
class TargetPace {
public:
  /// \brief Records the pace that an answer states.
  /// \param Percent pace in percent of the usual time, not 0.
  /// \param RunTime typical time of a request at the target, over which a
  ///   request sees the mean of the changes.
  void onReading(std::uint16_t Percent, Microseconds RunTime,
                 TimePoint Now) noexcept;
  /// \brief Discards the readings, as the target has changed.
  void reset() noexcept { this->LastReadAt.reset(); }

  /// \brief Returns the mean pace over the last run time in percent; 0 if there
  ///   is no recent reading.
  [[nodiscard]] std::uint16_t percent(TimePoint Now) const noexcept;
  /// \brief Returns the ratio of the time that work takes now to its usual
  /// time;
  ///   none without a recent reading.
  [[nodiscard]] std::optional<double> current(TimePoint Now) const noexcept;
  /// \brief Returns the ratio of the time of a request that ends now to its
  ///   usual time; 1 without a recent reading.
  [[nodiscard]] double factor(TimePoint Now) const noexcept;

private:
  [[nodiscard]] bool isRecent(TimePoint Now) const noexcept;

  double Last = 0; ///< percent
  double Mean = 0; ///< percent
  std::optional<TimePoint> LastReadAt;
};

} // namespace limpetdrum

#endif
