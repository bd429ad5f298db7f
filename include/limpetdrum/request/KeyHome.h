#ifndef LIMPETDRUM_REQUEST_KEYHOME_H
#define LIMPETDRUM_REQUEST_KEYHOME_H

#include "limpetdrum/process/Types.h"

#include <optional>
#include <vector>

namespace limpetdrum {

/// \brief A node that could hold a key.
struct KeyCandidate {
  NodeId Node;
  limpetdrum::FailureDomain FailureDomain;
};

/// \brief The two nodes that a keyed request passes.
struct KeyNodes {
  NodeId Home;
  /// Missing if the service has one node only.
  std::optional<NodeId> Witness;
};

/// \brief Finds the nodes of a key by rendezvous hashing.
///
/// The witness stands in another failure domain than the home where there is
/// one, so that the loss of a whole domain leaves one of the two. A node that
/// comes or goes changes only the keys it ranks first or second for.
/// \returns nothing if there is no candidate.
[[nodiscard]] std::optional<KeyNodes>
findKeyNodes(const IdempotencyKey &Key,
             const std::vector<KeyCandidate> &Candidates);

/// \brief The first \p Count of \p Names by rendezvous hashing.
[[nodiscard]] std::vector<NodeId> rankByHash(const std::string &Key,
                                             std::vector<NodeId> Names,
                                             std::size_t Count);

} // namespace limpetdrum

#endif
