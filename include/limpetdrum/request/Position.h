#ifndef LIMPETDRUM_REQUEST_POSITION_H
#define LIMPETDRUM_REQUEST_POSITION_H

#include "limpetdrum/process/Types.h"

#include <cmath>
#include <cstddef>

namespace limpetdrum {

/// \brief Maximum number of class ranks.
inline constexpr std::size_t MaxRanks = 16;

/// \brief Returns the position of a request in the order of shedding. The
///   highest positions are shed first.
///
/// The integral part is the rank of its class, the fraction its cohort. The
/// cohort is a hash of the root id, so that every hop of a chain admits the
/// same requests.
[[nodiscard]] inline float position(ClassRank Rank, float Cohort) noexcept {
  return static_cast<float>(Rank.value()) + Cohort;
}

/// \brief Returns a position scaled to [0, 1): 0 is shed last, and each rank
///   covers half of the remaining interval.
[[nodiscard]] inline double normalizedPosition(ClassRank Rank,
                                               float Cohort) noexcept {
  return 1 - std::exp2(-static_cast<double>(Rank.value())) *
                 (1 - static_cast<double>(Cohort) / 2);
}

/// \brief Returns the cohort of a root request, in [0, 1).
[[nodiscard]] float cohortOf(const RootId &Root) noexcept;

} // namespace limpetdrum

#endif
