#include "limpetdrum/request/AdmissionLevel.h"

#include <algorithm>
#include <cmath>

namespace limpetdrum {

namespace {

constexpr Milliseconds WindowLength{100};
/// So many refusals end a window at once.
constexpr std::size_t RefusalBurst = 4;
/// What is left of old arrivals after each window.
constexpr float Fading = 0.8F;
/// The same after a burst: what came before the overload says little.
constexpr float FadingInBurst = 0.5F;
/// Refusals up to this share are the price of a full queue.
constexpr double RefusalsBorne = 0.04;
/// The share of the queue that is kept filled.
constexpr double QueueHigh = 0.75;
constexpr double QueueLow = 0.5;
/// The most that a full queue takes off the arrivals in one window.
constexpr double FullQueueCut = 0.05;
constexpr double RiseWhenFull = 0.04;
constexpr double RiseWhenIdle = 1.0;
/// A window's rise while only lower ranks are refused.
constexpr float RiseWithinRank = 0.1F;
/// Enough requests always pass to learn of a recovery.
constexpr float LeastThreshold = 0.02F;

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
  ++this->RefusedNow;
}

void AdmissionLevel::tick(const Occupancy &Now, std::size_t RankCount,
                          TimePoint Time) noexcept {
  this->Sum.IdleShare += Now.IdleShare;
  this->Sum.QueueShare += Now.QueueShare;
  ++this->Samples;
  bool Burst = this->RefusedNow >= RefusalBurst;
  if (Time - this->Start < WindowLength && !Burst)
    return;
  auto Count = static_cast<double>(this->Samples);
  Occupancy Mean{this->Sum.IdleShare / Count, this->Sum.QueueShare / Count};
  if (this->RefusedNow > 0)
    this->lower();
  if (Mean.QueueShare > QueueHigh) {
    double Excess = (Mean.QueueShare - QueueHigh) / (1 - QueueHigh);
    double Kept = 1 - FullQueueCut * Excess;
    double Below = this->arrivalsBelow(this->Threshold);
    if (Below > 0)
      this->Threshold =
          std::min(this->Threshold,
                   std::max(this->quantile(Kept * Below / this->Arrivals),
                            this->lowestCut()));
  } else if (this->RefusedNow == 0 && Mean.QueueShare < QueueLow) {
    this->raise(Mean);
  } else {
    this->reopenRank();
  }
  auto Most = std::max(static_cast<float>(RankCount), LeastThreshold);
  this->Threshold = std::clamp(this->Threshold, LeastThreshold, Most);
  this->beginWindow(Time);
}

void AdmissionLevel::lower() noexcept {
  double Share = this->Refused / this->Arrivals;
  if (Share <= RefusalsBorne)
    return;
  // The lowest in the queue are refused: all below the first of them was
  // served.
  float Served =
      std::max(this->quantile(1 + RefusalsBorne - Share), this->LowestRefused);
  this->Threshold = std::min(this->Threshold, Served);
}

void AdmissionLevel::reopenRank() noexcept {
  // What is refused are lower ranks: the one that the threshold cuts fits.
  auto Next = std::ceil(this->Threshold);
  if (this->LowestRefused >= Next)
    this->Threshold = std::min(Next, this->Threshold + RiseWithinRank);
}

float AdmissionLevel::lowestCut() const noexcept {
  // A queue that is full of a lower rank is no reason to refuse a higher one,
  // whose requests take its places.
  return this->RefusedNow > 0 ? this->LowestRefused
                              : std::floor(this->Threshold);
}

void AdmissionLevel::raise(const Occupancy &Mean) noexcept {
  double Empty = 1 - Mean.QueueShare / QueueLow;
  double Idle = Mean.IdleShare * Mean.IdleShare;
  this->Threshold +=
      static_cast<float>(RiseWhenFull * Empty + RiseWhenIdle * Idle);
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
  double Wanted = Share * this->Arrivals;
  double Seen = 0;
  for (std::size_t I = 0; I < this->Bins.size(); ++I) {
    Seen += this->Bins[I];
    if (Seen >= Wanted)
      return static_cast<float>(I + 1) / static_cast<float>(BinsPerRank);
  }
  return MaxRanks;
}

void AdmissionLevel::beginWindow(TimePoint Time) noexcept {
  bool Burst = this->RefusedNow >= RefusalBurst;
  float Left = Burst ? FadingInBurst : Fading;
  for (auto &Bin : this->Bins)
    Bin *= Left;
  this->Arrivals *= Left;
  this->Refused *= Left;
  this->RefusedNow = 0;
  this->LowestRefused = MaxRanks;
  this->Sum = Occupancy();
  this->Samples = 0;
  this->Start = Time;
}

} // namespace limpetdrum
