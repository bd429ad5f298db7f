#ifndef LIMPETDRUM_DAEMON_CALLS_TARGETSELECTOR_H
#define LIMPETDRUM_DAEMON_CALLS_TARGETSELECTOR_H

#include "limpetdrum/daemon/calls/LocalTarget.h"
#include "limpetdrum/daemon/fleet/Mesh.h"
#include "limpetdrum/request/Placement.h"

namespace limpetdrum {

/// \brief Selects the node whose target gets a request, among the linked nodes
///   and the local one; links to a further node if none of them can take it.
class TargetSelector {
public:
  struct Options {
    NodeId Node;
    limpetdrum::FailureDomain FailureDomain;
    std::uint64_t Seed = 1;
    /// Returns a node of a service that this one is not linked to, except the
    /// given ones.
    std::function<std::optional<Contact>(const ServiceName &,
                                         const std::vector<NodeId> &)>
        FindUnlinkedNode;
  };
  /// \brief What a request asks for.
  struct Query {
    const std::string &RequestId; ///< for the log
    const ServiceName &Service;
    const std::vector<NodeId> &Excluded; ///< nodes that it was sent to
  };

  TargetSelector(Options Config, EventLoop &Loop, Mesh &Peers,
                 const LocalTarget &Local, EventLog &Log, Metrics &Counters);

  /// \brief Selects a node and counts a call to it as begun.
  /// \returns nothing if no node can take the request.
  [[nodiscard]] std::optional<NodeId> select(const Query &Request);
  /// \brief Selects the node at whose target a suspected request is tried.
  /// \returns nothing if no linked node that it was not sent to is ready.
  [[nodiscard]] std::optional<NodeId>
  selectForTrial(const Query &Request, RequestFingerprint Fingerprint);
  /// \brief Counts a further call to a node as begun, if the node is still a
  ///   candidate.
  /// \returns false if it is not.
  [[nodiscard]] bool selectAgain(const NodeId &Node,
                                 const ServiceName &Service);
  /// \brief Returns how the nodes of a service would be weighed for a request
  ///   now, and which one would be taken; changes nothing. Empty if select()
  ///   would link to a further node, or find none.
  [[nodiscard]] std::vector<WeighedCandidate>
  explain(const ServiceName &Service,
          const std::vector<NodeId> &Excluded) const;
  /// \brief Returns true if a node has not been sent the request yet.
  [[nodiscard]] bool hasUntriedNode(const Query &Request) const;
  /// \brief Records the end of a call.
  void end(const NodeId &Node, CallResult Result);
  /// \brief Returns the last known target of a node; null if the node is not
  ///   linked yet.
  [[nodiscard]] const TargetRecord *target(const NodeId &Node) const;
  /// \brief Handles a new status of another node.
  void onPeerStatus(const NodeId &Node);
  /// \brief Discards what was observed of a node that is no longer linked.
  void onPeerRemoved(const NodeId &Node);

private:
  /// Nodes of a service that this one is linked to.
  struct Candidates {
    std::vector<PlacementCandidate> Ready;
    /// Used only if no other node is ready: nodes that do not respond, or else
    /// targets that are leaving but still serve requests for a short time.
    std::vector<PlacementCandidate> Fallback;
    [[nodiscard]] const std::vector<PlacementCandidate> &best() const noexcept {
      return this->Ready.empty() ? this->Fallback : this->Ready;
    }
  };
  /// Counts a choice, and the age of the news that it was made from.
  void countChoice(const Query &Request);
  [[nodiscard]] Candidates candidates(const ServiceName &Service) const;

  Options Config;
  EventLoop &Loop;
  Mesh &Peers;
  const LocalTarget &Local;
  EventLog &Log;
  Metrics &Counters;
  Placement NodePlacement;
};

} // namespace limpetdrum

#endif
