#ifndef LIMPETDRUM_REQUEST_CALLLEARNER_H
#define LIMPETDRUM_REQUEST_CALLLEARNER_H

#include "limpetdrum/process/Types.h"

#include <map>
#include <string>
#include <vector>

namespace limpetdrum {

/// \brief How often one run of a route calls other routes.
struct RouteCalls {
  std::string Route;
  double PerRun = 0;
};

/// \brief What one node has seen of a route, as rates of the last seconds.
struct RouteUsage {
  std::string Route;
  /// Requests a second made at the node, by its clients and its target.
  double Arrivals = 0;
  double Runs = 0;          ///< runs a second at the node's target
  Microseconds SlotTime{0}; ///< for which a run holds a slot there
  std::vector<RouteCalls> Calls;
};

/// \brief What the nodes beside a service's targets have seen, summed up.
struct UsageSummary {
  ServiceName Service;
  std::uint32_t Nodes = 1;
  std::vector<RouteUsage> Routes;
};

/// \brief Learns which calls the own target makes for which routes.
///
/// Calls whose parent is not known are ascribed to the routes that run at the
/// target by how the rate of requests follows the number of runs: each request
/// is shared out among its possible causes in proportion to what each is
/// believed to cause, and the beliefs follow from the shares (expectation
/// maximization, with old shares fading). Which routes are called at all is
/// for DemandModel to say, which compares nodes. Runs that fail make fewer
/// calls than whole ones would: a time in which many fail teaches nothing.
class CallLearner {
public:
  void onRunBegin(const std::string &Route, TimePoint Now);
  /// \param Served whether the run came to a good end.
  void onRunEnd(const std::string &Route, bool Served, TimePoint Now);
  /// \brief A request was made at this node, by a client or the own target.
  /// \param Parent the route whose run made it, if that is known; else empty.
  void onRequest(const std::string &Route, TimePoint Now,
                 const std::string &Parent = "");
  /// \brief What has been learned; fades older observations.
  [[nodiscard]] std::vector<RouteUsage> report(TimePoint Now);

private:
  struct Parent {
    std::size_t Running = 0;
    double Runs = 0;       ///< ended, fading
    double RunTime = 0;    ///< seconds times running, fading
    double NewRuns = 0;    ///< since the last report
    double NewRunTime = 0; ///< since the last report
    double NewFailed = 0;  ///< of NewRuns
  };
  struct Credit {
    double Old = 0; ///< requests ascribed, fading
    double New = 0; ///< since the last report
  };
  struct Callee {
    double Arrivals = 0;                   ///< requests, fading fast
    double FromClients = 0;                ///< those not ascribed, fading
    std::map<std::string, Credit> Credits; ///< by parent
  };
  void advance(TimePoint Now);
  void takeOver(const std::string &Name, Parent &Of, double Kept);
  [[nodiscard]] std::vector<RouteUsage> summarize() const;

  std::map<std::string, Parent> Parents;
  std::map<std::string, Callee> Callees;
  double Elapsed = 0;        ///< seconds, fading
  double ArrivalElapsed = 0; ///< seconds, fading fast
  TimePoint Last{};
  TimePoint LastReport{};
};

} // namespace limpetdrum

#endif
