#include "limpetdrum/daemon/calls/TargetSelector.h"

#include <algorithm>

namespace limpetdrum {

TargetSelector::TargetSelector(Options Config, EventLoop &Loop, Mesh &Peers,
                               const LocalTarget &Local, EventLog &Log,
                               Metrics &Counters)
    : Config(std::move(Config)), Loop(Loop), Peers(Peers), Local(Local),
      Log(Log), Counters(Counters),
      NodePlacement(this->Config.FailureDomain, this->Config.Seed) {}

void TargetSelector::onPeerStatus(const NodeId &Node) {
  this->NodePlacement.onReport(Node, this->Loop.now());
}

void TargetSelector::onPeerRemoved(const NodeId &Node) {
  this->NodePlacement.remove(Node);
}

void TargetSelector::end(const NodeId &Node, CallResult Result) {
  this->NodePlacement.end(Node, Result, this->Loop.now());
}

TargetSelector::Candidates
TargetSelector::candidates(const ServiceName &Service) const {
  Candidates Result;
  std::vector<PlacementCandidate> Draining;
  auto AddCandidate = [&](const NodeStatus &Status, const Contact &Contact,
                          bool IsSuspect) {
    if (Status.Target.Service != Service || Status.Target.Id.empty())
      return;
    PlacementCandidate Candidate{Contact.Node,
                                 Contact.FailureDomain,
                                 Status.Running + Status.Queued,
                                 Status.Limit,
                                 Status.ServiceTime,
                                 Status.Pace,
                                 Contact.Node == this->Config.Node};
    if (Status.Target.State == TargetState::Ready && !Status.Leaving)
      (IsSuspect ? Result.Fallback : Result.Ready)
          .push_back(std::move(Candidate));
    else if (Status.Target.State != TargetState::Starting)
      Draining.push_back(std::move(Candidate));
  };
  NodeStatus Local;
  this->Local.fillStatus(Local);
  AddCandidate(Local, {this->Config.Node, {}, this->Config.FailureDomain},
               false);
  for (const auto &[Node, Peer] : this->Peers.peers())
    if (Peer.IsReachable && Peer.Status)
      AddCandidate(*Peer.Status, Peer.Contact, Peer.IsSuspect);
  if (Result.Fallback.empty())
    Result.Fallback = std::move(Draining);
  return Result;
}

std::optional<NodeId> TargetSelector::select(const Query &Request) {
  auto Linked = this->candidates(Request.Service);
  auto Time = this->Loop.now();
  auto Node = this->NodePlacement.pick(Linked.Ready, Request.Excluded, Time);
  if (Node)
    return Node;
  if (auto Unlinked =
          this->Config.FindUnlinkedNode(Request.Service, Request.Excluded)) {
    this->Counters.count("links_on_demand");
    this->Log.request("link_on_demand", {{"id", Request.RequestId},
                                         {"service", Request.Service.value()},
                                         {"node", Unlinked->Node.value()}});
    this->Peers.add(*Unlinked);
    return this->NodePlacement.pick({{Unlinked->Node, Unlinked->FailureDomain}},
                                    {}, Time);
  }
  if (!Linked.Ready.empty())
    return std::nullopt;
  return this->NodePlacement.pick(Linked.Fallback, Request.Excluded, Time);
}

bool TargetSelector::selectAgain(const NodeId &Node,
                                 const ServiceName &Service) {
  auto Candidates = this->candidates(Service).best();
  Candidates.erase(std::remove_if(Candidates.begin(), Candidates.end(),
                                  [&](const auto &Candidate) {
                                    return Candidate.Node != Node;
                                  }),
                   Candidates.end());
  return this->NodePlacement.pick(Candidates, {}, this->Loop.now()).has_value();
}

bool TargetSelector::hasUntriedNode(const Query &Request) const {
  auto Linked = this->candidates(Request.Service).best();
  return std::any_of(Linked.begin(), Linked.end(),
                     [&](const auto &Candidate) {
                       return std::find(Request.Excluded.begin(),
                                        Request.Excluded.end(),
                                        Candidate.Node) ==
                              Request.Excluded.end();
                     }) ||
         this->Config.FindUnlinkedNode(Request.Service, Request.Excluded);
}

const TargetRecord *TargetSelector::target(const NodeId &Node) const {
  if (Node == this->Config.Node)
    return &this->Local.record();
  auto Peer = this->Peers.peers().find(Node);
  if (Peer == this->Peers.peers().end() || !Peer->second.Status)
    return nullptr;
  return &Peer->second.Status->Target;
}

} // namespace limpetdrum
