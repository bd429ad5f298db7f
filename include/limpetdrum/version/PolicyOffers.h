#ifndef LIMPETDRUM_VERSION_POLICYOFFERS_H
#define LIMPETDRUM_VERSION_POLICYOFFERS_H

#include "limpetdrum/process/Types.h"

#include <map>
#include <optional>

namespace limpetdrum {

/// \brief Decides when this node sends its traffic policy to a node that has an
///   older policy or none.
///
/// Policies may be large, and every other node could send a copy. Each node
/// therefore delays its offer by a different time, and an offer becomes
/// unnecessary once another one has arrived. All nodes watch the store, so a
/// lagging node usually catches up without any offer.
class PolicyOffers {
public:
  explicit PolicyOffers(NodeId Self);

  /// \brief Records the policy of another node; to be called whenever that node
  ///   reports it.
  /// \param LocalSince the time at which this node put its policy in force.
  /// \param OtherNodes the number of nodes besides this one.
  /// \returns true if the policy is to be sent to \p Receiver now.
  [[nodiscard]] bool isDue(const NodeId &Receiver, Revision ReceiverPolicy,
                           Revision LocalPolicy, TimePoint LocalSince,
                           std::size_t OtherNodes, TimePoint Now);
  /// \brief Removes the state kept for a node.
  void remove(const NodeId &Receiver) { this->Lagging.erase(Receiver); }

private:
  struct Entry {
    Revision Policy; ///< the policy that the other node lacks
    TimePoint Since{};
    std::optional<TimePoint> SentAt;
  };
  [[nodiscard]] Milliseconds delay(const NodeId &Receiver,
                                   Revision ReceiverPolicy,
                                   std::size_t OtherNodes) const;

  NodeId Self;
  std::map<NodeId, Entry> Lagging;
};

} // namespace limpetdrum

#endif
