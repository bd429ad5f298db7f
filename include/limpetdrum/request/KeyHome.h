#ifndef LIMPETDRUM_REQUEST_KEYHOME_H
#define LIMPETDRUM_REQUEST_KEYHOME_H

#include "limpetdrum/process/Types.h"

#include <optional>
#include <vector>

namespace limpetdrum {

/// \brief A node that may be the home or the witness of a key.
struct KeyCandidate {
  NodeId Node;
  limpetdrum::FailureDomain FailureDomain;
};

/// \brief The two nodes that a keyed request passes through.
struct KeyNodes {
  NodeId Home;
  /// Missing if the service has only one node.
  std::optional<NodeId> Witness;
};

/// \brief Returns the nodes of a key by rendezvous hashing.
///
/// The witness is in a different failure domain from the home if there is one,
/// so that one of the two survives the loss of a whole domain. Adding or
/// removing a node affects only the keys for which it ranks first or second.
/// \returns nothing if there is no candidate.
[[nodiscard]] std::optional<KeyNodes>
findKeyNodes(const IdempotencyKey &Key,
             const std::vector<KeyCandidate> &Candidates);

} // namespace limpetdrum

#endif
