#ifndef LIMPETDRUM_DAEMON_FLEET_ALLOWANCEEXCHANGE_H
#define LIMPETDRUM_DAEMON_FLEET_ALLOWANCEEXCHANGE_H

#include "limpetdrum/daemon/fleet/LinkKeeper.h"
#include "limpetdrum/daemon/fleet/Mesh.h"
#include "limpetdrum/request/Allowances.h"
#include "limpetdrum/request/OrganisationUseSums.h"
#include "limpetdrum/version/TrafficPolicy.h"

namespace limpetdrum {

/// \brief Exchanges the demand of organisations with the other nodes.
///
/// Each node reports to the duty holders of its failure domain. These exchange
/// the sums of their domains, and hand out the sum over the fleet. Nothing is
/// sent while no organisation has an allowance.
class AllowanceExchange {
public:
  struct Options {
    NodeId Node;
    limpetdrum::FailureDomain FailureDomain;
  };
  AllowanceExchange(Options Self, Allowances &Parts, const LinkKeeper &Links,
                    Mesh &Peers, EventLog &Log);

  /// \brief Applies the allowances of a policy.
  void setPolicy(std::shared_ptr<const TrafficPolicy> InForce, TimePoint Now);
  /// \brief Sends what is due: every 500 ms, or at once what has changed much;
  ///   to be called every 100 ms.
  void tick(TimePoint Now);
  /// \brief Records a report or a sum of another node.
  void onUsage(const MeshOrganisationUsage &Value, TimePoint Now);
  /// \brief Tells the duty holders that this node leaves, so that its parts
  ///   fall to the others at once. Nothing is sent afterwards.
  void leave();

private:
  void report(TimePoint Now);
  void shareSums(TimePoint Now);
  void applyFleetUse(const std::vector<OrganisationUse> &Uses,
                     std::size_t Nodes, TimePoint Now);
  void sendToHolders(const MeshOrganisationUsage &Value);

  Options Self;
  Allowances &Parts;
  const LinkKeeper &Links;
  Mesh &Peers;
  EventLog &Log;
  /// Null while no organisation has an allowance.
  std::shared_ptr<const TrafficPolicy> Policy;
  OrganisationUseSums Sums;
  TimePoint ReportedAt{};
  TimePoint SharedAt{};
};

} // namespace limpetdrum

#endif
