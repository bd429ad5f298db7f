#include "limpetdrum/daemon/Mesh.h"

#include "limpetdrum/process/Error.h"

#include <algorithm>

namespace limpetdrum {

namespace {

constexpr Milliseconds TickPeriod{100};
/// Between two signs of life, which tell the load.
constexpr Milliseconds LoadPeriod{500};
/// A whole status, told on each change, is repeated after so many of them.
constexpr unsigned LoadsForStatus = 10;
/// More than two load periods: the other end or the way to it has stopped.
constexpr Milliseconds SilenceLimit{1300};
/// A node with calls that sends nothing is asked for a sign of life; most calls
/// are answered sooner. It answers within a round trip, and the tenth of a
/// second for which a spent processor allowance may stop it; twice that, as a
/// packet may be lost.
constexpr Liveness::Limits LinkLimits{Milliseconds(150), Milliseconds(250),
                                      Milliseconds(500)};
/// For a connection to come up; longer than any way between failure domains.
constexpr Milliseconds ConnectLimit{1000};
constexpr Milliseconds FirstRetry{100};
constexpr Milliseconds LongestRetry{2000};
/// A node that was not reached for so long is forgotten.
constexpr std::chrono::seconds ForgetAfter{60};
/// Replies of one link that are acknowledged together at the latest.
constexpr std::size_t MostUnacknowledged = 32;

} // namespace

/// A call whose result is still to come.
struct Mesh::PendingCall {
  MeshAttempt Attempt; ///< to be sent again over another link
  TimePoint Deadline;
  TimePoint SentAt; ///< or made, if there is no link yet
  Done OnResult;
  bool Sent = false;
  bool ToldSilent = false;
};

/// The link that this node made to another one, with the calls over it.
struct Mesh::OutLink {
  limpetdrum::Contact Contact;
  std::unique_ptr<PeerLink> Link;
  std::unique_ptr<PeerLink> Spare;  ///< made while Link is silent
  bool IsUp = false;                ///< the hello has come
  std::optional<Incarnation> Bound; ///< that the sent calls went to
  TimePoint ConnectStarted{};
  TimePoint SpareStarted{};
  TimePoint RetryAt{};
  TimePoint LastUp{};
  Milliseconds RetryPause = FirstRetry;
  std::map<std::uint64_t, PendingCall> Calls;
  std::vector<std::uint64_t> Unacknowledged;
  Liveness Live{LinkLimits};
};

Mesh::Mesh(EventLoop &Loop, Contact Self, Incarnation Current, EventLog &Log,
           Metrics &Counters)
    : Loop(Loop), Self(std::move(Self)), Current(Current), Log(Log),
      Counters(Counters), Incoming(Loop, Log, Counters),
      Offers(this->Self.Node) {}

Mesh::~Mesh() = default;

void Mesh::start(Handlers Callbacks, Endpoint Listen) {
  this->To = std::move(Callbacks);
  this->Incoming.start({[this](PeerLink &Over, const MeshHello &Hello) {
                          this->onIncomingHello(Over, Hello);
                        },
                        this->To.OnAttempt, this->To.OnCancel,
                        this->To.OnAcknowledged, this->To.OnPolicy,
                        this->To.OwnStatus},
                       Listen);
  this->Ticker = this->Loop.every(TickPeriod, [this]() { this->tick(); });
}

void Mesh::add(const Contact &Which) {
  if (Which.Node == this->Self.Node || Which.Link == this->Self.Link)
    return;
  for (const auto &[Node, Known] : this->Out)
    if (Known->Contact.Link == Which.Link &&
        (Known->IsUp || Node == Which.Node))
      return; // known, or an old contact of an address that is in use
  auto &Entry = this->Out[Which.Node];
  if (Entry) {
    this->Log.state("peer_moved", {{"node", Which.Node.value()},
                                   {"address", toString(Which.Link)}});
    this->failCalls(*Entry, MeshResult::Kind::Lost);
    if (Entry->Link)
      destroyLater(this->Loop, std::move(Entry->Link));
    if (Entry->Spare)
      destroyLater(this->Loop, std::move(Entry->Spare));
  }
  Entry = std::make_unique<OutLink>();
  Entry->Contact = Which;
  Entry->LastUp = this->Loop.now();
  this->Views[Which.Node] = {Which, std::nullopt, false, {}};
  this->connect(*Entry, false);
}

void Mesh::connect(OutLink &Peer, bool AsSpare) {
  auto Node = Peer.Contact.Node;
  PeerLink::Events Events;
  Events.OnConnected = [this, Node, AsSpare]() { this->onUp(Node, AsSpare); };
  Events.OnFrame = [this, Node, AsSpare](mesh::Frame::Reader Frame) {
    this->onOutFrame(Node, AsSpare, Frame);
  };
  Events.OnClosed = [this, Node, AsSpare](bool WasConnected) {
    this->onDown(Node, AsSpare, WasConnected);
  };
  // Bytes between failure domains are dear, the processor within them.
  auto Format = Peer.Contact.FailureDomain == this->Self.FailureDomain
                    ? PeerLink::Format::Plain
                    : PeerLink::Format::Compressed;
  auto Link = std::make_unique<PeerLink>(this->Loop, Peer.Contact.Link,
                                         std::move(Events), Format);
  this->Counters.count("peer_connections");
  if (AsSpare) {
    Peer.Spare = std::move(Link);
    Peer.SpareStarted = this->Loop.now();
    return;
  }
  Peer.Link = std::move(Link);
  Peer.IsUp = false;
  Peer.ConnectStarted = this->Loop.now();
}

void Mesh::sendHello(PeerLink &Over, const NodeId &Receiver) {
  MeshHello Hello;
  Hello.Status = this->To.OwnStatus();
  for (const auto &[Node, View] : this->Views)
    if (View.IsReachable)
      Hello.Known.push_back(View.Contact);
  auto Found = this->Views.find(Receiver);
  if (Found != this->Views.end() && Found->second.Status)
    Hello.YourTarget = Found->second.Status->Target;
  Over.send(codec::encodeHello(Hello));
}

void Mesh::onUp(const NodeId &Node, bool AsSpare) {
  auto &Peer = *this->Out.at(Node);
  this->sendHello(AsSpare ? *Peer.Spare : *Peer.Link, Node);
}

void Mesh::onDown(const NodeId &Node, bool AsSpare, bool WasConnected) {
  auto Found = this->Out.find(Node);
  if (Found == this->Out.end())
    return;
  auto &Peer = *Found->second;
  auto Now = this->Loop.now();
  if (AsSpare) {
    // A refused connection: the process is gone, whatever the old one holds.
    destroyLater(this->Loop, std::move(Peer.Spare));
    if (WasConnected)
      return;
    if (Peer.Link)
      destroyLater(this->Loop, std::move(Peer.Link));
  } else {
    destroyLater(this->Loop, std::move(Peer.Link));
  }
  if (std::exchange(Peer.IsUp, false)) {
    this->Log.state("peer_lost", {{"node", Node.value()},
                                  {"calls", Peer.Calls.size()},
                                  {"reason", "connection closed"}});
    this->Counters.count("peers_lost");
  }
  this->Views[Node].IsReachable = false;
  if (WasConnected) {
    // The process may live on: its calls are attached over a new link.
    if (Now - Peer.ConnectStarted > FirstRetry)
      this->connect(Peer, false);
    else
      Peer.RetryAt = Now + FirstRetry;
    return;
  }
  this->failCalls(Peer, MeshResult::Kind::Lost);
  Peer.RetryAt = Now + Peer.RetryPause;
  Peer.RetryPause = std::min(Peer.RetryPause * 2, LongestRetry);
}

void Mesh::failCalls(OutLink &Of, enum MeshResult::Kind SentAs) {
  auto Calls = std::exchange(Of.Calls, {});
  for (auto &[Number, Call] : Calls) {
    MeshResult Result;
    Result.Kind = Call.Sent ? SentAs : MeshResult::Kind::NeverSent;
    Call.OnResult(Result);
  }
}

void Mesh::hear(const NodeId &Node) {
  if (std::exchange(this->Views[Node].IsSuspect, false))
    this->Log.state("peer_answers", {{"node", Node.value()}});
}

void Mesh::onOutFrame(const NodeId &Node, bool AsSpare,
                      mesh::Frame::Reader Frame) {
  if (!AsSpare)
    this->hear(Node);
  try {
    switch (Frame.which()) {
    case mesh::Frame::HELLO:
      this->onHello(Node, AsSpare, codec::decode(Frame.getHello()));
      break;
    case mesh::Frame::STATUS: {
      this->onStatus(Node, codec::decode(Frame.getStatus()));
      auto &Peer = *this->Out.at(Node);
      if (Peer.Link)
        this->offerPolicy(*Peer.Link, *this->Views[Node].Status);
      break;
    }
    case mesh::Frame::LOAD: {
      auto &View = this->Views[Node];
      View.IsReachable = true;
      View.LastReceivedAt = this->Loop.now();
      auto &Peer = *this->Out.at(Node);
      if (!View.Status || !Peer.Link)
        break;
      codec::decode(Frame.getLoad(), *View.Status);
      this->To.OnStatus(Node);
      this->offerPolicy(*Peer.Link, *View.Status);
      break;
    }
    case mesh::Frame::REPLY:
      this->onLoad(Node, Frame.getReply());
      this->onReply(*this->Out.at(Node), Frame.getReply().getCall(),
                    codec::decode(Frame.getReply()));
      break;
    case mesh::Frame::USAGE:
      this->To.OnUsage(codec::decode(Frame.getUsage()));
      break;
    case mesh::Frame::POLICY:
      this->To.OnPolicy(std::string(Frame.getPolicy().cStr()));
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
  auto &Peer = *this->Out.at(Node);
  if (AsSpare) {
    this->Counters.count("peer_connections_replaced");
    if (Peer.Link)
      destroyLater(this->Loop, std::move(Peer.Link));
    // Its callbacks name the spare: a link of its own takes the place.
    destroyLater(this->Loop, std::move(Peer.Spare));
    this->connect(Peer, false);
    return;
  }
  if (Hello.Status.Self.Node != Node) {
    this->dropMoved(Node, Hello.Status.Self);
    return;
  }
  Peer.IsUp = true;
  Peer.Live = Liveness(LinkLimits);
  Peer.LastUp = this->Loop.now();
  Peer.RetryPause = FirstRetry;
  auto Theirs = Hello.Status.Incarnation;
  this->Log.state("peer_up", {{"node", Node.value()},
                              {"incarnation", Theirs.value()},
                              {"calls", Peer.Calls.size()}});
  if (Peer.Bound && *Peer.Bound != Theirs) {
    // Calls that an earlier process may have run are not sent to this one.
    std::vector<Done> Lost;
    for (auto At = Peer.Calls.begin(); At != Peer.Calls.end();) {
      if (!At->second.Sent) {
        ++At;
        continue;
      }
      Lost.push_back(std::move(At->second.OnResult));
      At = Peer.Calls.erase(At);
    }
    Peer.Unacknowledged.clear();
    for (auto &OnResult : Lost)
      OnResult({MeshResult::Kind::Lost, {}});
  }
  Peer.Bound = Theirs;
  for (auto &[Number, Call] : Peer.Calls) {
    Call.Sent = true;
    Call.ToldSilent = false;
    this->send(Peer, Call);
  }
  this->onStatus(Node, Hello.Status);
  this->offerPolicy(*Peer.Link, Hello.Status);
  this->To.OnRecordFromPeer(Hello.YourTarget);
  for (const auto &Known : Hello.Known)
    if (this->Out.count(Known.Node) == 0)
      this->add(Known);
}

void Mesh::dropMoved(const NodeId &Gone, const Contact &Instead) {
  this->Log.state("peer_address_reused", {{"node", Gone.value()},
                                          {"now", Instead.Node.value()},
                                          {"address", toString(Instead.Link)}});
  auto Found = this->Out.find(Gone);
  auto Old = std::move(Found->second);
  this->Out.erase(Found);
  this->Views.erase(Gone);
  this->Offers.forget(Gone);
  destroyLater(this->Loop, std::move(Old->Link));
  if (Old->Spare)
    destroyLater(this->Loop, std::move(Old->Spare));
  this->failCalls(*Old, MeshResult::Kind::Lost);
  this->add(Instead);
}

void Mesh::offerPolicy(PeerLink &Over, const NodeStatus &Theirs) {
  auto Mine = this->To.OwnStatus().Policy;
  auto Now = this->Loop.now();
  if (Mine != this->OwnPolicy) {
    this->OwnPolicy = Mine;
    this->OwnPolicySince = Now;
  }
  if (this->Offers.isDue(Theirs.Self.Node, Theirs.Policy, Mine,
                         this->OwnPolicySince, this->Views.size(), Now))
    Over.send(codec::encodePolicy(this->To.PolicyText()));
}

void Mesh::onStatus(const NodeId &Node, const NodeStatus &Status) {
  auto &View = this->Views[Node];
  // Incarnations do not tell the order: clocks are set back. The link does.
  bool IsOlder = View.Status &&
                 View.Status->Incarnation == Status.Incarnation &&
                 Status.Version < View.Status->Version;
  View.IsReachable = true;
  View.LastReceivedAt = this->Loop.now();
  if (IsOlder)
    return;
  if (!View.Status || View.Status->Target.Id != Status.Target.Id ||
      View.Status->Target.State != Status.Target.State ||
      View.Status->Leaving != Status.Leaving)
    this->Log.state("peer_target", {{"node", Node.value()},
                                    {"target", Status.Target.Id},
                                    {"service", Status.Target.Service.value()},
                                    {"state", toString(Status.Target.State)},
                                    {"leaving", Status.Leaving}});
  View.Status = Status;
  this->To.OnStatus(Node);
}

void Mesh::onLoad(const NodeId &Node, mesh::Reply::Reader From) {
  auto &View = this->Views[Node];
  if (!View.Status)
    return;
  View.Status->Running = From.getRunning();
  View.Status->Queued = From.getQueued();
  View.Status->Limit = From.getLimit();
  this->To.OnStatus(Node);
}

void Mesh::onReply(OutLink &From, std::uint64_t Number, const Reply &Value) {
  From.Unacknowledged.push_back(Number);
  if (From.Unacknowledged.size() >= MostUnacknowledged && From.Link)
    From.Link->send(
        codec::encodeAcknowledged(std::exchange(From.Unacknowledged, {})));
  auto Found = From.Calls.find(Number);
  if (Found == From.Calls.end())
    return;
  auto OnResult = std::move(Found->second.OnResult);
  From.Calls.erase(Found);
  OnResult({MeshResult::Kind::Replied, Value});
}

std::uint64_t Mesh::call(const NodeId &Node, MeshAttempt Attempt,
                         Done OnResult) {
  auto Number = ++this->LastCall;
  Attempt.Call = Number;
  auto Found = this->Out.find(Node);
  if (Found == this->Out.end() ||
      (!Found->second->Link && !Found->second->Spare)) {
    this->Loop.post([OnResult = std::move(OnResult)]() {
      OnResult({MeshResult::Kind::NeverSent, {}});
    });
    return Number;
  }
  auto &Peer = *Found->second;
  bool SendNow = Peer.IsUp && Peer.Link;
  auto Deadline = this->Loop.now() + Attempt.TimeLeft;
  auto &Call = Peer.Calls[Number];
  Call = {std::move(Attempt),  Deadline, this->Loop.now(),
          std::move(OnResult), SendNow,  false};
  if (SendNow)
    this->send(Peer, Call);
  return Number;
}

void Mesh::send(OutLink &Over, PendingCall &Call) {
  auto Left = std::chrono::duration_cast<Milliseconds>(Call.Deadline -
                                                       this->Loop.now());
  if (Left <= Milliseconds(0))
    return; // its caller ends it at its deadline
  Call.Attempt.TimeLeft = Left;
  Over.Link->send(codec::encodeAttempt(Call.Attempt,
                                       std::exchange(Over.Unacknowledged, {})));
}

void Mesh::cancel(const NodeId &Node, std::uint64_t Number) {
  auto Found = this->Out.find(Node);
  if (Found == this->Out.end())
    return;
  auto &Peer = *Found->second;
  auto Call = Peer.Calls.find(Number);
  if (Call == Peer.Calls.end())
    return;
  if (Call->second.Sent && Peer.IsUp && Peer.Link)
    Peer.Link->send(codec::encodeCancel(Number));
  Peer.Calls.erase(Call);
}

bool Mesh::reply(Incarnation Caller, std::uint64_t Call, const Reply &Value) {
  return this->Incoming.sendToCaller(
      Caller, codec::encodeReply(Call, Value, this->To.OwnStatus()));
}

void Mesh::broadcast() {
  if (std::exchange(this->BroadcastPending, true))
    return;
  // Several changes of one turn of the loop are told together.
  this->Broadcast = this->Loop.after(Microseconds(0), [this]() {
    this->BroadcastPending = false;
    this->LastTold = this->Loop.now();
    this->LoadsTold = 0;
    this->Incoming.sendToAll(codec::encodeStatus(this->To.OwnStatus()));
  });
}

void Mesh::tellLoad() {
  this->LastTold = this->Loop.now();
  ++this->LoadsTold;
  this->Incoming.sendToAll(codec::encodeLoad(this->To.OwnStatus()));
}

void Mesh::sendUsage(const std::vector<NodeId> &Nodes, const MeshUsage &Value) {
  this->Incoming.sendToNodes(Nodes, codec::encodeUsage(Value));
}

void Mesh::tick() {
  auto Now = this->Loop.now();
  if (Now - this->LastTold >= LoadPeriod) {
    if (this->LoadsTold < LoadsForStatus)
      this->tellLoad();
    else
      this->broadcast();
  }
  std::vector<NodeId> Forgotten;
  for (auto &[Node, Entry] : this->Out) {
    auto &Peer = *Entry;
    if (Peer.IsUp)
      Peer.LastUp = Now;
    else if (Now - Peer.LastUp > ForgetAfter && Peer.Calls.empty())
      Forgotten.push_back(Node);
    if (!Peer.Link && !Peer.Spare && Now >= Peer.RetryAt)
      this->connect(Peer, false);
    if (Peer.Link && !Peer.IsUp && Now - Peer.ConnectStarted > ConnectLimit) {
      // Neither refused nor accepted: cut off, or too busy to answer.
      destroyLater(this->Loop, std::move(Peer.Link));
      this->connect(Peer, false);
      this->Views[Node].IsReachable = false;
    }
    this->checkAlive(Node, Peer, Now);
    bool IsSilent =
        Peer.Link && Peer.IsUp && Now - Peer.Link->lastRead() > SilenceLimit;
    if (!IsSilent)
      continue;
    if (std::exchange(this->Views[Node].IsReachable, false)) {
      this->Log.state("peer_silent",
                      {{"node", Node.value()}, {"calls", Peer.Calls.size()}});
      this->Counters.count("peers_silent");
    }
    if (!Peer.Spare) {
      this->connect(Peer, true);
    } else if (Now - Peer.SpareStarted > ConnectLimit) {
      destroyLater(this->Loop, std::move(Peer.Spare));
      this->connect(Peer, true);
    }
    this->tellSilent(Peer);
  }
  for (const auto &Node : Forgotten) {
    this->Log.state("peer_forgotten", {{"node", Node.value()}});
    this->Out.erase(Node);
    this->Views.erase(Node);
    this->Offers.forget(Node);
  }
}

void Mesh::checkAlive(const NodeId &Node, OutLink &Peer, TimePoint Now) {
  if (!Peer.Link || !Peer.IsUp)
    return;
  auto Since = Peer.Link->lastRead();
  if (!Peer.Calls.empty())
    Since = std::max(Since, Peer.Calls.begin()->second.SentAt);
  switch (Peer.Live.tick(!Peer.Calls.empty(), Since, Now)) {
  case Liveness::Action::ProbeCurrent:
    Peer.Link->send(codec::encodeAsk());
    return;
  case Liveness::Action::ProbeBoth:
    this->Counters.count("peers_suspected");
    this->Log.state("peer_suspect", {{"node", Node.value()},
                                     {"calls", Peer.Calls.size()},
                                     {"quiet_us", (Now - Since).count()}});
    this->Views[Node].IsSuspect = true;
    if (!Peer.Spare)
      this->connect(Peer, true);
    this->tellSilent(Peer);
    return;
  case Liveness::Action::None:
  case Liveness::Action::Replace: // done when the spare link says hello
  case Liveness::Action::Suspect: // told when the probes went out
    return;
  }
}

void Mesh::tellSilent(OutLink &Peer) {
  std::vector<Done> Told;
  for (auto &[Number, Call] : Peer.Calls)
    if (!std::exchange(Call.ToldSilent, true))
      Told.push_back(Call.OnResult);
  for (auto &OnResult : Told)
    OnResult({MeshResult::Kind::Suspected, {}});
}

void Mesh::onIncomingHello(PeerLink &Over, const MeshHello &Hello) {
  const auto &From = Hello.Status.Self;
  this->sendHello(Over, From.Node);
  this->offerPolicy(Over, Hello.Status);
  this->To.OnRecordFromPeer(Hello.YourTarget);
  this->add(From);
  // It is up: there is no reason to wait with the way back.
  auto Back = this->Out.find(From.Node);
  if (Back != this->Out.end() && !Back->second->Link && !Back->second->Spare)
    this->connect(*Back->second, false);
}

} // namespace limpetdrum
