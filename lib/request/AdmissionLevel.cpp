#include "limpetdrum/request/AdmissionLevel.h"

#include <algorithm>

namespace limpetdrum {

namespace {

constexpr Milliseconds WindowLength{100};
/// A little below what was served, so that the queue empties.
constexpr double ServedShare = 0.98;
constexpr double RiseWhenFull = 0.01;
constexpr double RiseWhenIdle = 0.5;
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
  ++this->Bins[std::min(Bin, this->Bins.size() - 1)];
  ++this->Arrivals;
}

void AdmissionLevel::tick(double IdleShare, std::size_t RankCount,
                          TimePoint Now) noexcept {
  this->IdleSum += IdleShare;
  ++this->IdleSamples;
  if (Now - this->Start < WindowLength)
    return;
  auto Most = static_cast<float>(RankCount);
  if (this->Refused > 0) {
    auto Offered = static_cast<double>(this->Arrivals);
    double Served = std::max(0.0, Offered - static_cast<double>(this->Refused));
    float Fitting = this->quantile(ServedShare * Served / Offered);
    this->Threshold = std::min(this->Threshold, Fitting);
  } else {
    double Idle = this->IdleSum / static_cast<double>(this->IdleSamples);
    this->Threshold +=
        static_cast<float>(RiseWhenFull + RiseWhenIdle * Idle * Idle);
  }
  this->Threshold = std::clamp(this->Threshold, LeastThreshold,
                               std::max(Most, LeastThreshold));
  this->clear(Now);
}

float AdmissionLevel::quantile(double Share) const noexcept {
  double Wanted = Share * static_cast<double>(this->Arrivals);
  double Seen = 0;
  for (std::size_t I = 0; I < this->Bins.size(); ++I) {
    Seen += this->Bins[I];
    if (Seen >= Wanted)
      return static_cast<float>(I + 1) / static_cast<float>(BinsPerRank);
  }
  return MaxRanks;
}

void AdmissionLevel::clear(TimePoint Now) noexcept {
  this->Bins.fill(0);
  this->Arrivals = 0;
  this->Refused = 0;
  this->IdleSum = 0;
  this->IdleSamples = 0;
  this->Start = Now;
}

} // namespace limpetdrum
