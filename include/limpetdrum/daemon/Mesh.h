#ifndef LIMPETDRUM_DAEMON_MESH_H
#define LIMPETDRUM_DAEMON_MESH_H

#include "limpetdrum/connection/Liveness.h"
#include "limpetdrum/daemon/IncomingLinks.h"
#include "limpetdrum/process/EventLog.h"
#include "limpetdrum/process/Metrics.h"
#include "limpetdrum/version/PolicyOffers.h"

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace limpetdrum {

/// \brief How a call to another node ended.
struct MeshResult {
  enum class Kind : std::uint8_t {
    Replied,
    NeverSent, ///< the node could not be reached: it did not run
    Lost,      ///< the node's process is gone: it may have run
    Suspected, ///< the node gives no sign of life; the call goes on
  };
  MeshResult::Kind Kind = Kind::Lost;
  limpetdrum::Reply Reply;
};

/// \brief The other nodes: a link to each, their states, calls to them.
///
/// A link that went silent is replaced while its calls go on: the executing
/// node attaches a call that it knows to the running one, and a call is bound
/// to the incarnation that it was first sent to.
class Mesh {
public:
  using Done = std::function<void(const MeshResult &)>;

  struct Peer {
    limpetdrum::Contact Contact;
    std::optional<NodeStatus> Status; ///< as last heard
    bool IsReachable = false;         ///< a link is up and not silent
    /// It has calls, and has not answered when it was asked for a sign of life.
    bool IsSuspect = false;
    TimePoint LastReceivedAt{};
  };

  struct Handlers {
    std::function<void(const NodeId &From, Incarnation Caller, MeshAttempt)>
        OnAttempt;
    std::function<void(Incarnation Caller, std::uint64_t Call)> OnCancel;
    std::function<void(Incarnation Caller, std::uint64_t Call)> OnAcknowledged;
    std::function<void(const NodeId &From)> OnStatus;
    std::function<void(MeshUsage)> OnUsage;
    std::function<void(const std::string &Text)> OnPolicy;
    /// Another node remembers this record of the own target.
    std::function<void(const TargetRecord &)> OnRecordFromPeer;
    std::function<NodeStatus()> OwnStatus;
    std::function<std::string()> PolicyText;
  };

  Mesh(EventLoop &Loop, Contact Self, Incarnation Current, EventLog &Log,
       Metrics &Counters);
  ~Mesh();
  Mesh(const Mesh &) = delete;
  Mesh &operator=(const Mesh &) = delete;

  /// \brief Begins to listen and to send the own state.
  /// \param Listen where the links of other nodes arrive.
  /// \throws NetworkError if the address cannot be bound.
  void start(Handlers To, Endpoint Listen);

  /// \brief Makes a node known; a link to it is kept from now on.
  void add(const Contact &Which);
  [[nodiscard]] const std::map<NodeId, Peer> &peers() const noexcept {
    return this->Views;
  }

  /// \returns the number of the call.
  std::uint64_t call(const NodeId &To, MeshAttempt Attempt, Done OnResult);
  /// \brief Ends a call that nobody waits for; its callback is not called.
  void cancel(const NodeId &To, std::uint64_t Call);
  /// \brief Sends a reply to the node that made the call.
  /// \returns false if there is no link from it; it will ask again.
  bool reply(Incarnation Caller, std::uint64_t Call, const Reply &Value);
  /// \brief Tells all nodes of a change at once.
  void broadcast();
  /// \brief Tells some nodes what has been seen of the routes.
  void sendUsage(const std::vector<NodeId> &To, const MeshUsage &Value);

private:
  struct OutLink;
  struct PendingCall;

  void tick();
  /// Asks a node that has calls and says nothing whether it lives.
  void checkAlive(const NodeId &Node, OutLink &Peer, TimePoint Now);
  /// A frame has come from the node.
  void hear(const NodeId &Node);
  void tellSilent(OutLink &Peer);
  /// Tells all nodes that this one lives, and its load.
  void tellLoad();
  void connect(OutLink &To, bool AsSpare);
  void onUp(const NodeId &Node, bool AsSpare);
  void onDown(const NodeId &Node, bool AsSpare, bool WasConnected);
  void onOutFrame(const NodeId &Node, bool AsSpare, mesh::Frame::Reader Frame);
  void onHello(const NodeId &Node, bool AsSpare, const MeshHello &Hello);
  /// Another node runs at the address of \p Gone.
  void dropMoved(const NodeId &Gone, const Contact &Instead);
  void onStatus(const NodeId &Node, const NodeStatus &Status);
  void onLoad(const NodeId &Node, mesh::Reply::Reader From);
  void onReply(OutLink &From, std::uint64_t Call, const Reply &Value);
  void failCalls(OutLink &Of, enum MeshResult::Kind SentAs);
  void send(OutLink &Over, PendingCall &Call);
  void sendHello(PeerLink &Over, const NodeId &To);
  void offerPolicy(PeerLink &Over, const NodeStatus &Theirs);
  /// Another node has made a link to this one.
  void onIncomingHello(PeerLink &Over, const MeshHello &Hello);

  EventLoop &Loop;
  Contact Self;
  Incarnation Current;
  EventLog &Log;
  Metrics &Counters;
  Handlers To;
  IncomingLinks Incoming;
  std::map<NodeId, Peer> Views;
  std::map<NodeId, std::unique_ptr<OutLink>> Out;
  std::uint64_t LastCall = 0;
  TimePoint LastTold{};
  unsigned LoadsTold = 0; ///< since the last whole status
  bool BroadcastPending = false;
  Revision OwnPolicy; ///< as last seen, since OwnPolicySince
  TimePoint OwnPolicySince{};
  PolicyOffers Offers;
  Timer Ticker;
  Timer Broadcast;
};

} // namespace limpetdrum

#endif
