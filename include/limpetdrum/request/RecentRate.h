#ifndef LIMPETDRUM_REQUEST_RECENTRATE_H
#define LIMPETDRUM_REQUEST_RECENTRATE_H

#include "limpetdrum/process/Types.h"

#include <array>

namespace limpetdrum {

/// \brief Rate of events over the last second.
///
/// Forgets what is older at once, unlike an exponential average: a surge that
/// has ended is not seen any more after a second.
class RecentRate {
public:
  /// \param Count number of events; negative to take events back.
  void add(double Count, TimePoint Now) noexcept;
  /// \brief Returns events per second.
  [[nodiscard]] double value(TimePoint Now) const noexcept;

private:
  static constexpr std::size_t SlotCount = 10;
  static constexpr Milliseconds SlotLength{100};

  [[nodiscard]] static std::int64_t slotNumber(TimePoint Time) noexcept {
    return Time.time_since_epoch() / SlotLength;
  }

  std::array<float, SlotCount> Slots{};
  std::int64_t Newest = 0; ///< number of the slot that was added to last
};

} // namespace limpetdrum

#endif
