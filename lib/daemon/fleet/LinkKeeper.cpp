#include "limpetdrum/daemon/fleet/LinkKeeper.h"

#include "limpetdrum/process/Duties.h"
#include "limpetdrum/process/Rendezvous.h"

#include <algorithm>

namespace limpetdrum {

namespace {

/// Number of nodes of a failure domain that may take over its duties while the
/// first ones are unreachable. All nodes of the domain are linked to them.
constexpr std::size_t DutyCandidates = 4;
/// A link that is no longer wanted is kept for this time, in case it is again.
constexpr std::chrono::seconds UnwantedPeriod{5};

Contact contactOf(const Member &Value) {
  return {Value.Node, Value.Rpc, Value.FailureDomain};
}

} // namespace

LinkKeeper::LinkKeeper(const Membership &Members, Mesh &Links, EventLoop &Loop)
    : Members(Members), Links(Links), Loop(Loop),
      Plan(Members.self().Node, Members.self().FailureDomain) {}

bool LinkKeeper::isFit(const NodeId &Node) const {
  auto Found = this->Links.peers().find(Node);
  // A node that was not heard of yet is given the time to establish the link.
  if (Found == this->Links.peers().end() || !Found->second.Status)
    return true;
  const auto &Peer = Found->second;
  return Peer.IsReachable && !Peer.IsSuspect && !Peer.Status->Leaving &&
         !Peer.Status->StoreLost;
}

std::vector<NodeId> LinkKeeper::dutyHolders(const FailureDomain &Domain) const {
  std::vector<NodeId> Result;
  for (const auto &Node : dutyOrder(this->Members, Domain, DutyCandidates))
    if (Result.size() < DutyHolders &&
        (Node == this->Members.self().Node || this->isFit(Node)))
      Result.push_back(Node);
  return Result;
}

bool LinkKeeper::holdsDuties() const {
  const auto &Self = this->Members.self();
  auto Holders = this->dutyHolders(Self.FailureDomain);
  return std::find(Holders.begin(), Holders.end(), Self.Node) != Holders.end();
}

std::vector<FailureDomain> LinkKeeper::otherDomains() const {
  std::set<FailureDomain> Domains;
  for (const auto &[Node, M] : this->Members.others())
    if (!isGone(M) && M.FailureDomain != this->Members.self().FailureDomain)
      Domains.insert(M.FailureDomain);
  return {Domains.begin(), Domains.end()};
}

std::set<NodeId> LinkKeeper::select() const {
  auto Result = this->Plan.select(this->Members);
  auto AddDuties = [&](const FailureDomain &Domain, std::size_t Count) {
    for (auto &Node : dutyOrder(this->Members, Domain, Count))
      Result.insert(std::move(Node));
  };
  AddDuties(this->Members.self().FailureDomain, DutyCandidates);
  if (this->HeldDuties)
    for (const auto &Domain : this->otherDomains())
      AddDuties(Domain, DutyHolders);
  Result.erase(this->Members.self().Node);
  return Result;
}

void LinkKeeper::applyPlan() {
  auto Previous = std::exchange(this->Wanted, {});
  for (const auto &Node : this->select()) {
    const auto &M = *this->Members.find(Node);
    this->Wanted.emplace(Node, M.Incarnation);
    this->Links.add(contactOf(M));
    // A node that was restarted can be reached again.
    auto Known = Previous.find(Node);
    if (Known != Previous.end() && Known->second != M.Incarnation)
      this->Links.retry(Node);
  }
}

void LinkKeeper::update() {
  this->observeUtilization();
  bool HoldsDuties = this->holdsDuties();
  bool Changed = this->MembersSeen != this->Members.changes() ||
                 this->PlanSeen != this->Plan.changes() ||
                 this->HeldDuties != HoldsDuties;
  this->MembersSeen = this->Members.changes();
  this->PlanSeen = this->Plan.changes();
  this->HeldDuties = HoldsDuties;
  if (Changed)
    this->applyPlan();
  auto Now = this->Loop.now();
  for (const auto &[Node, Peer] : this->Links.peers()) {
    if (this->Wanted.count(Node) != 0) {
      this->Unwanted.erase(Node);
      continue;
    }
    auto Since = this->Unwanted.try_emplace(Node, Now).first->second;
    if (Now - Since >= UnwantedPeriod)
      this->Links.remove(Node);
  }
  for (auto It = this->Unwanted.begin(); It != this->Unwanted.end();)
    It = this->Links.peers().count(It->first) == 0 ? this->Unwanted.erase(It)
                                                   : std::next(It);
}

void LinkKeeper::observeUtilization() {
  std::map<ServiceName, ServiceLoad> Linked;
  for (const auto &[Node, Peer] : this->Links.peers()) {
    if (!Peer.IsReachable || !Peer.Status || !Peer.Status->Target.isReady())
      continue;
    auto &Sum = Linked[Peer.Status->Target.Service];
    Sum.Limit += Peer.Status->Limit;
    Sum.Running += Peer.Status->Running + Peer.Status->Queued;
  }
  for (const auto &[Service, Sum] : Linked)
    if (Sum.Limit > 0)
      this->Plan.observe(Service, Sum.Running / Sum.Limit, this->Loop.now());
}

std::map<ServiceName, ServiceLoad>
LinkKeeper::loads(const NodeStatus &Local) const {
  LoadEstimate Estimate;
  const auto &Self = this->Members.self();
  Estimate.addMember(Self.Service, Self.FailureDomain);
  Estimate.addSample(Self.Service, Self.FailureDomain, Local,
                     Local.Target.isReady() && !Local.Leaving);
  for (const auto &[Node, M] : this->Members.others()) {
    if (isGone(M))
      continue;
    Estimate.addMember(M.Service, M.FailureDomain);
    auto Peer = this->Links.peers().find(Node);
    if (Peer == this->Links.peers().end() || !Peer->second.Status)
      continue;
    const auto &Status = *Peer->second.Status;
    Estimate.addSample(M.Service, M.FailureDomain, Status,
                       Peer->second.IsReachable && Status.Target.isReady() &&
                           !Status.Leaving);
  }
  return Estimate.total();
}

std::optional<Contact>
LinkKeeper::findUnlinked(const ServiceName &Service,
                         const std::vector<NodeId> &Excluded) const {
  const auto &Self = this->Members.self();
  auto Seed = stableHash(Self.Node.value());
  // The order differs between nodes, so that they do not all select the same.
  auto IsBetter = [&](const Member &A, const Member &B) {
    bool IsLocalA = A.FailureDomain == Self.FailureDomain;
    bool IsLocalB = B.FailureDomain == Self.FailureDomain;
    if (IsLocalA != IsLocalB)
      return IsLocalA;
    return rendezvousWeight(Seed, A.Node) > rendezvousWeight(Seed, B.Node);
  };
  const Member *Best = nullptr;
  for (const auto &[Node, M] : this->Members.others()) {
    if (M.Service != Service || M.Health != Health::Alive ||
        M.Target != TargetState::Ready ||
        this->Links.peers().count(Node) != 0 ||
        std::find(Excluded.begin(), Excluded.end(), Node) != Excluded.end())
      continue;
    if (Best == nullptr || IsBetter(M, *Best))
      Best = &M;
  }
  return Best == nullptr ? std::nullopt : std::optional(contactOf(*Best));
}

} // namespace limpetdrum
