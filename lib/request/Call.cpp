#include "limpetdrum/request/Call.h"

#include <algorithm>

namespace limpetdrum {

namespace {

constexpr Milliseconds ComeBackSoon{1000};

/// Another node may have room or life where this one had none.
bool worthRetrying(Reason Why) {
  switch (Why) {
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

} // namespace

Call::Call(RunSemantics Runs, bool Movable, std::uint16_t Retries,
           RetryRatio &Ratio)
    : Runs(Runs), Movable(Movable), Budget(Retries), Ratio(&Ratio) {}

Call::Step Call::start() const {
  this->Ratio->onCall();
  return SelectNode{};
}

Call::Step Call::onNodeSelected(const std::optional<NodeIncarnation> &To,
                                AttemptId Id) {
  if (!To)
    return this->finish(notRun(Reason::NoTarget, ComeBackSoon));
  this->Tried.push_back(To->Node);
  this->HandedOver = false;
  this->Current = Send{*To, Id, this->grant()};
  return *this->Current;
}

std::uint16_t Call::grant() noexcept {
  // A call that tries no other node has no use for retries itself.
  return this->Movable ? this->Budget.grant(this->LevelsBelow)
                       : this->Budget.grantAll();
}

Call::Step Call::onReply(const Reply &Value) {
  this->Budget.refund(std::min(Value.RetriesLeft, this->Current->Retries));
  if (Value.Outcome == Outcome::Answered)
    return this->finish(Value);
  if (Value.Outcome == Outcome::Unknown) {
    this->MayHaveRun = true;
    if (this->Runs == RunSemantics::Once)
      return this->finish(Value);
  }
  if (this->Patient && Value.Reason == Reason::Overload) {
    auto Step = this->retry(Value);
    if (std::holds_alternative<SelectNode>(Step))
      Step = Pause{};
    return Step;
  }
  if (worthRetrying(Value.Reason))
    return this->retry(Value);
  return this->finish(Value);
}

Call::Step Call::onLost(bool NowHandedOver, bool SameLifeReachable) {
  this->HandedOver = this->HandedOver || NowHandedOver;
  if (NowHandedOver && SameLifeReachable)
    return *this->Current;
  if (!this->HandedOver) {
    // It reached nobody, so looking on costs no retry; each node is tried once.
    this->Budget.refund(this->Current->Retries);
    if (this->Movable)
      return SelectNode{};
    return this->finish(notRun(Reason::NodeGone, ComeBackSoon));
  }
  this->MayHaveRun = true;
  auto Lost = unknownOutcome(Reason::NodeGone, ComeBackSoon);
  if (this->Runs == RunSemantics::Once)
    return this->finish(std::move(Lost));
  return this->retry(std::move(Lost));
}

Call::Step Call::onSuspected() {
  if (this->Runs == RunSemantics::Once)
    return Wait{};
  this->MayHaveRun = true;
  return this->retry(unknownOutcome(Reason::NodeGone, ComeBackSoon));
}

Call::Step Call::onPauseOver() {
  // By now any node may have room, the one that refused as well.
  this->Tried.clear();
  return SelectNode{};
}

Call::Step Call::onDeadline() const {
  if (!this->Current)
    return this->finish(notRun(Reason::TimedOut, ComeBackSoon));
  return this->finish(unknownOutcome(Reason::TimedOut, ComeBackSoon));
}

Call::Step Call::retry(Reply Otherwise) {
  if (!this->Movable || !this->Budget.take() || !this->Ratio->take())
    return this->finish(std::move(Otherwise));
  ++this->Made;
  return SelectNode{};
}

Call::Step Call::finish(Reply Value) const {
  // An earlier attempt of an idempotent request may have run.
  if (this->MayHaveRun && Value.Outcome == Outcome::NotRun)
    Value.Outcome = Outcome::Unknown;
  Value.RetriesLeft = this->Budget.remaining();
  return Finish{std::move(Value)};
}

} // namespace limpetdrum
