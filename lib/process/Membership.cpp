#include "limpetdrum/process/Membership.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>

namespace limpetdrum {

namespace {

constexpr unsigned MaxDistrust = 8;
constexpr unsigned PeriodsBetweenKnocks = 5;
constexpr double SuspicionPeriods = 3;
/// With a fanout of 3, a piece of news misses a node with a chance of e^-12.
constexpr unsigned NewsRounds = 4;
/// Longer silences between two ticks mean that this process was paused.
constexpr int PauseInPeriods = 2;

/// News that keeps work away from a node goes before all other.
bool isUrgent(const Member *About) {
  return About != nullptr && (About->Health == Health::Dead ||
                              About->Target == TargetState::Draining ||
                              About->Target == TargetState::Left);
}

std::uint64_t hashOf(const Member &M) {
  auto Known = M.Health == Health::Dead ? 1U : 0U;
  return stableHash(M.Node.value(),
                    M.Incarnation.value() * 31 + M.Version * 2ULL + Known);
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

bool supersedes(const Member &New, const Member &Old) noexcept {
  return std::tie(New.Incarnation, New.Version, New.Health) >
         std::tie(Old.Incarnation, Old.Version, Old.Health);
}

Membership::Membership(Member Self, MembershipOptions Options,
                       std::uint64_t Seed)
    : Self(std::move(Self)), Options(Options), Random(Seed) {}

void Membership::announce(const ServiceName &Service, Slots Slots,
                          TargetState Target) {
  this->Self.Service = Service;
  this->Self.Slots = Slots;
  this->Self.Target = Target;
  ++this->Self.Version;
  ++this->Changes;
  this->spread(this->Self.Node);
}

void Membership::setRevision(Revision InForce) {
  if (InForce <= this->InForce)
    return;
  this->InForce = InForce;
  this->RevisionRounds = NewsRounds;
}

const Member *Membership::find(const NodeId &Node) const {
  if (Node == this->Self.Node)
    return &this->Self;
  auto Found = this->Others.find(Node);
  return Found == this->Others.end() ? nullptr : &Found->second;
}

std::vector<Member> Membership::list() const {
  std::vector<Member> All = {this->Self};
  for (const auto &Entry : this->Others)
    All.push_back(Entry.second);
  return All;
}

std::uint64_t Membership::digest() const noexcept {
  return this->OthersDigest ^ hashOf(this->Self);
}

Microseconds Membership::patience() const {
  return this->Options.Period * (1 + static_cast<int>(this->Distrust));
}

Microseconds Membership::suspicionTime() const {
  double Size = static_cast<double>(this->Others.size()) + 1;
  double Periods = SuspicionPeriods * std::max(1.0, std::log10(Size));
  return Microseconds(static_cast<std::int64_t>(
      Periods * static_cast<double>(std::chrono::duration_cast<Microseconds>(
                                        this->Options.Period)
                                        .count())));
}

void Membership::spread(const NodeId &About) {
  // The newest goes first: after a mass restart the queue is long.
  this->Pending.erase(
      std::remove_if(this->Pending.begin(), this->Pending.end(),
                     [&About](const News &N) { return N.About == About; }),
      this->Pending.end());
  this->Pending.insert(this->Pending.begin(), {About, NewsRounds});
}

void Membership::applyAboutSelf(const Member &Update) {
  if (Update.Incarnation > this->Self.Incarnation) {
    this->Superseded = true;
    return;
  }
  bool Wrong = Update.Incarnation == this->Self.Incarnation &&
               Update.Health != Health::Alive &&
               Update.Version >= this->Self.Version;
  if (!Wrong)
    return;
  this->Self.Version = Update.Version + 1;
  this->Distrust = std::min(this->Distrust + 1, MaxDistrust);
  this->spread(this->Self.Node);
}

bool Membership::apply(const Member &Update, TimePoint Now, Output &Out) {
  if (Update.Node == this->Self.Node) {
    this->applyAboutSelf(Update);
    return false;
  }
  auto Found = this->Others.find(Update.Node);
  if (Found != this->Others.end() && !supersedes(Update, Found->second))
    return false;
  if (Found != this->Others.end())
    this->OthersDigest ^= hashOf(Found->second);
  this->OthersDigest ^= hashOf(Update);
  this->Others[Update.Node] = Update;
  ++this->Changes;
  this->Suspects.erase(Update.Node);
  this->DeadSince.erase(Update.Node);
  if (Update.Health == Health::Suspect)
    this->Suspects[Update.Node] = Now + this->suspicionTime();
  if (Update.Health == Health::Dead)
    this->DeadSince[Update.Node] = Now;
  this->spread(Update.Node);
  Out.Changed.push_back(Update);
  return true;
}

void Membership::mark(const NodeId &Node, Health How, TimePoint Now,
                      Output &Out) {
  auto Found = this->Others.find(Node);
  if (Found == this->Others.end())
    return;
  Member Update = Found->second;
  Update.Health = How;
  this->apply(Update, Now, Out);
}

GossipMessage Membership::message(GossipKind Kind, std::uint32_t Sequence) {
  GossipMessage M;
  M.Kind = Kind;
  M.From = this->Self.Node;
  M.Sequence = Sequence;
  M.Revision = this->InForce;
  M.Digest = this->digest();
  auto Count = std::min(this->Pending.size(), this->Options.UpdatesPerMessage);
  for (std::size_t I = 0; I < Count; ++I)
    if (const Member *About = this->find(this->Pending[I].About))
      M.Updates.push_back(*About);
  return M;
}

void Membership::send(const NodeId &To, GossipMessage Message, Output &Out) {
  const Member *Peer = this->find(To);
  if (Peer == nullptr || To == this->Self.Node)
    return;
  // Let it refute what we hold against it.
  if (Peer->Health != Health::Alive)
    Message.Updates.insert(Message.Updates.begin(), *Peer);
  if (Message.Updates.size() > this->Options.UpdatesPerMessage)
    Message.Updates.resize(this->Options.UpdatesPerMessage);
  Out.Send.push_back({Peer->Gossip, std::move(Message)});
}

std::vector<NodeId> Membership::choose(std::size_t Count,
                                       const NodeId &Except) {
  std::vector<NodeId> Alive;
  for (const auto &[Node, M] : this->Others)
    if (M.Health != Health::Dead && M.Target != TargetState::Left &&
        Node != Except)
      Alive.push_back(Node);
  std::vector<NodeId> Chosen;
  std::sample(Alive.begin(), Alive.end(), std::back_inserter(Chosen), Count,
              this->Random);
  return Chosen;
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
    for (const auto &Entry : this->Others)
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
    this->knockAtDead(Out);
  }
  this->flushNews(Now, Out);
  return Out;
}

void Membership::checkPause(TimePoint Now) {
  bool WasPaused = this->LastTick != TimePoint() &&
                   Now - this->LastTick > this->Options.Period * PauseInPeriods;
  if (WasPaused) {
    // Answers that we missed say nothing of others.
    auto Gap = Now - this->LastTick;
    this->Current.reset();
    this->Distrust = std::min(this->Distrust + 2, MaxDistrust);
    for (auto &Entry : this->Suspects)
      Entry.second += Gap;
  }
  this->LastTick = Now;
}

void Membership::beginProbe(TimePoint Now, Output &Out) {
  if (this->Current)
    return;
  auto Subject = this->nextToProbe();
  if (!Subject)
    return;
  Probe Begun;
  Begun.Subject = *Subject;
  Begun.Sequence = ++this->LastSequence;
  Begun.AskHelpersAt = Now + this->patience() / 3;
  Begun.SuspectAt = Now + this->patience();
  this->Current = Begun;
  this->send(*Subject, this->message(GossipKind::Ping, Begun.Sequence), Out);
}

void Membership::advanceProbe(TimePoint Now, Output &Out) {
  if (!this->Current)
    return;
  auto &P = *this->Current;
  if (Now >= P.SuspectAt) {
    auto Subject = P.Subject;
    this->Current.reset();
    this->Distrust = std::min(this->Distrust + 1, MaxDistrust);
    const Member *M = this->find(Subject);
    if (M != nullptr && M->Health == Health::Alive)
      this->mark(Subject, Health::Suspect, Now, Out);
    return;
  }
  if (P.HelpersAsked || Now < P.AskHelpersAt)
    return;
  P.HelpersAsked = true;
  for (const auto &Helper : this->choose(this->Options.Helpers, P.Subject)) {
    auto M = this->message(GossipKind::PingRequest, P.Sequence);
    M.Subject = P.Subject;
    this->send(Helper, std::move(M), Out);
  }
}

void Membership::expireSuspects(TimePoint Now, Output &Out) {
  std::vector<NodeId> Expired;
  for (const auto &[Node, At] : this->Suspects)
    if (Now >= At)
      Expired.push_back(Node);
  for (const auto &Node : Expired)
    this->mark(Node, Health::Dead, Now, Out);
  for (auto It = this->DeadSince.begin(); It != this->DeadSince.end();) {
    if (Now - It->second < this->Options.KeepDead) {
      ++It;
      continue;
    }
    this->OthersDigest ^= hashOf(this->Others.at(It->first));
    this->Others.erase(It->first);
    ++this->Changes;
    It = this->DeadSince.erase(It);
  }
  for (auto It = this->Relays.begin(); It != this->Relays.end();)
    It = Now >= It->second.Expiry ? this->Relays.erase(It) : std::next(It);
}

void Membership::knockAtDead(Output &Out) {
  if (this->PeriodsToKnock > 0) {
    --this->PeriodsToKnock;
    return;
  }
  this->PeriodsToKnock = PeriodsBetweenKnocks;
  if (this->DeadSince.empty())
    return;
  auto Step =
      static_cast<std::ptrdiff_t>(this->Random() % this->DeadSince.size());
  auto Node = std::next(this->DeadSince.begin(), Step)->first;
  this->send(Node, this->message(GossipKind::Ping, ++this->LastSequence), Out);
}

void Membership::flushNews(TimePoint Now, Output &Out) {
  if (Now < this->NextFlush ||
      (this->Pending.empty() && this->RevisionRounds == 0))
    return;
  this->NextFlush = Now + this->Options.FlushPeriod;
  if (this->RevisionRounds > 0)
    --this->RevisionRounds;
  std::stable_sort(this->Pending.begin(), this->Pending.end(),
                   [this](const News &A, const News &B) {
                     bool UrgentA = isUrgent(this->find(A.About));
                     bool UrgentB = isUrgent(this->find(B.About));
                     if (UrgentA != UrgentB)
                       return UrgentA;
                     return A.RoundsLeft > B.RoundsLeft;
                   });
  for (const auto &To : this->choose(this->Options.Fanout, this->Self.Node))
    this->send(To, this->message(GossipKind::Rumor, 0), Out);
  auto Sent = std::min(this->Pending.size(), this->Options.UpdatesPerMessage);
  for (std::size_t I = 0; I < Sent; ++I)
    --this->Pending[I].RoundsLeft;
  this->Pending.erase(
      std::remove_if(this->Pending.begin(), this->Pending.end(),
                     [](const News &N) { return N.RoundsLeft == 0; }),
      this->Pending.end());
}

Membership::Output Membership::receive(const GossipMessage &Message,
                                       TimePoint Now) {
  Output Out;
  for (const auto &Update : Message.Updates)
    this->apply(Update, Now, Out);
  if (Message.Revision > this->InForce)
    Out.NewerReleaseAt = Message.From;
  switch (Message.Kind) {
  case GossipKind::Ping:
    this->answerPing(Message, Out);
    break;
  case GossipKind::Ack:
    this->answerAck(Message, Out);
    this->compareDigest(Message, Now, Out);
    break;
  case GossipKind::PingRequest:
    this->relayPing(Message, Now, Out);
    break;
  case GossipKind::Rumor:
    break;
  }
  return Out;
}

void Membership::answerPing(const GossipMessage &Message, Output &Out) {
  auto M = this->message(GossipKind::Ack, Message.Sequence);
  M.Subject = this->Self.Node;
  this->send(Message.From, std::move(M), Out);
}

void Membership::answerAck(const GossipMessage &Message, Output &Out) {
  auto Relayed = this->Relays.find(Message.Sequence);
  if (Relayed != this->Relays.end()) {
    auto M = this->message(GossipKind::Ack, Relayed->second.Sequence);
    M.Subject = Message.Subject;
    this->send(Relayed->second.Requester, std::move(M), Out);
    this->Relays.erase(Relayed);
    return;
  }
  bool Answers = this->Current && this->Current->Sequence == Message.Sequence &&
                 this->Current->Subject == Message.Subject;
  if (!Answers)
    return;
  this->Current.reset();
  if (this->Distrust > 0)
    --this->Distrust;
}

void Membership::relayPing(const GossipMessage &Message, TimePoint Now,
                           Output &Out) {
  auto Sequence = ++this->LastSequence;
  this->Relays[Sequence] =
      Relay{Message.From, Message.Sequence, Now + this->Options.Period};
  this->send(Message.Subject, this->message(GossipKind::Ping, Sequence), Out);
}

void Membership::compareDigest(const GossipMessage &Message, TimePoint Now,
                               Output &Out) {
  bool Settled = this->Pending.empty() && Now >= this->NextSync;
  if (!Settled || Message.Digest == this->digest())
    return;
  this->NextSync = Now + this->Options.SyncPause;
  Out.SyncWith = Message.From;
}

Membership::Output Membership::pingAll() {
  Output Out;
  for (const auto &Entry : this->Others)
    this->send(Entry.first,
               this->message(GossipKind::Ping, ++this->LastSequence), Out);
  return Out;
}

Membership::Output Membership::merge(const std::vector<Member> &Members,
                                     TimePoint Now) {
  Output Out;
  bool Joins = this->Others.empty();
  for (const auto &Update : Members)
    this->apply(Update, Now, Out);
  // To a node that joins all is new, and to nobody else.
  if (Joins)
    this->Pending.erase(std::remove_if(this->Pending.begin(),
                                       this->Pending.end(),
                                       [this](const News &N) {
                                         return N.About != this->Self.Node;
                                       }),
                        this->Pending.end());
  return Out;
}

} // namespace limpetdrum
