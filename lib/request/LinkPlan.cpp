#include "limpetdrum/request/LinkPlan.h"

#include "limpetdrum/process/Rendezvous.h"

#include <algorithm>

namespace limpetdrum {

namespace {

/// Links for one service in the own failure domain, and in all others.
constexpr std::size_t LocalLinks = 8;
constexpr std::size_t RemoteLinks = 8;
/// Links added in one step while the linked targets are full.
constexpr std::size_t ExtraStep = 8;
constexpr std::size_t MaxExtra = 16;
/// Above this utilization, a target queues requests soon.
constexpr double FullUtilization = 0.9;
constexpr double CalmUtilization = 0.6;
constexpr Milliseconds FullPeriod{400};
constexpr std::chrono::seconds CalmPeriod{10};

} // namespace

LinkPlan::LinkPlan(NodeId Self, FailureDomain LocalDomain)
    : Self(std::move(Self)), LocalDomain(std::move(LocalDomain)) {}

void LinkPlan::observe(const ServiceName &Service, double Utilization,
                       TimePoint Now) {
  auto &State = this->Widths[Service];
  if (Utilization < FullUtilization)
    State.FullSince = TimePoint{};
  else if (State.FullSince == TimePoint{})
    State.FullSince = Now;
  if (Utilization > CalmUtilization)
    State.CalmSince = TimePoint{};
  else if (State.CalmSince == TimePoint{})
    State.CalmSince = Now;
  if (State.FullSince != TimePoint{} && Now - State.FullSince >= FullPeriod &&
      State.Extra < MaxExtra) {
    State.Extra += ExtraStep;
    State.FullSince = Now;
    ++this->Changes;
  } else if (State.CalmSince != TimePoint{} &&
             Now - State.CalmSince >= CalmPeriod && State.Extra > 0) {
    State.Extra -= ExtraStep;
    State.CalmSince = Now;
    ++this->Changes;
  }
}

std::set<NodeId> LinkPlan::select(const Membership &Members) const {
  std::map<ServiceName, std::vector<const Member *>> ByService;
  for (const auto &[Node, M] : Members.others())
    if (!isGone(M) && M.Target != TargetState::Draining)
      ByService[M.Service].push_back(&M);
  std::set<NodeId> Result;
  for (auto &[Service, Candidates] : ByService) {
    auto Found = this->Widths.find(Service);
    this->selectOfService(std::move(Candidates),
                          Found == this->Widths.end() ? 0 : Found->second.Extra,
                          Result);
  }
  return Result;
}

void LinkPlan::selectOfService(std::vector<const Member *> Candidates,
                               std::size_t Extra,
                               std::set<NodeId> &Result) const {
  auto Seed = stableHash(this->Self.value());
  auto Weight = [Seed](const Member *M) {
    return rendezvousWeight(Seed, M->Node);
  };
  std::sort(
      Candidates.begin(), Candidates.end(),
      [&](const Member *A, const Member *B) { return Weight(A) > Weight(B); });
  auto Limit = LocalLinks + RemoteLinks + Extra;
  std::size_t Selected = 0;
  auto LocalLimit = LocalLinks + Extra / 2;
  std::map<FailureDomain, std::vector<const Member *>> Remote;
  for (const auto *M : Candidates) {
    if (M->FailureDomain != this->LocalDomain) {
      Remote[M->FailureDomain].push_back(M);
    } else if (Selected < LocalLimit) {
      Result.insert(M->Node);
      ++Selected;
    }
  }
  // One node of each other failure domain in turn. The order of the domains
  // differs between nodes, for the case that there are more of them than links.
  std::vector<std::vector<const Member *>> Domains;
  Domains.reserve(Remote.size());
  for (auto &Entry : Remote)
    Domains.push_back(std::move(Entry.second));
  std::sort(Domains.begin(), Domains.end(), [&](const auto &A, const auto &B) {
    return Weight(A.front()) > Weight(B.front());
  });
  bool Added = true;
  for (std::size_t Index = 0; Added && Selected < Limit; ++Index) {
    Added = false;
    for (const auto &Domain : Domains) {
      if (Index >= Domain.size() || Selected >= Limit)
        continue;
      Result.insert(Domain[Index]->Node);
      ++Selected;
      Added = true;
    }
  }
}

} // namespace limpetdrum
