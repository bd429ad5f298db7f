#include "limpetdrum/connection/Liveness.h"

namespace limpetdrum {

namespace {

constexpr Milliseconds SilenceLimit{250};
constexpr Milliseconds ProbeLimit{250};
constexpr Milliseconds SuspectPause{1000};

} // namespace

Liveness::Action Liveness::tick(bool Outstanding, TimePoint LastRead,
                                TimePoint Now) {
  switch (this->Phase) {
  case State::Quiet:
    if (!Outstanding || Now - LastRead < SilenceLimit)
      return Action::None;
    this->Phase = State::Probing;
    this->ProbedAt = Now;
    this->FreshAnswered = false;
    return Action::ProbeBoth;
  case State::Probing:
    if (LastRead > this->ProbedAt) {
      this->Phase = State::Quiet;
      return Action::None;
    }
    if (Now - this->ProbedAt < ProbeLimit)
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
