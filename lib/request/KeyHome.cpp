#include "limpetdrum/request/KeyHome.h"

#include <algorithm>

namespace limpetdrum {

namespace {

std::uint64_t weight(std::uint64_t Seed, const NodeId &Node) {
  return stableHash(Node.value(), Seed);
}

} // namespace

std::optional<KeyNodes>
findKeyNodes(const IdempotencyKey &Key,
             const std::vector<KeyCandidate> &Candidates) {
  if (Candidates.empty())
    return std::nullopt;
  auto Seed = stableHash(Key.value());
  auto HasLowerWeight = [Seed](const KeyCandidate &A, const KeyCandidate &B) {
    return weight(Seed, A.Node) < weight(Seed, B.Node);
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

std::vector<NodeId> rankByHash(const std::string &Key,
                               std::vector<NodeId> Names, std::size_t Count) {
  auto Seed = stableHash(Key);
  auto ResultSize = std::min(Count, Names.size());
  std::partial_sort(Names.begin(),
                    Names.begin() + static_cast<std::ptrdiff_t>(ResultSize),
                    Names.end(), [Seed](const NodeId &A, const NodeId &B) {
                      return weight(Seed, A) > weight(Seed, B);
                    });
  Names.resize(ResultSize);
  return Names;
}

} // namespace limpetdrum
