#ifndef LIMPETDRUM_DAEMON_FLEET_DEPARTUREARCHIVE_H
#define LIMPETDRUM_DAEMON_FLEET_DEPARTUREARCHIVE_H

#include "limpetdrum/connection/EventLoop.h"
#include "limpetdrum/connection/ObjectStore.h"
#include "limpetdrum/process/EventLog.h"
#include "limpetdrum/process/Metrics.h"
#include "limpetdrum/process/NodeStatus.h"

#include <map>
#include <optional>
#include <vector>

namespace limpetdrum {

/// \brief A target that reported that it is leaving, or that it has left.
struct Departure {
  /// Its record; with nothing but the id and the state if no report of it was
  /// received.
  TargetRecord Target;
  std::int64_t At = 0; ///< Unix time in milliseconds
};

/// \brief Keeps which targets of a node are leaving in the object store, for
///   the case that all nodes that know it end at once.
///
/// After that, a report of before the leave that arrives late would be taken
/// for news. A node that restarts alone also learns of a leave from the others.
class DepartureArchive {
public:
  using OnRead = std::function<void(const std::vector<Departure> &)>;
  using OnWritten = std::function<void(bool IsStored)>;

  /// \param Self name of the node whose targets it keeps.
  /// \param UnixMillis returns the time of day in milliseconds since the Unix
  ///   epoch.
  DepartureArchive(EventLoop &Loop, ObjectStore &Store, NodeId Self,
                   EventLog &Log, Metrics &Counters,
                   std::function<std::int64_t()> UnixMillis);

  /// \brief Reads what earlier processes of this node wrote, until the store
  ///   answers.
  /// \param Done called once.
  void read(OnRead Done);
  /// \brief Returns true once the store has been read, or if there is nothing
  ///   to read.
  [[nodiscard]] bool isRead() const noexcept { return this->IsRead; }
  /// \brief States that no earlier process of this node has run.
  void skipReading() noexcept { this->IsRead = true; }
  /// \brief Stores a departure, and tries again until it is stored.
  ///
  /// It waits while the departures of earlier processes are being read, as a
  /// write replaces them.
  /// \param Done called when it is stored, or with false after 500 ms without:
  ///   the target waits no longer than a second, and must not be told that its
  ///   leave is known while it can be forgotten. The target reports it again.
  void write(const TargetRecord &Target, OnWritten Done);
  /// \brief Writes again what was stored in the last minute, as the store may
  ///   have lost it: it has been restored from a copy, or it cannot be reached,
  ///   as before such a restoration.
  void onStoreDoubtful();
  /// \brief Removes the departures of nodes that may be gone, once they are so
  ///   old that no report of before them can arrive.
  void removeOld();

private:
  struct Waiter {
    OnWritten Done;
    Timer Limit;
  };

  [[nodiscard]] std::vector<Departure> decode(const StoredObject &Object) const;
  [[nodiscard]] bool isOld(const Departure &Value) const;
  [[nodiscard]] std::string encode() const;
  void storeIfNeeded();
  void store();
  void onStored(std::uint64_t Version, StoreOutcome Outcome);
  /// Ends the wait of a report for which the store takes too long.
  void onWaitedTooLong(std::uint64_t Number);
  void callWaiting();

  EventLoop &Loop;
  ObjectStore &Store;
  NodeId Self;
  EventLog &Log;
  Metrics &Counters;
  std::function<std::int64_t()> UnixMillis;
  bool IsRead = false;
  bool IsReading = false;
  std::vector<Departure> Known; ///< the latest last
  std::uint64_t Version = 0;    ///< of Known
  std::uint64_t StoredVersion = 0;
  /// Time at which it was last stored, or read by this process.
  std::optional<TimePoint> StoredAt;
  bool IsStoring = false;
  /// Those that wait until the current version is stored, in order.
  std::map<std::uint64_t, Waiter> Waiting;
  std::uint64_t LastWaiter = 0;
  Timer ReadTimer;
  Timer RetryTimer;
};

} // namespace limpetdrum

#endif
