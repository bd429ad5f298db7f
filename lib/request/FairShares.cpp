#include "limpetdrum/request/FairShares.h"

#include <algorithm>
#include <cmath>

namespace limpetdrum {

namespace {

/// Least share of an organisation's requests, as part of the share of all. The
/// users require a quarter; the rest is a margin for the age of the sums.
constexpr double MinRelativeShare = 0.3;
/// Halvings of the interval in which the level lies. The largest demand, which
/// bounds it, may be far above it.
constexpr int LevelHalvings = 40;

/// Returns the demand by weight; 0 if either is not a number above 0.
double ratioOf(const FairShares::Demand &Value) {
  auto Ratio = Value.Asked / Value.Weight;
  bool IsValid = Value.Asked > 0 && Value.Weight > 0 && std::isfinite(Ratio);
  return IsValid ? Ratio : 0;
}

} // namespace

FairShares::FairShares(const std::vector<Demand> &Known, const Demand &Others) {
  auto Add = [this](const Demand &Value) {
    auto Ratio = ratioOf(Value);
    if (Ratio > 0)
      this->Sums.push_back({Ratio, Value.Asked, Value.Weight});
    return Ratio;
  };
  for (const auto &Value : Known)
    this->Ratios[Value.Organisation] = Add(Value);
  this->OthersRatio = Add(Others);
  std::sort(this->Sums.begin(), this->Sums.end(),
            [](const Sum &A, const Sum &B) { return A.Ratio < B.Ratio; });
  for (std::size_t I = 1; I < this->Sums.size(); ++I) {
    this->Sums[I].Asked += this->Sums[I - 1].Asked;
    this->Sums[I].Weight += this->Sums[I - 1].Weight;
  }
}

FairShares::Sum FairShares::sumUpTo(double Ratio) const {
  auto Next = std::upper_bound(
      this->Sums.begin(), this->Sums.end(), Ratio,
      [](double Value, const Sum &Entry) { return Value < Entry.Ratio; });
  return Next == this->Sums.begin() ? Sum() : *std::prev(Next);
}

double FairShares::admitted(double Level, double Share) const {
  // Organisations are admitted whole up to the level, then up to the level, and
  // from a ratio on at the least share.
  auto Whole = this->sumUpTo(Level);
  auto Cut = this->sumUpTo(Level / (MinRelativeShare * Share));
  return Whole.Asked + Level * (Cut.Weight - Whole.Weight) +
         MinRelativeShare * Share * (this->Sums.back().Asked - Cut.Asked);
}

double FairShares::level(double Share) const {
  if (this->Sums.empty() || Share <= 0)
    return 0;
  double Low = 0;
  double High = this->Sums.back().Ratio;
  if (Share >= 1)
    return High;
  auto Wanted = Share * this->Sums.back().Asked;
  for (int I = 0; I < LevelHalvings; ++I) {
    auto Middle = (Low + High) / 2;
    (this->admitted(Middle, Share) < Wanted ? Low : High) = Middle;
  }
  return High;
}

double FairShares::share(const Organisation &Name, double Share,
                         double Level) const {
  if (Share >= 1)
    return 1;
  auto Found = this->Ratios.find(Name);
  auto Ratio = Found == this->Ratios.end() ? this->OthersRatio : Found->second;
  // One that is not known to ask for anything asks for less than the level.
  if (Ratio <= Level)
    return this->Sums.empty() ? Share : 1;
  return std::max(Level / Ratio, MinRelativeShare * Share);
}

} // namespace limpetdrum
