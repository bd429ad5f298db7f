#include "limpetdrum/daemon/IncomingLinks.h"

#include "limpetdrum/process/Error.h"

#include <algorithm>

namespace limpetdrum {

struct IncomingLinks::Entry {
  std::unique_ptr<PeerLink> Link;
  NodeId From;
  std::optional<Incarnation> Caller; ///< none before the hello
};

IncomingLinks::IncomingLinks(EventLoop &Loop, EventLog &Log, Metrics &Counters)
    : Loop(Loop), Log(Log), Counters(Counters) {}

IncomingLinks::~IncomingLinks() = default;

void IncomingLinks::start(Handlers Callbacks, Endpoint Where) {
  this->To = std::move(Callbacks);
  this->Listener = std::make_unique<PeerListener>(
      this->Loop, Where, [this](int Socket) { this->accept(Socket); });
}

void IncomingLinks::accept(int Socket) {
  auto Key = ++this->LastKey;
  PeerLink::Events Events;
  Events.OnFrame = [this, Key](mesh::Frame::Reader Frame) {
    this->onFrame(Key, Frame);
  };
  Events.OnClosed = [this, Key](bool /*WasConnected*/) { this->onClosed(Key); };
  auto Added = std::make_unique<Entry>();
  Added->Link = std::make_unique<PeerLink>(this->Loop, Socket, Events);
  this->Links.emplace(Key, std::move(Added));
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
  this->ByCaller.erase(Caller);
  for (const auto &[Key, From] : this->Links)
    if (From->Caller == Caller)
      this->ByCaller[Caller] = Key;
}

void IncomingLinks::onFrame(std::uint64_t Key, mesh::Frame::Reader Frame) {
  auto &From = *this->Links.at(Key);
  if (!From.Caller && Frame.which() != mesh::Frame::HELLO) {
    this->Counters.count("mesh_frames_unexpected");
    return;
  }
  try {
    this->take(Key, From, Frame);
  } catch (const ValueError &E) {
    this->Counters.count("mesh_frames_malformed");
    this->Log.state("peer_malformed",
                    {{"node", From.From.value()}, {"error", E.what()}});
  }
}

void IncomingLinks::take(std::uint64_t Key, Entry &From,
                         mesh::Frame::Reader Frame) {
  switch (Frame.which()) {
  case mesh::Frame::HELLO: {
    auto Hello = codec::decode(Frame.getHello());
    From.From = Hello.Status.Self.Node;
    From.Caller = callerKey(From.From, Hello.Status.Incarnation);
    this->ByCaller[*From.Caller] = Key;
    this->To.OnHello(*From.Link, Hello);
    break;
  }
  case mesh::Frame::ATTEMPT: {
    auto Attempt = Frame.getAttempt();
    for (auto Call : Attempt.getAcknowledged())
      this->To.OnAcknowledged(*From.Caller, Call);
    this->To.OnAttempt(From.From, *From.Caller, codec::decode(Attempt));
    break;
  }
  case mesh::Frame::CANCEL:
    this->To.OnCancel(*From.Caller, Frame.getCancel());
    break;
  case mesh::Frame::ASK:
    From.Link->send(codec::encodeLoad(this->To.OwnStatus()));
    break;
  case mesh::Frame::ACKNOWLEDGED:
    for (auto Call : Frame.getAcknowledged())
      this->To.OnAcknowledged(*From.Caller, Call);
    break;
  case mesh::Frame::POLICY:
    this->To.OnPolicy(std::string(Frame.getPolicy().cStr()));
    break;
  default:
    this->Counters.count("mesh_frames_unexpected");
  }
}

bool IncomingLinks::sendToCaller(Incarnation Caller, const std::string &Frame) {
  auto Found = this->ByCaller.find(Caller);
  if (Found == this->ByCaller.end())
    return false;
  this->Links.at(Found->second)->Link->send(Frame);
  return true;
}

void IncomingLinks::sendToAll(const std::string &Frame) {
  for (auto &[Key, To] : this->Links)
    if (To->Caller)
      To->Link->send(Frame);
}

void IncomingLinks::sendToNodes(const std::vector<NodeId> &Nodes,
                                const std::string &Frame) {
  for (auto &[Key, To] : this->Links)
    if (To->Caller &&
        std::find(Nodes.begin(), Nodes.end(), To->From) != Nodes.end())
      To->Link->send(Frame);
}

} // namespace limpetdrum
