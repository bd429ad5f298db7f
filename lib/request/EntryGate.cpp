#include "limpetdrum/request/EntryGate.h"

#include <algorithm>

namespace limpetdrum {

namespace {

/// Thresholds of the queue wait at a service, in seconds, and factors by which
/// its capacity factor rises per update. A short wait while requests are
/// refused at the entry shows spare capacity, a long wait a lack of capacity.
constexpr double ShortWaitSeconds = 0.02;
constexpr double LongWaitSeconds = 0.05;
constexpr double CapacityIncrease = 1.04;
/// While requests are refused at the entry, a service below this share of used
/// slots could take more at once; the factor rises in proportion, up to the
/// maximum, as the requests admitted meanwhile have not reached it yet.
constexpr double BusyShare = 0.8;
constexpr double MaxCapacityIncrease = 1.06;
/// A wait below this share of the previous one shows that the last decrease has
/// reached the service.
constexpr double FallingWaitShare = 0.8;
/// Time in which a decrease is to drain the queue that led to it.
constexpr double DrainSeconds = 1;
constexpr double MinCapacityDecrease = 0.7;
/// Updates until a decrease shows in the queues: those admitted before have to
/// reach the service, and its load has to be reported.
constexpr unsigned UpdatesUntilEffect = 4;
/// Above this multiple of the wait that led to the last decrease, that one was
/// too small.
constexpr double RisingWaitRatio = 1.3;
constexpr double MinCapacityFactor = 0.3;
constexpr double MaxCapacityFactor = 2;
/// Minimum share of each rank that is admitted. Without any runs, the costs of
/// its routes would become unknown.
constexpr double MinShare = 0.02;

/// Returns the factor by which the capacity factor rises while the service has
/// room.
double increase(const ServiceLoad &Load) {
  auto Used = std::max(1.0, Load.Running + Load.Queued);
  return std::clamp(BusyShare * Load.Limit / Used, CapacityIncrease,
                    MaxCapacityIncrease);
}

} // namespace

void EntryGate::adjust(Balance &Balance, const ServiceLoad &Load) {
  auto PreviousWait = Balance.QueueWait;
  Balance.QueueWait = Load.Limit > 0 ? Load.QueuedWork / Load.Limit : 0;
  bool IsFalling = Balance.QueueWait < PreviousWait * FallingWaitShare;
  bool IsRefusing = Balance.DemandedSlots > Balance.GrantedSlots;
  ++Balance.UpdatesSinceDecrease;
  bool ShowsEffect =
      Balance.UpdatesSinceDecrease >= UpdatesUntilEffect ||
      Balance.QueueWait > Balance.WaitAtDecrease * RisingWaitRatio;
  if (Balance.QueueWait > LongWaitSeconds) {
    if (!IsFalling && ShowsEffect) {
      Balance.CapacityFactor *=
          std::max(MinCapacityDecrease, 1 - Balance.QueueWait / DrainSeconds);
      Balance.WaitAtDecrease = Balance.QueueWait;
      Balance.UpdatesSinceDecrease = 0;
    }
  } else if (Balance.QueueWait < ShortWaitSeconds &&
             (IsRefusing || Balance.CapacityFactor < 1)) {
    Balance.CapacityFactor *= increase(Load);
  } else if (Balance.QueueWait < ShortWaitSeconds) {
    // Capacity beyond the limit that is not used is unproven.
    Balance.CapacityFactor =
        std::max(1.0, Balance.CapacityFactor / CapacityIncrease);
  }
  Balance.CapacityFactor =
      std::clamp(Balance.CapacityFactor, MinCapacityFactor, MaxCapacityFactor);
  Balance.GrantedSlots = Load.Limit * Balance.CapacityFactor;
}

void EntryGate::update(const TrafficPolicy &Policy, const DemandModel &Demand,
                       const std::map<ServiceName, ServiceLoad> &Loads) {
  std::map<std::string, double> Shares;
  for (const auto &[Service, Load] : Loads) {
    auto &Balance = this->Balances[Service];
    this->adjust(Balance, Load);
    Balance.DemandedSlots = 0;
    std::map<ClassRank, double> ByRank;
    for (const auto &Route : Policy.routes()) {
      const auto *Costs = Demand.costs(Route.Name);
      if (Costs == nullptr || Demand.isInternalRoute(Route.Name))
        continue;
      auto Cost = Costs->find(Service);
      if (Cost == Costs->end())
        continue;
      auto Slots = Demand.offered(Route.Name) * Cost->second;
      ByRank[Route.Rank] += Slots;
      Balance.DemandedSlots += Slots;
    }
    auto RemainingSlots = Balance.GrantedSlots;
    std::map<ClassRank, double> ShareByRank;
    for (const auto &[Rank, RankSlots] : ByRank) {
      ShareByRank[Rank] = RankSlots <= RemainingSlots
                              ? 1.0
                              : std::max(MinShare, RemainingSlots / RankSlots);
      RemainingSlots = std::max(0.0, RemainingSlots - RankSlots);
    }
    for (const auto &Route : Policy.routes()) {
      const auto *Costs = Demand.costs(Route.Name);
      if (Costs == nullptr || Demand.isInternalRoute(Route.Name) ||
          Costs->count(Service) == 0)
        continue;
      auto &Share = Shares.try_emplace(Route.Name, 1.0).first->second;
      Share = std::min(Share, ShareByRank[Route.Rank]);
    }
  }
  for (auto &[Name, Gate] : this->Gates)
    if (Shares.count(Name) == 0)
      Gate.Share = 1;
  for (const auto &[Name, Share] : Shares)
    this->Gates[Name].Share = Share;
  for (auto &[Name, Gate] : this->Gates)
    Gate.Level = this->Organisations.level(Gate.Share);
}

double EntryGate::shareOf(const Gate &Entry, const Organisation &Owner) const {
  return this->Organisations.share(Owner, Entry.Share, Entry.Level);
}

double EntryGate::share(const std::string &Route,
                        const Organisation &Owner) const {
  auto Found = this->Gates.find(Route);
  return Found == this->Gates.end() ? 1 : this->shareOf(Found->second, Owner);
}

double EntryGate::share(const std::string &Route) const {
  auto Found = this->Gates.find(Route);
  return Found == this->Gates.end() ? 1 : Found->second.Share;
}

bool EntryGate::admit(const std::string &Route, const Organisation &Owner) {
  auto Found = this->Gates.find(Route);
  if (Found == this->Gates.end())
    return true;
  auto &Gate = Found->second;
  if (Gate.Share >= 1) {
    Gate.Credit = 0;
    return true;
  }
  // Dithering prevents nodes from admitting their requests at the same moments.
  std::uniform_real_distribution<double> Dither(0, 1);
  // A credit that organisations shared would pass from one to the other.
  if (!this->Organisations.empty())
    return Dither(this->Random) < this->shareOf(Gate, Owner);
  Gate.Credit = std::min(Gate.Credit + Gate.Share, 1.0);
  bool Admitted = Gate.Credit >= Dither(this->Random);
  if (Admitted)
    Gate.Credit -= 1;
  return Admitted;
}

} // namespace limpetdrum
