#ifndef LIMPETDRUM_DAEMON_FLEET_CRASHARCHIVE_H
#define LIMPETDRUM_DAEMON_FLEET_CRASHARCHIVE_H

#include "limpetdrum/connection/EventLoop.h"
#include "limpetdrum/connection/ObjectStore.h"
#include "limpetdrum/process/EventLog.h"
#include "limpetdrum/request/CrashHistory.h"

#include <functional>
#include <map>

namespace limpetdrum {

/// \brief Keeps the requests that are proven to crash targets in the object
///   store, for the case that the whole fleet restarts at once.
///
/// A node that restarts alone learns of them from the others. Calls that fail
/// are repeated.
class CrashArchive {
public:
  using OnRead = std::function<void(const CrashNews &)>;

  /// \param UnixMillis returns the time of day in milliseconds since the Unix
  ///   epoch.
  CrashArchive(EventLoop &Loop, ObjectStore &Store, EventLog &Log,
               std::function<std::int64_t()> UnixMillis);

  /// \brief Reads what earlier processes of the fleet have proven.
  /// \param Done called once, when the list has been read.
  void read(OnRead Done);
  /// \brief Stores a request under which a target has just ended.
  void write(RequestFingerprint Request);

private:
  struct StoredProof {
    RequestFingerprint Request;
    Milliseconds Age{0};
  };

  /// \throws ValueError if the object is malformed.
  [[nodiscard]] StoredProof decode(const StoredObject &Object) const;
  void onListing(const StoreListing &Listing, const OnRead &Done);
  void store(const StoredObject &Object);
  void remove(const std::string &Name);

  EventLoop &Loop;
  ObjectStore &Store;
  EventLog &Log;
  std::function<std::int64_t()> UnixMillis;
  Timer ReadTimer;
  Timer WriteTimer;
  /// Objects whose writes have failed, by name.
  std::map<std::string, StoredObject> Unwritten;
};

} // namespace limpetdrum

#endif
