#include "limpetdrum/request/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace limpetdrum {

namespace {

/// A window lasts at least this long and has at least this many completions,
/// unless the target sheds.
constexpr Milliseconds WindowLength{1000};
constexpr std::size_t MinWindowCompletions = 30;
/// Factor by which the limit falls in a window in which the target sheds.
constexpr double ShedFactor = 0.9;
/// Step of a trial, as a share of the limit.
constexpr double TrialStep = 0.1;
/// Below this multiple of the best latency, the target is assumed not to queue.
constexpr double QueueingRatio = 1.5;
constexpr double MaxOverAnnounced = 4.0;
/// Pauses between trials, in windows. Each failed trial doubles the pause.
constexpr unsigned FirstTrialPause = 4;
constexpr unsigned MaxTrialPause = 64;
constexpr double LatencyWeight = 0.1; ///< of one request, in the mean

Microseconds smooth(Microseconds Mean, Microseconds Sample) {
  auto Old = static_cast<double>(Mean.count());
  auto New = static_cast<double>(Sample.count());
  auto Smoothed = Old == 0 ? New : Old + LatencyWeight * (New - Old);
  return Microseconds(static_cast<std::int64_t>(Smoothed));
}

} // namespace

ConcurrencyLimit::ConcurrencyLimit(Slots Announced, std::uint64_t Seed)
    : Limit(Announced.value()), Announced(Announced.value()), Random(Seed),
      WindowsUntilTrial(this->randomizePause(FirstTrialPause)) {}

unsigned ConcurrencyLimit::randomizePause(unsigned Windows) {
  std::uniform_int_distribution<unsigned> Extra(0, Windows);
  return Windows + Extra(this->Random);
}

void ConcurrencyLimit::announce(Slots Announced, Milliseconds WarmUp,
                                TimePoint Now) {
  auto Fresh = ConcurrencyLimit(Announced, this->Random());
  *this = Fresh;
  this->WarmUpEnd = Now + WarmUp;
  this->Current.Start = Now;
}

void ConcurrencyLimit::onCompletion(Microseconds Latency, bool Shed,
                                    bool Saturated, TimePoint Now,
                                    double SlowDown) {
  if (Shed) {
    ++this->Current.Sheds;
  } else {
    ++this->Current.Completions;
    auto Usual = Microseconds(static_cast<std::int64_t>(
        static_cast<double>(Latency.count()) / SlowDown));
    this->Current.LatencySum += static_cast<double>(Usual.count());
    this->TypicalLatency = smooth(this->TypicalLatency, Latency);
    this->UsualLatency = smooth(this->UsualLatency, Usual);
  }
  this->Current.Saturated += Saturated ? 1 : 0;
  bool Complete = this->Current.Completions >= MinWindowCompletions ||
                  this->Current.Sheds > 0;
  if (Complete && Now - this->Current.Start >= WindowLength)
    this->closeWindow(Now);
}

void ConcurrencyLimit::closeWindow(TimePoint Now) {
  auto Closed = this->Current;
  this->Current = Window();
  this->Current.Start = Now;
  if (Closed.Sheds > 0) {
    this->ActiveTrial.reset();
    this->Limit = std::max(1.0, this->Limit * ShedFactor);
    return;
  }
  // While a target warms up its runs get faster, whatever the limit is.
  if (Now < this->WarmUpEnd) {
    this->ActiveTrial.reset();
    return;
  }
  double Latency = Closed.LatencySum / static_cast<double>(Closed.Completions);
  if (this->BestLatency == 0 || Latency < this->BestLatency)
    this->BestLatency = Latency;
  bool FullyUsed = Closed.Saturated * 2 > Closed.Completions;
  if (!FullyUsed) {
    this->ActiveTrial.reset();
    this->Limit =
        std::max(this->Limit, std::min(this->Announced, this->Limit + 1));
    return;
  }
  if (this->ActiveTrial)
    this->evaluateTrial(Latency);
  else if (this->WindowsUntilTrial > 0)
    --this->WindowsUntilTrial;
  else
    this->beginTrial(Latency);
}

void ConcurrencyLimit::beginTrial(double Latency) {
  this->ActiveTrial = Trial{this->Limit, Latency};
  bool Queueing =
      this->QueueingDetected || Latency > this->BestLatency * QueueingRatio;
  double Step = std::max(1.0, std::round(this->Limit * TrialStep));
  double MaxLimit = this->Announced * MaxOverAnnounced;
  this->Limit =
      std::clamp(this->Limit + (Queueing ? -Step : Step), 1.0, MaxLimit);
}

void ConcurrencyLimit::evaluateTrial(double Latency) {
  auto Finished = *this->ActiveTrial;
  this->ActiveTrial.reset();
  double LatencyIfQueueing =
      Finished.PreviousLatency * this->Limit / Finished.PreviousLimit;
  bool Queues = std::abs(Latency - LatencyIfQueueing) <
                std::abs(Latency - Finished.PreviousLatency);
  bool Lowered = this->Limit < Finished.PreviousLimit;
  if (Lowered == Queues) {
    this->FailedTrials = 0;
    return;
  }
  this->Limit = Finished.PreviousLimit;
  this->QueueingDetected = !Lowered;
  if (this->QueueingDetected)
    return; // The next trial lowers the limit, without a pause.
  this->FailedTrials = std::min(this->FailedTrials + 1, 6U);
  this->WindowsUntilTrial = this->randomizePause(
      std::min(FirstTrialPause << this->FailedTrials, MaxTrialPause));
}

std::size_t ConcurrencyLimit::limit() const noexcept {
  return std::max<std::size_t>(1, static_cast<std::size_t>(this->Limit));
}

} // namespace limpetdrum
