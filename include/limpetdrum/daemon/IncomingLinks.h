#ifndef LIMPETDRUM_DAEMON_INCOMINGLINKS_H
#define LIMPETDRUM_DAEMON_INCOMINGLINKS_H

#include "limpetdrum/daemon/MeshCodec.h"
#include "limpetdrum/process/EventLog.h"
#include "limpetdrum/process/Metrics.h"

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

namespace limpetdrum {

/// \brief The links that other nodes made to this one: their calls come in over
///   them, and the replies and this node's state go back.
///
/// A link counts from its hello on, which names the caller.
class IncomingLinks {
public:
  struct Handlers {
    /// \param Over the link, for the hello in return.
    std::function<void(PeerLink &Over, const MeshHello &Hello)> OnHello;
    std::function<void(const NodeId &From, Incarnation Caller, MeshAttempt)>
        OnAttempt;
    std::function<void(Incarnation Caller, std::uint64_t Call)> OnCancel;
    std::function<void(Incarnation Caller, std::uint64_t Call)> OnAcknowledged;
    std::function<void(const std::string &Text)> OnPolicy;
    std::function<NodeStatus()> OwnStatus;
  };

  IncomingLinks(EventLoop &Loop, EventLog &Log, Metrics &Counters);
  ~IncomingLinks();
  IncomingLinks(const IncomingLinks &) = delete;
  IncomingLinks &operator=(const IncomingLinks &) = delete;

  /// \throws NetworkError if \p Where cannot be bound.
  void start(Handlers Callbacks, Endpoint Where);

  /// \brief Sends a frame over the latest link from a caller.
  /// \returns false if there is none.
  bool sendToCaller(Incarnation Caller, const std::string &Frame);
  void sendToAll(const std::string &Frame);
  void sendToNodes(const std::vector<NodeId> &Nodes, const std::string &Frame);

private:
  struct Entry;

  void accept(int Socket);
  void onClosed(std::uint64_t Key);
  void onFrame(std::uint64_t Key, mesh::Frame::Reader Frame);
  /// \throws ValueError if the frame has a field without a meaning.
  void take(std::uint64_t Key, Entry &From, mesh::Frame::Reader Frame);
  /// The latest of the links from a caller carries the replies to it.
  void chooseReplyLink(Incarnation Caller);

  EventLoop &Loop;
  EventLog &Log;
  Metrics &Counters;
  Handlers To;
  std::unique_ptr<PeerListener> Listener;
  std::map<std::uint64_t, std::unique_ptr<Entry>> Links;
  std::unordered_map<Incarnation, std::uint64_t> ByCaller;
  std::uint64_t LastKey = 0;
};

} // namespace limpetdrum

#endif
