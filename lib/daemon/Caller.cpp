#include "limpetdrum/daemon/Caller.h"

namespace limpetdrum {

namespace {

/// How often one attempt goes out again to the same life of a node.
constexpr unsigned MaxResends = 8;
/// Mean wait before an overloaded service is tried again within a chain.
constexpr Microseconds RetryPause{50'000};

template <typename... Ts> struct Overloaded : Ts... {
  using Ts::operator()...;
};
template <typename... Ts> Overloaded(Ts...) -> Overloaded<Ts...>;

CallResult routeEnd(const Reply &Value) {
  if (Value.Outcome == Outcome::Answered)
    return CallResult::Served;
  if (Value.Outcome == Outcome::NotRun && Value.Reason != Reason::NoTarget)
    return CallResult::Refused;
  // A request that ran out of time or gave way says nothing of the node.
  bool Faulty = Value.Reason == Reason::TargetFailed ||
                Value.Reason == Reason::NoTarget ||
                Value.Reason == Reason::NodeGone;
  return Faulty ? CallResult::Failed : CallResult::Refused;
}

} // namespace

Caller::Caller(const Membership &Members, ServiceDirectory &Directory,
               Router &Routes, LevelTable &Levels, Executor &Own,
               PeerPort &Peers, Metrics &Counters, Clock Now, LaterPort Later)
    : Members(Members), Directory(Directory), Routes(Routes), Levels(Levels),
      Own(Own), Peers(Peers), Counters(Counters), Now(std::move(Now)),
      Later(std::move(Later)),
      ArriveHere([&Own](const AttemptSpec &Spec, ReplyDone Done) {
        Own.execute(Spec, std::move(Done));
      }),
      Random(Members.self().Incarnation.value()) {}

AttemptId Caller::nextAttemptId() {
  const auto &Self = this->Members.self();
  return {callerKey(Self.Node, Self.Incarnation), ++this->LastSequence};
}

std::uint64_t Caller::start(CallRequest Request, ReplyDone Done) {
  auto Ticket = ++this->LastTicket;
  auto Left = Request.Spec.TimeLeft;
  auto &A =
      this->Calls
          .try_emplace(Ticket, std::move(Request), this->Ratio, std::move(Done))
          .first->second;
  A.Deadline = this->Now() + Left;
  A.DeadlineTimer =
      this->Later(Left, [this, Ticket]() { this->onDeadline(Ticket); });
  this->perform(Ticket, A.Decisions.start());
  return Ticket;
}

void Caller::perform(std::uint64_t Ticket, Call::Step Step) {
  std::visit(
      Overloaded{
          [&](const Call::SelectNode &) { this->pick(Ticket); },
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

bool Caller::isReachable(const NodeIncarnation &Life) const {
  const Member *M = this->Members.find(Life.Node);
  return M != nullptr && M->Incarnation == Life.Incarnation &&
         M->Health != Health::Dead && M->Target != TargetState::Left;
}

void Caller::pick(std::uint64_t Ticket) {
  auto &A = this->Calls.at(Ticket);
  std::optional<NodeIncarnation> Chosen;
  if (A.Request.Selector) {
    Chosen = A.Request.Selector(A.Decisions.triedNodes());
    if (Chosen)
      this->Routes.begin(Chosen->Node);
  } else if (auto Node = this->Routes.pick(
                 this->Directory.routeCandidates(A.Request.Service),
                 A.Decisions.triedNodes(), this->Now())) {
    Chosen = this->incarnationOf(*Node);
  }
  A.Routed = Chosen.has_value();
  A.Resends = 0;
  if (A.Decisions.retries() > 0)
    this->Counters.count("retries");
  this->perform(Ticket,
                A.Decisions.onNodeSelected(Chosen, this->nextAttemptId()));
}

void Caller::pause(std::uint64_t Ticket) {
  std::uniform_real_distribution<double> Spread(0.5, 1.5);
  auto Span = Microseconds(static_cast<std::int64_t>(
      static_cast<double>(RetryPause.count()) * Spread(this->Random)));
  this->Counters.count("retry_pauses");
  this->Calls.at(Ticket).PauseTimer = this->Later(Span, [this, Ticket]() {
    auto Found = this->Calls.find(Ticket);
    if (Found != this->Calls.end())
      this->perform(Ticket, Found->second.Decisions.onPauseOver());
  });
}

void Caller::send(std::uint64_t Ticket, const Call::Send &Attempt) {
  auto &A = this->Calls.at(Ticket);
  auto Spec = A.Request.Spec;
  Spec.Id = Attempt.Id;
  Spec.Executor = Attempt.To.Incarnation;
  Spec.Retries = Attempt.Retries;
  Spec.TimeLeft = A.Deadline - this->Now();
  A.SentAt = this->Now();
  auto Id = Attempt.Id;
  if (Attempt.To.Node == this->Members.self().Node) {
    this->ArriveHere(Spec, [this, Ticket, Id](const Reply &Value) {
      PeerResult Result;
      Result.Kind = PeerResult::Kind::Replied;
      Result.Reply = Value;
      this->onResult(Ticket, Id, Result);
    });
    return;
  }
  const Member *To = this->Members.find(Attempt.To.Node);
  if (To == nullptr || To->Incarnation != Attempt.To.Incarnation) {
    this->perform(Ticket, A.Decisions.onLost(false, false));
    return;
  }
  this->Peers.execute(*To, Spec, [this, Ticket, Id](const PeerResult &Result) {
    this->onResult(Ticket, Id, Result);
  });
}

void Caller::onResult(std::uint64_t Ticket, AttemptId Id,
                      const PeerResult &Result) {
  auto Found = this->Calls.find(Ticket);
  if (Found == this->Calls.end())
    return;
  auto &A = Found->second;
  const auto &Attempt = A.Decisions.attempt();
  if (!Attempt || !(Attempt->Id == Id)) {
    this->Counters.count("replies_late");
    return;
  }
  auto To = Attempt->To;
  switch (Result.Kind) {
  case PeerResult::Kind::Replied: {
    for (const auto &Report : Result.Reply.Levels)
      this->Levels.record(To.Node, Report, this->Now());
    this->endRoute(A, routeEnd(Result.Reply));
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
    bool Again = Result.Kind == PeerResult::Kind::Lost &&
                 this->isReachable(To) && ++A.Resends <= MaxResends;
    auto Step = A.Decisions.onLost(Result.HandedOver, Again);
    if (!std::holds_alternative<Call::Send>(Step))
      this->endRoute(A, CallResult::Failed);
    else
      this->Counters.count("attempts_resent");
    this->perform(Ticket, std::move(Step));
    return;
  }
  }
}

void Caller::endRoute(Active &Ended, CallResult How) {
  if (!Ended.Routed)
    return;
  Ended.Routed = false;
  auto Time = this->Now();
  this->Routes.end(Ended.Decisions.attempt()->To.Node, How, Time - Ended.SentAt,
                   Time);
}

void Caller::onDeadline(std::uint64_t Ticket) {
  auto Found = this->Calls.find(Ticket);
  if (Found == this->Calls.end())
    return;
  this->cancelAttempt(Found->second);
  // A cancelled attempt of our own may have ended the call by now.
  Found = this->Calls.find(Ticket);
  if (Found == this->Calls.end())
    return;
  this->endRoute(Found->second, CallResult::Refused);
  this->perform(Ticket, Found->second.Decisions.onDeadline());
}

void Caller::cancelAttempt(const Active &Call) {
  const auto &Attempt = Call.Decisions.attempt();
  // A keyed request runs on: its client comes back for the answer.
  bool Keyed = !Call.Request.Spec.Key.value().empty();
  if (!Attempt || !Call.Routed || Keyed)
    return;
  if (Attempt->To.Node == this->Members.self().Node) {
    this->Own.cancel(Attempt->Id, Attempt->To.Incarnation);
    return;
  }
  const Member *To = this->Members.find(Attempt->To.Node);
  if (To != nullptr && To->Incarnation == Attempt->To.Incarnation)
    this->Peers.cancel(*To, Attempt->Id);
}

void Caller::cancel(std::uint64_t Ticket) {
  auto Found = this->Calls.find(Ticket);
  if (Found == this->Calls.end())
    return;
  auto Node = this->Calls.extract(Found);
  this->cancelAttempt(Node.mapped());
  this->endRoute(Node.mapped(), CallResult::Refused);
}

void Caller::finish(std::uint64_t Ticket, Reply Value) {
  auto Node = this->Calls.extract(Ticket);
  if (Node.empty())
    return;
  this->endRoute(Node.mapped(), CallResult::Refused);
  Node.mapped().Done(Value);
}

} // namespace limpetdrum
