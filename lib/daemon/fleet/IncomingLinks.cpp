#include "limpetdrum/daemon/fleet/IncomingLinks.h"

#include "limpetdrum/process/Error.h"

#include <algorithm>

namespace limpetdrum {

struct IncomingLinks::IncomingLink {
  std::unique_ptr<PeerLink> Link;
  NodeId Node;
  FailureDomain Domain;
  std::optional<Incarnation> Caller; ///< unset before the hello
};

IncomingLinks::IncomingLinks(EventLoop &Loop, EventLog &Log, Metrics &Counters)
    : Loop(Loop), Log(Log), Counters(Counters) {}

IncomingLinks::~IncomingLinks() = default;

void IncomingLinks::start(Handlers Callbacks, Endpoint Listen) {
  this->Callbacks = std::move(Callbacks);
  this->Listener = std::make_unique<PeerListener>(
      this->Loop, Listen, [this](int Socket) { this->accept(Socket); });
}

void IncomingLinks::accept(int Socket) {
  auto Key = ++this->LastKey;
  PeerLink::Events Events;
  Events.OnFrame = [this, Key](mesh::Frame::Reader Frame) {
    this->onFrame(Key, Frame);
  };
  Events.OnClosed = [this, Key](bool /*WasConnected*/) { this->onClosed(Key); };
  auto Accepted = std::make_unique<IncomingLink>();
  Accepted->Link = std::make_unique<PeerLink>(this->Loop, Socket, Events);
  this->Links.emplace(Key, std::move(Accepted));
}

void IncomingLinks::onClosed(std::uint64_t Key) {
  auto Found = this->Links.find(Key);
  if (Found == this->Links.end())
    return;
  auto Caller = Found->second->Caller;
  destroyLater(this->Loop, std::move(Found->second->Link));
  this->Links.erase(Found);
  if (Caller)
    this->chooseReplyLink(*Caller);
}

void IncomingLinks::chooseReplyLink(Incarnation Caller) {
  this->ReplyLinks.erase(Caller);
  for (const auto &[Key, Source] : this->Links)
    if (Source->Caller == Caller)
      this->ReplyLinks[Caller] = Key;
}

void IncomingLinks::onFrame(std::uint64_t Key, mesh::Frame::Reader Frame) {
  auto &Source = *this->Links.at(Key);
  if (!Source.Caller && Frame.which() != mesh::Frame::HELLO) {
    this->Counters.count("mesh_frames_unexpected");
    return;
  }
  try {
    this->dispatch(Key, Source, Frame);
  } catch (const ValueError &E) {
    this->Counters.count("mesh_frames_malformed");
    this->Log.state("peer_malformed",
                    {{"node", Source.Node.value()}, {"error", E.what()}});
  }
}

void IncomingLinks::dispatch(std::uint64_t Key, IncomingLink &Source,
                             mesh::Frame::Reader Frame) {
  switch (Frame.which()) {
  case mesh::Frame::HELLO: {
    auto Hello = codec::decode(Frame.getHello());
    Source.Node = Hello.Status.Self.Node;
    Source.Domain = Hello.Status.Self.FailureDomain;
    Source.Caller = callerKey(Source.Node, Hello.Status.Incarnation);
    this->ReplyLinks[*Source.Caller] = Key;
    this->Callbacks.OnHello(*Source.Link, Hello);
    break;
  }
  case mesh::Frame::ATTEMPT: {
    auto Attempt = Frame.getAttempt();
    for (auto Call : Attempt.getAcknowledged())
      this->Callbacks.OnAcknowledged(*Source.Caller, Call);
    this->Callbacks.OnAttempt(Source.Node, *Source.Caller,
                              codec::decode(Attempt));
    break;
  }
  case mesh::Frame::CANCEL:
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

bool IncomingLinks::sendToCaller(Incarnation Caller, const std::string &Frame) {
  auto Found = this->ReplyLinks.find(Caller);
  if (Found == this->ReplyLinks.end())
    return false;
  this->Links.at(Found->second)->Link->send(Frame);
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
