#include "limpetdrum/version/PolicyRequests.h"

#include <algorithm>
#include <utility>

namespace limpetdrum {

namespace {

/// Time for the policy to arrive. After it, the next node that announces the
/// policy is asked.
constexpr Milliseconds AnswerTimeout{200};
/// Time after which a node that did not answer may be asked again for the same
/// version, as the others did not answer either.
constexpr Milliseconds RepeatTimeout{400};

} // namespace

bool PolicyRequests::isDue(const NodeId &From, Revision Announced,
                           Revision Local, TimePoint Now) {
  if (Announced <= Local)
    return false;
  bool HasProgressed = std::exchange(this->LastLocal, Local) != Local;
  bool IsOutstanding = !this->Asked.empty() && this->Requested > Local;
  if (HasProgressed || !IsOutstanding) {
    this->Asked.clear();
    this->WaitingSince = Now;
  }
  bool IsNewer = Announced > this->Requested;
  bool WasAsked = this->Asked.count(From) != 0;
  bool IsOverdue =
      Now - this->WaitingSince >= (WasAsked ? RepeatTimeout : AnswerTimeout);
  if (IsOutstanding && !IsNewer && !IsOverdue)
    return false;
  // A request to a node that did not answer so far does not delay those to the
  // others.
  if (!IsNewer)
    this->WaitingSince = Now;
  this->Requested = std::max(this->Requested, Announced);
  this->Asked.insert(From);
  return true;
}

} // namespace limpetdrum
