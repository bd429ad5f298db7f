#include "limpetdrum/request/Placement.h"

#include "limpetdrum/process/Rendezvous.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace limpetdrum {

namespace {

using Seconds = std::chrono::duration<double>;

/// Targets of the own failure domain get all requests below this load. Above
/// it, some of them begin to queue.
constexpr double MaxUnqueuedLoad = 0.8;
/// At this load of the own failure domain, all requests wait there, and it is
/// no longer preferred.
constexpr double MaxPreferredLoad = 1;
/// Difference in load at which a caller gains by another failure domain; less
/// is not worth the bytes between domains.
constexpr double WorthwhileGain = 0.1;
/// Below this load nobody waits, and differences between targets say little.
constexpr double MinMeanLoad = 0.3;
/// A report counts for this many typical runs: the requests that it names have
/// ended then.
constexpr double RunsUntilOutdated = 2;
/// Bounds of the part of an excess over the mean load that a target gets less
/// in the time of a typical run. The excess is to be gone within the age of the
/// news, as newer ones come then: fresh news may be followed at once, and with
/// old ones all nodes would swing. At the least twice the excess, as part of
/// the news comes late or is lost.
constexpr double MinCorrectionGain = 2;
constexpr double MaxCorrectionGain = 8;
constexpr Seconds MinAge{0.001}; ///< a message takes as long
/// Service times of candidates differ by less than this factor; a report
/// beyond it is about a few requests of one kind.
constexpr double MaxServiceFactor = 4;
/// Time over which reported service times are smoothed: a target runs requests
/// of different kinds, and reports what it ran last.
constexpr Seconds ServiceTimeSmoothing{2};
/// Assumed while no candidate has reported its own.
constexpr Microseconds DefaultServiceTime{100000};
constexpr double FailureWeight = 0.05; ///< of one call in the failure share
/// A target that fails this much more often than its siblings gets no request
/// while they have room.
constexpr double MaxExcessFailures = 0.1;
/// Mean loads of sound targets between which their queues fill, and requests
/// that would be refused go to targets that fail some.
constexpr double QueueingLoad = 1;
constexpr double FullLoad = 2;
constexpr double FailurePenalty = 4; ///< added load at a failure share of 1
constexpr Milliseconds FailureHalfLife{3000};
/// Bound of a credit, in requests, for targets that were not chosen for long.
constexpr double MaxCredit = 2;

/// Load of the targets on one side of the border of the failure domain.
struct Side {
  double Requests = 0;
  double Limit = 0;
  [[nodiscard]] double load() const noexcept {
    return this->Limit > 0 ? this->Requests / this->Limit
                           : std::numeric_limits<double>::infinity();
  }
};

/// Returns the share of their capacity that targets elsewhere contribute. Rises
/// smoothly, so that not all nodes of a domain leave it at once.
double shareElsewhere(const Side &Own, const Side &Other) noexcept {
  if (Own.Limit <= 0 || Other.Limit <= 0)
    return 1;
  auto WithThis = (Own.Requests + 1) / Own.Limit;
  auto Need =
      (WithThis - MaxUnqueuedLoad) / (MaxPreferredLoad - MaxUnqueuedLoad);
  auto Gain = (Own.load() - Other.load()) / WorthwhileGain;
  return std::clamp(Need, 0.0, 1.0) * std::clamp(Gain, 0.0, 1.0);
}

} // namespace

Placement::Placement(FailureDomain LocalDomain, std::uint64_t Seed)
    : LocalDomain(std::move(LocalDomain)), Seed(Seed) {}

double Placement::failureShare(const Stats &S, TimePoint Now) const {
  auto HalfLives = Seconds(Now - S.LastEndedAt) / Seconds(FailureHalfLife);
  return S.FailureShare * std::exp2(-HalfLives);
}

