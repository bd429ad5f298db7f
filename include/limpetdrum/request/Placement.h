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
  Microseconds ServiceTime{0};   ///< typical time of a run; 0 if unknown
  std::uint16_t Pace = 0; ///< percent of the usual time of work; 0 if unknown
  /// The load was read at this moment, not reported: that of the local target.
  bool IsCurrent = false;
};

/// \brief A candidate as a choice weighs it.
struct WeighedCandidate {
  PlacementCandidate Candidate;
  double Load = 0;         ///< requests as a share of the limit
  Microseconds NewsAge{0}; ///< since the load was reported
  double FailureShare = 0; ///< of this node's calls
  double Chance = 0;       ///< share of this node's requests that it gets
  /// Requests that it should have got by now, more than it has; the candidate
  /// with the most is taken.
  double Due = 0;
  bool IsTaken = false;
};

/// \brief What an operator sees of a choice.
struct PlacementSummary {
  Microseconds NewsAge{0}; ///< of the load of the node that was taken
  /// Load of the busiest candidate of the own failure domain, as a multiple of
  /// the mean of the domain; 1 if it is empty or idle.
  double Unevenness = 1;
  /// The request left the failure domain although that has candidates.
  bool LeavesDomain = false;
};

/// \brief Selects a target's node for a request.
///
/// Handles load that is uneven because what is known of it is old and many
/// nodes choose at the same moment. Each node spreads its own requests over
/// the targets in turn, in proportion to what they serve: by limit, service
/// time and pace. As each node starts elsewhere, the sum is even, whatever the
/// news. News corrects the proportion: a target that reported more load than
/// the mean gets as much less as it has too much, and the weight of the report
/// falls with its age, at the rate at which the reported requests end.
///
/// Targets in this node's failure domain are preferred while they have
/// capacity, because traffic between domains is expensive; beyond that, the
/// share that goes elsewhere rises with the load of the domain and with what
/// callers gain. A target that fails more often than its siblings gets fewer
/// requests, whatever its health check reports. This decays, so that the target
/// receives requests again gradually.
class Placement {
public:
  /// \param Seed seed of the targets at which this node starts.
  Placement(FailureDomain LocalDomain, std::uint64_t Seed);

  /// \brief Selects a node and counts a call to it as begun.
  /// \returns nothing if no candidate is left.
  [[nodiscard]] std::optional<NodeId>
  pick(const std::vector<PlacementCandidate> &Candidates,
       const std::vector<NodeId> &Excluded, TimePoint Now);
  /// \brief Returns how pick() would weigh the candidates now, and which one it
  ///   would take; changes nothing.
  /// \returns the candidates that are not excluded, in the given order.
  [[nodiscard]] std::vector<WeighedCandidate>
  explain(const std::vector<PlacementCandidate> &Candidates,
          const std::vector<NodeId> &Excluded, TimePoint Now) const;
  /// \brief Returns what was seen at the last choice.
  [[nodiscard]] const PlacementSummary &lastChoice() const noexcept {
    return this->LastChoice;
  }
  /// \brief Records the end of a call.
  void end(const NodeId &Node, CallResult Result, TimePoint Now);
  /// \brief Records that a node has reported its load, which includes the calls
  ///   in flight from this node.
  void onReport(const NodeId &Node, TimePoint Now);
  /// \brief Removes the statistics of a node.
  void remove(const NodeId &Node);

private:
  struct Stats {
    std::size_t InFlight = 0;
    std::size_t InFlightAtReport = 0;
    TimePoint ReportedAt{};
    double FailureShare = 0; ///< of calls, decays with calls and with time
    TimePoint LastEndedAt{};
    std::chrono::duration<double> ServiceTime{0}; ///< smoothed; 0 if unknown
    TimePoint ServiceTimeAt{};
    /// Requests that are due to the target: rises by its chance with each
    /// request, and falls by one with each that it gets.
    double Credit = 0;
  };
  /// A candidate with what follows from its state.
  struct Option {
    const PlacementCandidate *Candidate = nullptr;
    Stats Known; ///< after the choice, without the call to be counted
    double Limit = 1;
    double Load = 0; ///< requests as a share of the limit
    Microseconds Age{0};
    double FailureShare = 0;
    double Soundness = 1; ///< share of its limit that counts as room
    double Capacity = 0;  ///< part of the limit that is for this node's domain
    double Chance = 0;    ///< share of this node's requests
    /// Requests that it should have got by now, more than it has.
    double Due = 0;
  };
  /// Returns a candidate's state, without its chance.
  [[nodiscard]] Option option(const PlacementCandidate &Candidate,
                              TimePoint Now) const;
  /// Computes the chances of all candidates that are not excluded.
  void weigh(const std::vector<PlacementCandidate> &Candidates,
             const std::vector<NodeId> &Excluded, TimePoint Now,
             std::vector<Option> &Options) const;
  /// Returns the option to which a request is due; null if there is none.
  [[nodiscard]] static const Option *
  choose(const std::vector<Option> &Options) noexcept;
  [[nodiscard]] PlacementSummary summarize(const Option &Taken) const;
  /// Returns the failure share, decayed to the given time.
  [[nodiscard]] double failureShare(const Stats &S, TimePoint Now) const;

  FailureDomain LocalDomain;
  std::uint64_t Seed;
  std::unordered_map<NodeId, Stats> StatsByNode;
  std::vector<Option> Options; ///< of one choice; kept to allocate once
  PlacementSummary LastChoice;
};

} // namespace limpetdrum

#endif
