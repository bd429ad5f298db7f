#ifndef LIMPETDRUM_DAEMON_FLEET_CONTACTREGISTRY_H
#define LIMPETDRUM_DAEMON_FLEET_CONTACTREGISTRY_H

#include "limpetdrum/connection/EventLoop.h"
#include "limpetdrum/connection/ObjectStore.h"
#include "limpetdrum/process/EventLog.h"
#include "limpetdrum/process/Membership.h"

#include <functional>
#include <optional>
#include <random>

namespace limpetdrum {

/// \brief Discovery of nodes through one object for each in the object store.
///
/// A node reads the list once, when it starts, and writes its own object if it
/// is missing or wrong. From then on, gossip adds and removes nodes.
class ContactRegistry {
public:
  /// \brief Start of the node, which determines what the store already holds.
  enum class Start : std::uint8_t {
    WithFleet, ///< all nodes start together; the store holds none of them
    Alone,     ///< the other nodes are running
  };
  struct Handlers {
    /// Called with all other nodes of a list, also with known ones.
    std::function<void(const std::vector<Member> &)> OnFound;
    /// Returns true if this node reads the list again from time to time, so
    /// that parts of the fleet that have lost each other meet again.
    std::function<bool()> MayRefresh;
  };

  ContactRegistry(EventLoop &Loop, ObjectStore &Store, Member Self,
                  EventLog &Log, std::uint64_t Seed);

  /// \brief Registers this node and reads the other contacts.
  void start(Start Kind, Handlers Callbacks);
  /// \brief Writes the contact of this node again if the store, which was
  ///   restored from a copy, may have lost it.
  void onStoreRestored();
  /// \brief Removes the object of this node, which leaves for good.
  void unregister();
  /// \brief Returns true once a list that contains this node has been read.
  [[nodiscard]] bool hasReadContacts() const noexcept {
    return this->ContactsRead;
  }

private:
  void list(bool AllowStale);
  void onListing(const StoreListing &Listing, bool IsStale);
  void write();
  void listAfter(Milliseconds Delay, bool AllowStale);
  void scheduleRefresh();
  [[nodiscard]] Timer retryAfterPause(std::function<void()> Action);
  [[nodiscard]] Milliseconds jitter(Milliseconds Span);

  EventLoop &Loop;
  ObjectStore &Store;
  Member Self;
  EventLog &Log;
  std::mt19937_64 Random;
  Handlers Callbacks;
  bool ContactsRead = false;
  std::optional<TimePoint> WrittenAt;
  unsigned StaleLists = 0; ///< read without this node in them
  unsigned Failures = 0;
  Timer ListTimer;
  Timer WriteTimer;
};

} // namespace limpetdrum

#endif