Placement::Option Placement::option(const PlacementCandidate &Candidate,
                                    TimePoint Now) const {
  Option Result;
  Result.Candidate = &Candidate;
  auto Found = this->StatsByNode.find(Candidate.Node);
  if (Found != this->StatsByNode.end())
    Result.Known = Found->second;
  else
    // Nodes start at different targets.
    Result.Known.Credit =
        static_cast<double>(rendezvousWeight(this->Seed, Candidate.Node)) /
            static_cast<double>(std::numeric_limits<std::uint64_t>::max()) -
        0.5;
  auto &S = Result.Known;
  Result.FailureShare = this->failureShare(S, Now);
  Result.Limit = std::max(1.0, static_cast<double>(Candidate.Limit));
  auto Requests = static_cast<double>(Candidate.Outstanding);
  if (!Candidate.IsCurrent) {
    if (S.InFlight > S.InFlightAtReport)
      Requests += static_cast<double>(S.InFlight - S.InFlightAtReport);
    if (S.ReportedAt != TimePoint{})
      Result.Age = Now - S.ReportedAt;
  }
  Result.Load = Requests / Result.Limit;
  if (Candidate.ServiceTime.count() > 0) {
    Seconds Reported(Candidate.ServiceTime);
    auto Weight = S.ServiceTime.count() > 0
                      ? 1 - std::exp(-(Seconds(Now - S.ServiceTimeAt) /
                                       ServiceTimeSmoothing))
                      : 1;
    S.ServiceTime += Weight * (Reported - S.ServiceTime);
    S.ServiceTimeAt = Now;
  }
  return Result;
}

void Placement::weigh(const std::vector<PlacementCandidate> &Candidates,
                      const std::vector<NodeId> &Excluded, TimePoint Now,
                      std::vector<Option> &Options) const {
  Options.clear();
  double LowestFailureShare = 1;
  for (const auto &Candidate : Candidates) {
    auto Each = this->option(Candidate, Now);
    LowestFailureShare = std::min(LowestFailureShare, Each.FailureShare);
    if (std::find(Excluded.begin(), Excluded.end(), Candidate.Node) ==
        Excluded.end())
      Options.push_back(Each);
  }
  Side Own;
  Side Other;
  Seconds ServiceTimeSum{0};
  std::size_t ServiceTimes = 0;
  for (auto &Each : Options) {
    Each.Soundness = std::max(
        0.0, 1 - (Each.FailureShare - LowestFailureShare) / MaxExcessFailures);
    auto &Its =
        Each.Candidate->FailureDomain == this->LocalDomain ? Own : Other;
    Its.Requests += Each.Soundness * Each.Load * Each.Limit;
    Its.Limit += Each.Soundness * Each.Limit;
    ServiceTimeSum += Each.Known.ServiceTime;
    ServiceTimes += Each.Known.ServiceTime.count() > 0 ? 1 : 0;
  }
  auto Elsewhere = shareElsewhere(Own, Other);
  Side Used{Own.Requests + Elsewhere * Other.Requests,
            Own.Limit + Elsewhere * Other.Limit};
  auto MeanLoad = Used.Limit > 0 ? Used.load() : 0;
  auto Shortage = std::clamp(
      (MeanLoad - QueueingLoad) / (FullLoad - QueueingLoad), 0.0, 1.0);
  auto MeanServiceTime =
      ServiceTimes > 0 ? ServiceTimeSum / static_cast<double>(ServiceTimes)
                       : Seconds(DefaultServiceTime);
  double Total = 0;
  double CapacityTotal = 0;
  double InFlightTotal = 0;
  for (auto &Each : Options) {
    auto ServiceTime = Each.Known.ServiceTime.count() > 0
                           ? std::clamp(Each.Known.ServiceTime,
                                        MeanServiceTime / MaxServiceFactor,
                                        MeanServiceTime * MaxServiceFactor)
                           : MeanServiceTime;
    // The requests that a report counts have ended after a typical run; the
    // others that came since are what all nodes send on average.
    auto NewsWeight =
        std::exp(-(Seconds(Each.Age) / (RunsUntilOutdated * ServiceTime)));
    auto Pace = Each.Candidate->Pace > 0 ? Each.Candidate->Pace / 100.0 : 1.0;
    Each.Capacity = Each.Soundness * Each.Limit;
    if (Each.Candidate->FailureDomain != this->LocalDomain)
      Each.Capacity *= Elsewhere;
    auto Served =
        Each.Limit / ServiceTime.count() / (1 + NewsWeight * (Pace - 1));
    auto Gain = std::clamp(ServiceTime / std::max(MinAge, Seconds(Each.Age)),
                           MinCorrectionGain, MaxCorrectionGain);
    auto Correction = 1 + Gain * NewsWeight * (MeanLoad - Each.Load) /
                              std::max(MeanLoad, MinMeanLoad);
    auto Trust = std::max(Each.Soundness, Shortage * (1 - Each.FailureShare));
    Each.Chance = Trust * Served * std::max(0.0, Correction);
    if (Each.Candidate->FailureDomain != this->LocalDomain)
      Each.Chance *= Elsewhere;
    Total += Each.Chance;
    CapacityTotal += Each.Capacity;
    InFlightTotal += static_cast<double>(Each.Known.InFlight);
  }
  for (auto &Each : Options) {
    if (Total <= 0)
      break;
    Each.Chance /= Total;
    Each.Known.Credit = std::min(MaxCredit, Each.Known.Credit + Each.Chance);
    // Own calls in flight are no old news: a target that holds more of them
    // than its part has become slow, and waits for its turn.
    Each.Due = Each.Known.Credit - static_cast<double>(Each.Known.InFlight) +
               InFlightTotal * Each.Capacity / CapacityTotal;
  }
}

