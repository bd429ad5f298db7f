#ifndef LIMPETDRUM_REQUEST_USAGEEXCHANGE_H
#define LIMPETDRUM_REQUEST_USAGEEXCHANGE_H

#include "limpetdrum/process/Types.h"

#include <map>
#include <set>
#include <vector>

namespace limpetdrum {

/// \brief Decides which nodes tell which others what they have seen.
///
/// Each node tells those of its own failure domain. The first one there by
/// name sums up and tells the first ones of the other failure domains, who
/// relay it in theirs: what crosses between failure domains does not grow with
/// the number of nodes. Where views differ for a moment, sums are told twice
/// or not at all, and the next ones mend that.
class UsageExchange {
public:
  UsageExchange(NodeId Self, FailureDomain OwnDomain);

  /// \brief Forgets all other nodes, before they are added anew.
  void clear();
  /// \brief Adds another node that is reached.
  void add(const NodeId &Node, const FailureDomain &Domain);

  /// \brief Whether this node represents its failure domain.
  [[nodiscard]] bool isRepresentative() const;
  /// \brief The other nodes of the own failure domain.
  [[nodiscard]] std::vector<NodeId> neighbours() const;
  /// \brief The nodes that represent the other failure domains.
  [[nodiscard]] std::vector<NodeId> representatives() const;

private:
  NodeId Self;
  FailureDomain OwnDomain;
  std::map<FailureDomain, std::set<NodeId>> Nodes;
};

} // namespace limpetdrum

#endif
