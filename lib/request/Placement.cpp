#include "limpetdrum/request/Placement.h"

#include <algorithm>
#include <cmath>

namespace limpetdrum {

namespace {

/// A target below this share of its limit answers without a queue.
constexpr double RoomyLoad = 0.9;
/// Added to targets of other failure domains: the way there and back.
constexpr double DistancePenalty = 0.05;
/// Choices within it count as equal, so that callers do not all turn at once.
constexpr double Spread = 0.1;
constexpr double FailureWeight = 0.05; ///< of one call
constexpr double FailurePenalty = 4;   ///< load that a sure failure counts as
constexpr Milliseconds FailureHalfLife{3000};

} // namespace

Placement::Placement(FailureDomain OwnDomain, std::uint64_t Seed)
    : OwnDomain(std::move(OwnDomain)), Random(Seed) {}

double Placement::load(const PlacementCandidate &Of) {
  const auto &S = this->Known[Of.Node];
  auto Busy = static_cast<double>(Of.Outstanding);
  if (S.InFlight > S.InFlightAtReport)
    Busy += static_cast<double>(S.InFlight - S.InFlightAtReport);
  return (Busy + 1) / static_cast<double>(std::max(1U, Of.Limit));
}

double Placement::failureShare(const Stats &Of, TimePoint Now) const {
  auto Passed = std::chrono::duration<double>(Now - Of.EndedAt) /
                std::chrono::duration<double>(FailureHalfLife);
  return Of.FailureShare * std::exp2(-Passed);
}

std::optional<NodeId>
Placement::pick(const std::vector<PlacementCandidate> &Candidates,
                const std::vector<NodeId> &Excluded, TimePoint Now) {
  const PlacementCandidate *Best = nullptr;
  double BestCost = 0;
  double LeastFailures = 1;
  for (const auto &Candidate : Candidates)
    LeastFailures = std::min(
        LeastFailures, this->failureShare(this->Known[Candidate.Node], Now));
  std::uniform_real_distribution<double> Noise(0, Spread);
  for (const auto &Candidate : Candidates) {
    if (std::find(Excluded.begin(), Excluded.end(), Candidate.Node) !=
        Excluded.end())
      continue;
    auto Cost =
        this->load(Candidate) +
        FailurePenalty * (this->failureShare(this->Known[Candidate.Node], Now) -
                          LeastFailures);
    if (Candidate.FailureDomain != this->OwnDomain)
      Cost += DistancePenalty;
    else if (Cost < RoomyLoad)
      Cost -= 1; // before any target of another failure domain
    Cost += Noise(this->Random);
    if (Best != nullptr && Cost >= BestCost)
      continue;
    Best = &Candidate;
    BestCost = Cost;
  }
  if (Best == nullptr)
    return std::nullopt;
  ++this->Known[Best->Node].InFlight;
  return Best->Node;
}

void Placement::end(const NodeId &Node, CallResult How, TimePoint Now) {
  auto &S = this->Known[Node];
  if (S.InFlight > 0)
    --S.InFlight;
  S.InFlightAtReport = std::min(S.InFlightAtReport, S.InFlight);
  if (How == CallResult::Refused)
    return;
  double Failed = How == CallResult::Failed ? 1 : 0;
  auto Faded = this->failureShare(S, Now);
  S.FailureShare = Faded + FailureWeight * (Failed - Faded);
  S.EndedAt = Now;
}

void Placement::onReport(const NodeId &Node) {
  auto &S = this->Known[Node];
  S.InFlightAtReport = S.InFlight;
}

void Placement::forget(const NodeId &Node) { this->Known.erase(Node); }

} // namespace limpetdrum
