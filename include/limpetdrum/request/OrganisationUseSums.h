#ifndef LIMPETDRUM_REQUEST_ORGANISATIONUSESUMS_H
#define LIMPETDRUM_REQUEST_ORGANISATIONUSESUMS_H

#include "limpetdrum/request/OrganisationUse.h"
#include "limpetdrum/version/Organisations.h"

#include <map>
#include <optional>

namespace limpetdrum {

/// \brief Sums of the demand of organisations, made by a duty holder.
///
/// A node that falls silent may be cut off, and go on with its part. So it
/// counts with that part of the demand for 20 s after its last report. A node
/// that leaves is taken out at once.
class OrganisationUseSums {
public:
  /// \brief Sum over some nodes.
  struct Sum {
    std::size_t Nodes = 0;
    std::vector<OrganisationUse> Uses;
  };

  /// \brief Records the demand at this node.
  void recordOwn(std::vector<OrganisationUse> Uses, TimePoint Now);
  /// \brief Records the latest report of another node of the own failure
  ///   domain.
  void record(const NodeId &Node, std::vector<OrganisationUse> Uses,
              TimePoint Now);
  /// \brief Takes out a node that leaves.
  void remove(const NodeId &Node) { this->NodeReports.erase(Node); }
  /// \brief Records the latest sum of another failure domain.
  ///
  /// A sum of clearly fewer nodes than the last one is passed over for a
  /// while: it is of a duty holder that has not heard all of its nodes yet.
  void recordDomain(const FailureDomain &Domain, Sum Total, TimePoint Now);

  /// \brief Returns true if the other nodes have been heard for long enough to
  ///   make sums: a node that was cut off until now has only old reports.
  [[nodiscard]] bool isSettled(TimePoint Now) const;
  /// \brief Returns the sum over the own failure domain.
  [[nodiscard]] Sum domainSum(TimePoint Now);
  /// \brief Returns the sum over all nodes, of the organisations that ask for
  ///   more than half of their rate.
  [[nodiscard]] Sum fleetSum(const Organisations &InForce, TimePoint Now);
  /// \brief Returns true if the sums have changed by more than a tenth of a
  ///   rate since they were handed out, for an organisation near its rate.
  [[nodiscard]] bool hasChanged(const Organisations &InForce, TimePoint Now);

private:
  using Totals = std::map<Organisation, OrganisationUse>;
  struct TimedSum {
    Sum Total;
    TimePoint ReceivedAt;
    /// Parts of the demand over the fleet, one for each of the uses.
    std::vector<double> Parts;
  };
  [[nodiscard]] std::vector<double>
  parts(const std::vector<OrganisationUse> &Uses) const;
  /// Notes that another node was heard.
  void onHeard(TimePoint Now);
  void expire(TimePoint Now);
  /// Adds up the reports of the own nodes, and the sums of other domains.
  [[nodiscard]] Totals total(bool WithDomains, std::size_t &Nodes,
                             TimePoint Now) const;

  std::map<NodeId, TimedSum> NodeReports;
  std::map<FailureDomain, TimedSum> DomainSums;
  std::optional<TimePoint> HeardAt;
  TimePoint SettledAt{}; ///< from when on sums are made
  /// Demand by organisation as last handed out, at least what nodes assume
  /// without news.
  std::map<Organisation, double> HandedOut;
};

} // namespace limpetdrum

#endif
