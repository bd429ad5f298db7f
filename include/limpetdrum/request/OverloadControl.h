#ifndef LIMPETDRUM_REQUEST_OVERLOADCONTROL_H
#define LIMPETDRUM_REQUEST_OVERLOADCONTROL_H

#include "limpetdrum/request/EntryGate.h"

#include <optional>
#include <unordered_map>

namespace limpetdrum {

/// \brief Decides at the entry which requests of clients are admitted, and when
///   refused ones may be retried.
class OverloadControl {
public:
  /// \brief Request that arrives at the entry.
  struct Request {
    std::string Route;
    bool IsCall = false; ///< made by a target for an admitted request
    Milliseconds TimeLeft{0};
    /// Time left in which a reply meets the route's latency target.
    Milliseconds LatencyTargetLeft{0};
    limpetdrum::Organisation Organisation; ///< empty if it is nobody's
  };

  explicit OverloadControl(std::uint64_t Seed);

  [[nodiscard]] CallLearner &learner() noexcept { return this->Learner; }
  [[nodiscard]] const EntryGate &gate() const noexcept { return this->Gate; }
  /// \brief Returns true if targets call the route, rather than clients.
  [[nodiscard]] bool isInternalRoute(const std::string &Route) const {
    return this->Demand.isInternalRoute(Route);
  }
  /// \brief Returns true if runs of the route were observed and make no calls.
  [[nodiscard]] bool isLeaf(const std::string &Route) const {
    return this->Demand.isLeaf(Route);
  }
  /// \brief Records the usage observed by this node, and returns it for the
  ///   other nodes.
  [[nodiscard]] UsageSummary report(const NodeId &Self,
                                    const ServiceName &Service, TimePoint Now);
  /// \brief Returns the demand and costs of the fleet known to this node.
  [[nodiscard]] DemandModel &demand() noexcept { return this->Demand; }
  /// \brief Returns the requests per second that clients of the fleet make.
  [[nodiscard]] double totalOffered(const TrafficPolicy &Policy) const;
  /// \brief Sets what organisations ask for, for the next update.
  void setOrganisations(FairShares Value) {
    this->Gate.setOrganisations(std::move(Value));
  }
  /// \brief Recalculates the admitted shares; to be called about every 200 ms.
  void update(const TrafficPolicy &Policy,
              const std::map<ServiceName, ServiceLoad> &Loads, TimePoint Now);
  /// \brief Records the latency of a served request.
  void onServed(const std::string &Route, Microseconds Latency);
  /// \returns nothing if the request is admitted, else the delay after which it
  ///   may be retried.
  [[nodiscard]] std::optional<Milliseconds> admit(const Request &Request);

private:
  /// Returns the delay after which a refused request may be retried.
  [[nodiscard]] Milliseconds retryDelay(const Request &Request);

  CallLearner Learner;
  DemandModel Demand;
  EntryGate Gate;
  std::mt19937_64 Random;
  /// Smoothed latencies by route, in microseconds.
  std::unordered_map<std::string, double> Latencies;
};

} // namespace limpetdrum

#endif
