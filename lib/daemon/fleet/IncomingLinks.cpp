#include "limpetdrum/daemon/fleet/IncomingLinks.h"

#include "limpetdrum/process/Error.h"

#include <algorithm>

namespace limpetdrum {

namespace {

/// A hello and what it names are a few hundred bytes.
constexpr std::size_t MaxHelloBytes = 64U * 1024U;
/// Memory for hellos that are not complete.
constexpr std::size_t HelloMemoryBytes = 4U * 1024U * 1024U;
/// Nodes send their hello at once, and give up a link without one in return
/// after a second.
constexpr Milliseconds HelloTimeout{3000};
/// Links that may wait for their hello: as many as connect at once.
constexpr std::size_t MaxUnnamedLinks = 1024;

} // namespace

struct IncomingLinks::IncomingLink {
  std::unique_ptr<PeerLink> Link;
  NodeId Node;
  FailureDomain Domain;
  std::optional<Incarnation> Caller; ///< unset before the hello
  TimePoint AcceptedAt;
};

IncomingLinks::IncomingLinks(EventLoop &Loop, EventLog &Log, Metrics &Counters,
                             LinkMemory Memory)
    : Loop(Loop), Log(Log), Counters(Counters), Memory(Memory),
      HelloMemory(HelloMemoryBytes) {}

IncomingLinks::~IncomingLinks() = default;

void IncomingLinks::start(Handlers Callbacks, Endpoint Listen) {
  this->Callbacks = std::move(Callbacks);
  this->Listener = std::make_unique<PeerListener>(
      this->Loop, Listen, [this](int Socket) { this->accept(Socket); },
      [this](const std::string &Problem) {
        this->Log.state("accept_failed", {{"error", Problem}});
      });
}

void IncomingLinks::accept(int Socket) {
  auto Key = ++this->LastKey;
  PeerLink::Events Events;
  Events.OnFrame = [this, Key](mesh::Frame::Reader Frame, FrameBody Received) {
    this->onFrame(Key, Frame, std::move(Received));
  };
  Events.NeedsBody = [this, Key](mesh::Frame::Reader Frame) {
    const auto &Caller = this->Links.at(Key)->Caller;
    return Frame.isAttempt() && Caller &&
           !this->Callbacks.IsKnown(*Caller, Frame.getAttempt().getCall());
  };
  Events.OnClosed = [this, Key](bool /*WasConnected*/) { this->onClosed(Key); };
  auto Accepted = std::make_unique<IncomingLink>();
  Accepted->Link =
      std::make_unique<PeerLink>(this->Loop, Socket, Events, this->Memory);
  Accepted->Link->limitFrames(MaxHelloBytes, this->HelloMemory);
  Accepted->AcceptedAt = this->Loop.now();
  this->Links.emplace(Key, std::move(Accepted));
  this->Unnamed.insert(Key);
  if (this->Unnamed.size() > MaxUnnamedLinks)
    this->closeUnnamed(*this->Unnamed.begin());
}

void IncomingLinks::closeUnnamed(std::uint64_t Key) {
  this->Counters.count("links_without_hello");
  this->onClosed(Key);
}

void IncomingLinks::tick() {
  auto Now = this->Loop.now();
  // Keys rise with the time.
  while (!this->Unnamed.empty() &&
         Now - this->Links.at(*this->Unnamed.begin())->AcceptedAt >
             HelloTimeout)
    this->closeUnnamed(*this->Unnamed.begin());
  for (auto &[Key, Source] : this->Links)
    Source->Link->dropOverdueBodies();
}

void IncomingLinks::onClosed(std::uint64_t Key) {
  auto Found = this->Links.find(Key);
  if (Found == this->Links.end())
    return;
  auto Caller = Found->second->Caller;
  destroyLater(this->Loop, std::move(Found->second->Link));
  this->Links.erase(Found);
  this->Unnamed.erase(Key);
  if (Caller)
    this->chooseReplyLink(*Caller);
}

void IncomingLinks::chooseReplyLink(Incarnation Caller) {
  this->ReplyLinks.erase(Caller);
  for (const auto &[Key, Source] : this->Links)
    if (Source->Caller == Caller)
      this->ReplyLinks[Caller] = Key;
}

void IncomingLinks::onFrame(std::uint64_t Key, mesh::Frame::Reader Frame,
                            FrameBody Received) {
  auto &Source = *this->Links.at(Key);
  if (!Source.Caller && Frame.which() != mesh::Frame::HELLO) {
    this->Counters.count("mesh_frames_unexpected");
    this->closeUnnamed(Key);
    return;
  }
  try {
    this->dispatch(Key, Source, Frame, std::move(Received));
  } catch (const ValueError &E) {
    this->Counters.count("mesh_frames_malformed");
    this->Log.state("peer_malformed",
                    {{"node", Source.Node.value()}, {"error", E.what()}});
  }
}

void IncomingLinks::dispatch(std::uint64_t Key, IncomingLink &Source,
                             mesh::Frame::Reader Frame, FrameBody Received) {
  switch (Frame.which()) {
  case mesh::Frame::HELLO: {
    auto Hello = codec::decode(Frame.getHello());
    auto Caller = callerKey(Hello.Status.Self.Node, Hello.Status.Incarnation);
    if (Source.Caller && !(*Source.Caller == Caller))
      throw ValueError("a second hello names another node or incarnation",
                       "run the same release on all nodes");
    Source.Node = Hello.Status.Self.Node;
    Source.Domain = Hello.Status.Self.FailureDomain;
    Source.Caller = Caller;
    this->Unnamed.erase(Key);
    Source.Link->unlimitFrames();
    this->ReplyLinks[*Source.Caller] = Key;
    Source.Link->setTakesParts(Hello.Status.TakesBodyParts);
    this->Callbacks.OnHello(*Source.Link, Hello);
    break;
  }
  case mesh::Frame::ATTEMPT:
    this->onAttempt(Source, Frame.getAttempt(), std::move(Received));
    break;
  case mesh::Frame::CANCEL:
    Source.Link->cancelBody(Frame.getCancel());
    this->Callbacks.OnCancel(*Source.Caller, Frame.getCancel());
    break;
  case mesh::Frame::ASK:
    Source.Link->send(codec::encodeLoad(this->Callbacks.LocalStatus()));
    break;
  case mesh::Frame::ACKNOWLEDGED:
    for (auto Call : Frame.getAcknowledged())
      this->Callbacks.OnAcknowledged(*Source.Caller, Call);
    break;
  case mesh::Frame::USAGE:
    this->Callbacks.OnUsage(codec::decode(Frame.getUsage()));
    break;
  case mesh::Frame::ORGANISATIONS:
    this->Callbacks.OnOrganisationUsage(
        codec::decode(Frame.getOrganisations()));
    break;
  case mesh::Frame::ASK_POLICY:
    Source.Link->send(codec::encodePolicy(this->Callbacks.PolicyText()));
    break;
  case mesh::Frame::POLICY:
    this->Callbacks.OnPolicy(std::string(Frame.getPolicy().cStr()));
    break;
  case mesh::Frame::CRASHES:
    this->Callbacks.OnCrashNews(codec::decode(Frame.getCrashes()));
    break;
  default:
    this->Counters.count("mesh_frames_unexpected");
  }
}

void IncomingLinks::onAttempt(IncomingLink &Source,
                              mesh::Attempt::Reader Attempt,
                              FrameBody Received) {
  for (auto Call : Attempt.getAcknowledged())
    this->Callbacks.OnAcknowledged(*Source.Caller, Call);
  auto Value = codec::decode(Attempt, this->Memory.Requests);
  if (Received.ExceedsMemory || !Received.Content.empty()) {
    Value.Request.ExceedsMemory = Received.ExceedsMemory;
    Value.Request.Body = std::move(Received.Content);
  }
  // The time left is that of the moment when the message was sent.
  Value.TimeLeft -= std::chrono::duration_cast<Milliseconds>(Received.Duration);
  this->Callbacks.OnAttempt(Source.Node, *Source.Caller, std::move(Value));
}

bool IncomingLinks::reply(Incarnation Caller, std::uint64_t Call,
                          const Reply &Value, const NodeStatus &Load) {
  auto Found = this->ReplyLinks.find(Caller);
  if (Found == this->ReplyLinks.end())
    return false;
  auto &Link = *this->Links.at(Found->second)->Link;
  bool InParts = Link.sendsInParts(Value.Body.size());
  Link.send(codec::encodeReply(
      Call, Value, Load, InParts ? BodyPlace::InParts : BodyPlace::InMessage));
  if (InParts)
    Link.sendBody(Call, Value.Body);
  return true;
}

void IncomingLinks::sendToAll(const std::string &Frame) {
  for (auto &[Key, Receiver] : this->Links)
    if (Receiver->Caller)
      Receiver->Link->send(Frame);
}

bool IncomingLinks::hasUnsent() const {
  return std::any_of(
      this->Links.begin(), this->Links.end(),
      [](const auto &Entry) { return Entry.second->Link->unsentBytes() > 0; });
}

void IncomingLinks::sendToDomain(const FailureDomain &Domain,
                                 const std::string &Frame) {
  for (auto &[Key, Receiver] : this->Links)
    if (Receiver->Caller && Receiver->Domain == Domain)
      Receiver->Link->send(Frame);
}

} // namespace limpetdrum
