#ifndef LIMPETDRUM_DAEMON_FLEET_MESH_H
#define LIMPETDRUM_DAEMON_FLEET_MESH_H

#include "limpetdrum/connection/Liveness.h"
#include "limpetdrum/daemon/fleet/IncomingLinks.h"
#include "limpetdrum/daemon/fleet/PendingCalls.h"
#include "limpetdrum/process/EventLog.h"
#include "limpetdrum/process/Metrics.h"
#include "limpetdrum/version/PolicyRequests.h"

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace limpetdrum {

/// \brief Links to the nodes that this one calls, their last known states, and
///   calls to them.
///
/// Which nodes these are is decided by the owner. Other nodes may be linked to
/// this one without being called by it.
///
/// A silent link is replaced while its calls are pending. A call that is sent
/// again over the new link is attached to its running attempt by the executing
/// node. A call is bound to the incarnation that it was first sent to.
class Mesh {
public:
  using Done = PendingCalls::Done;

  struct Peer {
    limpetdrum::Contact Contact;
    std::optional<NodeStatus> Status; ///< last received
    bool IsReachable = false;         ///< a link is up and not silent
    /// The node has pending calls and has not answered a probe.
    bool IsSuspect = false;
    TimePoint LastReceivedAt{};
  };

  struct Handlers {
    std::function<void(const NodeId &From, Incarnation Caller, MeshAttempt)>
        OnAttempt;
    /// Returns true if the attempt is known, so that its body is not needed.
    std::function<bool(Incarnation Caller, std::uint64_t Call)> IsKnown;
    std::function<void(Incarnation Caller, std::uint64_t Call)> OnCancel;
    std::function<void(Incarnation Caller, std::uint64_t Call)> OnAcknowledged;
    std::function<void(const NodeId &From)> OnStatus;
    /// Called when the link to a node has been closed for good.
    std::function<void(const NodeId &Node)> OnRemoved;
    std::function<void(MeshUsage)> OnUsage;
    std::function<void(const MeshOrganisationUsage &)> OnOrganisationUsage;
    std::function<void(const std::string &Text)> OnPolicy;
    std::function<void(const CrashNews &)> OnCrashNews;
    /// Returns what a newly linked node has to know of crashing requests.
    std::function<CrashNews()> KnownCrashes;
    /// Called with the record of the local target that another node holds.
    std::function<void(const TargetRecord &)> OnRecordFromPeer;
    /// Returns the status of this node.
    std::function<NodeStatus()> LocalStatus;
    /// Returns the text of the traffic policy in force at this node.
    std::function<std::string()> PolicyText;
  };

  Mesh(EventLoop &Loop, Contact Self, Incarnation Current, EventLog &Log,
       Metrics &Counters, LinkMemory Memory = {});
  ~Mesh();
  Mesh(const Mesh &) = delete;
  Mesh &operator=(const Mesh &) = delete;

  /// \brief Starts to accept links, and to send the status of this node over
  ///   them.
  /// \param Listen address at which links from other nodes are accepted.
  /// \throws NetworkError if the address cannot be bound.
  void start(Handlers Callbacks, Endpoint Listen);

  /// \brief Keeps a link to a node from now on.
  ///
  /// Ignores this node, a known contact, and an address that a connected node
  /// already uses.
  void add(const Contact &NewContact);
  /// \brief Connects to an added node at once if there is no connection to it,
  ///   without waiting for the retry pause.
  void retry(const NodeId &Node);
  /// \brief Closes the link to a node once its pending calls have ended.
  void remove(const NodeId &Node);
  [[nodiscard]] const std::map<NodeId, Peer> &peers() const noexcept {
    return this->Peers;
  }

  /// \brief Sends an attempt to a node, as soon as there is a link to it.
  ///
  /// An attempt without a target id is sent to the target that the node has
  /// when the link is established, if that target is ready.
  /// \param OnResult called with the final result, and before that each time
  ///   the node becomes suspected.
  /// \returns the number of the call, for cancel().
  std::uint64_t call(const NodeId &Node, MeshAttempt Attempt, Done OnResult);
  /// \brief Cancels a call; its callback is not called.
  void cancel(const NodeId &Node, std::uint64_t Number);
  /// \brief Sends a reply to the node that made the call.
  /// \returns false if there is no link from it; it sends the call again.
  bool reply(Incarnation Caller, std::uint64_t Call, const Reply &Value);
  /// \brief Returns true if replies or other frames for nodes that are linked
  ///   to this one wait to be written.
  [[nodiscard]] bool hasUnsentReplies() const;
  /// \brief Sends a changed status of this node to all nodes, without waiting
  ///   for the next load message.
  void broadcast();
  /// \brief Sends the load and the policy version of this node to all nodes
  ///   that are linked to it, without waiting for the next load message.
  void broadcastLoad();
  /// \brief Sends observed route usage to a node that this one is linked to.
  void sendUsage(const NodeId &Node, const MeshUsage &Value);
  /// \brief Sends observed route usage to the nodes of a failure domain that
  ///   are linked to this one.
  void sendUsage(const FailureDomain &Domain, const MeshUsage &Value);
  /// \brief Sends observed usage of organisations to a node that this one is
  ///   linked to.
  void sendOrganisationUsage(const NodeId &Node,
                             const MeshOrganisationUsage &Value);
  /// \brief Sends observed usage of organisations to the nodes of a failure
  ///   domain that are linked to this one.
  void sendOrganisationUsage(const FailureDomain &Domain,
                             const MeshOrganisationUsage &Value);
  /// \brief Sends what is new about crashing requests to a node that this one
  ///   is linked to.
  void sendCrashNews(const NodeId &Node, const CrashNews &Value);
  /// \brief Sends what is new about crashing requests to the nodes of a failure
  ///   domain that are linked to this one.
  void sendCrashNews(const FailureDomain &Domain, const CrashNews &Value);
  /// \brief Sends what is new about crashing requests to all nodes that are
  ///   linked to this one.
  void sendCrashNews(const CrashNews &Value);

private:
  struct OutgoingLink;

  void tick();
  /// Probes a node that has pending calls and sends nothing.
  void checkLiveness(const NodeId &Node, OutgoingLink &Outgoing, TimePoint Now);
  /// Clears the suspicion of a node that a frame was received from.
  void clearSuspicion(const NodeId &Node);
  void connect(OutgoingLink &Outgoing, bool AsSpare);
  void onConnected(const NodeId &Node, bool AsSpare);
  void onClosed(const NodeId &Node, bool AsSpare, bool WasConnected);
  void onFrame(const NodeId &Node, bool AsSpare, mesh::Frame::Reader Frame,
               FrameBody Received);
  void onHello(const NodeId &Node, bool AsSpare, const MeshHello &Hello);
  /// Removes a node whose address is now used by \p Replacement.
  void dropReplacedPeer(const NodeId &Removed, const Contact &Replacement);
  void onStatus(const NodeId &Node, const NodeStatus &Status);
  void onLoad(const NodeId &Node, mesh::Reply::Reader Reply);
  void onReply(OutgoingLink &Outgoing, std::uint64_t Number,
               const Reply &Value);
  /// Closes a link, and forgets its node.
  /// \param Node by value, because the caller's may be part of what is removed.
  void close(NodeId Node);
  /// Sends a pending call over the link that is up.
  void send(OutgoingLink &Outgoing, std::uint64_t Number);
  /// Ends a call whose body the node cannot take.
  void endUnsendable(const NodeId &Node, std::uint64_t Number,
                     std::size_t BodyBytes);
  void sendHello(PeerLink &Link, const NodeId &Receiver);
  /// Sends a frame over the link that this node made to another one, if it is
  /// up.
  void sendTo(const NodeId &Node, const std::string &Frame);
  /// Asks for the policy of a node if it is newer than the local one.
  void requestPolicy(PeerLink &Link, const NodeStatus &PeerStatus);
  /// Handles the hello on a link that another node made to this one.
  void onIncomingHello(PeerLink &Link, const MeshHello &Hello);

  EventLoop &Loop;
  Contact Self;
  Incarnation Current;
  EventLog &Log;
  Metrics &Counters;
  LinkMemory Memory;
  Handlers Callbacks;
  IncomingLinks Incoming;
  std::map<NodeId, Peer> Peers;
  std::map<NodeId, std::unique_ptr<OutgoingLink>> OutgoingLinks;
  std::uint64_t LastCall = 0;
  TimePoint LastStateSentAt{}; ///< of a status or a load
  TimePoint LastStatusSentAt{};
  bool BroadcastPending = false;
  PolicyRequests Requests;
  Timer Ticker;
  Timer Broadcast;
};

} // namespace limpetdrum

#endif
