#ifndef LIMPETDRUM_REQUEST_LINKPLAN_H
#define LIMPETDRUM_REQUEST_LINKPLAN_H

#include "limpetdrum/process/Membership.h"

#include <set>

namespace limpetdrum {

/// \brief Selects the nodes of each service to which a node keeps links.
///
/// The number of links for a service is constant, whatever the size of the
/// fleet. Most are in the node's own failure domain, where bytes are cheap; the
/// others are spread over other failure domains, so that there is room
/// elsewhere as soon as the own one is short of it or fails. Rendezvous hashing
/// spreads the links of all nodes evenly over the targets, and changes few of
/// them when a node joins or leaves.
class LinkPlan {
public:
  LinkPlan(NodeId Self, FailureDomain LocalDomain);

  /// \brief Records how full the linked targets of a service are, and widens or
  ///   narrows its links.
  ///
  /// A node whose targets are full links to more of them, because others may
  /// have room; it returns to the usual number after a calm period.
  /// \param Utilization requests at the linked targets per request that they
  ///   run concurrently.
  void observe(const ServiceName &Service, double Utilization, TimePoint Now);

  /// \brief Returns the nodes to link to. Nodes that are gone or leaving are
  ///   not selected.
  [[nodiscard]] std::set<NodeId> select(const Membership &Members) const;
  /// \brief Returns a counter that increases when links are widened or
  ///   narrowed.
  [[nodiscard]] std::uint64_t changes() const noexcept { return this->Changes; }

private:
  struct Width {
    std::size_t Extra = 0;
    TimePoint FullSince{};
    TimePoint CalmSince{};
  };

  void selectOfService(std::vector<const Member *> Candidates,
                       std::size_t Extra, std::set<NodeId> &Result) const;

  NodeId Self;
  FailureDomain LocalDomain;
  std::map<ServiceName, Width> Widths;
  std::uint64_t Changes = 1;
};

} // namespace limpetdrum

#endif
