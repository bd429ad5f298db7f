#ifndef LIMPETDRUM_DAEMON_KEYEDCALLS_H
#define LIMPETDRUM_DAEMON_KEYEDCALLS_H

#include "limpetdrum/daemon/Caller.h"
#include "limpetdrum/request/KeyHome.h"
#include "limpetdrum/request/KeyLedger.h"

#include <map>

namespace limpetdrum {

/// \brief Requests with an idempotency key: they run once, whoever asks.
///
/// A keyed request goes through its witness to its home; see KeyLedger.
class KeyedCalls {
public:
  using KeyRecords = std::vector<std::pair<IdempotencyKey, KeyRecord>>;
  using SendRecords =
      std::function<void(const Member &To, const KeyRecords &Records,
                         std::function<void(bool)> OnDone)>;

  KeyedCalls(const Membership &Members, ServiceDirectory &Directory,
             Executor &Own, Caller &Calls, const InForce &Releases,
             Metrics &Counters, Clock Now);

  /// \brief A keyed request enters the fleet here.
  void start(CallRequest Request, ReplyDone Done);
  /// \brief An attempt arrives, from another node or from this one.
  void execute(const AttemptSpec &Attempt, ReplyDone Done);
  /// \brief Takes over records from a node that leaves or makes room.
  void adopt(const KeyRecords &Records);

  /// \brief Gives records to the nodes that are responsible for their keys.
  /// \param OnlyTo if set, no other node.
  /// \param OnDone called with whether all of them were taken.
  void handOver(const std::optional<NodeId> &OnlyTo, const SendRecords &Send,
                const std::function<void(bool)> &OnDone) const;
  /// \brief A node of this service died: gives the records that it shared with
  ///   this one to the nodes that take its place, so that each key has two
  ///   holders again.
  void replaceLost(const KeyCandidate &Lost, const SendRecords &Send);
  /// \brief Keys that are not known here are refused from now on.
  void refuseNewKeys() noexcept { this->Refusing = true; }
  void sweep();
  [[nodiscard]] std::size_t size() const noexcept { return this->Keys.size(); }

private:
  /// The nodes that a record is to be given to.
  using Receivers = std::function<std::vector<NodeId>(const IdempotencyKey &)>;

  [[nodiscard]] std::map<NodeId, KeyRecords>
  batches(const Receivers &ReceiversOf) const;
  [[nodiscard]] std::optional<KeyNodes>
  nodesOf(const IdempotencyKey &Key, const ServiceName &Service,
          const std::vector<NodeId> &Except = {}) const;
  [[nodiscard]] std::optional<NodeIncarnation>
  candidateFor(const AttemptSpec &Attempt,
               const std::vector<NodeId> &Tried) const;
  [[nodiscard]] NodeIncarnation self() const;
  /// \param Tried homes that are proven not to have run it.
  void arriveKeyed(const AttemptSpec &Attempt, const std::vector<NodeId> &Tried,
                   ReplyDone Done);
  void runHere(const AttemptSpec &Attempt, bool Begins, ReplyDone Done);
  void forward(const AttemptSpec &Attempt, const NodeIncarnation &Holder,
               bool Begins, std::vector<NodeId> Tried, ReplyDone Done);
  void onForwarded(const AttemptSpec &Attempt, const std::vector<NodeId> &Tried,
                   bool Begins, const Reply &Value, const ReplyDone &Done);

  const Membership &Members;
  ServiceDirectory &Directory;
  Executor &Own;
  Caller &Calls;
  const InForce &Releases;
  Metrics &Counters;
  Clock Now;
  KeyLedger Keys;
  bool Refusing = false;
  std::unordered_map<IdempotencyKey, AttemptId> RunningHere;
};

/// \brief The key that is kept: a client's key counts for a tenant and path.
[[nodiscard]] IdempotencyKey scopedKey(const Tenant &Owner,
                                       const std::string &Path,
                                       const std::string &ClientKey);

} // namespace limpetdrum

#endif
