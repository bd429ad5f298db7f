#include "limpetdrum/version/PolicyRequests.h"

namespace limpetdrum {

namespace {

/// Time for the policy to arrive. After it, the next node that announces the
/// policy is asked.
constexpr Milliseconds AnswerTimeout{200};

} // namespace

bool PolicyRequests::isDue(Revision Announced, Revision Local,
                           TimePoint Now) noexcept {
  if (Announced <= Local)
    return false;
  bool IsRequested =
      Announced <= this->Requested && Now - this->RequestedAt < AnswerTimeout;
  if (IsRequested)
    return false;
  this->Requested = Announced;
  this->RequestedAt = Now;
  return true;
}

} // namespace limpetdrum
