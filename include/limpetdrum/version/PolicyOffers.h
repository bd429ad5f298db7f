#ifndef LIMPETDRUM_VERSION_POLICYOFFERS_H
#define LIMPETDRUM_VERSION_POLICYOFFERS_H

#include "limpetdrum/process/Types.h"

#include <map>
#include <optional>

namespace limpetdrum {

/// \brief Decides when this node sends its traffic policy to one that has an
///   older one, or none.
///
/// Policies may be large, and every other node could send its own: each waits
/// for a time of its own, and the first one that sends spares the others that.
/// All nodes watch the store, so one that lags usually catches up by itself.
class PolicyOffers {
public:
  explicit PolicyOffers(NodeId Self);

  /// \brief Another node has told which policy it has; call it on each sign of
  ///   life.
  /// \param MineSince when this node took over its policy.
  /// \param Others how many nodes there are besides this one.
  /// \returns whether the policy is to be sent to it now.
  [[nodiscard]] bool isDue(const NodeId &To, Revision Theirs, Revision Mine,
                           TimePoint MineSince, std::size_t Others,
                           TimePoint Now);
  void forget(const NodeId &To) { this->Lagging.erase(To); }

private:
  struct Entry {
    Revision Mine; ///< the policy that the other lacks
    TimePoint Since{};
    std::optional<TimePoint> SentAt;
  };
  [[nodiscard]] Milliseconds delay(const NodeId &To, Revision Theirs,
                                   std::size_t Others) const;

  NodeId Self;
  std::map<NodeId, Entry> Lagging;
};

} // namespace limpetdrum

#endif
