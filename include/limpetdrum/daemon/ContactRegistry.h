#ifndef LIMPETDRUM_DAEMON_CONTACTREGISTRY_H
#define LIMPETDRUM_DAEMON_CONTACTREGISTRY_H

#include "limpetdrum/connection/EventLoop.h"
#include "limpetdrum/connection/ObjectStore.h"
#include "limpetdrum/process/EventLog.h"
#include "limpetdrum/process/NodeStatus.h"

#include <random>

namespace limpetdrum {

/// \brief How nodes find each other: one stored object for each.
///
/// A node writes its own object if it is missing or wrong and then reads the
/// list, so of two that start together at least one sees the other, and the
/// link between them tells both.
class ContactRegistry {
public:
  ContactRegistry(EventLoop &Loop, ObjectStore &Store, Contact Self,
                  EventLog &Log, std::uint64_t Seed);

  /// \param OnFound called with each node of the list, also known ones.
  void start(std::function<void(const Contact &)> OnFound);
  /// \brief Takes the own object out; the node does not come back.
  void unregister();
  [[nodiscard]] bool hasReadContacts() const noexcept { return this->Listed; }

private:
  void list(bool AllowStale);
  void onListing(const StoreListing &Listing);
  void write();
  void retry();

  EventLoop &Loop;
  ObjectStore &Store;
  Contact Self;
  EventLog &Log;
  std::mt19937_64 Random;
  std::function<void(const Contact &)> OnFound;
  bool Listed = false;
  bool Written = false;
  unsigned Failures = 0;
  Timer Pause;
};

} // namespace limpetdrum

#endif
