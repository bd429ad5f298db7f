#include "limpetdrum/request/ConcurrencyLimit.h"

#include <algorithm>

namespace limpetdrum {

namespace {

constexpr Milliseconds WindowLength{1000};
constexpr std::size_t WindowCompletions = 50;
constexpr double ShedFactor = 0.9;
constexpr double TrialStep = 0.1;
constexpr double ThroughputTolerance = 0.03;
/// Below this multiple of the best latency the target does not queue.
constexpr double QueueingRatio = 1.5;
constexpr double MaxOverAnnounced = 4.0;
constexpr unsigned MaxTrialPause = 64;
constexpr double LatencyWeight = 0.1;
constexpr double ColdShare = 0.1;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(Slots Announced)
    : Limit(Announced.value()), Announced(Announced.value()) {}

void ConcurrencyLimit::announce(Slots Announced, Milliseconds WarmUp,
                                TimePoint Now) {
  *this = ConcurrencyLimit(Announced);
  this->WarmFrom = Now;
  this->WarmUp = WarmUp;
  this->Current.Start = Now;
}

void ConcurrencyLimit::onCompletion(Microseconds Latency, bool Shed,
                                    bool Saturated, TimePoint Now) {
  if (Shed) {
    ++this->Current.Sheds;
  } else {
    ++this->Current.Completions;
    this->Current.LatencySum += static_cast<double>(Latency.count());
    auto Old = static_cast<double>(this->TypicalLatency.count());
    auto New = static_cast<double>(Latency.count());
    auto Smoothed = Old == 0 ? New : Old + LatencyWeight * (New - Old);
    this->TypicalLatency = Microseconds(static_cast<std::int64_t>(Smoothed));
  }
  this->Current.Saturated += Saturated ? 1 : 0;
  bool Full =
      this->Current.Completions >= WindowCompletions || this->Current.Sheds > 0;
  if (Full && Now - this->Current.Start >= WindowLength)
    this->closeWindow(Now);
}

void ConcurrencyLimit::closeWindow(TimePoint Now) {
  auto Closed = this->Current;
  this->Current = Window();
  this->Current.Start = Now;
  if (Closed.Sheds > 0) {
    this->Running.reset();
    this->Limit = std::max(1.0, this->Limit * ShedFactor);
    return;
  }
  auto Count = static_cast<double>(Closed.Completions);
  double Seconds = std::chrono::duration<double>(Now - Closed.Start).count();
  double Throughput = Count / Seconds;
  double Latency = Closed.LatencySum / Count;
  if (this->BestLatency == 0 || Latency < this->BestLatency)
    this->BestLatency = Latency;
  bool Used = Closed.Saturated * 2 > Closed.Completions;
  if (!Used) {
    this->Running.reset();
    this->Limit =
        std::max(this->Limit, std::min(this->Announced, this->Limit + 1));
    return;
  }
  if (this->Running)
    this->judgeTrial(Throughput);
  else if (this->WindowsUntilTrial > 0)
    --this->WindowsUntilTrial;
  else
    this->beginTrial(Throughput, Latency);
}

void ConcurrencyLimit::beginTrial(double Throughput, double Latency) {
  this->Running = Trial{this->Limit, Throughput};
  bool Queueing = Latency > this->BestLatency * QueueingRatio;
  double Factor = Queueing ? 1 - TrialStep : 1 + TrialStep;
  double Most = this->Announced * MaxOverAnnounced;
  this->Limit = std::clamp(this->Limit * Factor, 1.0, Most);
}

void ConcurrencyLimit::judgeTrial(double Throughput) {
  auto Judged = *this->Running;
  this->Running.reset();
  bool Raised = this->Limit > Judged.OldLimit;
  double Needed = Raised ? 1 + TrialStep / 2 : 1 - ThroughputTolerance;
  if (Throughput >= Judged.OldThroughput * Needed) {
    this->FailedTrials = 0;
    return;
  }
  this->Limit = Judged.OldLimit;
  this->FailedTrials = std::min(this->FailedTrials + 1, 6U);
  this->WindowsUntilTrial = std::min(1U << this->FailedTrials, MaxTrialPause);
}

std::size_t ConcurrencyLimit::limit(TimePoint Now) const noexcept {
  double Share = 1;
  if (this->WarmUp.count() > 0 && Now < this->WarmFrom + this->WarmUp) {
    double Passed = std::chrono::duration<double>(Now - this->WarmFrom) /
                    std::chrono::duration<double>(this->WarmUp);
    Share = ColdShare + (1 - ColdShare) * std::max(0.0, Passed);
  }
  return std::max<std::size_t>(1,
                               static_cast<std::size_t>(this->Limit * Share));
}

} // namespace limpetdrum
