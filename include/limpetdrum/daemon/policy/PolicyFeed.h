#ifndef LIMPETDRUM_DAEMON_POLICY_POLICYFEED_H
#define LIMPETDRUM_DAEMON_POLICY_POLICYFEED_H

#include "limpetdrum/connection/EventLoop.h"
#include "limpetdrum/connection/ObjectStore.h"
#include "limpetdrum/daemon/policy/PlatformAdapter.h"
#include "limpetdrum/process/EventLog.h"
#include "limpetdrum/process/Metrics.h"

#include <functional>
#include <optional>
#include <random>

namespace limpetdrum {

/// \brief Keeps the newest traffic policy in force; its version only rises.
///
/// A few nodes of the fleet watch the store; the others receive new policies
/// from them. A node without any policy reads the store if no other node has
/// sent one. All nodes together read it about once a second besides: the
/// watchers may all have lost it without noticing yet.
class PolicyFeed {
public:
  struct Handlers {
    /// Called with each policy that comes into force.
    std::function<void(const TrafficPolicy &)> OnPolicyChange;
    /// Called when the store has been restored from an older copy.
    std::function<void()> OnStoreRestored;
    /// Called when the store is lost or reached again, while this node watches.
    std::function<void()> OnStoreReachable;
  };

  PolicyFeed(EventLoop &Loop, ObjectStore &Store,
             const PlatformAdapter &Adapter, EventLog &Log, Metrics &Counters,
             std::uint64_t Seed);

  void start(Handlers Callbacks);
  /// \brief Sets whether this node watches the store.
  void setWatching(bool Value);
  /// \brief Sets the number of nodes that share the reads of the store.
  void setFleetSize(std::size_t Nodes) noexcept { this->FleetSize = Nodes; }
  /// \brief Puts a policy into force if it is newer than the current one.
  ///
  /// A malformed policy is counted, logged and ignored.
  /// \param Text policy in the format of the store.
  /// \param Source origin of the policy, for metrics and the log.
  void offer(const std::string &Text, const char *Source);

  [[nodiscard]] const std::shared_ptr<const TrafficPolicy> &
  current() const noexcept {
    return this->Current;
  }
  /// \brief Returns true if this node watches the store and its last call
  ///   failed.
  [[nodiscard]] bool isStoreLost() const noexcept {
    return this->Watching && this->Failures > 0;
  }

private:
  void read();
  void watch();
  /// Schedules a read in case no other node announces a newer policy.
  /// \param FoundNewer true if the last read found one; the next one follows
  ///   soon then.
  void schedulePoll(bool FoundNewer);
  void onListing(const StoreListing &Listing);
  void onStoreState(const StoreListing &Listing);
  void readAfterPause();

  EventLoop &Loop;
  ObjectStore &Store;
  const PlatformAdapter &Adapter;
  EventLog &Log;
  Metrics &Counters;
  std::mt19937_64 Random;
  Handlers Callbacks;
  std::shared_ptr<const TrafficPolicy> Current;
  std::uint64_t StoreRevision = 0;
  std::optional<StoreEra> Era; ///< none before the first answer
  bool Watching = false;
  bool CallPending = false;
  std::size_t FleetSize = 1;
  unsigned Failures = 0; ///< calls in series that failed
  Timer NextCall;
};

} // namespace limpetdrum

#endif