const Placement::Option *
Placement::choose(const std::vector<Option> &Options) noexcept {
  const Option *Best = nullptr;
  for (const auto &Each : Options)
    if (Each.Chance > 0 && (Best == nullptr || Each.Due > Best->Due))
      Best = &Each;
  if (Best != nullptr)
    return Best;
  // All are full or fail: the one that is nearest to room.
  auto Cost = [](const Option &Each) {
    return Each.Load + FailurePenalty * Each.FailureShare;
  };
  for (const auto &Each : Options)
    if (Best == nullptr || Cost(Each) < Cost(*Best))
      Best = &Each;
  return Best;
}

std::optional<NodeId>
Placement::pick(const std::vector<PlacementCandidate> &Candidates,
                const std::vector<NodeId> &Excluded, TimePoint Now) {
  this->weigh(Candidates, Excluded, Now, this->Options);
  const auto *Best = choose(this->Options);
  if (Best == nullptr)
    return std::nullopt;
  for (const auto &Each : this->Options) {
    auto &S = this->StatsByNode[Each.Candidate->Node];
    S = Each.Known;
    if (&Each != Best)
      continue;
    S.Credit = std::max(-MaxCredit, S.Credit - 1);
    ++S.InFlight;
  }
  this->LastChoice = this->summarize(*Best);
  return Best->Candidate->Node;
}

PlacementSummary Placement::summarize(const Option &Taken) const {
  PlacementSummary Result;
  Result.NewsAge = Taken.Age;
  Side Own;
  double Busiest = 0;
  for (const auto &Each : this->Options) {
    if (Each.Candidate->FailureDomain != this->LocalDomain)
      continue;
    Own.Requests += Each.Load * Each.Limit;
    Own.Limit += Each.Limit;
    Busiest = std::max(Busiest, Each.Load);
  }
  if (Own.Requests > 0)
    Result.Unevenness = Busiest / Own.load();
  Result.LeavesDomain =
      Own.Limit > 0 && Taken.Candidate->FailureDomain != this->LocalDomain;
  return Result;
}

std::vector<WeighedCandidate>
Placement::explain(const std::vector<PlacementCandidate> &Candidates,
                   const std::vector<NodeId> &Excluded, TimePoint Now) const {
  std::vector<Option> Weighed;
  this->weigh(Candidates, Excluded, Now, Weighed);
  const auto *Best = choose(Weighed);
  std::vector<WeighedCandidate> Result;
  Result.reserve(Weighed.size());
  for (const auto &Each : Weighed)
    Result.push_back({*Each.Candidate, Each.Load, Each.Age, Each.FailureShare,
                      Each.Chance, Each.Due, &Each == Best});
  return Result;
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

void Placement::onReport(const NodeId &Node, TimePoint Now) {
  auto &S = this->StatsByNode[Node];
  S.InFlightAtReport = S.InFlight;
  S.ReportedAt = Now;
}

void Placement::remove(const NodeId &Node) { this->StatsByNode.erase(Node); }

} // namespace limpetdrum
