#include "limpetdrum/version/RankOrder.h"

#include <algorithm>

namespace limpetdrum {

namespace {

/// Organisations without a rank are treated as if they had this one.
constexpr ClassRank DefaultRank{0};

/// Returns the index of a rank in arrays; ranks out of range are shed first.
std::size_t indexOf(ClassRank Rank) {
  return std::min<std::size_t>(Rank.value(), MaxRanks - 1);
}

ClassRank rankOf(const OrganisationPolicy *Owner) {
  return Owner == nullptr ? DefaultRank : Owner->Rank.value_or(DefaultRank);
}

/// Numbers the marked ranks from 0.
/// \returns how many there are.
std::size_t numberRanks(const std::array<bool, MaxRanks> &Marked,
                        std::array<std::uint8_t, MaxRanks> &Numbers) {
  std::uint8_t Count = 0;
  for (std::size_t I = 0; I < MaxRanks; ++I) {
    Numbers[I] = Count;
    if (Marked[I])
      ++Count;
  }
  return Count;
}

} // namespace

RankOrder::RankOrder(const Organisations &Owners,
                     const std::vector<ClassRank> &RouteRanks) {
  std::array<bool, MaxRanks> OwnerRanks{};
  std::array<bool, MaxRanks> UsedRouteRanks{};
  OwnerRanks[indexOf(DefaultRank)] = true; // nobody's requests
  for (const auto &Owner : Owners.entries()) {
    OwnerRanks[indexOf(rankOf(&Owner))] = true;
    this->IsRanked = this->IsRanked || Owner.Rank.has_value();
  }
  for (const auto &Rank : RouteRanks)
    UsedRouteRanks[indexOf(Rank)] = true;
  auto RouteRankCount = numberRanks(UsedRouteRanks, this->RouteNumbers);
  (void)numberRanks(OwnerRanks, this->FirstRanks);
  if (RouteRankCount == 0)
    return;
  auto LastStep = MaxRanks / RouteRankCount - 1;
  for (auto &First : this->FirstRanks)
    First = static_cast<std::uint8_t>(std::min<std::size_t>(First, LastStep) *
                                      RouteRankCount);
}

ClassRank RankOrder::combine(const OrganisationPolicy *Owner,
                             ClassRank RouteRank) const noexcept {
  if (!this->IsRanked)
    return RouteRank;
  return ClassRank(
      static_cast<std::uint8_t>(this->FirstRanks[indexOf(rankOf(Owner))] +
                                this->RouteNumbers[indexOf(RouteRank)]));
}

} // namespace limpetdrum
