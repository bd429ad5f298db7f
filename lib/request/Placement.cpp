#include "limpetdrum/request/Placement.h"

#include <algorithm>
#include <cmath>

namespace limpetdrum {

namespace {

/// A target whose load is below this share of its limit answers without
/// queueing.
constexpr double MaxUnqueuedLoad = 0.9;
/// Added to the load of targets in other failure domains, for the round trip
/// between domains.
constexpr double OtherDomainPenalty = 0.05;
/// Upper bound of the noise added to each cost, as a share of a target's limit.
/// Costs that differ by less count as equal, so that the callers do not all
/// switch to the same target at once.
constexpr double MaxNoise = 0.1;
constexpr double FailureWeight = 0.05; ///< of one call in the failure share
constexpr double FailurePenalty = 4;   ///< added load at a failure share of 1
constexpr Milliseconds FailureHalfLife{3000};

} // namespace

Placement::Placement(FailureDomain LocalDomain, std::uint64_t Seed)
    : LocalDomain(std::move(LocalDomain)), Random(Seed) {}

double Placement::load(const PlacementCandidate &Candidate) {
  const auto &S = this->StatsByNode[Candidate.Node];
  auto Requests = static_cast<double>(Candidate.Outstanding);
  if (S.InFlight > S.InFlightAtReport)
    Requests += static_cast<double>(S.InFlight - S.InFlightAtReport);
  return (Requests + 1) / static_cast<double>(std::max(1U, Candidate.Limit));
}

double Placement::failureShare(const Stats &S, TimePoint Now) const {
  auto HalfLives = std::chrono::duration<double>(Now - S.LastEndedAt) /
                   std::chrono::duration<double>(FailureHalfLife);
  return S.FailureShare * std::exp2(-HalfLives);
}

std::optional<NodeId>
Placement::pick(const std::vector<PlacementCandidate> &Candidates,
                const std::vector<NodeId> &Excluded, TimePoint Now) {
  const PlacementCandidate *Best = nullptr;
  double BestCost = 0;
  double LowestFailureShare = 1;
  for (const auto &Candidate : Candidates)
    LowestFailureShare =
        std::min(LowestFailureShare,
                 this->failureShare(this->StatsByNode[Candidate.Node], Now));
  std::uniform_real_distribution<double> Noise(0, MaxNoise);
  for (const auto &Candidate : Candidates) {
    if (std::find(Excluded.begin(), Excluded.end(), Candidate.Node) !=
        Excluded.end())
      continue;
    auto Cost =
        this->load(Candidate) +
        FailurePenalty *
            (this->failureShare(this->StatsByNode[Candidate.Node], Now) -
             LowestFailureShare);
    if (Candidate.FailureDomain != this->LocalDomain)
      Cost += OtherDomainPenalty;
    else if (Cost < MaxUnqueuedLoad)
      Cost -= 1; // preferred to any target in another failure domain
    Cost += Noise(this->Random);
    if (Best != nullptr && Cost >= BestCost)
      continue;
    Best = &Candidate;
    BestCost = Cost;
  }
  if (Best == nullptr)
    return std::nullopt;
  ++this->StatsByNode[Best->Node].InFlight;
  return Best->Node;
}

void Placement::end(const NodeId &Node, CallResult Result, TimePoint Now) {
  auto &S = this->StatsByNode[Node];
  if (S.InFlight > 0)
    --S.InFlight;
  S.InFlightAtReport = std::min(S.InFlightAtReport, S.InFlight);
  if (Result == CallResult::Refused)
    return;
  double Failed = Result == CallResult::Failed ? 1 : 0;
  auto Decayed = this->failureShare(S, Now);
  S.FailureShare = Decayed + FailureWeight * (Failed - Decayed);
  S.LastEndedAt = Now;
}

void Placement::onReport(const NodeId &Node) {
  auto &S = this->StatsByNode[Node];
  S.InFlightAtReport = S.InFlight;
}

void Placement::remove(const NodeId &Node) { this->StatsByNode.erase(Node); }

} // namespace limpetdrum
