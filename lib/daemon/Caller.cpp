#include "limpetdrum/daemon/Caller.h"

namespace limpetdrum {

namespace {

/// Maximum number of times that an attempt is sent again to the same
/// incarnation of a node.
constexpr unsigned MaxResends = 8;
/// Mean pause before a call within a chain retries an overloaded service.
constexpr Microseconds RetryPause{50'000};

template <typename... Ts> struct Overloaded : Ts... {
  using Ts::operator()...;
};
template <typename... Ts> Overloaded(Ts...) -> Overloaded<Ts...>;

CallResult callResultOf(const Reply &Value) {
  if (Value.Outcome == Outcome::Answered)
    return CallResult::Served;
  if (Value.Outcome == Outcome::NotRun && Value.Reason != Reason::NoTarget)
    return CallResult::Refused;
  // A request that timed out or was displaced is no evidence of a faulty node.
  bool Faulty = Value.Reason == Reason::TargetFailed ||
                Value.Reason == Reason::NoTarget ||
                Value.Reason == Reason::NodeGone;
  return Faulty ? CallResult::Failed : CallResult::Refused;
}

} // namespace

Caller::Caller(const Membership &Members, ServiceDirectory &Directory,
               Router &Routes, LevelTable &Levels, Executor &LocalExecutor,
               PeerPort &Peers, Metrics &Counters, Clock Now,
               TimerFactory StartTimer)
    : Members(Members), Directory(Directory), Routes(Routes), Levels(Levels),
      LocalExecutor(LocalExecutor), Peers(Peers), Counters(Counters),
      Now(std::move(Now)), StartTimer(std::move(StartTimer)),
      OnLocalAttempt(
          [&LocalExecutor](const AttemptSpec &Spec, ReplyCallback Done) {
            LocalExecutor.execute(Spec, std::move(Done));
          }),
      Random(Members.self().Incarnation.value()) {}

AttemptId Caller::nextAttemptId() {
  const auto &Self = this->Members.self();
  return {callerKey(Self.Node, Self.Incarnation), ++this->LastSequence};
}

std::uint64_t Caller::start(CallRequest Request, ReplyCallback Done) {
  auto Ticket = ++this->LastTicket;
  auto TimeLeft = Request.Spec.TimeLeft;
  auto &A =
      this->ActiveCalls
          .try_emplace(Ticket, std::move(Request), this->Ratio, std::move(Done))
          .first->second;
  A.Deadline = this->Now() + TimeLeft;
  A.DeadlineTimer = this->StartTimer(
      TimeLeft, [this, Ticket]() { this->onDeadline(Ticket); });
  this->perform(Ticket, A.Decisions.start());
  return Ticket;
}

void Caller::perform(std::uint64_t Ticket, Call::Step Step) {
  std::visit(
      Overloaded{
          [&](const Call::SelectNode &) { this->selectNode(Ticket); },
          [&](const Call::Send &Attempt) { this->send(Ticket, Attempt); },
          [&](const Call::Wait &) {},
          [&](const Call::Pause &) { this->pause(Ticket); },
          [&](Call::Finish &Final) {
            this->finish(Ticket, std::move(Final.Reply));
          },
      },
      Step);
}

std::optional<NodeIncarnation> Caller::incarnationOf(const NodeId &Node) const {
  const Member *M = this->Members.find(Node);
  if (M == nullptr)
    return std::nullopt;
  return NodeIncarnation{M->Node, M->Incarnation};
}

bool Caller::isReachable(const NodeIncarnation &Peer) const {
  const Member *M = this->Members.find(Peer.Node);
  return M != nullptr && M->Incarnation == Peer.Incarnation &&
         M->Health != Health::Dead && M->Target != TargetState::Left;
}

void Caller::selectNode(std::uint64_t Ticket) {
  auto &A = this->ActiveCalls.at(Ticket);
  std::optional<NodeIncarnation> Selected;
  if (A.Request.Selector) {
    Selected = A.Request.Selector(A.Decisions.triedNodes());
    if (Selected)
      this->Routes.begin(Selected->Node);
  } else if (auto Node = this->Routes.pick(
                 this->Directory.routeCandidates(A.Request.Service),
                 A.Decisions.triedNodes(), this->Now())) {
    Selected = this->incarnationOf(*Node);
  }
  A.Routed = Selected.has_value();
  A.Resends = 0;
  if (A.Decisions.retries() > 0)
    this->Counters.count("retries");
  this->perform(Ticket,
                A.Decisions.onNodeSelected(Selected, this->nextAttemptId()));
}

void Caller::pause(std::uint64_t Ticket) {
  std::uniform_real_distribution<double> Spread(0.5, 1.5);
  auto Pause = Microseconds(static_cast<std::int64_t>(
      static_cast<double>(RetryPause.count()) * Spread(this->Random)));
  this->Counters.count("retry_pauses");
  this->ActiveCalls.at(Ticket).PauseTimer =
      this->StartTimer(Pause, [this, Ticket]() {
        auto Found = this->ActiveCalls.find(Ticket);
        if (Found != this->ActiveCalls.end())
          this->perform(Ticket, Found->second.Decisions.onPauseOver());
      });
}

void Caller::send(std::uint64_t Ticket, const Call::Send &Attempt) {
  auto &A = this->ActiveCalls.at(Ticket);
  auto Spec = A.Request.Spec;
  Spec.Id = Attempt.Id;
  Spec.Executor = Attempt.To.Incarnation;
  Spec.Retries = Attempt.Retries;
  Spec.TimeLeft = A.Deadline - this->Now();
  A.SentAt = this->Now();
  auto Id = Attempt.Id;
  if (Attempt.To.Node == this->Members.self().Node) {
    this->OnLocalAttempt(Spec, [this, Ticket, Id](const Reply &Value) {
      PeerResult Result;
      Result.Kind = PeerResult::Kind::Replied;
      Result.Reply = Value;
      this->onResult(Ticket, Id, Result);
    });
    return;
  }
  const Member *Receiver = this->Members.find(Attempt.To.Node);
  if (Receiver == nullptr || Receiver->Incarnation != Attempt.To.Incarnation) {
    this->perform(Ticket, A.Decisions.onLost(false, false));
    return;
  }
  this->Peers.execute(*Receiver, Spec,
                      [this, Ticket, Id](const PeerResult &Result) {
                        this->onResult(Ticket, Id, Result);
                      });
}

void Caller::onResult(std::uint64_t Ticket, AttemptId Id,
                      const PeerResult &Result) {
  auto Found = this->ActiveCalls.find(Ticket);
  if (Found == this->ActiveCalls.end())
    return;
  auto &A = Found->second;
  const auto &Attempt = A.Decisions.attempt();
  if (!Attempt || !(Attempt->Id == Id)) {
    this->Counters.count("replies_late");
    return;
  }
  auto Receiver = Attempt->To;
  switch (Result.Kind) {
  case PeerResult::Kind::Replied: {
    for (const auto &Report : Result.Reply.Levels)
      this->Levels.record(Receiver.Node, Report, this->Now());
    this->endRoute(A, callResultOf(Result.Reply));
    this->perform(Ticket, A.Decisions.onReply(Result.Reply));
    return;
  }
  case PeerResult::Kind::Suspected: {
    auto Step = A.Decisions.onSuspected();
    if (std::holds_alternative<Call::Wait>(Step))
      return;
    this->endRoute(A, CallResult::Failed);
    this->perform(Ticket, std::move(Step));
    return;
  }
  case PeerResult::Kind::Lost:
  case PeerResult::Kind::Malformed: {
    bool ShouldResend = Result.Kind == PeerResult::Kind::Lost &&
                        this->isReachable(Receiver) &&
                        ++A.Resends <= MaxResends;
    auto Step = A.Decisions.onLost(Result.HandedOver, ShouldResend);
    if (!std::holds_alternative<Call::Send>(Step))
      this->endRoute(A, CallResult::Failed);
    else
      this->Counters.count("attempts_resent");
    this->perform(Ticket, std::move(Step));
    return;
  }
  }
}

void Caller::endRoute(ActiveCall &Ended, CallResult Result) {
  if (!Ended.Routed)
    return;
  Ended.Routed = false;
  auto EndTime = this->Now();
  this->Routes.end(Ended.Decisions.attempt()->To.Node, Result,
                   EndTime - Ended.SentAt, EndTime);
}

void Caller::onDeadline(std::uint64_t Ticket) {
  auto Found = this->ActiveCalls.find(Ticket);
  if (Found == this->ActiveCalls.end())
    return;
  this->cancelAttempt(Found->second);
  // Cancelling an attempt at the local executor may have ended the call.
  Found = this->ActiveCalls.find(Ticket);
  if (Found == this->ActiveCalls.end())
    return;
  this->endRoute(Found->second, CallResult::Refused);
  this->perform(Ticket, Found->second.Decisions.onDeadline());
}

void Caller::cancelAttempt(const ActiveCall &Call) {
  const auto &Attempt = Call.Decisions.attempt();
  // A keyed request keeps running, because its client retries the key to get
  // the answer.
  bool Keyed = !Call.Request.Spec.Key.value().empty();
  if (!Attempt || !Call.Routed || Keyed)
    return;
  if (Attempt->To.Node == this->Members.self().Node) {
    this->LocalExecutor.cancel(Attempt->Id, Attempt->To.Incarnation);
    return;
  }
  const Member *Receiver = this->Members.find(Attempt->To.Node);
  if (Receiver != nullptr && Receiver->Incarnation == Attempt->To.Incarnation)
    this->Peers.cancel(*Receiver, Attempt->Id);
}

void Caller::cancel(std::uint64_t Ticket) {
  auto Found = this->ActiveCalls.find(Ticket);
  if (Found == this->ActiveCalls.end())
    return;
  auto Node = this->ActiveCalls.extract(Found);
  this->cancelAttempt(Node.mapped());
  this->endRoute(Node.mapped(), CallResult::Refused);
}

void Caller::finish(std::uint64_t Ticket, Reply Value) {
  auto Node = this->ActiveCalls.extract(Ticket);
  if (Node.empty())
    return;
  this->endRoute(Node.mapped(), CallResult::Refused);
  Node.mapped().Done(Value);
}

} // namespace limpetdrum
