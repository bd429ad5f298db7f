#ifndef LIMPETDRUM_PROCESS_RENDEZVOUS_H
#define LIMPETDRUM_PROCESS_RENDEZVOUS_H

#include "limpetdrum/process/Types.h"

#include <vector>

namespace limpetdrum {

/// \brief Returns the weight of a node for a key in rendezvous hashing.
/// \param Seed hash of the key.
[[nodiscard]] std::uint64_t rendezvousWeight(std::uint64_t Seed,
                                             const NodeId &Node) noexcept;

/// \brief Returns the first \p Count of \p Names by rendezvous hashing, or all
///   of them if there are fewer.
///
/// Nodes that know the same names select the same ones without coordination,
/// and a node that joins or leaves changes the selection by one at most.
[[nodiscard]] std::vector<NodeId> rankByHash(const std::string &Key,
                                             std::vector<NodeId> Names,
                                             std::size_t Count);

} // namespace limpetdrum

#endif
