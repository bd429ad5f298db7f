#ifndef LIMPETDRUM_REQUEST_PLACEMENT_H
#define LIMPETDRUM_REQUEST_PLACEMENT_H

#include "limpetdrum/request/Router.h"

namespace limpetdrum {

/// \brief A target's node that may receive a request, with its last known load.
struct PlacementCandidate {
  NodeId Node;
  limpetdrum::FailureDomain FailureDomain;
  std::uint32_t Outstanding = 0; ///< running and queued requests, as reported
  std::uint32_t Limit = 1;       ///< requests that it runs concurrently
};

/// \brief Selects a target's node for a request.
///
/// Handles load that is uneven between failure domains and targets that differ
/// in speed. Targets in this node's failure domain are preferred while they
/// have capacity, because traffic between domains is expensive; beyond that the
/// least loaded target is used. A target that fails more often than its
/// siblings counts as more loaded, whatever its health check reports. This
/// penalty decays, so that the target receives requests again gradually.
class Placement {
public:
  /// \param Seed seed for the random choice among equal candidates.
  Placement(FailureDomain LocalDomain, std::uint64_t Seed);

  /// \brief Selects a node and counts a call to it as begun.
  /// \returns nothing if no candidate is left.
  [[nodiscard]] std::optional<NodeId>
  pick(const std::vector<PlacementCandidate> &Candidates,
       const std::vector<NodeId> &Excluded, TimePoint Now);
  /// \brief Records the end of a call.
  void end(const NodeId &Node, CallResult Result, TimePoint Now);
  /// \brief Records that a node has reported its load, which includes the calls
  ///   in flight from this node.
  void onReport(const NodeId &Node);
  /// \brief Removes the statistics of a node.
  void remove(const NodeId &Node);

private:
  struct Stats {
    std::size_t InFlight = 0;
    std::size_t InFlightAtReport = 0;
    double FailureShare = 0; ///< of calls, decays with calls and with time
    TimePoint LastEndedAt{};
  };
  [[nodiscard]] double load(const PlacementCandidate &Candidate);
  /// \brief Returns the failure share, decayed to the given time.
  [[nodiscard]] double failureShare(const Stats &S, TimePoint Now) const;

  FailureDomain LocalDomain;
  std::mt19937_64 Random;
  std::unordered_map<NodeId, Stats> StatsByNode;
};

} // namespace limpetdrum

#endif
