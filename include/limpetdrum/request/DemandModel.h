#ifndef LIMPETDRUM_REQUEST_DEMANDMODEL_H
#define LIMPETDRUM_REQUEST_DEMANDMODEL_H

#include "limpetdrum/request/CallLearner.h"
#include "limpetdrum/version/TrafficPolicy.h"

#include <set>

namespace limpetdrum {

/// \brief Slot time that a request uses at each service that it reaches, in
///   seconds.
using ServiceCosts = std::map<ServiceName, double>;

/// \brief Demand and costs of the whole fleet, calculated from the usage that
///   its nodes report.
class DemandModel {
public:
  /// \brief Records the latest usage observed by a node.
  void record(const NodeId &Node, UsageSummary Usage, TimePoint Now);
  /// \brief Records the latest usage summed over the nodes of another failure
  ///   domain.
  void recordDomain(const FailureDomain &Domain, UsageSummary Usage,
                    TimePoint Now);
  /// \brief Records the latest usage summed over the whole fleet, which is used
  ///   instead of all other reports while it is fresh.
  void recordFleet(UsageSummary Usage, TimePoint Now);
  /// \brief Returns the sums by service of the fresh reports of single nodes,
  ///   for other failure domains.
  [[nodiscard]] std::vector<UsageSummary> summaries(TimePoint Now) const;
  /// \brief Returns the sums by service of the fresh reports of single nodes
  ///   and of other failure domains.
  [[nodiscard]] std::vector<UsageSummary> fleetSummaries(TimePoint Now) const;
  /// \brief Recalculates demand and costs from the fresh reports, and removes
  ///   the others.
  void update(const TrafficPolicy &Policy, TimePoint Now);

  /// \returns the costs of a request of the route, or nullptr if the policy of
  ///   the last update has no such route.
  [[nodiscard]] const ServiceCosts *costs(const std::string &Route) const;
  /// \brief Returns the rate at which all clients send requests of the route,
  ///   in requests per second, refused ones included.
  [[nodiscard]] double offered(const std::string &Route) const;
  /// \brief Returns true if targets call the route; such calls belong to
  ///   requests that have been admitted.
  ///
  /// Clients use all nodes alike. A route that is requested much more often at
  /// the nodes of one service's targets than at other nodes is called by these
  /// targets.
  [[nodiscard]] bool isInternalRoute(const std::string &Route) const;
  /// \brief Returns true if runs of the route were observed and make no calls.
  [[nodiscard]] bool isLeaf(const std::string &Route) const {
    return this->Leaves.count(Route) != 0;
  }

private:
  struct TimedUsage {
    UsageSummary Usage;
    TimePoint ReceivedAt;
  };
  struct RouteTotal { ///< sum over the runs of a route at one service
    double Runs = 0;
    double SlotSeconds = 0;              ///< of all runs
    std::map<std::string, double> Calls; ///< by route, of all runs
  };
  /// Calls \p Action with each of the reports that together cover the fleet.
  template <typename Callable> void forEachUsage(Callable Action) const;
  void compareArrivals();
  void findLeaves(const TrafficPolicy &Policy);
  /// Returns the calls that a run counted in \p Total makes at \p Service,
  /// without those that are attributed to it by chance.
  [[nodiscard]] std::vector<RouteCalls>
  significantCalls(const RouteTotal &Total, const ServiceName &Service) const;
  /// Adds the costs of \p Runs runs of a route and of the calls that they make.
  void addCosts(const TrafficPolicy &Policy, const TrafficRoute &Route,
                double Runs, unsigned Depth, ServiceCosts &Result) const;

  std::map<NodeId, TimedUsage> NodeReports;
  std::map<std::pair<FailureDomain, ServiceName>, TimedUsage> DomainReports;
  std::map<ServiceName, TimedUsage> FleetReports;
  std::map<std::pair<ServiceName, std::string>, RouteTotal> RouteTotals;
  std::map<std::string, ServiceCosts> Costs;
  std::map<std::string, double> Offered;
  /// Services that call a route.
  std::map<std::string, std::set<ServiceName>> Callers;
  std::set<std::string> Leaves;
};

} // namespace limpetdrum

#endif
