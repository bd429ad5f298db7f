#ifndef LIMPETDRUM_REQUEST_ATTEMPTLEDGER_H
#define LIMPETDRUM_REQUEST_ATTEMPTLEDGER_H

#include "limpetdrum/request/Reply.h"

#include <deque>
#include <memory>
#include <unordered_map>

namespace limpetdrum {

/// \brief Attempts received by the executing node, with their replies.
///
/// Ensures that an attempt runs at most once however often it arrives, and
/// backs every "not run" reply with a tombstone that rejects later copies. An
/// attempt whose entry has expired is still rejected: callers number their
/// attempts in ascending order, and the ledger keeps the highest expired
/// sequence number of each caller.
class AttemptLedger {
public:
  enum class Verdict : std::uint8_t {
    Fresh,   ///< not seen before: admit it
    Pending, ///< queued or running: wait for its reply
    Replay,  ///< ended: send the same reply again
    Stale,   ///< its entry, or a later one's, expired: outcome unknown
  };
  struct Arrival {
    limpetdrum::AttemptLedger::Verdict Verdict;
    std::shared_ptr<const limpetdrum::Reply> Reply; ///< for Replay
  };

  /// \param Retention time for which an attempt is kept after its end.
  explicit AttemptLedger(Microseconds Retention);

  /// \brief Records the arrival of an attempt, and queues it if it is new.
  [[nodiscard]] Arrival onArrival(AttemptId Id, TimePoint Now);
  /// \brief Marks a queued attempt as running at the target.
  void dispatch(AttemptId Id);
  /// \brief Records the end of an attempt; a "not run" becomes a tombstone.
  void finish(AttemptId Id, std::shared_ptr<const Reply> Value, TimePoint Now);
  /// \brief Releases the reply of an ended attempt once the caller has it.
  ///
  /// The entry itself stays, so that copies of the attempt are still rejected.
  void discardReply(AttemptId Id);
  /// \brief Prevents an attempt from running if it has not started.
  /// \returns true if it is proven that the attempt did not and will not run.
  [[nodiscard]] bool revoke(AttemptId Id, TimePoint Now);
  /// \brief Returns true if an attempt is waiting for its target.
  /// \brief Returns true if the attempt has an entry.
  [[nodiscard]] bool contains(AttemptId Id) const {
    return this->Entries.count(Id) != 0;
  }
  [[nodiscard]] bool isQueued(AttemptId Id) const;
  [[nodiscard]] bool isRunning(AttemptId Id) const;
  /// \brief Removes the entries whose retention period has passed.
  void sweep(TimePoint Now);
  [[nodiscard]] std::size_t size() const noexcept {
    return this->Entries.size();
  }

private:
  enum class State : std::uint8_t { Queued, Running, Ended };
  struct Entry {
    limpetdrum::AttemptLedger::State State;
    std::shared_ptr<const limpetdrum::Reply> Reply;
  };
  struct Expiry {
    TimePoint Time;
    AttemptId Id;
  };

  Microseconds Retention;
  std::unordered_map<AttemptId, Entry> Entries;
  /// Highest expired sequence number of each caller.
  std::unordered_map<Incarnation, std::uint64_t> ExpiredSequences;
  std::deque<Expiry> Expiries;
};

} // namespace limpetdrum

#endif
