#include "limpetdrum/request/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace limpetdrum {

namespace {

constexpr Milliseconds WindowLength{1000};
constexpr std::size_t WindowCompletions = 30;
constexpr double ShedFactor = 0.9;
constexpr double TrialStep = 0.1;
/// Below this multiple of the best latency the target does not queue.
constexpr double QueueingRatio = 1.5;
constexpr double MaxOverAnnounced = 4.0;
/// Windows before the first trial; each trial in vain doubles the pause.
constexpr unsigned FirstPause = 4;
constexpr unsigned MaxTrialPause = 64;
constexpr double LatencyWeight = 0.1;
constexpr double ColdShare = 0.1;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(Slots Announced, std::uint64_t Seed)
    : Limit(Announced.value()), Announced(Announced.value()), Random(Seed),
      WindowsUntilTrial(this->spread(FirstPause)) {}

unsigned ConcurrencyLimit::spread(unsigned Windows) {
  std::uniform_int_distribution<unsigned> More(0, Windows);
  return Windows + More(this->Random);
}

void ConcurrencyLimit::announce(Slots Announced, Milliseconds WarmUp,
                                TimePoint Now) {
  auto Next = ConcurrencyLimit(Announced, this->Random());
  *this = Next;
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
  double Latency = Closed.LatencySum / static_cast<double>(Closed.Completions);
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
    this->judgeTrial(Latency);
  else if (this->WindowsUntilTrial > 0)
    --this->WindowsUntilTrial;
  else
    this->beginTrial(Latency);
}

void ConcurrencyLimit::beginTrial(double Latency) {
  this->Running = Trial{this->Limit, Latency};
  bool Queueing =
      this->SeenQueueing || Latency > this->BestLatency * QueueingRatio;
  double Step = std::max(1.0, std::round(this->Limit * TrialStep));
  double Most = this->Announced * MaxOverAnnounced;
  this->Limit = std::clamp(this->Limit + (Queueing ? -Step : Step), 1.0, Most);
}

void ConcurrencyLimit::judgeTrial(double Latency) {
  auto Judged = *this->Running;
  this->Running.reset();
  double IfQueueing = Judged.OldLatency * this->Limit / Judged.OldLimit;
  bool Queues =
      std::abs(Latency - IfQueueing) < std::abs(Latency - Judged.OldLatency);
  bool Lowered = this->Limit < Judged.OldLimit;
  if (Lowered == Queues) {
    this->FailedTrials = 0;
    return;
  }
  this->Limit = Judged.OldLimit;
  this->SeenQueueing = !Lowered;
  if (this->SeenQueueing)
    return; // the next trial lowers the limit, at once
  this->FailedTrials = std::min(this->FailedTrials + 1, 6U);
  this->WindowsUntilTrial =
      this->spread(std::min(FirstPause << this->FailedTrials, MaxTrialPause));
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
