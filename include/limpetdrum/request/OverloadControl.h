#ifndef LIMPETDRUM_REQUEST_OVERLOADCONTROL_H
#define LIMPETDRUM_REQUEST_OVERLOADCONTROL_H

#include "limpetdrum/request/EntryGate.h"

#include <deque>
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
    std::uint64_t Fingerprint = 0; ///< the same if a client sends it again
    Milliseconds TimeLeft{0};
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
  [[nodiscard]] UsageSum report(const NodeId &Self, const ServiceName &Service,
                                TimePoint Now);
  /// \brief Demand and costs over the fleet, as this node has heard.
  [[nodiscard]] DemandModel &demand() noexcept { return this->Demand; }
  /// \brief Works out anew what goes in; call it every 200 ms or so.
  void update(const TrafficPolicy &Policy,
              const std::map<ServiceName, ServiceLoad> &Loads, TimePoint Now);
  /// \returns nothing if the request goes in, else when it may come back.
  [[nodiscard]] std::optional<Milliseconds> admit(const Request &Asked,
                                                  TimePoint Now);

private:
  [[nodiscard]] bool takeReturning(std::uint64_t Fingerprint, TimePoint Now);
  [[nodiscard]] Milliseconds appointment(const Request &Asked);

  CallLearner Learner;
  DemandModel Demand;
  EntryGate Gate;
  std::mt19937_64 Random;
  std::unordered_map<std::uint64_t, TimePoint> Refused;
  std::deque<std::pair<TimePoint, std::uint64_t>> RefusedOrder;
};

} // namespace limpetdrum

#endif
