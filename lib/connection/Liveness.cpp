#include "limpetdrum/connection/Liveness.h"

namespace limpetdrum {

namespace {

constexpr Milliseconds SuspectPause{1000};

} // namespace

Liveness::Action Liveness::beginProbing(TimePoint Now) {
  this->Phase = State::Probing;
  this->ProbedAt = Now;
  this->FreshAnswered = false;
  return Action::ProbeBoth;
}

Liveness::Action Liveness::tick(bool Outstanding, TimePoint LastRead,
                                TimePoint Now) {
  switch (this->Phase) {
  case State::Quiet:
    if (!Outstanding || Now - LastRead < this->Chosen.SilenceTimeout)
      return Action::None;
    if (this->Chosen.ProbeCurrentTimeout == Milliseconds(0))
      return this->beginProbing(Now);
    this->Phase = State::Asking;
    this->ProbedAt = Now;
    return Action::ProbeCurrent;
  case State::Asking:
    if (LastRead > this->ProbedAt) {
      this->Phase = State::Quiet;
      return Action::None;
    }
    return Now - this->ProbedAt < this->Chosen.ProbeCurrentTimeout
               ? Action::None
               : this->beginProbing(Now);
  case State::Probing:
    if (LastRead > this->ProbedAt) {
      this->Phase = State::Quiet;
      return Action::None;
    }
    if (Now - this->ProbedAt < this->Chosen.ProbeBothTimeout)
      return Action::None;
    if (this->FreshAnswered) {
      this->Phase = State::Quiet;
      return Action::Replace;
    }
    this->Phase = State::Suspected;
    return Action::Suspect;
  case State::Suspected:
    // A late answer on either connection, or time to probe again.
    if (LastRead > this->ProbedAt || this->FreshAnswered ||
        Now - this->ProbedAt > SuspectPause)
      this->Phase = State::Quiet;
    return Action::None;
  }
  return Action::None;
}

} // namespace limpetdrum
