#ifndef LIMPETDRUM_REQUEST_ATTEMPTLEDGER_H
#define LIMPETDRUM_REQUEST_ATTEMPTLEDGER_H

#include "limpetdrum/request/Reply.h"

#include <deque>
#include <memory>
#include <unordered_map>

namespace limpetdrum {

/// \brief What the executing node remembers of attempts.
///
/// It makes an attempt run at most once however often it arrives, and stands
/// behind every "not run" with a tombstone. What is forgotten stays refused:
/// for each caller the highest forgotten sequence is kept, and callers number
/// their attempts upwards.
class AttemptLedger {
public:
  enum class Verdict : std::uint8_t {
    Fresh,   ///< not seen before: admit it
    Pending, ///< queued or running: wait for its reply
    Replay,  ///< it has ended: give the same reply
    Stale,   ///< seen and forgotten, or older: the outcome is unknown
  };
  struct Arrival {
    limpetdrum::AttemptLedger::Verdict Verdict;
    std::shared_ptr<const limpetdrum::Reply> Reply; ///< for Replay
  };

  explicit AttemptLedger(Microseconds Retention);

  [[nodiscard]] Arrival onArrival(AttemptId Id, TimePoint Now);
  /// \brief The attempt is handed to the target.
  void dispatch(AttemptId Id);
  /// \brief The attempt has ended; a "not run" becomes a tombstone.
  void finish(AttemptId Id, std::shared_ptr<const Reply> Value, TimePoint Now);
  /// \brief The caller has the reply: only that it ended is kept.
  void discardReply(AttemptId Id);
  /// \brief Makes sure that an attempt which has not begun never runs.
  /// \returns whether it is proven that it did not and will not run.
  [[nodiscard]] bool revoke(AttemptId Id, TimePoint Now);
  /// \brief Whether an attempt waits for its target.
  [[nodiscard]] bool isQueued(AttemptId Id) const;
  [[nodiscard]] bool isRunning(AttemptId Id) const;
  /// \brief Forgets what has been kept long enough.
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
    TimePoint At;
    AttemptId Id;
  };

  Microseconds Retention;
  std::unordered_map<AttemptId, Entry> Entries;
  std::unordered_map<Incarnation, std::uint64_t> Forgotten;
  std::deque<Expiry> Expiries;
};

} // namespace limpetdrum

#endif
