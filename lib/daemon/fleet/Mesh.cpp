#include "limpetdrum/daemon/fleet/Mesh.h"

#include "limpetdrum/process/Error.h"

#include <algorithm>

namespace limpetdrum {

namespace {

constexpr Milliseconds TickPeriod{100};
/// Interval of the load messages, which serve as heartbeats.
constexpr Milliseconds LoadPeriod{500};
/// The whole status, otherwise sent on changes only, is repeated after this
/// time.
constexpr Milliseconds StatusPeriod{5000};
/// More than two load periods: after this silence, the node or the path to it
/// has failed.
constexpr Milliseconds SilenceTimeout{1300};
/// A node with pending calls that has sent nothing for 150 ms is probed; most
/// calls are answered sooner. A running node answers within a round trip plus
/// the 100 ms for which an exhausted CPU quota may stop it; the probe timeouts
/// allow at least twice that because a packet may be lost.
constexpr Liveness::Limits LinkLimits{Milliseconds(150), Milliseconds(250),
                                      Milliseconds(500)};
/// Longer than a connection takes to be established between any two failure
/// domains.
constexpr Milliseconds ConnectTimeout{1000};
constexpr Milliseconds MinRetryPause{100};
constexpr Milliseconds MaxRetryPause{2000};
/// A node that has been unreachable for this time is removed.
constexpr std::chrono::seconds RemovalTimeout{60};
/// Number of unacknowledged replies on one link at which an acknowledgement is
/// sent without waiting for the next attempt to carry it.
constexpr std::size_t MaxUnacknowledged = 32;
/// A reply with a longer body is acknowledged at once, as its node keeps it
/// until then.
constexpr std::size_t MaxUnacknowledgedBytes = 64U * 1024U;

} // namespace

/// Link that this node made to another one, and the pending calls over it.
struct Mesh::OutgoingLink {
  limpetdrum::Contact Contact;
  std::unique_ptr<PeerLink> Link;
  std::unique_ptr<PeerLink> Spare; ///< connected while Link is silent
  bool IsUp = false;               ///< the hello has been received
  bool IsWanted = true;            ///< otherwise closed when no call is pending
  TimePoint ConnectStarted{};
  TimePoint SpareStarted{};
  TimePoint RetryAt{};
  TimePoint LastUpAt{};
  Milliseconds RetryPause = MinRetryPause;
  PendingCalls Calls;
  std::vector<std::uint64_t> Unacknowledged;
  Liveness LinkLiveness{LinkLimits};
};

Mesh::Mesh(EventLoop &Loop, Contact Self, Incarnation Current, EventLog &Log,
           Metrics &Counters, LinkMemory Memory)
    : Loop(Loop), Self(std::move(Self)), Current(Current), Log(Log),
      Counters(Counters), Memory(Memory),
      Incoming(Loop, Log, Counters, Memory) {}

Mesh::~Mesh() = default;

void Mesh::start(Handlers Callbacks, Endpoint Listen) {
  this->Callbacks = std::move(Callbacks);
  this->Incoming.start(
      {[this](PeerLink &Link, const MeshHello &Hello) {
         this->onIncomingHello(Link, Hello);
       },
       this->Callbacks.OnAttempt, this->Callbacks.IsKnown,
       this->Callbacks.OnCancel, this->Callbacks.OnAcknowledged,
       this->Callbacks.OnUsage, this->Callbacks.OnOrganisationUsage,
       this->Callbacks.OnPolicy, this->Callbacks.OnCrashNews,
       this->Callbacks.LocalStatus, this->Callbacks.PolicyText},
      Listen);
  this->Ticker = this->Loop.every(TickPeriod, [this]() { this->tick(); });
}

void Mesh::add(const Contact &NewContact) {
  if (NewContact.Node == this->Self.Node || NewContact.Link == this->Self.Link)
    return;
  for (const auto &[Node, Existing] : this->OutgoingLinks)
    if (Existing->Contact.Link == NewContact.Link &&
        (Existing->IsUp || Node == NewContact.Node)) {
      // Known, or an outdated contact of an address that is in use.
      Existing->IsWanted = Existing->IsWanted || Node == NewContact.Node;
      return;
    }
  auto &Outgoing = this->OutgoingLinks[NewContact.Node];
  if (Outgoing) {
    this->Log.state("peer_moved", {{"node", NewContact.Node.value()},
                                   {"address", toString(NewContact.Link)}});
    Outgoing->Calls.endAll();
    if (Outgoing->Link)
      destroyLater(this->Loop, std::move(Outgoing->Link));
    if (Outgoing->Spare)
      destroyLater(this->Loop, std::move(Outgoing->Spare));
  }
  Outgoing = std::make_unique<OutgoingLink>();
  Outgoing->Contact = NewContact;
  Outgoing->LastUpAt = this->Loop.now();
  this->Peers[NewContact.Node] = {NewContact, std::nullopt, false, {}};
  this->connect(*Outgoing, false);
}

void Mesh::retry(const NodeId &Node) {
  auto Found = this->OutgoingLinks.find(Node);
  if (Found != this->OutgoingLinks.end() && !Found->second->Link &&
      !Found->second->Spare)
    this->connect(*Found->second, false);
}

void Mesh::remove(const NodeId &Node) {
  auto Found = this->OutgoingLinks.find(Node);
  if (Found != this->OutgoingLinks.end())
    Found->second->IsWanted = false;
}

void Mesh::close(NodeId Node) {
  auto Outgoing = std::move(this->OutgoingLinks.at(Node));
  this->OutgoingLinks.erase(Node);
  this->Peers.erase(Node);
  if (Outgoing->Link)
    destroyLater(this->Loop, std::move(Outgoing->Link));
  if (Outgoing->Spare)
    destroyLater(this->Loop, std::move(Outgoing->Spare));
  Outgoing->Calls.endAll();
  this->Callbacks.OnRemoved(Node);
}

void Mesh::connect(OutgoingLink &Outgoing, bool AsSpare) {
  auto Node = Outgoing.Contact.Node;
  PeerLink::Events Events;
  Events.OnConnected = [this, Node, AsSpare]() {
    this->onConnected(Node, AsSpare);
  };
  Events.OnFrame = [this, Node, AsSpare](mesh::Frame::Reader Frame,
                                         FrameBody Received) {
    this->onFrame(Node, AsSpare, Frame, std::move(Received));
  };
  Events.NeedsBody = [this, Node](mesh::Frame::Reader Frame) {
    return Frame.isReply() && this->OutgoingLinks.at(Node)->Calls.contains(
                                  Frame.getReply().getCall());
  };
  Events.OnClosed = [this, Node, AsSpare](bool WasConnected) {
    this->onClosed(Node, AsSpare, WasConnected);
  };
  // Compression saves traffic between failure domains, where bandwidth is
  // expensive; within a domain, CPU time is.
  auto Format = Outgoing.Contact.FailureDomain == this->Self.FailureDomain
                    ? PeerLink::Format::Plain
                    : PeerLink::Format::Compressed;
  auto Link =
      std::make_unique<PeerLink>(this->Loop, Outgoing.Contact.Link,
                                 std::move(Events), Format, this->Memory);
  this->Counters.count("peer_connections");
  if (AsSpare) {
    Outgoing.Spare = std::move(Link);
    Outgoing.SpareStarted = this->Loop.now();
    return;
  }
  Outgoing.Link = std::move(Link);
  Outgoing.IsUp = false;
  Outgoing.ConnectStarted = this->Loop.now();
}

void Mesh::sendHello(PeerLink &Link, const NodeId &Receiver) {
  MeshHello Hello;
  Hello.Status = this->Callbacks.LocalStatus();
  Hello.Status.TakesBodyParts = true;
  auto Found = this->Peers.find(Receiver);
  if (Found != this->Peers.end() && Found->second.Status)
    Hello.ReceiverTarget = Found->second.Status->Target;
  Link.send(codec::encodeHello(Hello));
  if (auto Known = this->Callbacks.KnownCrashes(); !Known.empty())
    Link.send(codec::encodeCrashNews(Known));
}

void Mesh::onConnected(const NodeId &Node, bool AsSpare) {
  auto &Outgoing = *this->OutgoingLinks.at(Node);
  this->sendHello(AsSpare ? *Outgoing.Spare : *Outgoing.Link, Node);
}

void Mesh::onClosed(const NodeId &Node, bool AsSpare, bool WasConnected) {
  auto Found = this->OutgoingLinks.find(Node);
  if (Found == this->OutgoingLinks.end())
    return;
  auto &Outgoing = *Found->second;
  auto Now = this->Loop.now();
  if (AsSpare) {
    // A refused connection means that the process has ended, even if the old
    // connection is still open.
    destroyLater(this->Loop, std::move(Outgoing.Spare));
    if (WasConnected)
      return;
    if (Outgoing.Link)
      destroyLater(this->Loop, std::move(Outgoing.Link));
  } else {
    destroyLater(this->Loop, std::move(Outgoing.Link));
  }
  if (std::exchange(Outgoing.IsUp, false)) {
    this->Log.state("peer_lost", {{"node", Node.value()},
                                  {"calls", Outgoing.Calls.size()},
                                  {"reason", "connection closed"}});
    this->Counters.count("peers_lost");
  }
  this->Peers[Node].IsReachable = false;
  if (WasConnected) {
    // The process may still be running: its pending calls are sent again over a
    // new link and attached there.
    if (Now - Outgoing.ConnectStarted > MinRetryPause)
      this->connect(Outgoing, false);
    else
      Outgoing.RetryAt = Now + MinRetryPause;
    return;
  }
  Outgoing.Calls.endAll();
  Outgoing.RetryAt = Now + Outgoing.RetryPause;
  Outgoing.RetryPause = std::min(Outgoing.RetryPause * 2, MaxRetryPause);
}

void Mesh::clearSuspicion(const NodeId &Node) {
  if (std::exchange(this->Peers[Node].IsSuspect, false))
    this->Log.state("peer_answers", {{"node", Node.value()}});
}

void Mesh::onFrame(const NodeId &Node, bool AsSpare, mesh::Frame::Reader Frame,
                   FrameBody Received) {
  if (!AsSpare)
    this->clearSuspicion(Node);
  try {
    switch (Frame.which()) {
    case mesh::Frame::HELLO:
      this->onHello(Node, AsSpare, codec::decode(Frame.getHello()));
      break;
    case mesh::Frame::STATUS: {
      this->onStatus(Node, codec::decode(Frame.getStatus()));
      auto &Outgoing = *this->OutgoingLinks.at(Node);
      if (Outgoing.Link)
        this->requestPolicy(*Outgoing.Link, *this->Peers[Node].Status);
      break;
    }
    case mesh::Frame::LOAD: {
      auto &Peer = this->Peers[Node];
      Peer.IsReachable = true;
      Peer.LastReceivedAt = this->Loop.now();
      auto &Outgoing = *this->OutgoingLinks.at(Node);
      if (!Peer.Status || !Outgoing.Link)
        break;
      codec::decode(Frame.getLoad(), *Peer.Status);
      this->Callbacks.OnStatus(Node);
      this->requestPolicy(*Outgoing.Link, *Peer.Status);
      break;
    }
    case mesh::Frame::REPLY: {
      this->onLoad(Node, Frame.getReply());
      auto Value = codec::decode(Frame.getReply(), this->Memory.Answers);
      if (Received.ExceedsMemory) {
        this->Counters.count("replies_beyond_memory");
        Value = unknownOutcome(Reason::Overload, Milliseconds(0));
      }
      if (!Received.Content.empty())
        Value.Body = std::move(Received.Content);
      this->onReply(*this->OutgoingLinks.at(Node), Frame.getReply().getCall(),
                    Value);
      break;
    }
    case mesh::Frame::USAGE:
      this->Callbacks.OnUsage(codec::decode(Frame.getUsage()));
      break;
    case mesh::Frame::ORGANISATIONS:
      this->Callbacks.OnOrganisationUsage(
          codec::decode(Frame.getOrganisations()));
      break;
    case mesh::Frame::POLICY:
      this->Callbacks.OnPolicy(std::string(Frame.getPolicy().cStr()));
      break;
    case mesh::Frame::ASK_POLICY: {
      auto &Outgoing = *this->OutgoingLinks.at(Node);
      if (Outgoing.Link)
        Outgoing.Link->send(codec::encodePolicy(this->Callbacks.PolicyText()));
      break;
    }
    case mesh::Frame::CRASHES:
      this->Callbacks.OnCrashNews(codec::decode(Frame.getCrashes()));
      break;
    default:
      this->Counters.count("mesh_frames_unexpected");
    }
  } catch (const ValueError &E) {
    this->Counters.count("mesh_frames_malformed");
    this->Log.state("peer_malformed",
                    {{"node", Node.value()}, {"error", E.what()}});
  }
}

void Mesh::onHello(const NodeId &Node, bool AsSpare, const MeshHello &Hello) {
  auto &Outgoing = *this->OutgoingLinks.at(Node);
  if (AsSpare) {
    this->Counters.count("peer_connections_replaced");
    if (Outgoing.Link)
      destroyLater(this->Loop, std::move(Outgoing.Link));
    // The callbacks of the spare link are bound to its role as a spare, so a
    // new link replaces the old one.
    destroyLater(this->Loop, std::move(Outgoing.Spare));
    this->connect(Outgoing, false);
    return;
  }
  if (Hello.Status.Self.Node != Node) {
    this->dropReplacedPeer(Node, Hello.Status.Self);
    return;
  }
  Outgoing.IsUp = true;
  Outgoing.Link->setTakesParts(Hello.Status.TakesBodyParts);
  Outgoing.LinkLiveness = Liveness(LinkLimits);
  Outgoing.LastUpAt = this->Loop.now();
  Outgoing.RetryPause = MinRetryPause;
  auto PeerIncarnation = Hello.Status.Incarnation;
  this->Log.state("peer_up", {{"node", Node.value()},
                              {"incarnation", PeerIncarnation.value()},
                              {"calls", Outgoing.Calls.size()}});
  if (Outgoing.Calls.isOtherProcess(PeerIncarnation))
    Outgoing.Unacknowledged.clear();
  for (auto Number : Outgoing.Calls.onLinked(Hello.Status))
    this->send(Outgoing, Number);
  this->onStatus(Node, Hello.Status);
  this->requestPolicy(*Outgoing.Link, Hello.Status);
  this->Callbacks.OnRecordFromPeer(Hello.ReceiverTarget);
}

void Mesh::dropReplacedPeer(const NodeId &Removed, const Contact &Replacement) {
  this->Log.state("peer_address_reused",
                  {{"node", Removed.value()},
                   {"now", Replacement.Node.value()},
                   {"address", toString(Replacement.Link)}});
  this->close(Removed);
}

void Mesh::requestPolicy(PeerLink &Link, const NodeStatus &PeerStatus) {
  auto Local = this->Callbacks.LocalStatus().Policy;
  if (this->Requests.isDue(PeerStatus.Self.Node, PeerStatus.Policy, Local,
                           this->Loop.now()))
    Link.send(codec::encodePolicyRequest());
}

void Mesh::onStatus(const NodeId &Node, const NodeStatus &Status) {
  auto &Peer = this->Peers[Node];
  // Incarnations give no order because clocks may be set back: a status of
  // another incarnation is newer because it arrived later over the link.
  bool IsOlder = Peer.Status &&
                 Peer.Status->Incarnation == Status.Incarnation &&
                 Status.Version < Peer.Status->Version;
  Peer.IsReachable = true;
  Peer.LastReceivedAt = this->Loop.now();
  if (IsOlder)
    return;
  if (!Peer.Status || Peer.Status->Target.Id != Status.Target.Id ||
      Peer.Status->Target.State != Status.Target.State ||
      Peer.Status->Leaving != Status.Leaving ||
      Peer.Status->RefusesRuns != Status.RefusesRuns)
    this->Log.state("peer_target", {{"node", Node.value()},
                                    {"target", Status.Target.Id},
                                    {"service", Status.Target.Service.value()},
                                    {"state", toString(Status.Target.State)},
                                    {"leaving", Status.Leaving},
                                    {"refuses_runs", Status.RefusesRuns}});
  Peer.Status = Status;
  this->Callbacks.OnStatus(Node);
}

void Mesh::onLoad(const NodeId &Node, mesh::Reply::Reader Reply) {
  auto &Peer = this->Peers[Node];
  if (!Peer.Status)
    return;
  Peer.Status->Running = Reply.getRunning();
  Peer.Status->Queued = Reply.getQueued();
  Peer.Status->Limit = Reply.getLimit();
  Peer.Status->ServiceTime = Microseconds(Reply.getServiceMicros());
  Peer.Status->Pace = Reply.getPace();
  this->Callbacks.OnStatus(Node);
}

void Mesh::onReply(OutgoingLink &Outgoing, std::uint64_t Number,
                   const Reply &Value) {
  Outgoing.Unacknowledged.push_back(Number);
  // It may have been refused before its body had been sent.
  if (Outgoing.Link)
    Outgoing.Link->cancelBody(Number);
  bool IsDue = Outgoing.Unacknowledged.size() >= MaxUnacknowledged ||
               Value.Body.size() > MaxUnacknowledgedBytes;
  if (IsDue && Outgoing.Link)
    Outgoing.Link->send(
        codec::encodeAcknowledged(std::exchange(Outgoing.Unacknowledged, {})));
  Outgoing.Calls.onReply(Number, Value);
}

std::uint64_t Mesh::call(const NodeId &Node, MeshAttempt Attempt,
                         Done OnResult) {
  auto Number = ++this->LastCall;
  Attempt.Call = Number;
  auto Found = this->OutgoingLinks.find(Node);
  if (Found == this->OutgoingLinks.end() ||
      (!Found->second->Link && !Found->second->Spare)) {
    this->Loop.post([OnResult = std::move(OnResult)]() {
      OnResult({MeshResult::Kind::NeverSent, {}});
    });
    return Number;
  }
  auto &Outgoing = *Found->second;
  Outgoing.Calls.add(std::move(Attempt), std::move(OnResult), this->Loop.now());
  if (Outgoing.IsUp && Outgoing.Link)
    this->send(Outgoing, Number);
  return Number;
}

void Mesh::send(OutgoingLink &Outgoing, std::uint64_t Number) {
  auto Content = Outgoing.Calls.body(Number);
  bool InParts = Outgoing.Link->sendsInParts(Content.size());
  auto Frame = Outgoing.Calls.encode(
      Number, Outgoing.Unacknowledged, this->Loop.now(),
      InParts ? BodyPlace::InParts : BodyPlace::InMessage);
  if (!Frame)
    return;
  if (!PeerLink::canSend(*Frame)) {
    this->endUnsendable(Outgoing.Contact.Node, Number, Content.size());
    return;
  }
  Outgoing.Calls.onSent(Number);
  Outgoing.Unacknowledged.clear();
  Outgoing.Link->send(*Frame);
  if (InParts)
    Outgoing.Link->sendBody(Number, std::move(Content));
}

void Mesh::endUnsendable(const NodeId &Node, std::uint64_t Number,
                         std::size_t BodyBytes) {
  this->Counters.count("bodies_too_long_for_peer");
  this->Log.request(
      "body_too_long_for_peer",
      {{"node", Node.value()}, {"call", Number}, {"bytes", BodyBytes}});
  // Called from the loop, as the caller does not know the number of the call
  // yet.
  this->Loop.post([this, Node, Number]() {
    auto Found = this->OutgoingLinks.find(Node);
    if (Found != this->OutgoingLinks.end())
      Found->second->Calls.endUnsendable(Number);
  });
}

void Mesh::cancel(const NodeId &Node, std::uint64_t Number) {
  auto Found = this->OutgoingLinks.find(Node);
  if (Found == this->OutgoingLinks.end())
    return;
  auto &Outgoing = *Found->second;
  if (Outgoing.Calls.cancel(Number) && Outgoing.IsUp && Outgoing.Link) {
    Outgoing.Link->cancelBody(Number);
    Outgoing.Link->send(codec::encodeCancel(Number));
  }
}

bool Mesh::hasUnsentReplies() const { return this->Incoming.hasUnsent(); }

bool Mesh::reply(Incarnation Caller, std::uint64_t Call, const Reply &Value) {
  return this->Incoming.reply(Caller, Call, Value,
                              this->Callbacks.LocalStatus());
}

void Mesh::broadcast() {
  if (std::exchange(this->BroadcastPending, true))
    return;
  // Changes made in one iteration of the loop are sent in one status.
  this->Broadcast = this->Loop.after(Microseconds(0), [this]() {
    this->BroadcastPending = false;
    this->LastStateSentAt = this->Loop.now();
    this->LastStatusSentAt = this->LastStateSentAt;
    this->Incoming.sendToAll(
        codec::encodeStatus(this->Callbacks.LocalStatus()));
  });
}

void Mesh::broadcastLoad() {
  this->LastStateSentAt = this->Loop.now();
  this->Incoming.sendToAll(codec::encodeLoad(this->Callbacks.LocalStatus()));
}

void Mesh::sendTo(const NodeId &Node, const std::string &Frame) {
  auto Found = this->OutgoingLinks.find(Node);
  if (Found != this->OutgoingLinks.end() && Found->second->IsUp &&
      Found->second->Link)
    Found->second->Link->send(Frame);
}

void Mesh::sendUsage(const NodeId &Node, const MeshUsage &Value) {
  this->sendTo(Node, codec::encodeUsage(Value));
}

void Mesh::sendUsage(const FailureDomain &Domain, const MeshUsage &Value) {
  this->Incoming.sendToDomain(Domain, codec::encodeUsage(Value));
}

void Mesh::sendOrganisationUsage(const NodeId &Node,
                                 const MeshOrganisationUsage &Value) {
  this->sendTo(Node, codec::encodeOrganisationUsage(Value));
}

void Mesh::sendOrganisationUsage(const FailureDomain &Domain,
                                 const MeshOrganisationUsage &Value) {
  this->Incoming.sendToDomain(Domain, codec::encodeOrganisationUsage(Value));
}

void Mesh::sendCrashNews(const NodeId &Node, const CrashNews &Value) {
  this->sendTo(Node, codec::encodeCrashNews(Value));
}

void Mesh::sendCrashNews(const FailureDomain &Domain, const CrashNews &Value) {
  this->Incoming.sendToDomain(Domain, codec::encodeCrashNews(Value));
}

void Mesh::sendCrashNews(const CrashNews &Value) {
  this->Incoming.sendToAll(codec::encodeCrashNews(Value));
}

void Mesh::tick() {
  auto Now = this->Loop.now();
  this->Incoming.tick();
  // Loads may be sent more often than this, but do not postpone the status.
  if (Now - this->LastStatusSentAt >= StatusPeriod)
    this->broadcast();
  else if (Now - this->LastStateSentAt >= LoadPeriod)
    this->broadcastLoad();
  std::vector<NodeId> Expired;
  std::vector<OutgoingLink *> Unconnected;
  for (auto &[Node, Entry] : this->OutgoingLinks) {
    auto &Outgoing = *Entry;
    if (!Outgoing.IsWanted && Outgoing.Calls.empty()) {
      Expired.push_back(Node);
      continue;
    }
    if (!Outgoing.IsUp && !Outgoing.Calls.empty())
      Unconnected.push_back(&Outgoing);
    if (Outgoing.IsUp)
      Outgoing.LastUpAt = Now;
    else if (Now - Outgoing.LastUpAt > RemovalTimeout && Outgoing.Calls.empty())
      Expired.push_back(Node);
    if (!Outgoing.Link && !Outgoing.Spare && Now >= Outgoing.RetryAt)
      this->connect(Outgoing, false);
    if (Outgoing.Link && !Outgoing.IsUp &&
        Now - Outgoing.ConnectStarted > ConnectTimeout) {
      // Neither refused nor accepted: the node is cut off or overloaded.
      destroyLater(this->Loop, std::move(Outgoing.Link));
      this->connect(Outgoing, false);
      this->Peers[Node].IsReachable = false;
    }
    this->checkLiveness(Node, Outgoing, Now);
    bool IsSilent = Outgoing.Link && Outgoing.IsUp &&
                    Now - Outgoing.Link->lastRead() > SilenceTimeout;
    if (!IsSilent)
      continue;
    if (std::exchange(this->Peers[Node].IsReachable, false)) {
      this->Log.state("peer_silent", {{"node", Node.value()},
                                      {"calls", Outgoing.Calls.size()}});
      this->Counters.count("peers_silent");
    }
    if (!Outgoing.Spare) {
      this->connect(Outgoing, true);
    } else if (Now - Outgoing.SpareStarted > ConnectTimeout) {
      destroyLater(this->Loop, std::move(Outgoing.Spare));
      this->connect(Outgoing, true);
    }
    Outgoing.Calls.reportSuspected();
  }
  for (const auto &Node : Expired) {
    this->Log.state("peer_forgotten", {{"node", Node.value()}});
    this->close(Node);
  }
  // Last, because callbacks may make calls to further nodes.
  for (auto *Outgoing : Unconnected)
    Outgoing->Calls.endUnsent(Now);
}

void Mesh::checkLiveness(const NodeId &Node, OutgoingLink &Outgoing,
                         TimePoint Now) {
  if (!Outgoing.Link || !Outgoing.IsUp)
    return;
  auto Since = Outgoing.Link->lastRead();
  if (!Outgoing.Calls.empty())
    Since = std::max(Since, Outgoing.Calls.oldest());
  switch (Outgoing.LinkLiveness.tick(!Outgoing.Calls.empty(), Since, Now)) {
  case Liveness::Action::ProbeCurrent:
    Outgoing.Link->send(codec::encodeLoadRequest());
    return;
  case Liveness::Action::ProbeBoth:
    this->Counters.count("peers_suspected");
    this->Log.state("peer_suspect", {{"node", Node.value()},
                                     {"calls", Outgoing.Calls.size()},
                                     {"quiet_us", (Now - Since).count()}});
    this->Peers[Node].IsSuspect = true;
    if (!Outgoing.Spare)
      this->connect(Outgoing, true);
    Outgoing.Calls.reportSuspected();
    return;
  case Liveness::Action::None:
  case Liveness::Action::Replace: // done on the hello of the spare link
  case Liveness::Action::Suspect: // reported when the probes were sent
    return;
  }
}

void Mesh::onIncomingHello(PeerLink &Link, const MeshHello &Hello) {
  const auto &From = Hello.Status.Self;
  this->sendHello(Link, From.Node);
  this->requestPolicy(Link, Hello.Status);
  this->Callbacks.OnRecordFromPeer(Hello.ReceiverTarget);
  // The node is running, so a link to it can be made.
  this->retry(From.Node);
}

} // namespace limpetdrum
