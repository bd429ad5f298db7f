#include "limpetdrum/request/Call.h"

#include <algorithm>

namespace limpetdrum {

namespace {

constexpr Milliseconds DefaultRetryAfter{1000};
/// Retries of a node that refusals of lower classes leave to the most important
/// one. During an overload the lower classes are refused most, and would use up
/// all retries.
constexpr double ReservedRetriesOnOverload = 10;

/// \brief Returns true if the request may succeed at another node, which may
///   have capacity or a working target where this one had none.
bool isWorthRetrying(Reason Cause) {
  switch (Cause) {
  case Reason::Draining:
  case Reason::NoTarget:
  case Reason::NodeGone:
  case Reason::TargetFailed:
  case Reason::Overload:
    return true;
  default:
    return false;
  }
}

/// \brief Returns true if the target's node refused the request because of the
///   requests queued there at that moment.
bool isRefusedByQueue(const Reply &Value) {
  if (Value.Reason == Reason::Overload)
    return true;
  // Running work that was cancelled for a higher class is not repeated.
  return Value.Outcome == Outcome::NotRun &&
         (Value.Reason == Reason::Displaced ||
          Value.Reason == Reason::DeadlineTooNear);
}

} // namespace

Call::Call(RunSemantics Semantics, bool MayTryOtherNodes, std::uint16_t Retries,
           RetryRatio &Ratio)
    : Semantics(Semantics), MayTryOtherNodes(MayTryOtherNodes), Budget(Retries),
      Ratio(&Ratio) {}

Call::Step Call::start() const {
  this->Ratio->onCall();
  return SelectNode{};
}

Call::Step
Call::onNodeSelected(const std::optional<NodeIncarnation> &Destination,
                     AttemptId Id) {
  if (!Destination)
    return this->finish(notRun(Reason::NoTarget, DefaultRetryAfter));
  this->TriedNodes.push_back(Destination->Node);
  this->HandedOver = false;
  this->Current = Send{*Destination, Id, this->grant()};
  return *this->Current;
}

std::uint16_t Call::grant() noexcept {
  // A call that is bound to one node has no use for retries itself.
  return this->MayTryOtherNodes ? this->Budget.grant(this->CallDepth)
                                : this->Budget.grantAll();
}

Call::Step Call::onReply(const Reply &Value) {
  this->Budget.refund(std::min(Value.RetriesLeft, this->Current->Retries));
  if (Value.Outcome == Outcome::Answered)
    return this->finish(Value);
  if (Value.Outcome == Outcome::Unknown) {
    this->MayHaveRun = true;
    if (this->Semantics == RunSemantics::Once)
      return this->finish(Value);
  }
  if (this->RetriesOverload && isRefusedByQueue(Value)) {
    auto Step = this->retry(
        Value, this->Rank == ClassRank() ? 0 : ReservedRetriesOnOverload);
    if (std::holds_alternative<SelectNode>(Step))
      Step = Pause{};
    return Step;
  }
  if (isWorthRetrying(Value.Reason))
    return this->retry(Value);
  return this->finish(Value);
}

Call::Step Call::onLost(bool WasHandedOver, bool SameIncarnationReachable) {
  this->HandedOver = this->HandedOver || WasHandedOver;
  if (WasHandedOver && SameIncarnationReachable)
    return *this->Current;
  if (!this->HandedOver) {
    // The attempt reached no node, so selecting another one costs no retry. The
    // search ends because each node is tried only once.
    this->Budget.refund(this->Current->Retries);
    if (this->MayTryOtherNodes)
      return SelectNode{};
    return this->finish(notRun(Reason::NodeGone, DefaultRetryAfter));
  }
  this->MayHaveRun = true;
  auto LostReply = unknownOutcome(Reason::NodeGone, DefaultRetryAfter);
  if (this->Semantics == RunSemantics::Once)
    return this->finish(std::move(LostReply));
  return this->retry(std::move(LostReply));
}

Call::Step Call::onSuspected() {
  if (this->Semantics == RunSemantics::Once || !this->takeRetry())
    return Wait{};
  this->MayHaveRun = true;
  return SelectNode{};
}

Call::Step Call::onPauseOver() {
  // After the pause every node may have capacity again, including those that
  // refused.
  this->TriedNodes.clear();
  return SelectNode{};
}

Call::Step Call::onDeadline() const {
  if (!this->Current)
    return this->finish(notRun(Reason::TimedOut, DefaultRetryAfter));
  return this->finish(unknownOutcome(Reason::TimedOut, DefaultRetryAfter));
}

bool Call::takeRetry(double Reserve) noexcept {
  if (!this->MayTryOtherNodes || this->Budget.remaining() == 0 ||
      !this->Ratio->take(Reserve))
    return false;
  static_cast<void>(this->Budget.take());
  ++this->RetriesMade;
  return true;
}

Call::Step Call::retry(Reply FinalReply, double Reserve) {
  if (!this->takeRetry(Reserve))
    return this->finish(std::move(FinalReply));
  return SelectNode{};
}

Call::Step Call::finish(Reply Value) const {
  // The last attempt did not run, but an earlier attempt of an idempotent
  // request may have run.
  if (this->MayHaveRun && Value.Outcome == Outcome::NotRun)
    Value.Outcome = Outcome::Unknown;
  Value.RetriesLeft = this->Budget.remaining();
  return Finish{std::move(Value)};
}

} // namespace limpetdrum
