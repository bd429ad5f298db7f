#ifndef LIMPETDRUM_REQUEST_OVERLOADCONTROL_H
#define LIMPETDRUM_REQUEST_OVERLOADCONTROL_H

#include "limpetdrum/request/EntryGate.h"

#include <optional>
#include <unordered_map>

namespace limpetdrum {

/// \brief Decides at the entrance which requests of clients go in, and when
///   the others may come back.
class OverloadControl {
public:
  /// \brief A request that asks to go in.
  struct Request {
    std::string Route;
    bool IsCall = false; ///< made by a target: its request has been let in
    Milliseconds TimeLeft{0};
    /// From now on, within which an answer has its full value.
    Milliseconds LatencyTargetLeft{0};
  };

  explicit OverloadControl(std::uint64_t Seed);

  [[nodiscard]] CallLearner &learner() noexcept { return this->Learner; }
  [[nodiscard]] const EntryGate &gate() const noexcept { return this->Gate; }
  /// \brief Whether targets call the route, rather than clients.
  [[nodiscard]] bool isCalled(const std::string &Route) const {
    return this->Demand.isCalled(Route);
  }
  /// \brief Whether runs of the route are known to make no calls.
  [[nodiscard]] bool isLeaf(const std::string &Route) const {
    return this->Demand.isLeaf(Route);
  }
  /// \brief What the other nodes need to know of this one.
  [[nodiscard]] UsageSummary report(const NodeId &Self,
                                    const ServiceName &Service, TimePoint Now);
  /// \brief Demand and costs over the fleet, as this node has heard.
  [[nodiscard]] DemandModel &demand() noexcept { return this->Demand; }
  /// \brief Works out anew what goes in; call it every 200 ms or so.
  void update(const TrafficPolicy &Policy,
              const std::map<ServiceName, ServiceLoad> &Loads, TimePoint Now);
  /// \brief A request of a route has been served.
  void onServed(const std::string &Route, Microseconds Latency);
  /// \returns nothing if the request goes in, else when it may come back.
  [[nodiscard]] std::optional<Milliseconds> admit(const Request &Asked);

private:
  [[nodiscard]] Milliseconds appointment(const Request &Asked);

  CallLearner Learner;
  DemandModel Demand;
  EntryGate Gate;
  std::mt19937_64 Random;
  /// The smoothed time that requests of a route take, in microseconds.
  std::unordered_map<std::string, double> Latencies;
};

} // namespace limpetdrum

#endif
