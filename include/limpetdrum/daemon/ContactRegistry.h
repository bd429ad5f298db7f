#ifndef LIMPETDRUM_DAEMON_CONTACTREGISTRY_H
#define LIMPETDRUM_DAEMON_CONTACTREGISTRY_H

#include "limpetdrum/connection/EventLoop.h"
#include "limpetdrum/connection/ObjectStore.h"
#include "limpetdrum/process/EventLog.h"
#include "limpetdrum/process/NodeStatus.h"

#include <random>

namespace limpetdrum {

/// \brief Discovery of nodes through one object for each in the object store.
///
/// A node writes its own object if it is missing or wrong and then reads the
/// list. Of two nodes that start at the same time, at least one finds the
/// other, and the link between them makes each known to the other.
class ContactRegistry {
public:
  ContactRegistry(EventLoop &Loop, ObjectStore &Store, Contact Self,
                  EventLog &Log, std::uint64_t Seed);

  /// \brief Registers this node and starts to read the contacts periodically.
  /// \param Action called with each other node of a list, also with known ones.
  void start(std::function<void(const Contact &)> Action);
  /// \brief Removes the object of this node, which leaves for good.
  void unregister();
  [[nodiscard]] bool hasReadContacts() const noexcept {
    return this->ContactsRead;
  }

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
  bool ContactsRead = false;
  bool ContactWritten = false;
  unsigned Failures = 0;
  Timer ListTimer;
};

} // namespace limpetdrum

#endif
