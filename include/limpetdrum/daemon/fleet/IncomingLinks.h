#ifndef LIMPETDRUM_DAEMON_FLEET_INCOMINGLINKS_H
#define LIMPETDRUM_DAEMON_FLEET_INCOMINGLINKS_H

#include "limpetdrum/daemon/fleet/MeshCodec.h"
#include "limpetdrum/process/EventLog.h"
#include "limpetdrum/process/Metrics.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace limpetdrum {

/// \brief Links that other nodes made to this one.
///
/// They carry the calls of those nodes, and in return the replies and the state
/// of this node. A link is used once its hello, which names the caller, has
/// been received.
class IncomingLinks {
public:
  struct Handlers {
    /// \param Link where the hello in return is sent.
    std::function<void(PeerLink &Link, const MeshHello &Hello)> OnHello;
    std::function<void(const NodeId &From, Incarnation Caller, MeshAttempt)>
        OnAttempt;
    /// Returns true if the attempt is known, so that its body is not needed.
    std::function<bool(Incarnation Caller, std::uint64_t Call)> IsKnown;
    std::function<void(Incarnation Caller, std::uint64_t Call)> OnCancel;
    std::function<void(Incarnation Caller, std::uint64_t Call)> OnAcknowledged;
    std::function<void(MeshUsage)> OnUsage;
    std::function<void(const MeshOrganisationUsage &)> OnOrganisationUsage;
    std::function<void(const std::string &Text)> OnPolicy;
    std::function<void(const CrashNews &)> OnCrashNews;
    /// Returns the status of this node.
    std::function<NodeStatus()> LocalStatus;
    /// Returns the text of the traffic policy in force at this node.
    std::function<std::string()> PolicyText;
  };

  IncomingLinks(EventLoop &Loop, EventLog &Log, Metrics &Counters,
                LinkMemory Memory);
  ~IncomingLinks();
  IncomingLinks(const IncomingLinks &) = delete;
  IncomingLinks &operator=(const IncomingLinks &) = delete;

  /// \throws NetworkError if \p Listen cannot be bound.
  void start(Handlers Callbacks, Endpoint Listen);

  /// \brief Sends a reply over the latest link from a caller.
  /// \param Load load of the target, sent along with the reply.
  /// \returns false if there is no link from it.
  bool reply(Incarnation Caller, std::uint64_t Call, const Reply &Value,
             const NodeStatus &Load);
  void sendToAll(const std::string &Frame);
  /// \brief Closes links whose caller does not say who it is, and frees bodies
  ///   that come too late.
  void tick();
  /// \brief Returns true if frames wait to be written on any link.
  [[nodiscard]] bool hasUnsent() const;
  /// \brief Sends a frame to the nodes of a failure domain that are linked to
  ///   this one.
  void sendToDomain(const FailureDomain &Domain, const std::string &Frame);

private:
  struct IncomingLink;

  void accept(int Socket);
  void onClosed(std::uint64_t Key);
  /// Closes a link without a caller.
  void closeUnnamed(std::uint64_t Key);
  void onFrame(std::uint64_t Key, mesh::Frame::Reader Frame,
               FrameBody Received);
  void onAttempt(IncomingLink &Source, mesh::Attempt::Reader Attempt,
                 FrameBody Received);
  /// \throws ValueError if a field of the frame has an unknown or invalid
  ///   value.
  void dispatch(std::uint64_t Key, IncomingLink &Source,
                mesh::Frame::Reader Frame, FrameBody Received);
  /// Selects the latest of the links from a caller for the replies to it.
  void chooseReplyLink(Incarnation Caller);

  EventLoop &Loop;
  EventLog &Log;
  Metrics &Counters;
  LinkMemory Memory;
  /// For the first messages of links, so that what is no node takes nothing
  /// from those that are.
  AnswerMemory HelloMemory;
  Handlers Callbacks;
  std::unique_ptr<PeerListener> Listener;
  std::map<std::uint64_t, std::unique_ptr<IncomingLink>> Links;
  /// Keys of the links that carry the replies, by caller.
  std::unordered_map<Incarnation, std::uint64_t> ReplyLinks;
  std::set<std::uint64_t> Unnamed; ///< keys of links without a caller
  std::uint64_t LastKey = 0;
};

} // namespace limpetdrum

#endif
