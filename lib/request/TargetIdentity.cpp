#include "limpetdrum/request/TargetIdentity.h"

#include <algorithm>

namespace limpetdrum {

namespace {

bool isSameTarget(const TargetRecord &A, const TargetRecord &B) noexcept {
  return A.Id == B.Id && A.Started == B.Started;
}

} // namespace

bool TargetIdentity::hasDeparted(const TargetRecord &Value) const {
  auto Found = this->Departed.find(Value.Id);
  return Found != this->Departed.end() && Value.Started <= Found->second;
}

void TargetIdentity::onLeave(const std::string &Id, std::int64_t At) {
  auto &Last = this->Departed.try_emplace(Id, At).first->second;
  Last = std::max(Last, At);
}

TargetIdentity::Verdict
TargetIdentity::judge(const TargetRecord &Reported,
                      const TargetRecord &Current) const {
  if (Reported.Id != Current.Id && this->hasDeparted(Reported))
    return Verdict::Outdated;
  if (isLater(Reported, Current))
    return Verdict::Newer;
  // An older report of the same process is in force if its state is not later
  // than the recorded one.
  return isSameTarget(Reported, Current) && Reported.State <= Current.State
             ? Verdict::InForce
             : Verdict::Outdated;
}

TargetRecord TargetIdentity::merge(const TargetRecord &Newer,
                                   const TargetRecord &Current) {
  auto Merged = Newer;
  if (isSameTarget(Newer, Current) && Current.State > Newer.State)
    Merged.State = Current.State;
  return Merged;
}

} // namespace limpetdrum
