#ifndef LIMPETDRUM_REQUEST_ROUTER_H
#define LIMPETDRUM_REQUEST_ROUTER_H

#include "limpetdrum/process/Types.h"

#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace limpetdrum {

/// \brief A node that may serve a request.
struct RouteCandidate {
  NodeId Node;
  limpetdrum::FailureDomain FailureDomain;
  limpetdrum::Region Region;
};

/// \brief Result of a call to a node, as far as it matters for routing.
enum class CallResult : std::uint8_t {
  Served,
  Refused, ///< the node shed the call, which is not a sign of a fault
  Failed,  ///< connection lost, answer unusable, or timed out
};

/// \brief Selects nodes by measurements that this node has made itself.
///
/// Takes two candidates at random and selects the one with the lower product of
/// calls in flight and latency, weighted by distance. A node that fails several
/// times in a row is ejected for a time that doubles with each ejection;
/// afterwards it receives one call at a time until one succeeds.
class Router {
public:
  /// \param Seed seed for the random choice of candidates.
  Router(limpetdrum::FailureDomain LocalDomain, limpetdrum::Region LocalRegion,
         std::uint64_t Seed);

  /// \brief Selects a node and counts a call to it as begun.
  /// \param Excluded the nodes that this request has tried.
  /// \returns nothing if no candidate is left.
  [[nodiscard]] std::optional<NodeId>
  pick(const std::vector<RouteCandidate> &Candidates,
       const std::vector<NodeId> &Excluded, TimePoint Now);
  /// \brief Counts a call as begun at a node that was not selected by pick().
  void begin(const NodeId &Node);
  /// \brief Records the end of a call.
  /// \param Latency used only if the call was served.
  void end(const NodeId &Node, CallResult Result, Microseconds Latency,
           TimePoint Now);
  /// \brief Removes the statistics of a node that has left.
  void remove(const NodeId &Node);
  /// \brief Returns true if the node must not receive a call now: it is ejected
  ///   or is still handling its single call after an ejection.
  [[nodiscard]] bool isEjected(const NodeId &Node, TimePoint Now) const;

private:
  struct Stats {
    std::size_t InFlight = 0;
    double Latency = 0; ///< microseconds, smoothed; 0 if not measured
    unsigned Failures = 0;
    unsigned Ejections = 0;
    TimePoint EjectedUntil{};
  };

  [[nodiscard]] double cost(const RouteCandidate &Candidate);
  [[nodiscard]] bool usable(const NodeId &Node, TimePoint Now) const;

  FailureDomain LocalDomain;
  Region LocalRegion;
  std::mt19937_64 Random;
  std::unordered_map<NodeId, Stats> StatsByNode;
};

/// \brief Returns at most \p MaxCount candidates, which bounds the number of
///   nodes that one node calls: the nearest first, then by hash.
[[nodiscard]] std::vector<RouteCandidate>
subset(std::vector<RouteCandidate> Candidates, const NodeId &Self,
       const FailureDomain &LocalDomain, const Region &LocalRegion,
       std::size_t MaxCount);

} // namespace limpetdrum

#endif
