#include "limpetdrum/request/RetryPlan.h"

namespace limpetdrum {

namespace {

/// An attempt with less time left is unlikely to be answered: it needs some
/// round trips between failure domains and a short run.
constexpr Milliseconds MinAttemptTime{30};
/// Bounds the cost of one request that is refused everywhere.
constexpr std::uint64_t MaxTotalAttempts = 8;
/// After refusals by two overloaded nodes, further attempts would meet the same
/// overload.
constexpr std::uint64_t MaxAttemptsOnOverload = 2;

/// \brief Returns true if the reason implies nothing about the service's other
///   targets.
bool isNodeSpecific(Reason Cause) {
  return Cause == Reason::Draining || Cause == Reason::NodeGone ||
         Cause == Reason::TargetFailed || Cause == Reason::RequestRate;
}

} // namespace

bool RetryPlan::reachedTarget(Reason Cause) noexcept {
  return Cause == Reason::RefusedByTarget || Cause == Reason::WrongTarget;
}

bool RetryPlan::hasAttemptLeft(const Context &Ctx) const {
  return this->Attempts < MaxTotalAttempts && Ctx.TimeLeft > MinAttemptTime;
}

bool RetryPlan::mayTryOtherTarget(const Context &Ctx) const {
  return this->EarlierTargets + 1 < this->MaxTargets && Ctx.HasUntriedNode();
}

RetryPlan::Step RetryPlan::onNotRun(Reason Cause, const Context &Ctx) const {
  if (!this->hasAttemptLeft(Ctx) || Cause == Reason::CrashesTargets)
    return this->terminalStep();
  if (!RetryPlan::reachedTarget(Cause)) {
    bool IsWorthRetrying =
        isNodeSpecific(Cause) || this->Attempts < MaxAttemptsOnOverload;
    return IsWorthRetrying && Ctx.HasUntriedNode() ? Step::TryOtherNode
                                                   : this->terminalStep();
  }
  if (this->mayTryOtherTarget(Ctx))
    return Step::RepeatAtOtherTarget;
  return Cause == Reason::RefusedByTarget ? Step::RepeatAtSameTarget
                                          : this->terminalStep();
}

RetryPlan::Step RetryPlan::onUnknown(Reason Cause, const Context &Ctx) {
  this->MayHaveRun = true;
  // There is no memory for the answer of another target either.
  bool IsFinal = Cause == Reason::TimedOut || Cause == Reason::Overload;
  bool MayRepeat = this->Idempotent && !IsFinal && this->hasAttemptLeft(Ctx) &&
                   this->mayTryOtherTarget(Ctx);
  return MayRepeat ? Step::RepeatAtOtherTarget : Step::Fail;
}

RetryPlan::Step RetryPlan::onSuspected(const Context &Ctx) const {
  bool MayRepeat = this->Idempotent && this->hasAttemptLeft(Ctx) &&
                   this->mayTryOtherTarget(Ctx);
  return MayRepeat ? Step::RepeatAtOtherTarget : Step::Wait;
}

void RetryPlan::onRepeatGranted(Step Repeat, bool Abandons) noexcept {
  if (Repeat == Step::RepeatAtOtherTarget)
    ++this->EarlierTargets;
  this->MayHaveRun = this->MayHaveRun || Abandons;
}

} // namespace limpetdrum
