#ifndef LIMPETDRUM_VERSION_RANKORDER_H
#define LIMPETDRUM_VERSION_RANKORDER_H

#include "limpetdrum/request/Position.h"
#include "limpetdrum/version/Organisations.h"

#include <array>

namespace limpetdrum {

/// \brief Order in which requests are shed, by the rank of their organisation
///   and then by the rank of their route.
///
/// The pairs of ranks that occur in a policy are numbered, since there are only
/// MaxRanks ranks. If there are more pairs, the organisations that are shed
/// first share a rank: the order of routes within an organisation is kept.
/// Without ranked organisations the rank of a route stays as it is.
class RankOrder {
public:
  RankOrder() = default;
  /// \param RouteRanks ranks of all routes, each below MaxRanks.
  RankOrder(const Organisations &Owners,
            const std::vector<ClassRank> &RouteRanks);

  /// \brief Returns the rank of a request.
  /// \param Owner organisation of the request; nullptr if it is nobody's.
  ///   Nobody's requests are treated as those of an organisation without a
  ///   rank, which are shed last.
  [[nodiscard]] ClassRank combine(const OrganisationPolicy *Owner,
                                  ClassRank RouteRank) const noexcept;

private:
  bool IsRanked = false; ///< false if no organisation has a rank
  /// Rank that an organisation's first routes have, by its own rank.
  std::array<std::uint8_t, MaxRanks> FirstRanks{};
  /// Number of a route's rank among those that occur.
  std::array<std::uint8_t, MaxRanks> RouteNumbers{};
};

} // namespace limpetdrum

#endif
