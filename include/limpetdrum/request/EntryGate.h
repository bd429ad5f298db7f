#ifndef LIMPETDRUM_REQUEST_ENTRYGATE_H
#define LIMPETDRUM_REQUEST_ENTRYGATE_H

#include "limpetdrum/request/DemandModel.h"

#include <random>

namespace limpetdrum {

/// \brief The load of a service, summed over its ready targets.
struct ServiceLoad {
  double Limit = 0; ///< requests that run at once
  double Running = 0;
  double Queued = 0;
  double QueuedWork = 0; ///< slot time that the queued ones take, seconds
};

/// \brief Refuses requests of clients where a service that they reach, at any
///   depth, is short of slots.
///
/// Answers the load in which a deep service is overloaded: a request that
/// fails because one of its calls was refused has wasted all work above. The
/// slots of each service are given out by rank: a more important rank goes
/// first, and all routes of the rank that does not fit are cut by the same
/// share, so that each kind of request stays alive.
class EntryGate {
public:
  explicit EntryGate(std::uint64_t Seed) : Random(Seed) {}

  /// \brief Works out the shares anew; call it every 200 ms or so.
  void update(const TrafficPolicy &Policy, const DemandModel &Demand,
              const std::map<ServiceName, ServiceLoad> &Loads);
  /// \brief What the shares follow from, of one service.
  struct Balance {
    double DemandedSlots = 0; ///< slots that the offered requests would take
    double GrantedSlots = 0;  ///< slots that are given out
    /// GrantedSlots over the slots that the targets announce.
    double CapacityFactor = 1;
    double QueueWait = 0; ///< in the service's queues, seconds
  };
  [[nodiscard]] const std::map<ServiceName, Balance> &
  balances() const noexcept {
    return this->Balances;
  }
  /// \brief Whether a request of a route may go in.
  ///
  /// New requests and those that come back have the same chance. While an
  /// overload lasts, a preference for either leaves the number of those served
  /// as it is; one for those that come back would have nearly all served only
  /// after a refusal, and late.
  [[nodiscard]] bool admit(const std::string &Route);
  /// \brief The share of a route's requests that goes in, 0 to 1.
  [[nodiscard]] double share(const std::string &Route) const;

private:
  struct Gate {
    double Share = 1;
    double Credit = 0;
  };
  void adjust(Balance &Of, const ServiceLoad &Load);

  std::mt19937_64 Random;
  std::map<std::string, Gate> Gates;
  std::map<ServiceName, Balance> Balances;
};

} // namespace limpetdrum

#endif
