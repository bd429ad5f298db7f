#ifndef LIMPETDRUM_DAEMON_POLICYFEED_H
#define LIMPETDRUM_DAEMON_POLICYFEED_H

#include "limpetdrum/connection/EventLoop.h"
#include "limpetdrum/connection/ObjectStore.h"
#include "limpetdrum/daemon/PlatformAdapter.h"
#include "limpetdrum/process/EventLog.h"
#include "limpetdrum/process/Metrics.h"

#include <random>

namespace limpetdrum {

/// \brief Keeps the newest traffic policy in force; its version only rises.
///
/// Watches the store and accepts policies that other nodes offer, so that a
/// policy arrives although the store is unreachable.
class PolicyFeed {
public:
  PolicyFeed(EventLoop &Loop, ObjectStore &Store,
             const PlatformAdapter &Adapter, EventLog &Log, Metrics &Counters,
             std::uint64_t Seed);

  /// \brief Starts to read and watch the store.
  /// \param Action called with each policy that comes into force.
  void start(std::function<void(const TrafficPolicy &)> Action);
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
  [[nodiscard]] bool isStoreReached() const noexcept {
    return this->StoreReached;
  }

private:
  void read();
  void watch();
  void onListing(const StoreListing &Listing);
  void onStoreState(StoreOutcome Outcome);
  void retry();

  EventLoop &Loop;
  ObjectStore &Store;
  const PlatformAdapter &Adapter;
  EventLog &Log;
  Metrics &Counters;
  std::mt19937_64 Random;
  std::function<void(const TrafficPolicy &)> OnPolicyChange;
  std::shared_ptr<const TrafficPolicy> Current;
  std::uint64_t StoreRevision = 0;
  bool StoreReached = false;
  unsigned Failures = 0;
  Timer RetryTimer;
};

} // namespace limpetdrum

#endif
