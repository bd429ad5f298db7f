#include "limpetdrum/request/KeyHome.h"

#include "limpetdrum/process/Rendezvous.h"

#include <algorithm>

namespace limpetdrum {

std::optional<KeyNodes>
findKeyNodes(const IdempotencyKey &Key,
             const std::vector<KeyCandidate> &Candidates) {
  if (Candidates.empty())
    return std::nullopt;
  auto Seed = stableHash(Key.value());
  auto HasLowerWeight = [Seed](const KeyCandidate &A, const KeyCandidate &B) {
    return rendezvousWeight(Seed, A.Node) < rendezvousWeight(Seed, B.Node);
  };
  const auto &Home =
      *std::max_element(Candidates.begin(), Candidates.end(), HasLowerWeight);
  const KeyCandidate *Witness = nullptr;
  auto IsInOtherDomain = [&Home](const KeyCandidate &C) {
    return C.FailureDomain != Home.FailureDomain;
  };
  for (const auto &Candidate : Candidates) {
    if (Candidate.Node == Home.Node)
      continue;
    bool IsBetter =
        Witness == nullptr ||
        (IsInOtherDomain(Candidate) && !IsInOtherDomain(*Witness)) ||
        (IsInOtherDomain(Candidate) == IsInOtherDomain(*Witness) &&
         HasLowerWeight(*Witness, Candidate));
    if (IsBetter)
      Witness = &Candidate;
  }
  KeyNodes Result{Home.Node, std::nullopt};
  if (Witness != nullptr)
    Result.Witness = Witness->Node;
  return Result;
}

} // namespace limpetdrum
