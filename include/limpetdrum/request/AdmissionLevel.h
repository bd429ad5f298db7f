#ifndef LIMPETDRUM_REQUEST_ADMISSIONLEVEL_H
#define LIMPETDRUM_REQUEST_ADMISSIONLEVEL_H

#include "limpetdrum/request/Position.h"

#include <array>

namespace limpetdrum {

/// \brief The threshold that a target's node tells its callers.
///
/// Requests at positions below it should be sent; see position(). In each
/// window with refusals it falls to the quantile of the arrivals that could be
/// served; without refusals it rises, faster the more of the limit is idle.
class AdmissionLevel {
public:
  void onArrival(float Position) noexcept;
  /// \brief A request was refused for load.
  void onRefused() noexcept { ++this->Refused; }
  /// \brief Ends the window if it is time.
  /// \param IdleShare the unused share of the concurrency limit, 0 to 1.
  /// \param RankCount the ranks that the release in force makes.
  void tick(double IdleShare, std::size_t RankCount, TimePoint Now) noexcept;

  [[nodiscard]] float threshold() const noexcept { return this->Threshold; }

private:
  static constexpr std::size_t BinsPerRank = 64;

  [[nodiscard]] float quantile(double Share) const noexcept;
  void clear(TimePoint Now) noexcept;

  std::array<std::uint32_t, MaxRanks * BinsPerRank> Bins{};
  std::size_t Arrivals = 0;
  std::size_t Refused = 0;
  double IdleSum = 0;
  std::size_t IdleSamples = 0;
  TimePoint Start{};
  float Threshold = MaxRanks;
};

} // namespace limpetdrum

#endif
