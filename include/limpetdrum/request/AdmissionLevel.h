#ifndef LIMPETDRUM_REQUEST_ADMISSIONLEVEL_H
#define LIMPETDRUM_REQUEST_ADMISSIONLEVEL_H

#include "limpetdrum/request/Position.h"

#include <array>

namespace limpetdrum {

/// \brief Sample of the occupancy of a target's slots and queue.
struct Occupancy {
  double IdleShare = 0;  ///< unused share of the concurrency limit, 0 to 1
  double QueueShare = 0; ///< used share of the queue's capacity, 0 to 1
};

/// \brief Threshold that the node of a target reports to its callers.
///
/// Callers should send requests at positions below it; see position(). It keeps
/// the short queue partly full, so that no slot idles and few requests are
/// refused. Refusals lower it to the quantile of the arrivals that could be
/// served; idle slots raise it quickly.
class AdmissionLevel {
public:
  /// \brief Records a request submitted at \p Position.
  void onArrival(float Position) noexcept;
  /// \brief Records a request refused for load.
  void onRefused(float Position) noexcept;
  /// \brief Adds an occupancy sample; updates the threshold at the end of a
  ///   window.
  /// \param RankCount number of ranks in the release in force.
  void tick(const Occupancy &Sample, std::size_t RankCount,
            TimePoint Now) noexcept;

  [[nodiscard]] float threshold() const noexcept { return this->Threshold; }

private:
  static constexpr std::size_t BinsPerRank = 64;

  void lower() noexcept;
  void raise(const Occupancy &Mean) noexcept;
  /// Raises the threshold within a rank of which no request was refused, at
  /// most to the end of that rank.
  void reopenRank() noexcept;
  /// Returns the lowest threshold that a full queue may set in one window.
  [[nodiscard]] float lowestCut() const noexcept;
  [[nodiscard]] float quantile(double Share) const noexcept;
  [[nodiscard]] double arrivalsBelow(float Position) const noexcept;
  void beginWindow(TimePoint Now) noexcept;

  /// Arrivals by position, with exponential decay.
  std::array<float, MaxRanks * BinsPerRank> Bins{};
  double Arrivals = 0; ///< sum of Bins
  double Refused = 0;  ///< with the same decay as Arrivals
  std::size_t RefusedInWindow = 0;
  float LowestRefused = MaxRanks; ///< lowest refused position in this window
  Occupancy OccupancySum;
  std::size_t Samples = 0;
  TimePoint WindowStart{};
  float Threshold = MaxRanks;
};

} // namespace limpetdrum

#endif
