#ifndef LIMPETDRUM_REQUEST_ADMISSIONLEVEL_H
#define LIMPETDRUM_REQUEST_ADMISSIONLEVEL_H

#include "limpetdrum/request/Position.h"

#include <array>

namespace limpetdrum {

/// \brief How full a target's node is, sampled between two windows.
struct Occupancy {
  double IdleShare = 0;  ///< of the concurrency limit, 0 to 1
  double QueueShare = 0; ///< of the queue's capacity, 0 to 1
};

/// \brief The threshold that a target's node tells its callers.
///
/// Requests at positions below it should be sent; see position(). It keeps
/// the short queue part full: enough waits that no slot idles, and little
/// enough that hardly any is refused. Refusals bring it down to the quantile
/// of the arrivals that could be served; idle slots raise it fast.
class AdmissionLevel {
public:
  void onArrival(float Position) noexcept;
  /// \brief A request was refused for load.
  void onRefused(float Position) noexcept;
  /// \brief Ends the window if it is time.
  /// \param RankCount the ranks that the release in force makes.
  void tick(const Occupancy &Now, std::size_t RankCount,
            TimePoint Time) noexcept;

  [[nodiscard]] float threshold() const noexcept { return this->Threshold; }

private:
  static constexpr std::size_t BinsPerRank = 64;

  void lower() noexcept;
  void raise(const Occupancy &Mean) noexcept;
  /// Raises the threshold to the end of a rank of which nothing is refused.
  void reopenRank() noexcept;
  /// How far down a full queue may take the threshold in a window.
  [[nodiscard]] float lowestCut() const noexcept;
  [[nodiscard]] float quantile(double Share) const noexcept;
  [[nodiscard]] double arrivalsBelow(float Position) const noexcept;
  void beginWindow(TimePoint Time) noexcept;

  /// Arrivals by position, fading with time.
  std::array<float, MaxRanks * BinsPerRank> Bins{};
  double Arrivals = 0;
  double Refused = 0;
  std::size_t RefusedNow = 0;     ///< in this window
  float LowestRefused = MaxRanks; ///< position, in this window
  Occupancy Sum;
  std::size_t Samples = 0;
  TimePoint Start{};
  float Threshold = MaxRanks;
};

} // namespace limpetdrum

#endif
