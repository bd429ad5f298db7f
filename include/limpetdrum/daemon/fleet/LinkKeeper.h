#ifndef LIMPETDRUM_DAEMON_FLEET_LINKKEEPER_H
#define LIMPETDRUM_DAEMON_FLEET_LINKKEEPER_H

#include "limpetdrum/daemon/fleet/Mesh.h"
#include "limpetdrum/request/LinkPlan.h"
#include "limpetdrum/request/LoadEstimate.h"

namespace limpetdrum {

/// \brief Keeps the links of this node: to the targets that it calls, and to
///   the nodes that hold the duties of its failure domain.
class LinkKeeper {
public:
  LinkKeeper(const Membership &Members, Mesh &Links, EventLoop &Loop);

  /// \brief Adds and removes links if the members or their load have changed.
  void update();
  /// \brief Returns the nodes that hold the duties of a failure domain.
  ///
  /// Nodes that are unreachable, or that have lost the store, are passed over.
  [[nodiscard]] std::vector<NodeId>
  dutyHolders(const FailureDomain &Domain) const;
  /// \brief Returns true if this node holds the duties of its failure domain.
  [[nodiscard]] bool holdsDuties() const;
  /// \brief Returns the failure domains of the other nodes, except the own one.
  [[nodiscard]] std::vector<FailureDomain> otherDomains() const;
  /// \brief Returns the estimated loads of all services.
  /// \param Local status of this node.
  [[nodiscard]] std::map<ServiceName, ServiceLoad>
  loads(const NodeStatus &Local) const;
  /// \brief Returns a node of the service that this one is not linked to.
  /// \param Excluded nodes not to return.
  [[nodiscard]] std::optional<Contact>
  findUnlinked(const ServiceName &Service,
               const std::vector<NodeId> &Excluded) const;

private:
  [[nodiscard]] std::set<NodeId> select() const;
  /// Links to the selected nodes.
  void applyPlan();
  /// Reports how full the linked targets of each service are.
  void observeUtilization();
  /// Returns false if it is known that the node cannot do its duties.
  [[nodiscard]] bool isFit(const NodeId &Node) const;

  const Membership &Members;
  Mesh &Links;
  EventLoop &Loop;
  LinkPlan Plan;
  std::uint64_t MembersSeen = 0;
  std::uint64_t PlanSeen = 0;
  bool HeldDuties = false;
  /// Nodes to link to, with the incarnations known when they were linked.
  std::map<NodeId, Incarnation> Wanted;
  /// Links that are no longer wanted, with the time from which they are closed.
  std::map<NodeId, TimePoint> Unwanted;
};

} // namespace limpetdrum

#endif
