#include "limpetdrum/request/Router.h"

#include <algorithm>

namespace limpetdrum {

namespace {

constexpr double LatencyWeight = 0.1;   // of one call in the smoothed latency
constexpr double InitialLatency = 1000; // microseconds
constexpr double SameRegionHandicap = 1.25;
constexpr double OtherRegionHandicap = 4.0;
constexpr unsigned FailuresToEject = 5;
constexpr Milliseconds InitialEjection{1000};
constexpr unsigned MaxEjectionDoublings = 5;

bool contains(const std::vector<NodeId> &Names, const NodeId &Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

} // namespace

Router::Router(FailureDomain LocalDomain, Region LocalRegion,
               std::uint64_t Seed)
    : LocalDomain(std::move(LocalDomain)), LocalRegion(std::move(LocalRegion)),
      Random(Seed) {}

double Router::cost(const RouteCandidate &Candidate) {
  const auto &S = this->StatsByNode[Candidate.Node];
  double Latency = S.Latency == 0 ? InitialLatency : S.Latency;
  double Handicap = 1;
  if (Candidate.Region != this->LocalRegion)
    Handicap = OtherRegionHandicap;
  else if (Candidate.FailureDomain != this->LocalDomain)
    Handicap = SameRegionHandicap;
  return static_cast<double>(S.InFlight + 1) * Latency * Handicap;
}

bool Router::usable(const NodeId &Node, TimePoint Now) const {
  auto Found = this->StatsByNode.find(Node);
  if (Found == this->StatsByNode.end())
    return true;
  const auto &S = Found->second;
  if (Now < S.EjectedUntil)
    return false;
  // After an ejection the node receives one call at a time until one succeeds.
  return S.Ejections == 0 || S.Failures < FailuresToEject || S.InFlight == 0;
}

bool Router::isEjected(const NodeId &Node, TimePoint Now) const {
  return !this->usable(Node, Now);
}

std::optional<NodeId>
Router::pick(const std::vector<RouteCandidate> &Candidates,
             const std::vector<NodeId> &Excluded, TimePoint Now) {
  std::vector<const RouteCandidate *> Untried;
  for (const auto &Candidate : Candidates)
    if (!contains(Excluded, Candidate.Node))
      Untried.push_back(&Candidate);
  std::vector<const RouteCandidate *> Usable;
  for (const auto *Candidate : Untried)
    if (this->usable(Candidate->Node, Now))
      Usable.push_back(Candidate);
  // If most of the nodes are ejected, the fault is likely elsewhere: use all.
  if (Usable.size() * 2 < Untried.size())
    Usable = Untried;
  if (Usable.empty())
    return std::nullopt;
  const auto *First = Usable[this->Random() % Usable.size()];
  const auto *Second = Usable[this->Random() % Usable.size()];
  if (this->cost(*Second) < this->cost(*First))
    First = Second;
  this->begin(First->Node);
  return First->Node;
}

void Router::begin(const NodeId &Node) { ++this->StatsByNode[Node].InFlight; }

void Router::end(const NodeId &Node, CallResult Result, Microseconds Latency,
                 TimePoint Now) {
  auto &S = this->StatsByNode[Node];
  if (S.InFlight > 0)
    --S.InFlight;
  if (Result == CallResult::Failed) {
    if (++S.Failures < FailuresToEject)
      return;
    auto Doublings = std::min(S.Ejections, MaxEjectionDoublings);
    S.EjectedUntil = Now + InitialEjection * (1U << Doublings);
    ++S.Ejections;
    return;
  }
  S.Failures = 0;
  S.Ejections = 0;
  if (Result != CallResult::Served)
    return;
  auto Measured = static_cast<double>(Latency.count());
  S.Latency = S.Latency == 0
                  ? Measured
                  : S.Latency + LatencyWeight * (Measured - S.Latency);
}

void Router::remove(const NodeId &Node) { this->StatsByNode.erase(Node); }

std::vector<RouteCandidate> subset(std::vector<RouteCandidate> Candidates,
                                   const NodeId &Self,
                                   const FailureDomain &LocalDomain,
                                   const Region &LocalRegion,
                                   std::size_t MaxCount) {
  if (Candidates.size() <= MaxCount)
    return Candidates;
  auto Distance = [&](const RouteCandidate &C) {
    if (C.FailureDomain == LocalDomain)
      return 0;
    return C.Region == LocalRegion ? 1 : 2;
  };
  auto Seed = stableHash(Self.value());
  std::sort(Candidates.begin(), Candidates.end(),
            [&](const RouteCandidate &A, const RouteCandidate &B) {
              if (Distance(A) != Distance(B))
                return Distance(A) < Distance(B);
              return stableHash(A.Node.value(), Seed) >
                     stableHash(B.Node.value(), Seed);
            });
  Candidates.resize(MaxCount);
  return Candidates;
}

} // namespace limpetdrum
