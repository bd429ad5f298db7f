#ifndef LIMPETDRUM_REQUEST_POSITION_H
#define LIMPETDRUM_REQUEST_POSITION_H

#include "limpetdrum/process/Types.h"

#include <cmath>
#include <cstddef>

namespace limpetdrum {

/// \brief The most ranks that classes may make.
inline constexpr std::size_t MaxRanks = 16;

/// \brief The place of a request in the order of shedding.
///
/// The whole part is the rank of its class, the fraction its cohort: a hash
/// of the root id, so that every hop of a chain lets the same requests pass.
[[nodiscard]] inline float position(ClassRank Rank, float Cohort) noexcept {
  return static_cast<float>(Rank.value()) + Cohort;
}

/// \brief A position as a share: 0 is shed last, each rank takes half of what
///   is left below 1.
[[nodiscard]] inline double normalizedPosition(ClassRank Rank,
                                               float Cohort) noexcept {
  return 1 - std::exp2(-static_cast<double>(Rank.value())) *
                 (1 - static_cast<double>(Cohort) / 2);
}

/// \brief The cohort of a root request, in [0, 1).
[[nodiscard]] float cohortOf(const RootId &Root) noexcept;

} // namespace limpetdrum

#endif
