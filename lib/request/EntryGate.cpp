#include "limpetdrum/request/EntryGate.h"

#include <algorithm>

namespace limpetdrum {

namespace {

/// Waits at a service, in seconds, and what follows for the trim of what its
/// slots are believed to give: a short wait while requests are held back means
/// that more fits, a longer one that less does, and a long one ends in refusals
/// in the depth.
constexpr double ShortWait = 0.02;
constexpr double LongWait = 0.05;
constexpr double CriticalWait = 0.12;
constexpr double TrimUp = 1.04;
constexpr double TrimDown = 0.95;
constexpr double TrimDownFast = 0.85;
constexpr double LeastTrim = 0.3;
constexpr double MostTrim = 2;
/// No rank is refused altogether: its costs have to stay known.
constexpr double LeastShare = 0.02;

} // namespace

void EntryGate::adjust(Balance &Of, const ServiceLoad &Load) {
  Of.QueueWait = Load.Limit > 0 ? Load.QueuedWork / Load.Limit : 0;
  if (Of.QueueWait > CriticalWait)
    Of.CapacityFactor *= TrimDownFast;
  else if (Of.QueueWait > LongWait)
    Of.CapacityFactor *= TrimDown;
  else if (Of.QueueWait < ShortWait &&
           (Of.DemandedSlots > Of.GrantedSlots || Of.CapacityFactor < 1))
    Of.CapacityFactor *= TrimUp;
  else if (Of.QueueWait < ShortWait)
    Of.CapacityFactor =
        std::max(1.0, Of.CapacityFactor / TrimUp); // untried room is not known
  Of.CapacityFactor = std::clamp(Of.CapacityFactor, LeastTrim, MostTrim);
  Of.GrantedSlots = Load.Limit * Of.CapacityFactor;
}

void EntryGate::update(const TrafficPolicy &Policy, const DemandModel &Demand,
                       const std::map<ServiceName, ServiceLoad> &Loads) {
  std::map<std::string, double> Shares;
  for (const auto &[Service, Load] : Loads) {
    auto &Of = this->Balances[Service];
    this->adjust(Of, Load);
    Of.DemandedSlots = 0;
    std::map<ClassRank, double> ByRank;
    for (const auto &Asked : Policy.routes()) {
      const auto *Costs = Demand.costs(Asked.Name);
      if (Costs == nullptr || Demand.isCalled(Asked.Name))
        continue;
      auto Cost = Costs->find(Service);
      if (Cost == Costs->end())
        continue;
      auto Slots = Demand.offered(Asked.Name) * Cost->second;
      ByRank[Asked.Rank] += Slots;
      Of.DemandedSlots += Slots;
    }
    auto Left = Of.GrantedSlots;
    std::map<ClassRank, double> Fitting;
    for (const auto &[Rank, Wanted] : ByRank) {
      Fitting[Rank] =
          Wanted <= Left ? 1.0 : std::max(LeastShare, Left / Wanted);
      Left = std::max(0.0, Left - Wanted);
    }
    for (const auto &Asked : Policy.routes()) {
      const auto *Costs = Demand.costs(Asked.Name);
      if (Costs == nullptr || Demand.isCalled(Asked.Name) ||
          Costs->count(Service) == 0)
        continue;
      auto &Share = Shares.try_emplace(Asked.Name, 1.0).first->second;
      Share = std::min(Share, Fitting[Asked.Rank]);
    }
  }
  for (auto &[Name, Of] : this->Gates)
    if (Shares.count(Name) == 0)
      Of.Share = 1;
  for (const auto &[Name, Share] : Shares)
    this->Gates[Name].Share = Share;
}

double EntryGate::share(const std::string &Route) const {
  auto Found = this->Gates.find(Route);
  return Found == this->Gates.end() ? 1 : Found->second.Share;
}

bool EntryGate::admit(const std::string &Route) {
  auto Found = this->Gates.find(Route);
  if (Found == this->Gates.end())
    return true;
  auto &Of = Found->second;
  if (Of.Share >= 1) {
    Of.Credit = 0;
    return true;
  }
  Of.Credit = std::min(Of.Credit + Of.Share, 1.0);
  // Nodes must not let in their requests in step.
  std::uniform_real_distribution<double> Dither(0, 1);
  bool Admitted = Of.Credit >= Dither(this->Random);
  if (Admitted)
    Of.Credit -= 1;
  return Admitted;
}

} // namespace limpetdrum
