#include "limpetdrum/request/SuspectTrials.h"

#include "limpetdrum/process/Rendezvous.h"

#include <algorithm>

namespace limpetdrum {

std::optional<NodeId> trialNode(RequestFingerprint Request,
                                std::vector<NodeId> Candidates) {
  auto Chosen = rankByHash(toString(Request), std::move(Candidates), 1);
  return Chosen.empty() ? std::nullopt : std::optional(Chosen.front());
}

bool SuspectTrials::begin(AttemptId Id) {
  if (!this->Running)
    this->Running = Id;
  if (this->Running == Id)
    return true;
  this->Waiting.push_back(Id);
  return false;
}

std::optional<AttemptId> SuspectTrials::end(AttemptId Id) {
  this->Waiting.erase(
      std::remove(this->Waiting.begin(), this->Waiting.end(), Id),
      this->Waiting.end());
  if (this->Running == Id)
    this->Running.reset();
  if (this->Running || this->Waiting.empty())
    return std::nullopt;
  auto Next = this->Waiting.front();
  this->Waiting.erase(this->Waiting.begin());
  return Next;
}

} // namespace limpetdrum
