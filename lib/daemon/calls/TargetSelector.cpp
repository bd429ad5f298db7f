#include "limpetdrum/daemon/calls/TargetSelector.h"

#include <algorithm>

namespace limpetdrum {

namespace {

/// Name of the highest age of news that is counted together.
struct NewsAge {
  Milliseconds Below;
  const char *Name;
};
/// Replies come more often than every 100 ms under load, load messages every
/// 500 ms; older news means that messages were lost or are held up.
constexpr NewsAge NewsAges[] = {{Milliseconds(100), "100ms"},
                                {Milliseconds(500), "500ms"},
                                {Milliseconds(2000), "2s"}};

const char *nameOfAge(Microseconds Age) noexcept {
  for (const auto &Each : NewsAges)
    if (Age < Each.Below)
      return Each.Name;
  return "older";
}

} // namespace

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
    if (Status.Target.Service != Service || Status.Target.Id.empty() ||
        Status.RefusesRuns)
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
  if (Node) {
    this->countChoice(Request);
    return Node;
  }
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

std::optional<NodeId>
TargetSelector::selectForTrial(const Query &Request,
                               RequestFingerprint Fingerprint) {
  auto Ready = this->candidates(Request.Service).Ready;
  std::vector<NodeId> Untried;
  for (const auto &Candidate : Ready)
    if (std::find(Request.Excluded.begin(), Request.Excluded.end(),
                  Candidate.Node) == Request.Excluded.end())
      Untried.push_back(Candidate.Node);
  auto Node = trialNode(Fingerprint, std::move(Untried));
  if (!Node || !this->selectAgain(*Node, Request.Service))
    return std::nullopt;
  this->Counters.count("placements_for_trial");
  this->Log.request("trial", {{"id", Request.RequestId},
                              {"request", toString(Fingerprint)},
                              {"service", Request.Service.value()},
                              {"node", Node->value()}});
  return Node;
}

void TargetSelector::countChoice(const Query &Request) {
  const auto &Last = this->NodePlacement.lastChoice();
  this->Counters.count("placements", "news", nameOfAge(Last.NewsAge));
  if (!Request.Excluded.empty())
    this->Counters.count("placements_again");
  if (Last.LeavesDomain)
    this->Counters.count("placements_other_domain");
  this->Counters.gauge("placement_unevenness", Last.Unevenness);
}

std::vector<WeighedCandidate>
TargetSelector::explain(const ServiceName &Service,
                        const std::vector<NodeId> &Excluded) const {
  auto Linked = this->candidates(Service);
  auto Time = this->Loop.now();
  auto Ready = this->NodePlacement.explain(Linked.Ready, Excluded, Time);
  if (!Ready.empty() || !Linked.Ready.empty() ||
      this->Config.FindUnlinkedNode(Service, Excluded))
    return Ready;
  return this->NodePlacement.explain(Linked.Fallback, Excluded, Time);
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
