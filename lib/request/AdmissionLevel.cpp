#include "limpetdrum/request/AdmissionLevel.h"

#include <algorithm>
#include <cmath>

namespace limpetdrum {

namespace {

constexpr Milliseconds WindowLength{100};
/// Number of refusals that ends a window early.
constexpr std::size_t RefusalBurst = 4;
/// Factor by which counted arrivals decay at the end of a window.
constexpr float WindowDecay = 0.8F;
/// The same for a window ended by a burst of refusals. It is lower because
/// arrivals before the overload do not represent the load during it.
constexpr float BurstDecay = 0.5F;
/// Share of refused arrivals that does not lower the threshold; a full queue
/// implies a few refusals.
constexpr double ToleratedRefusalShare = 0.04;
/// Bounds of the used share of the queue between which the threshold is kept.
constexpr double HighQueueShare = 0.75;
constexpr double LowQueueShare = 0.5;
/// Largest share of the arrivals that a full queue cuts off in one window.
constexpr double MaxFullQueueCut = 0.05;
/// Rise per window with an empty queue, and with all slots idle in addition.
constexpr double RiseWhenQueueEmpty = 0.04;
constexpr double RiseWhenIdle = 1.0;
/// Rise per window while only lower ranks are refused.
constexpr float RiseWithinRank = 0.1F;
/// Lowest threshold: some requests always pass, so that a recovery is noticed.
constexpr float MinThreshold = 0.02F;

} // namespace

float cohortOf(const RootId &Root) noexcept {
  constexpr int MantissaBits = 24;
  std::uint64_t Mixed =
      (Root.High ^ (Root.Low * 0x9e3779b97f4a7c15U)) * 0xff51afd7ed558ccdU;
  return static_cast<float>(Mixed >> (64 - MantissaBits)) /
         static_cast<float>(1U << MantissaBits);
}

void AdmissionLevel::onArrival(float Position) noexcept {
  auto Bin = static_cast<std::size_t>(Position * BinsPerRank);
  this->Bins[std::min(Bin, this->Bins.size() - 1)] += 1;
  this->Arrivals += 1;
}

void AdmissionLevel::onRefused(float Position) noexcept {
  this->LowestRefused = std::min(this->LowestRefused, Position);
  this->Refused += 1;
  ++this->RefusedInWindow;
}

void AdmissionLevel::tick(const Occupancy &Sample, std::size_t RankCount,
                          TimePoint Now) noexcept {
  this->OccupancySum.IdleShare += Sample.IdleShare;
  this->OccupancySum.QueueShare += Sample.QueueShare;
  ++this->Samples;
  bool Burst = this->RefusedInWindow >= RefusalBurst;
  if (Now - this->WindowStart < WindowLength && !Burst)
    return;
  auto SampleCount = static_cast<double>(this->Samples);
  Occupancy Mean{this->OccupancySum.IdleShare / SampleCount,
                 this->OccupancySum.QueueShare / SampleCount};
  if (this->RefusedInWindow > 0)
    this->lower();
  if (Mean.QueueShare > HighQueueShare) {
    double Excess = (Mean.QueueShare - HighQueueShare) / (1 - HighQueueShare);
    double KeptShare = 1 - MaxFullQueueCut * Excess;
    double Below = this->arrivalsBelow(this->Threshold);
    if (Below > 0)
      this->Threshold =
          std::min(this->Threshold,
                   std::max(this->quantile(KeptShare * Below / this->Arrivals),
                            this->lowestCut()));
  } else if (this->RefusedInWindow == 0 && Mean.QueueShare < LowQueueShare) {
    this->raise(Mean);
  } else {
    this->reopenRank();
  }
  auto MaxThreshold = std::max(static_cast<float>(RankCount), MinThreshold);
  this->Threshold = std::clamp(this->Threshold, MinThreshold, MaxThreshold);
  this->beginWindow(Now);
}

void AdmissionLevel::lower() noexcept {
  double Share = this->Refused / this->Arrivals;
  if (Share <= ToleratedRefusalShare)
    return;
  // The queue refuses its lowest requests, so every position below the lowest
  // refused one was served.
  float HighestServed = std::max(
      this->quantile(1 + ToleratedRefusalShare - Share), this->LowestRefused);
  this->Threshold = std::min(this->Threshold, HighestServed);
}

void AdmissionLevel::reopenRank() noexcept {
  // Only lower ranks were refused, so the rank that the threshold divides fits.
  auto Next = std::ceil(this->Threshold);
  if (this->LowestRefused >= Next)
    this->Threshold = std::min(Next, this->Threshold + RiseWithinRank);
}

float AdmissionLevel::lowestCut() const noexcept {
  // A queue full of requests of a lower rank is no reason to refuse a higher
  // rank, whose requests displace them.
  return this->RefusedInWindow > 0 ? this->LowestRefused
                                   : std::floor(this->Threshold);
}

void AdmissionLevel::raise(const Occupancy &Mean) noexcept {
  double EmptyQueueShare = 1 - Mean.QueueShare / LowQueueShare;
  double IdleSquared = Mean.IdleShare * Mean.IdleShare;
  this->Threshold += static_cast<float>(RiseWhenQueueEmpty * EmptyQueueShare +
                                        RiseWhenIdle * IdleSquared);
}

double AdmissionLevel::arrivalsBelow(float Position) const noexcept {
  double Sum = 0;
  auto Last = std::min(this->Bins.size(),
                       static_cast<std::size_t>(Position * BinsPerRank));
  for (std::size_t I = 0; I < Last; ++I)
    Sum += this->Bins[I];
  return Sum;
}

float AdmissionLevel::quantile(double Share) const noexcept {
  double TargetCount = Share * this->Arrivals;
  double Cumulative = 0;
  for (std::size_t I = 0; I < this->Bins.size(); ++I) {
    Cumulative += this->Bins[I];
    if (Cumulative >= TargetCount)
      return static_cast<float>(I + 1) / static_cast<float>(BinsPerRank);
  }
  return MaxRanks;
}

void AdmissionLevel::beginWindow(TimePoint Now) noexcept {
  bool Burst = this->RefusedInWindow >= RefusalBurst;
  float Decay = Burst ? BurstDecay : WindowDecay;
  for (auto &Bin : this->Bins)
    Bin *= Decay;
  this->Arrivals *= Decay;
  this->Refused *= Decay;
  this->RefusedInWindow = 0;
  this->LowestRefused = MaxRanks;
  this->OccupancySum = Occupancy();
  this->Samples = 0;
  this->WindowStart = Now;
}

} // namespace limpetdrum
