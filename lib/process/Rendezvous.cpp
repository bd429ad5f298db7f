#include "limpetdrum/process/Rendezvous.h"

#include <algorithm>

namespace limpetdrum {

std::uint64_t rendezvousWeight(std::uint64_t Seed,
                               const NodeId &Node) noexcept {
  return stableHash(Node.value(), Seed);
}

std::vector<NodeId> rankByHash(const std::string &Key,
                               std::vector<NodeId> Names, std::size_t Count) {
  auto Seed = stableHash(Key);
  auto ResultSize = std::min(Count, Names.size());
  std::partial_sort(
      Names.begin(), Names.begin() + static_cast<std::ptrdiff_t>(ResultSize),
      Names.end(), [Seed](const NodeId &A, const NodeId &B) {
        return rendezvousWeight(Seed, A) > rendezvousWeight(Seed, B);
      });
  Names.resize(ResultSize);
  return Names;
}

} // namespace limpetdrum
