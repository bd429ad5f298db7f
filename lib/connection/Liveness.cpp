#include "limpetdrum/connection/Liveness.h"

namespace limpetdrum {

namespace {

/// Time after which a suspected peer is probed again.
constexpr Milliseconds SuspectedProbeDelay{1000};

} // namespace

Liveness::Action Liveness::beginProbingBoth(TimePoint Now) {
  this->Phase = State::ProbingBoth;
  this->ProbedAt = Now;
  this->NewConnectionAnswered = false;
  return Action::ProbeBoth;
}

Liveness::Action Liveness::tick(bool Outstanding, TimePoint LastRead,
                                TimePoint Now) {
  switch (this->Phase) {
  case State::Idle:
    if (!Outstanding || Now - LastRead < this->Config.SilenceTimeout)
      return Action::None;
    if (this->Config.ProbeCurrentTimeout == Milliseconds(0))
      return this->beginProbingBoth(Now);
    this->Phase = State::ProbingCurrent;
    this->ProbedAt = Now;
    return Action::ProbeCurrent;
  case State::ProbingCurrent:
    if (LastRead > this->ProbedAt) {
      this->Phase = State::Idle;
      return Action::None;
    }
    return Now - this->ProbedAt < this->Config.ProbeCurrentTimeout
               ? Action::None
               : this->beginProbingBoth(Now);
  case State::ProbingBoth:
    if (LastRead > this->ProbedAt) {
      this->Phase = State::Idle;
      return Action::None;
    }
    if (Now - this->ProbedAt < this->Config.ProbeBothTimeout)
      return Action::None;
    if (this->NewConnectionAnswered) {
      this->Phase = State::Idle;
      return Action::Replace;
    }
    this->Phase = State::Suspected;
    return Action::Suspect;
  case State::Suspected:
    // The new connection answered late, and the current one not at all. Another
    // probe would discard the new one.
    if (this->NewConnectionAnswered && LastRead <= this->ProbedAt) {
      this->Phase = State::Idle;
      return Action::Replace;
    }
    // The current connection answered late, or the peer is due for another
    // probe.
    if (LastRead > this->ProbedAt || Now - this->ProbedAt > SuspectedProbeDelay)
      this->Phase = State::Idle;
    return Action::None;
  }
  return Action::None;
}

} // namespace limpetdrum
