#ifndef LIMPETDRUM_REQUEST_USAGEEXCHANGE_H
#define LIMPETDRUM_REQUEST_USAGEEXCHANGE_H

#include "limpetdrum/process/Types.h"

#include <map>
#include <set>
#include <vector>

namespace limpetdrum {

/// \brief Selects the nodes to which a node sends the usage that it observed.
///
/// Each node sends its usage to the nodes of its failure domain. The first node
/// of a failure domain by name represents it: it sends the sums to the
/// representatives of the other failure domains, which relay them in theirs.
/// The traffic between failure domains thus does not grow with the number of
/// nodes. While the nodes' views of the membership differ, sums may be sent
/// twice or not at all; the next ones correct that.
class UsageExchange {
public:
  UsageExchange(NodeId Self, FailureDomain LocalDomain);

  /// \brief Removes all other nodes, before the current ones are added.
  void clear();
  /// \brief Adds another node that is reachable.
  void add(const NodeId &Node, const FailureDomain &Domain);

  /// \brief Returns true if this node represents its failure domain.
  [[nodiscard]] bool isRepresentative() const;
  /// \brief Returns the other nodes of the local failure domain.
  [[nodiscard]] std::vector<NodeId> neighbours() const;
  /// \brief Returns the nodes that represent the other failure domains.
  [[nodiscard]] std::vector<NodeId> representatives() const;

private:
  NodeId Self;
  FailureDomain LocalDomain;
  std::map<FailureDomain, std::set<NodeId>> Nodes;
};

} // namespace limpetdrum

#endif
