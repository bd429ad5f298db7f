#include "limpetdrum/request/RetryPlan.h"

namespace limpetdrum {

namespace {

/// A turn with less time than this would hardly be answered: some round trips
/// between failure domains, and a short run.
constexpr Milliseconds LeastTimeForTurn{30};
/// Bounds what one request can cost where all refuse it.
constexpr std::uint64_t MostTurns = 8;
/// Queues are refused by twice: more would meet the same overload.
constexpr std::uint64_t TurnsAtFullQueues = 2;

/// Says nothing of the other targets of the service.
bool isOfThisNode(Reason Why) {
  return Why == Reason::Draining || Why == Reason::NodeGone ||
         Why == Reason::TargetFailed;
}

} // namespace

bool RetryPlan::reachedTarget(Reason Why) noexcept {
  return Why == Reason::RefusedByTarget || Why == Reason::WrongTarget;
}

bool RetryPlan::hasAttemptLeft(const Context &Now) const {
  return this->Attempts < MostTurns && Now.TimeLeft > LeastTimeForTurn;
}

bool RetryPlan::mayMove(const Context &Now) const {
  return this->Left + 1 < this->MaxTargets && Now.HasUntriedNode();
}

RetryPlan::Step RetryPlan::onNotRun(Reason Why, const Context &Now) const {
  if (!this->hasAttemptLeft(Now))
    return this->terminalStep();
  if (!RetryPlan::reachedTarget(Why)) {
    bool IsWorthIt = isOfThisNode(Why) || this->Attempts < TurnsAtFullQueues;
    return IsWorthIt && Now.HasUntriedNode() ? Step::TryOtherNode
                                             : this->terminalStep();
  }
  if (this->mayMove(Now))
    return Step::RepeatAtOtherTarget;
  return Why == Reason::RefusedByTarget ? Step::RepeatAtSameTarget
                                        : this->terminalStep();
}

RetryPlan::Step RetryPlan::onUnknown(Reason Why, const Context &Now) {
  this->MayHaveRun = true;
  bool MayRepeat = this->Idempotent && Why != Reason::TimedOut &&
                   this->hasAttemptLeft(Now) && this->mayMove(Now);
  return MayRepeat ? Step::RepeatAtOtherTarget : Step::Fail;
}

RetryPlan::Step RetryPlan::onSuspected(const Context &Now) const {
  bool MayRepeat =
      this->Idempotent && this->hasAttemptLeft(Now) && this->mayMove(Now);
  return MayRepeat ? Step::RepeatAtOtherTarget : Step::Wait;
}

void RetryPlan::onRepeatGranted(Step Which, bool Abandons) noexcept {
  if (Which == Step::RepeatAtOtherTarget)
    ++this->Left;
  this->MayHaveRun = this->MayHaveRun || Abandons;
}

} // namespace limpetdrum
