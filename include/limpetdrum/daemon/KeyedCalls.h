#ifndef LIMPETDRUM_DAEMON_KEYEDCALLS_H
#define LIMPETDRUM_DAEMON_KEYEDCALLS_H

#include "limpetdrum/daemon/Caller.h"
#include "limpetdrum/request/KeyHome.h"
#include "limpetdrum/request/KeyLedger.h"

#include <map>

namespace limpetdrum {

/// \brief Runs requests with an idempotency key once, at whichever nodes they
///   enter.
///
/// A keyed request passes through its witness to its home; see KeyLedger.
class KeyedCalls {
public:
  using KeyRecords = std::vector<std::pair<IdempotencyKey, KeyRecord>>;
  using SendRecords =
      std::function<void(const Member &Receiver, const KeyRecords &Records,
                         std::function<void(bool)> OnDone)>;

  KeyedCalls(const Membership &Members, ServiceDirectory &Directory,
             Executor &LocalExecutor, Caller &Calls, const InForce &Releases,
             Metrics &Counters, Clock Now);

  /// \brief Starts a keyed request that entered the fleet at this node.
  void start(CallRequest Request, ReplyCallback Done);
  /// \brief Handles an attempt, keyed or not, from a peer or this node.
  void execute(const AttemptSpec &Attempt, ReplyCallback Done);
  /// \brief Adopts records from a node that leaves or is no longer responsible
  ///   for their keys.
  void adopt(const KeyRecords &Records);

  /// \brief Sends records to the nodes that are responsible for their keys.
  /// \param OnlyReceiver if set, only this node receives records.
  /// \param OnDone called with true if all records were accepted.
  void handOver(const std::optional<NodeId> &OnlyReceiver,
                const SendRecords &Send,
                const std::function<void(bool)> &OnDone) const;
  /// \brief Sends the records that this node shared with a dead node of its
  ///   service to the nodes that replace it, so that each key has two holders
  ///   again.
  void replaceLost(const KeyCandidate &Lost, const SendRecords &Send);
  /// \brief Refuses keys without a record here from now on.
  void refuseNewKeys() noexcept { this->RefusesNewKeys = true; }
  /// \brief Removes expired records.
  void sweep();
  [[nodiscard]] std::size_t size() const noexcept { return this->Keys.size(); }

private:
  /// Returns the nodes to which the record of a key is to be sent.
  using ReceiverLookup =
      std::function<std::vector<NodeId>(const IdempotencyKey &)>;

  [[nodiscard]] std::map<NodeId, KeyRecords>
  groupByReceiver(const ReceiverLookup &FindReceivers) const;
  [[nodiscard]] std::optional<KeyNodes>
  nodesOf(const IdempotencyKey &Key, const ServiceName &Service,
          const std::vector<NodeId> &Excluded = {}) const;
  [[nodiscard]] std::optional<NodeIncarnation>
  candidateFor(const AttemptSpec &Attempt,
               const std::vector<NodeId> &Tried) const;
  [[nodiscard]] NodeIncarnation self() const;
  /// \param Tried homes that are proven not to have run the attempt.
  void handleKeyed(const AttemptSpec &Attempt, const std::vector<NodeId> &Tried,
                   ReplyCallback Done);
  /// \param IsNewRun false if a run of the key has already begun.
  void runLocally(const AttemptSpec &Attempt, bool IsNewRun,
                  ReplyCallback Done);
  void forward(const AttemptSpec &Attempt, const NodeIncarnation &Holder,
               bool IsNewRun, std::vector<NodeId> Tried, ReplyCallback Done);
  void onForwarded(const AttemptSpec &Attempt, const std::vector<NodeId> &Tried,
                   bool IsNewRun, const Reply &Value,
                   const ReplyCallback &Done);

  const Membership &Members;
  ServiceDirectory &Directory;
  Executor &LocalExecutor;
  Caller &Calls;
  const InForce &Releases;
  Metrics &Counters;
  Clock Now;
  KeyLedger Keys;
  bool RefusesNewKeys = false;
  std::unordered_map<IdempotencyKey, AttemptId> RunningLocally;
};

/// \brief Returns the key of the ledger: a client's key is scoped to its
/// organisation
///   and path.
[[nodiscard]] IdempotencyKey scopedKey(const Organisation &Owner,
                                       const std::string &Path,
                                       const std::string &ClientKey);

} // namespace limpetdrum

#endif
