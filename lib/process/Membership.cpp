#include "limpetdrum/process/Membership.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>

namespace limpetdrum {

namespace {

constexpr unsigned MaxLocalHealthScore = 8;
constexpr unsigned PeriodsBetweenDeadPings = 5;
constexpr double SuspicionPeriods = 3;
/// With a fanout of 3, an update misses a node with a probability of e^-12.
constexpr unsigned DisseminationRounds = 4;
/// A longer gap between two ticks means that this process was paused.
constexpr int PauseThresholdPeriods = 2;

/// Returns true for a member that must not receive work any more. Updates about
/// such members are sent before all others.
bool isUrgent(const Member *M) {
  return M != nullptr &&
         (M->Health == Health::Dead || M->Target == TargetState::Draining ||
          M->Target == TargetState::Left);
}

/// Returns the contribution of a member to the digest. Members that are gone
/// contribute nothing: nodes remove them at different times.
std::uint64_t digestOf(const Member &M) {
  return isGone(M) ? 0
                   : stableHash(M.Node.value(),
                                M.Incarnation.value() * 31 + M.Version);
}

} // namespace

const char *toString(TargetState Value) noexcept {
  constexpr std::array<const char *, 4> Names = {"starting", "ready",
                                                 "draining", "left"};
  return Names[static_cast<std::size_t>(Value)];
}

const char *toString(Health Value) noexcept {
  constexpr std::array<const char *, 3> Names = {"alive", "suspect", "dead"};
  return Names[static_cast<std::size_t>(Value)];
}

bool isGone(const Member &Value) noexcept {
  return Value.Health == Health::Dead || Value.Target == TargetState::Left;
}

bool supersedes(const Member &New, const Member &Old) noexcept {
  return std::tie(New.Incarnation, New.Version, New.Health) >
         std::tie(Old.Incarnation, Old.Version, Old.Health);
}

Membership::Membership(Member Self, MembershipOptions Options,
                       std::uint64_t Seed)
    : Self(std::move(Self)), Options(Options), Random(Seed) {}

void Membership::announce(const ServiceName &Service, Slots Slots,
                          TargetState Target) {
  if (this->Self.Service == Service && this->Self.Slots == Slots &&
      this->Self.Target == Target)
    return;
  this->Self.Service = Service;
  this->Self.Slots = Slots;
  this->Self.Target = Target;
  ++this->Self.Version;
  ++this->Changes;
  this->enqueueUpdate(this->Self.Node);
}

void Membership::setRevision(Revision InForce) {
  if (InForce <= this->InForce)
    return;
  this->InForce = InForce;
  this->RevisionRounds = DisseminationRounds;
}

const Member *Membership::find(const NodeId &Node) const {
  if (Node == this->Self.Node)
    return &this->Self;
  auto Found = this->Peers.find(Node);
  return Found == this->Peers.end() ? nullptr : &Found->second;
}

std::vector<Member> Membership::list() const {
  std::vector<Member> All = {this->Self};
  for (const auto &Entry : this->Peers)
    All.push_back(Entry.second);
  return All;
}

std::uint64_t Membership::digest() const noexcept {
  return this->PeersDigest ^ digestOf(this->Self);
}

Microseconds Membership::probeTimeout() const {
  return this->Options.Period * (1 + static_cast<int>(this->LocalHealthScore));
}

Microseconds Membership::suspicionTimeout() const {
  double Size = static_cast<double>(this->Peers.size()) + 1;
  double Periods = SuspicionPeriods * std::max(1.0, std::log10(Size));
  return Microseconds(static_cast<std::int64_t>(
      Periods * static_cast<double>(std::chrono::duration_cast<Microseconds>(
                                        this->Options.Period)
                                        .count())));
}

void Membership::enqueueUpdate(const NodeId &Node) {
  // The newest update goes first: the queue is long after a mass restart.
  this->PendingUpdates.erase(std::remove_if(this->PendingUpdates.begin(),
                                            this->PendingUpdates.end(),
                                            [&Node](const PendingUpdate &U) {
                                              return U.Node == Node;
                                            }),
                             this->PendingUpdates.end());
  this->PendingUpdates.insert(this->PendingUpdates.begin(),
                              {Node, DisseminationRounds});
}

void Membership::applyToSelf(const Member &Update) {
  if (Update.Incarnation > this->Self.Incarnation) {
    this->Superseded = !this->Options.OwnsName;
    if (this->Superseded)
      return;
    this->Self.Incarnation = Incarnation(Update.Incarnation.value() + 1);
    ++this->Changes;
    this->enqueueUpdate(this->Self.Node);
    return;
  }
  bool NeedsRefutation = Update.Incarnation == this->Self.Incarnation &&
                         Update.Health != Health::Alive &&
                         Update.Version >= this->Self.Version;
  if (!NeedsRefutation)
    return;
  this->Self.Version = Update.Version + 1;
  this->LocalHealthScore =
      std::min(this->LocalHealthScore + 1, MaxLocalHealthScore);
  this->enqueueUpdate(this->Self.Node);
}

bool Membership::apply(const Member &Update, TimePoint Now, Output &Out) {
  if (Update.Node == this->Self.Node) {
    this->applyToSelf(Update);
    return false;
  }
  auto Found = this->Peers.find(Update.Node);
  if (Found != this->Peers.end() && !supersedes(Update, Found->second))
    return false;
  // Nodes remove members that are gone at different times. Adding one again
  // would spread it for ever.
  if (Found == this->Peers.end() && isGone(Update))
    return false;
  if (Found != this->Peers.end())
    this->PeersDigest ^= digestOf(Found->second);
  this->PeersDigest ^= digestOf(Update);
  this->Peers[Update.Node] = Update;
  ++this->Changes;
  this->Suspects.erase(Update.Node);
  this->GoneSince.erase(Update.Node);
  if (Update.Health == Health::Suspect)
    this->Suspects[Update.Node] = Now + this->suspicionTimeout();
  if (isGone(Update))
    this->GoneSince[Update.Node] = Now;
  this->enqueueUpdate(Update.Node);
  Out.Changed.push_back(Update);
  return true;
}

void Membership::setHealth(const NodeId &Node, Health Value, TimePoint Now,
                           Output &Out) {
  auto Found = this->Peers.find(Node);
  if (Found == this->Peers.end())
    return;
  Member Update = Found->second;
  Update.Health = Value;
  this->apply(Update, Now, Out);
}

GossipMessage Membership::message(GossipKind Kind, std::uint32_t Sequence) {
  GossipMessage M;
  M.Kind = Kind;
  M.Sender = this->Self.Node;
  M.Sequence = Sequence;
  M.Revision = this->InForce;
  M.Digest = this->digest();
  auto Count =
      std::min(this->PendingUpdates.size(), this->Options.UpdatesPerMessage);
  for (std::size_t I = 0; I < Count; ++I)
    if (const Member *Subject = this->find(this->PendingUpdates[I].Node))
      M.Updates.push_back(*Subject);
  return M;
}

void Membership::send(const NodeId &Receiver, GossipMessage Message,
                      Output &Out) {
  const Member *Peer = this->find(Receiver);
  if (Peer == nullptr || Receiver == this->Self.Node)
    return;
  // Includes the receiver's record so that the receiver can refute it.
  if (Peer->Health != Health::Alive)
    Message.Updates.insert(Message.Updates.begin(), *Peer);
  if (Message.Updates.size() > this->Options.UpdatesPerMessage)
    Message.Updates.resize(this->Options.UpdatesPerMessage);
  Out.Send.push_back({Peer->Gossip, std::move(Message)});
}

std::vector<NodeId> Membership::randomMembers(std::size_t Count,
                                              const NodeId &Excluded) {
  std::vector<NodeId> Candidates;
  for (const auto &[Node, M] : this->Peers)
    if (M.Health != Health::Dead && M.Target != TargetState::Left &&
        Node != Excluded)
      Candidates.push_back(Node);
  std::vector<NodeId> Sample;
  std::sample(Candidates.begin(), Candidates.end(), std::back_inserter(Sample),
              Count, this->Random);
  return Sample;
}

std::optional<NodeId> Membership::nextToProbe() {
  for (int Refills = 0; Refills < 2; ++Refills) {
    while (!this->ProbeOrder.empty()) {
      auto Node = this->ProbeOrder.back();
      this->ProbeOrder.pop_back();
      const Member *M = this->find(Node);
      if (M != nullptr && M->Health != Health::Dead &&
          M->Target != TargetState::Left)
        return Node;
    }
    for (const auto &Entry : this->Peers)
      this->ProbeOrder.push_back(Entry.first);
    std::shuffle(this->ProbeOrder.begin(), this->ProbeOrder.end(),
                 this->Random);
  }
  return std::nullopt;
}

Membership::Output Membership::tick(TimePoint Now) {
  Output Out;
  this->checkPause(Now);
  this->advanceProbe(Now, Out);
  this->expireSuspects(Now, Out);
  if (Now >= this->NextProbe) {
    this->NextProbe = Now + this->Options.Period;
    this->beginProbe(Now, Out);
    this->pingDeadMember(Out);
  }
  this->disseminate(Now, Out);
  return Out;
}

void Membership::checkPause(TimePoint Now) {
  bool WasPaused =
      this->LastTick != TimePoint() &&
      Now - this->LastTick > this->Options.Period * PauseThresholdPeriods;
  if (WasPaused) {
    // Acks that were missed during the pause are no evidence against others.
    auto Gap = Now - this->LastTick;
    this->CurrentProbe.reset();
    this->LocalHealthScore =
        std::min(this->LocalHealthScore + 2, MaxLocalHealthScore);
    for (auto &Entry : this->Suspects)
      Entry.second += Gap;
  }
  this->LastTick = Now;
}

void Membership::beginProbe(TimePoint Now, Output &Out) {
  if (this->CurrentProbe)
    return;
  auto Subject = this->nextToProbe();
  if (!Subject)
    return;
  Probe NewProbe;
  NewProbe.Subject = *Subject;
  NewProbe.Sequence = ++this->LastSequence;
  NewProbe.IndirectProbeAt = Now + this->probeTimeout() / 3;
  NewProbe.SuspectAt = Now + this->probeTimeout();
  this->CurrentProbe = NewProbe;
  // A node that was restarted may not know this one, and could not reply.
  auto Ping = this->message(GossipKind::Ping, NewProbe.Sequence);
  Ping.Updates.insert(Ping.Updates.begin(), this->Self);
  this->send(*Subject, std::move(Ping), Out);
}

void Membership::advanceProbe(TimePoint Now, Output &Out) {
  if (!this->CurrentProbe)
    return;
  auto &P = *this->CurrentProbe;
  if (Now >= P.SuspectAt) {
    auto Subject = P.Subject;
    this->CurrentProbe.reset();
    this->LocalHealthScore =
        std::min(this->LocalHealthScore + 1, MaxLocalHealthScore);
    const Member *M = this->find(Subject);
    if (M != nullptr && M->Health == Health::Alive)
      this->setHealth(Subject, Health::Suspect, Now, Out);
    return;
  }
  if (P.IndirectProbeSent || Now < P.IndirectProbeAt)
    return;
  P.IndirectProbeSent = true;
  for (const auto &Helper :
       this->randomMembers(this->Options.IndirectProbes, P.Subject)) {
    auto M = this->message(GossipKind::PingRequest, P.Sequence);
    M.Subject = P.Subject;
    this->send(Helper, std::move(M), Out);
  }
}

void Membership::expireSuspects(TimePoint Now, Output &Out) {
  std::vector<NodeId> Expired;
  for (const auto &[Node, Deadline] : this->Suspects)
    if (Now >= Deadline)
      Expired.push_back(Node);
  for (const auto &Node : Expired)
    this->setHealth(Node, Health::Dead, Now, Out);
  for (auto It = this->GoneSince.begin(); It != this->GoneSince.end();) {
    if (Now - It->second < this->Options.DeadRetention) {
      ++It;
      continue;
    }
    this->PeersDigest ^= digestOf(this->Peers.at(It->first));
    this->Peers.erase(It->first);
    ++this->Changes;
    It = this->GoneSince.erase(It);
  }
  for (auto It = this->Relays.begin(); It != this->Relays.end();)
    It = Now >= It->second.Expiry ? this->Relays.erase(It) : std::next(It);
}

void Membership::pingDeadMember(Output &Out) {
  if (this->PeriodsUntilDeadPing > 0) {
    --this->PeriodsUntilDeadPing;
    return;
  }
  this->PeriodsUntilDeadPing = PeriodsBetweenDeadPings;
  if (this->GoneSince.empty())
    return;
  auto Index =
      static_cast<std::ptrdiff_t>(this->Random() % this->GoneSince.size());
  auto Node = std::next(this->GoneSince.begin(), Index)->first;
  this->send(Node, this->message(GossipKind::Ping, ++this->LastSequence), Out);
}

void Membership::disseminate(TimePoint Now, Output &Out) {
  if (Now < this->NextDissemination ||
      (this->PendingUpdates.empty() && this->RevisionRounds == 0))
    return;
  this->NextDissemination = Now + this->Options.DisseminationPeriod;
  if (this->RevisionRounds > 0)
    --this->RevisionRounds;
  std::stable_sort(this->PendingUpdates.begin(), this->PendingUpdates.end(),
                   [this](const PendingUpdate &A, const PendingUpdate &B) {
                     bool UrgentA = isUrgent(this->find(A.Node));
                     bool UrgentB = isUrgent(this->find(B.Node));
                     if (UrgentA != UrgentB)
                       return UrgentA;
                     return A.RoundsLeft > B.RoundsLeft;
                   });
  for (const auto &Receiver :
       this->randomMembers(this->Options.Fanout, this->Self.Node))
    this->send(Receiver, this->message(GossipKind::Rumor, 0), Out);
  auto Sent =
      std::min(this->PendingUpdates.size(), this->Options.UpdatesPerMessage);
  for (std::size_t I = 0; I < Sent; ++I)
    --this->PendingUpdates[I].RoundsLeft;
  this->PendingUpdates.erase(
      std::remove_if(this->PendingUpdates.begin(), this->PendingUpdates.end(),
                     [](const PendingUpdate &U) { return U.RoundsLeft == 0; }),
      this->PendingUpdates.end());
}

Membership::Output Membership::receive(const GossipMessage &Message,
                                       TimePoint Now) {
  Output Out;
  for (const auto &Update : Message.Updates)
    this->apply(Update, Now, Out);
  if (Message.Revision > this->InForce)
    Out.NewerReleaseAt = Message.Sender;
  switch (Message.Kind) {
  case GossipKind::Ping:
    this->handlePing(Message, Out);
    break;
  case GossipKind::Ack:
    this->handleAck(Message, Out);
    this->compareDigest(Message, Now, Out);
    break;
  case GossipKind::PingRequest:
    this->relayPing(Message, Now, Out);
    break;
  case GossipKind::Rumor:
    break;
  case GossipKind::ListRequest:
    if (const Member *Requester = this->find(Message.Sender))
      this->sendList(Requester->Gossip, Out);
    break;
  }
  return Out;
}

void Membership::handlePing(const GossipMessage &Message, Output &Out) {
  auto M = this->message(GossipKind::Ack, Message.Sequence);
  M.Subject = this->Self.Node;
  this->send(Message.Sender, std::move(M), Out);
}

void Membership::handleAck(const GossipMessage &Message, Output &Out) {
  auto Relayed = this->Relays.find(Message.Sequence);
  if (Relayed != this->Relays.end()) {
    auto M = this->message(GossipKind::Ack, Relayed->second.Sequence);
    M.Subject = Message.Subject;
    this->send(Relayed->second.Requester, std::move(M), Out);
    this->Relays.erase(Relayed);
    return;
  }
  bool IsExpected = this->CurrentProbe &&
                    this->CurrentProbe->Sequence == Message.Sequence &&
                    this->CurrentProbe->Subject == Message.Subject;
  if (!IsExpected)
    return;
  this->CurrentProbe.reset();
  if (this->LocalHealthScore > 0)
    --this->LocalHealthScore;
}

void Membership::relayPing(const GossipMessage &Message, TimePoint Now,
                           Output &Out) {
  auto Sequence = ++this->LastSequence;
  this->Relays[Sequence] =
      Relay{Message.Sender, Message.Sequence, Now + this->Options.Period};
  this->send(Message.Subject, this->message(GossipKind::Ping, Sequence), Out);
}

void Membership::compareDigest(const GossipMessage &Message, TimePoint Now,
                               Output &Out) {
  bool MaySync = this->PendingUpdates.empty() && Now >= this->NextSync;
  if (!MaySync || Message.Digest == this->digest())
    return;
  this->NextSync = Now + this->Options.MinSyncInterval;
  Out.SyncWith = Message.Sender;
}

void Membership::sendList(Endpoint Receiver, Output &Out) {
  auto Page = this->message(GossipKind::Rumor, 0);
  Page.Updates.clear();
  auto Flush = [&]() {
    Out.Send.push_back({Receiver, Page});
    Page.Updates.clear();
  };
  for (auto &M : this->list()) {
    if (isGone(M))
      continue;
    Page.Updates.push_back(std::move(M));
    if (Page.Updates.size() == this->Options.UpdatesPerMessage)
      Flush();
  }
  if (!Page.Updates.empty())
    Flush();
}

Membership::Output Membership::exchangeLists(Endpoint Gossip) {
  Output Out;
  this->sendList(Gossip, Out);
  // The list starts with this node, so the receiver can address its own list.
  auto Request = this->message(GossipKind::ListRequest, 0);
  Request.Updates = {this->Self};
  Out.Send.push_back({Gossip, std::move(Request)});
  return Out;
}

Membership::Output Membership::learn(const std::vector<Member> &Members,
                                     TimePoint Now) {
  Output Out;
  auto Pending = this->PendingUpdates;
  for (const auto &Update : Members)
    this->apply(Update, Now, Out);
  this->PendingUpdates = std::move(Pending);
  return Out;
}

Membership::Output Membership::pingAll() {
  Output Out;
  for (const auto &Entry : this->Peers)
    this->send(Entry.first,
               this->message(GossipKind::Ping, ++this->LastSequence), Out);
  return Out;
}

Membership::Output Membership::merge(const std::vector<Member> &Members,
                                     TimePoint Now) {
  Output Out;
  bool IsJoining = this->Peers.empty();
  for (const auto &Update : Members)
    this->apply(Update, Now, Out);
  // All members are new to a joining node, but already known to the other
  // nodes, so they are not disseminated.
  if (IsJoining)
    this->PendingUpdates.erase(
        std::remove_if(this->PendingUpdates.begin(), this->PendingUpdates.end(),
                       [this](const PendingUpdate &U) {
                         return U.Node != this->Self.Node;
                       }),
        this->PendingUpdates.end());
  return Out;
}

} // namespace limpetdrum
