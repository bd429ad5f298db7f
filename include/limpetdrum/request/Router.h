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

/// \brief How a call to a node ended, as far as routing cares.
enum class CallResult : std::uint8_t {
  Served,
  Refused, ///< it shed the call: the node is well
  Failed,  ///< lost, broken or timed out
};

/// \brief Chooses nodes by what this node itself has measured.
///
/// The better of two chosen at random, by calls in flight times latency, with
/// a handicap for distance. A node that fails several times in a row is left
/// out for a time that doubles, and returns with one call at a time.
class Router {
public:
  /// \param Seed for the choices.
  Router(limpetdrum::FailureDomain OwnDomain, limpetdrum::Region OwnRegion,
         std::uint64_t Seed);

  /// \brief Chooses a node and counts a call to it as begun.
  /// \param Excluded the nodes that this request has tried.
  /// \returns nothing if no candidate is left.
  [[nodiscard]] std::optional<NodeId>
  pick(const std::vector<RouteCandidate> &Candidates,
       const std::vector<NodeId> &Excluded, TimePoint Now);
  /// \brief Counts a call as begun at a node that was chosen otherwise.
  void begin(const NodeId &Node);
  void end(const NodeId &Node, CallResult How, Microseconds Latency,
           TimePoint Now);
  /// \brief Forgets a node that has left.
  void forget(const NodeId &Node);
  [[nodiscard]] bool isEjected(const NodeId &Node, TimePoint Now) const;

private:
  struct Stats {
    std::size_t InFlight = 0;
    double Latency = 0; ///< microseconds, smoothed
    unsigned Failures = 0;
    unsigned Ejections = 0;
    TimePoint EjectedUntil{};
  };

  [[nodiscard]] double cost(const RouteCandidate &Candidate);
  [[nodiscard]] bool usable(const NodeId &Node, TimePoint Now) const;

  FailureDomain OwnDomain;
  Region OwnRegion;
  std::mt19937_64 Random;
  std::unordered_map<NodeId, Stats> Known;
};

/// \brief Bounds the nodes that one node calls: nearest first, then by hash.
[[nodiscard]] std::vector<RouteCandidate>
subset(std::vector<RouteCandidate> Candidates, const NodeId &Self,
       const FailureDomain &OwnDomain, const Region &OwnRegion,
       std::size_t Most);

} // namespace limpetdrum

#endif
