#ifndef LIMPETDRUM_REQUEST_KEYLEDGER_H
#define LIMPETDRUM_REQUEST_KEYLEDGER_H

#include "limpetdrum/request/Reply.h"

#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace limpetdrum {

/// \brief One incarnation of a node: the period from one start of its process
///   to the next.
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

/// \brief State of one idempotency key.
struct KeyRecord {
  NodeIncarnation Holder; ///< the node incarnation that may have run it
  bool Settled = false;
  limpetdrum::Reply Reply; ///< the outcome, once settled
  TimePoint Expiry;
  std::uint16_t Runs = 0; ///< number of runs begun
};

/// \brief Records of the idempotency keys that pass through a node.
///
/// Every keyed request passes through two nodes: its witness, which records
/// the holder to which it forwards the key, and its home, which runs it. Either
/// record alone prevents a second run, so the key stays protected when one of
/// the nodes is lost.
class KeyLedger {
public:
  enum class Verdict : std::uint8_t {
    Begin,            ///< never begun, or proven not run: the holder may run it
    InProgress,       ///< begun at the holder, and not known to have ended
    Replay,           ///< ended: send the same reply again
    RetriesExhausted, ///< the client has used all runs allowed for this key
  };
  struct Arrival {
    limpetdrum::KeyLedger::Verdict Verdict;
    NodeIncarnation Holder;  ///< for Begin and InProgress
    limpetdrum::Reply Reply; ///< for Replay
  };

  /// \param Retention time for which a key is kept after its first arrival.
  /// \param BodyBytes maximum total size of the reply bodies kept, in bytes.
  KeyLedger(Microseconds Retention, std::size_t BodyBytes);

  /// \brief Records the arrival of a keyed request.
  /// \param Candidate the holder if the request begins now.
  /// \param MaxRuns maximum number of runs begun for the key.
  [[nodiscard]] Arrival onArrival(const IdempotencyKey &Key,
                                  const NodeIncarnation &Candidate,
                                  std::uint16_t MaxRuns, TimePoint Now);
  /// \brief Records the outcome at the holder; the first one stays.
  void settle(const IdempotencyKey &Key, const Reply &Value);

  using RecordMap = std::unordered_map<IdempotencyKey, KeyRecord>;
  /// \brief Returns all records, for handing them over to other nodes.
  [[nodiscard]] const RecordMap &records() const noexcept {
    return this->Records;
  }
  /// \brief Adopts a record from another node, unless the existing one is at
  ///   least as strong evidence that the key has run.
  void adopt(const IdempotencyKey &Key, KeyRecord Value);
  [[nodiscard]] std::optional<KeyRecord> find(const IdempotencyKey &Key) const;
  /// \brief Removes the records whose retention period has passed.
  void sweep(TimePoint Now);
  [[nodiscard]] std::size_t size() const noexcept {
    return this->Records.size();
  }

private:
  /// \brief Stores a reply, without its body and with status 410 (Gone) if the
  ///   body does not fit in the remaining space.
  void storeReply(KeyRecord &Record, const Reply &Value);

  Microseconds Retention;
  std::size_t RemainingBodyBytes;
  RecordMap Records;
  /// Points to keys in Records, whose elements keep their address until swept.
  std::deque<std::pair<TimePoint, const IdempotencyKey *>> Expiries;
};

} // namespace limpetdrum

#endif
