#ifndef LIMPETDRUM_VERSION_POLICYREQUESTS_H
#define LIMPETDRUM_VERSION_POLICYREQUESTS_H

#include "limpetdrum/process/Types.h"

#include <set>

namespace limpetdrum {

/// \brief Decides which of the nodes that have a newer policy is asked for it.
///
/// One is asked at a time, so that a new policy is received about once however
/// many nodes announce it.
class PolicyRequests {
public:
  /// \brief Handles the version that another node has in force.
  /// \param From node that announced the version.
  /// \param Local version in force at this node; 0 if none.
  /// \returns true if that node is to be asked for its policy now.
  [[nodiscard]] bool isDue(const NodeId &From, Revision Announced,
                           Revision Local, TimePoint Now);

private:
  Revision Requested;
  Revision LastLocal;
  /// Nodes asked since the local policy changed last.
  std::set<NodeId> Asked;
  /// Start of the wait for an answer. Newer versions do not restart it: while
  /// they come faster than answers, no other node would be asked.
  TimePoint WaitingSince{};
};

} // namespace limpetdrum

#endif
