#ifndef LIMPETDRUM_REQUEST_PLACEMENT_H
#define LIMPETDRUM_REQUEST_PLACEMENT_H

#include "limpetdrum/request/Router.h"

namespace limpetdrum {

/// \brief A target's node as a place for a request, with its last known load.
struct PlacementCandidate {
  NodeId Node;
  limpetdrum::FailureDomain FailureDomain;
  std::uint32_t Outstanding = 0; ///< running and queued requests, as reported
  std::uint32_t Limit = 1;       ///< requests it runs at once
};

/// \brief Chooses a target's node for a request.
///
/// Answers load that is uneven between failure domains and targets of uneven
/// speed: the own failure domain is used while it has room, as bytes between
/// domains are dear, and beyond that the least loaded one. A target that fails
/// more often than its siblings counts as more loaded, whatever its status
/// check says; that fades, so it is tried again little by little.
class Placement {
public:
  /// \param Seed for the choice among equals.
  Placement(FailureDomain OwnDomain, std::uint64_t Seed);

  /// \brief Chooses a node and counts a call to it as begun.
  /// \returns nothing if no candidate is left.
  [[nodiscard]] std::optional<NodeId>
  pick(const std::vector<PlacementCandidate> &Candidates,
       const std::vector<NodeId> &Excluded, TimePoint Now);
  void end(const NodeId &Node, CallResult How, TimePoint Now);
  /// \brief A node has reported its load, the calls from here included.
  void onReport(const NodeId &Node);
  void forget(const NodeId &Node);

private:
  struct Stats {
    std::size_t InFlight = 0;
    std::size_t InFlightAtReport = 0;
    double FailureShare = 0; ///< of calls, fading with calls and with time
    TimePoint EndedAt{};
  };
  [[nodiscard]] double load(const PlacementCandidate &Of);
  [[nodiscard]] double failureShare(const Stats &Of, TimePoint Now) const;

  FailureDomain OwnDomain;
  std::mt19937_64 Random;
  std::unordered_map<NodeId, Stats> Known;
};

} // namespace limpetdrum

#endif
