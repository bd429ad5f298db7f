#ifndef LIMPETDRUM_REQUEST_CALLLEARNER_H
#define LIMPETDRUM_REQUEST_CALLLEARNER_H

#include "limpetdrum/process/Types.h"

#include <map>
#include <string>
#include <vector>

namespace limpetdrum {

/// \brief Mean number of calls that a run of a route makes to another route.
struct RouteCalls {
  std::string Route;
  double PerRun = 0;
};

/// \brief Usage of a route observed by one node, as rates over the last
///   seconds.
struct RouteUsage {
  std::string Route;
  /// Requests per second sent to the node by its clients and its target.
  double Arrivals = 0;
  double Runs = 0;          ///< runs per second at the node's target
  Microseconds SlotTime{0}; ///< mean time for which a run holds a slot there
  std::vector<RouteCalls> Calls;
};

/// \brief Usage observed by the nodes of a service's targets, summed.
struct UsageSummary {
  ServiceName Service;
  std::uint32_t Nodes = 1;
  std::vector<RouteUsage> Routes;
};

/// \brief Estimates which calls the local target makes for which routes.
///
/// Calls of unknown parent are attributed to the routes that run at the target
/// by the correlation of the request rate with the number of runs: each request
/// is divided among its possible causes in proportion to the rates estimated
/// for them, and the rates are estimated from the divided requests (expectation
/// maximization, with exponential decay of old observations). DemandModel
/// compares nodes to decide which routes are called at all. Failed runs make
/// fewer calls than complete ones, so periods in which many runs fail are
/// ignored.
class CallLearner {
public:
  /// \brief Records the start of a run at the local target.
  void onRunBegin(const std::string &Route, TimePoint Now);
  /// \brief Records the end of a run at the local target.
  /// \param Served true if the run succeeded.
  void onRunEnd(const std::string &Route, bool Served, TimePoint Now);
  /// \brief Records a request that a client or the local target sent to this
  ///   node.
  /// \param Parent route whose run made the request; empty if unknown.
  void onRequest(const std::string &Route, TimePoint Now,
                 const std::string &Parent = "");
  /// \brief Returns the usage by route and decays older observations.
  [[nodiscard]] std::vector<RouteUsage> report(TimePoint Now);

private:
  struct ParentStats {
    std::size_t Running = 0;
    double Runs = 0;       ///< ended, with decay
    double RunTime = 0;    ///< summed over runs, in seconds, with decay
    double NewRuns = 0;    ///< ended since the last report
    double NewRunTime = 0; ///< since the last report
    double NewFailed = 0;  ///< of NewRuns
  };
  struct Credit {
    double Old = 0; ///< requests attributed, with decay
    double New = 0; ///< requests attributed since the last report
  };
  struct CalleeStats {
    double Arrivals = 0;                   ///< requests, with fast decay
    double FromClients = 0;                ///< not attributed, with decay
    std::map<std::string, Credit> Credits; ///< by parent
  };
  void advance(TimePoint Now);
  /// Merges what was observed since the last report into the decayed sums.
  void mergeNewObservations(const std::string &Name, ParentStats &Stats,
                            double Decay);
  [[nodiscard]] std::vector<RouteUsage> summarize() const;

  std::map<std::string, ParentStats> Parents;
  std::map<std::string, CalleeStats> Callees;
  double Elapsed = 0;        ///< seconds, with decay
  double ArrivalElapsed = 0; ///< seconds, with fast decay
  TimePoint LastUpdate{};
  TimePoint LastReport{};
};

} // namespace limpetdrum

#endif
