#ifndef LIMPETDRUM_REQUEST_ENTRYGATE_H
#define LIMPETDRUM_REQUEST_ENTRYGATE_H

#include "limpetdrum/request/DemandModel.h"
#include "limpetdrum/request/FairShares.h"

#include <random>

namespace limpetdrum {

/// \brief Load of a service, summed over its ready targets.
struct ServiceLoad {
  double Limit = 0; ///< concurrency limit, in slots
  double Running = 0;
  double Queued = 0;
  double QueuedWork = 0; ///< slot time of the queued requests, in seconds
};

/// \brief Refuses requests of clients if a service that they reach, at any
///   depth, lacks slots.
///
/// It protects against the overload of a deep service: a request that fails
/// because one of its calls was refused has wasted all work done above. The
/// slots of each service are allocated by rank, the most important one first.
/// All routes of the rank that does not fit are cut to the same share, so that
/// some requests of each route are still served. Within this share,
/// organisations are cut by FairShares.
class EntryGate {
public:
  explicit EntryGate(std::uint64_t Seed) : Random(Seed) {}

  /// \brief Recalculates the shares; to be called about every 200 ms.
  void update(const TrafficPolicy &Policy, const DemandModel &Demand,
              const std::map<ServiceName, ServiceLoad> &Loads);
  /// \brief Sets what organisations ask for, for the next update. While nothing
  ///   is known of it, all are cut alike.
  void setOrganisations(FairShares Value) {
    this->Organisations = std::move(Value);
  }
  /// \brief Slots of one service that its routes demand and are granted.
  struct Balance {
    double DemandedSlots = 0; ///< slots that all offered requests would use
    double GrantedSlots = 0;  ///< slots allocated to the routes
    /// Ratio of GrantedSlots to ServiceLoad::Limit.
    double CapacityFactor = 1;
    double QueueWait = 0;      ///< wait in the service's queues, in seconds
    double WaitAtDecrease = 0; ///< QueueWait that led to the last decrease
    unsigned UpdatesSinceDecrease = 0;
  };
  [[nodiscard]] const std::map<ServiceName, Balance> &
  balances() const noexcept {
    return this->Balances;
  }
  /// \brief Returns true if a request of the route is admitted.
  /// \param Owner organisation of the request; empty if it is nobody's.
  ///
  /// New and retried requests have the same chance. During an overload, a
  /// preference for either would not change the number of requests served; a
  /// preference for retries would serve nearly all of them only after a
  /// refusal, and late.
  [[nodiscard]] bool admit(const std::string &Route,
                           const Organisation &Owner = Organisation());
  /// \brief Returns the share of the route's requests that is admitted, 0 to 1.
  [[nodiscard]] double share(const std::string &Route) const;
  /// \brief Returns the share of an organisation's requests of the route that
  ///   is admitted, 0 to 1.
  [[nodiscard]] double share(const std::string &Route,
                             const Organisation &Owner) const;

private:
  struct Gate {
    double Share = 1;
    double Credit = 0;
    double Level = 0; ///< of the organisations, at this share
  };
  [[nodiscard]] double shareOf(const Gate &Entry,
                               const Organisation &Owner) const;
  /// Adapts the capacity factor of a service to the wait in its queues.
  void adjust(Balance &Balance, const ServiceLoad &Load);

  std::mt19937_64 Random;
  FairShares Organisations;
  std::map<std::string, Gate> Gates;
  std::map<ServiceName, Balance> Balances;
};

} // namespace limpetdrum

#endif
