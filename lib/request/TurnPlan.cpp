#include "limpetdrum/request/TurnPlan.h"

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
         Why == Reason::TargetBroke;
}

} // namespace

bool TurnPlan::reachedTarget(Reason Why) noexcept {
  return Why == Reason::RefusedByTarget || Why == Reason::WrongTarget;
}

bool TurnPlan::hasTurnLeft(const Surroundings &Now) const {
  return this->Turns < MostTurns && Now.TimeLeft > LeastTimeForTurn;
}

bool TurnPlan::mayMove(const Surroundings &Now) const {
  return this->Left + 1 < this->MaxTargets && Now.HasOther();
}

TurnPlan::Step TurnPlan::onNotRun(Reason Why, const Surroundings &Now) const {
  if (!this->hasTurnLeft(Now))
    return this->onDenied();
  if (!TurnPlan::reachedTarget(Why)) {
    bool IsWorthIt = isOfThisNode(Why) || this->Turns < TurnsAtFullQueues;
    return IsWorthIt && Now.HasOther() ? Step::Move : this->onDenied();
  }
  if (this->mayMove(Now))
    return Step::RepeatElsewhere;
  return Why == Reason::RefusedByTarget ? Step::RepeatHere : this->onDenied();
}

TurnPlan::Step TurnPlan::onUnknown(Reason Why, const Surroundings &Now) {
  this->MayHaveRun = true;
  bool MayRepeat = this->Idempotent && Why != Reason::TimedOut &&
                   this->hasTurnLeft(Now) && this->mayMove(Now);
  return MayRepeat ? Step::RepeatElsewhere : Step::Fail;
}

TurnPlan::Step TurnPlan::onSilent(const Surroundings &Now) const {
  bool MayRepeat =
      this->Idempotent && this->hasTurnLeft(Now) && this->mayMove(Now);
  return MayRepeat ? Step::RepeatElsewhere : Step::Wait;
}

void TurnPlan::onGranted(Step Which, bool Abandons) noexcept {
  if (Which == Step::RepeatElsewhere)
    ++this->Left;
  this->MayHaveRun = this->MayHaveRun || Abandons;
}

} // namespace limpetdrum
