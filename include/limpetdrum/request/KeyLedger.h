#ifndef LIMPETDRUM_REQUEST_KEYLEDGER_H
#define LIMPETDRUM_REQUEST_KEYLEDGER_H

#include "limpetdrum/request/Reply.h"

#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace limpetdrum {

/// \brief One life of a node.
struct NodeIncarnation {
  NodeId Node;
  limpetdrum::Incarnation Incarnation;

  friend bool operator==(const NodeIncarnation &A, const NodeIncarnation &B) {
    return A.Node == B.Node && A.Incarnation == B.Incarnation;
  }
  friend bool operator!=(const NodeIncarnation &A, const NodeIncarnation &B) {
    return !(A == B);
  }
};

/// \brief What is remembered of one idempotency key.
struct KeyRecord {
  NodeIncarnation Holder; ///< who may have run it
  bool Settled = false;
  limpetdrum::Reply Reply; ///< the outcome, once settled
  TimePoint Expiry;
  std::uint16_t Runs = 0; ///< how often it was begun
};

/// \brief What a node remembers of idempotency keys.
///
/// Every keyed request passes two nodes: its witness, which notes to whom it
/// hands the key, and its home, which runs it. Either record alone keeps the
/// request from running again, so the loss of one node does no harm.
class KeyLedger {
public:
  enum class Verdict : std::uint8_t {
    Begin,      ///< never begun, or proven not run: the holder may begin it
    InProgress, ///< begun at the holder, and not known to have ended
    Replay,     ///< ended: give the same reply
    RetriesExhausted, ///< the client has had its retries of this key
  };
  struct Arrival {
    limpetdrum::KeyLedger::Verdict Verdict;
    NodeIncarnation Holder;  ///< for Begin and InProgress
    limpetdrum::Reply Reply; ///< for Replay
  };

  /// \param BodyBytes the most bytes of replies that are kept.
  KeyLedger(Microseconds Retention, std::size_t BodyBytes);

  /// \brief A keyed request arrives.
  /// \param Candidate who shall hold it if it begins now.
  /// \param MostRuns how often it may begin in all.
  [[nodiscard]] Arrival onArrival(const IdempotencyKey &Key,
                                  const NodeIncarnation &Candidate,
                                  std::uint16_t MostRuns, TimePoint Now);
  /// \brief The holder's outcome is known.
  void settle(const IdempotencyKey &Key, const Reply &Value);

  using RecordMap = std::unordered_map<IdempotencyKey, KeyRecord>;
  /// \brief All records, to hand over.
  [[nodiscard]] const RecordMap &records() const noexcept {
    return this->Records;
  }
  /// \brief Takes over a record; one that knows more wins.
  void adopt(const IdempotencyKey &Key, KeyRecord Value);
  [[nodiscard]] std::optional<KeyRecord> find(const IdempotencyKey &Key) const;
  void sweep(TimePoint Now);
  [[nodiscard]] std::size_t size() const noexcept {
    return this->Records.size();
  }

private:
  void keepBody(KeyRecord &Record, const Reply &Value);

  Microseconds Retention;
  std::size_t BodyBytesLeft;
  RecordMap Records;
  /// Keys stand in Records, whose elements keep their place until swept.
  std::deque<std::pair<TimePoint, const IdempotencyKey *>> Expiries;
};

} // namespace limpetdrum

#endif
