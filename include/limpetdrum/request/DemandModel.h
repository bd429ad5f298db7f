#ifndef LIMPETDRUM_REQUEST_DEMANDMODEL_H
#define LIMPETDRUM_REQUEST_DEMANDMODEL_H

#include "limpetdrum/request/CallLearner.h"
#include "limpetdrum/version/TrafficPolicy.h"

#include <set>

namespace limpetdrum {

/// \brief The slot time that a request costs at each service that it reaches,
///   in seconds.
using ServiceCosts = std::map<ServiceName, double>;

/// \brief Demand and costs over the whole fleet, from what its nodes report.
class DemandModel {
public:
  void record(const NodeId &From, UsageSummary Seen, TimePoint Now);
  /// \brief Takes over what another failure domain's nodes have seen.
  void recordDomain(const FailureDomain &From, UsageSummary Seen,
                    TimePoint Now);
  /// \brief Sums up what single nodes reported, for other failure domains.
  [[nodiscard]] std::vector<UsageSummary> summaries(TimePoint Now) const;
  /// \brief Sums up the reports that are fresh.
  void update(const TrafficPolicy &Policy, TimePoint Now);

  /// \returns nullptr if nothing is known of the route.
  [[nodiscard]] const ServiceCosts *costs(const std::string &Route) const;
  /// \brief Requests a second of all clients, the refused ones included.
  [[nodiscard]] double offered(const std::string &Route) const;
  /// \brief Whether targets call the route; such calls belong to requests that
  ///   have been admitted.
  ///
  /// Clients come to all nodes alike. A route that is asked for much more often
  /// beside the targets of one service than beside others is called by them.
  [[nodiscard]] bool isCalled(const std::string &Route) const;
  /// \brief Whether runs of the route are known to make no calls.
  [[nodiscard]] bool isLeaf(const std::string &Route) const {
    return this->Leaves.count(Route) != 0;
  }

private:
  struct Report {
    UsageSummary Seen;
    TimePoint At;
  };
  struct Summary { ///< of a route at one service
    double Runs = 0;
    double SlotSeconds = 0;              ///< times runs
    std::map<std::string, double> Calls; ///< times runs
  };
  /// Calls \p Action with each report, of nodes and of failure domains.
  template <typename Callable> void forEach(Callable Action) const;
  void compareArrivals();
  void findLeaves(const TrafficPolicy &Policy);
  /// \returns the calls of a run of \p Route at \p Service that are no chance.
  [[nodiscard]] std::vector<RouteCalls>
  callsOf(const Summary &Runs, const ServiceName &Service) const;
  void addCosts(const TrafficPolicy &Policy, const TrafficRoute &Of,
                double Times, unsigned Depth, ServiceCosts &Into) const;

  std::map<NodeId, Report> Reports;
  std::map<std::pair<FailureDomain, ServiceName>, Report> Sums;
  std::map<std::pair<ServiceName, std::string>, Summary> Seen;
  std::map<std::string, ServiceCosts> Costs;
  std::map<std::string, double> Offered;
  /// The services that call a route.
  std::map<std::string, std::set<ServiceName>> Callers;
  std::set<std::string> Leaves;
};

} // namespace limpetdrum

#endif
