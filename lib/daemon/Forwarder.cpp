#include "limpetdrum/daemon/Forwarder.h"

#include "limpetdrum/request/Position.h"

#include <algorithm>
#include <strings.h>

namespace limpetdrum {

namespace {

/// Kept from the time that is left, for the way back of the answer.
constexpr Milliseconds ReturnMargin{5};
constexpr Milliseconds NoPolicyRetryAfter{500};
constexpr Milliseconds NoTargetRetryAfter{500};
/// Of its latency target, a request may spend this part in a queue.
constexpr int WaitShare = 2;

Milliseconds readTimeLeft(const std::string &Text, Milliseconds Default) {
  if (Text.empty() || Text.find_first_not_of("0123456789") != std::string::npos)
    return Default;
  return std::min(Default,
                  Milliseconds(std::strtoul(Text.c_str(), nullptr, 10)));
}

std::string seconds(Milliseconds Span) {
  auto Text = std::to_string(static_cast<double>(Span.count()) / 1000);
  return Text.substr(0, Text.find('.') + 4);
}

void removeHeader(HttpHeaders &From, const std::string &Name) {
  From.erase(std::remove_if(From.begin(), From.end(),
                            [&](const auto &Header) {
                              return strcasecmp(Header.first.c_str(),
                                                Name.c_str()) == 0;
                            }),
             From.end());
}

} // namespace

/// One request of a client, until its final answer.
struct Forwarder::Forwarding {
  std::shared_ptr<HttpExchange> Exchange;
  std::shared_ptr<const TrafficPolicy> Policy;
  const TrafficRoute *Chosen = nullptr; ///< of Policy
  ServiceName Service;
  std::string Id;
  HttpRequest Request;
  TimePoint Deadline;
  Timer DeadlineTimer;
  ClassRank Rank;
  float Cohort = 0;
  /// The request that the own target runs and that makes this call, if known.
  std::string Parent;
  std::string ParentRoute;
  std::vector<NodeId> Excluded;
  NodeId Node;            ///< of the present turn
  std::uint64_t Call = 0; ///< of the present turn; 0: none
  RetryPlan Plan{false, 1};
  TimePoint TurnStarted;
  /// The turn is a repeat that was taken out of this part of the budget.
  std::optional<RepeatBudget::RouteKind> Repeats;
  bool Ended = false;
};

Forwarder::Forwarder(Options Chosen, HeaderNames Names, EventLoop &Loop,
                     Mesh &Others, LocalTarget &Own, RepeatBudget &Repeats,
                     OverloadControl &Overload, const LeavePlan &Leaving,
                     PolicyInForce Policy, EventLog &Log, Metrics &Counters)
    : Chosen(Chosen), Names(std::move(Names)), Loop(Loop), Others(Others),
      Own(Own), Repeats(Repeats), Overload(Overload), Leaving(Leaving),
      Policy(std::move(Policy)), Log(Log), Counters(Counters),
      Places(Chosen.FailureDomain, Chosen.Seed), Random(Chosen.Seed + 1) {}

void Forwarder::onPeerStatus(const NodeId &Node) {
  this->Places.onReport(Node);
}

void Forwarder::onRequest(std::shared_ptr<HttpExchange> Exchange) {
  auto Of = std::make_shared<Forwarding>();
  Of->Exchange = std::move(Exchange);
  Of->Id = Of->Exchange->header(this->Names.RequestId);
  Of->Policy = this->Policy();
  Of->Request = Of->Exchange->request();
  if (!Of->Policy) {
    this->refuse(Of, Reason::NoTarget, NoPolicyRetryAfter);
    return;
  }
  Of->Chosen =
      Of->Policy->find(Of->Exchange->header("Host"), Of->Exchange->path());
  if (Of->Chosen == nullptr) {
    this->Log.request("no_route", {{"id", Of->Id},
                                   {"host", Of->Exchange->header("Host")},
                                   {"path", Of->Exchange->path()},
                                   {"policy", Of->Policy->version().value()}});
    this->answer(Of, 404, {}, "no route matches\n", "no-route");
    return;
  }
  auto Limit = readTimeLeft(Of->Exchange->header(this->Names.TimeLeft),
                            Of->Chosen->Timeout);
  Of->Deadline = Of->Request.Started + Limit;
  Of->Service = this->Splits.choose(*Of->Chosen);
  Of->Plan = RetryPlan(Of->Chosen->Idempotent, Of->Chosen->MaxAttempts);
  this->inherit(Of);
  removeConnectionHeaders(Of->Request.Headers);
  for (const auto *Name : {&this->Names.TimeLeft, &this->Names.ExpectedTarget,
                           &this->Names.CallerService})
    removeHeader(Of->Request.Headers, *Name);
  removeHeader(Of->Request.Headers, "Expect");
  Of->DeadlineTimer =
      this->Loop.after(Of->Deadline - this->Loop.now(),
                       [this, Weak = std::weak_ptr<Forwarding>(Of)]() {
                         if (auto Of = Weak.lock())
                           this->onDeadline(Of);
                       });
  Of->Exchange->onClientDisconnect(
      [this, Weak = std::weak_ptr<Forwarding>(Of)]() {
        if (auto Of = Weak.lock())
          this->abandon(Of);
      });
  this->Repeats.onRequest(Of->Service, this->kindOf(*Of), this->Loop.now());
  this->admit(Of);
}

void Forwarder::inherit(const Shared &Of) {
  auto Parent = this->Chosen.ParentRequestId(Of->Id);
  auto Context = Parent ? this->Own.callContext(*Parent) : std::nullopt;
  if (Context) {
    Of->Parent = std::move(*Parent);
    Of->ParentRoute = Context->Route;
    Of->Rank = Context->Rank;
    Of->Cohort = Context->Cohort;
    return;
  }
  Of->Rank = Of->Chosen->Rank;
  Of->Cohort = static_cast<float>(this->Random() % 65536) / 65536;
}

void Forwarder::admit(const Shared &Of) {
  auto Time = this->Loop.now();
  this->Overload.learner().onRequest(Of->Chosen->Name, Time, Of->ParentRoute);
  bool IsCall =
      !Of->Parent.empty() || this->Overload.isCalled(Of->Chosen->Name);
  if (auto ComeBack = this->Leaving.refuses(IsCall, Time)) {
    this->refuse(Of, Reason::Draining, *ComeBack);
    return;
  }
  OverloadControl::Request Asked;
  Asked.Route = Of->Chosen->Name;
  Asked.IsCall = IsCall;
  Asked.TimeLeft =
      std::chrono::duration_cast<Milliseconds>(Of->Deadline - Time);
  Asked.LatencyTargetLeft = std::chrono::duration_cast<Milliseconds>(
      Of->Request.Started + Of->Chosen->LatencyTarget - Time);
  if (auto ComeBack = this->Overload.admit(Asked)) {
    this->refuse(Of, Reason::LevelAtEntry, *ComeBack);
    return;
  }
  this->send(Of);
}

std::vector<PlacementCandidate>
Forwarder::candidates(const ServiceName &Service) const {
  std::vector<PlacementCandidate> Ready;
  // Nodes that do not answer, and targets that leave and serve on for a
  // moment: better than none.
  std::vector<PlacementCandidate> Suspect;
  std::vector<PlacementCandidate> Draining;
  auto Consider = [&](const NodeStatus &Status, const Contact &Where,
                      bool IsSuspect) {
    if (Status.Target.Service != Service || Status.Target.Id.empty())
      return;
    PlacementCandidate Found{Where.Node, Where.FailureDomain,
                             Status.Running + Status.Queued, Status.Limit};
    if (Status.Target.State == TargetState::Ready && !Status.Leaving)
      (IsSuspect ? Suspect : Ready).push_back(std::move(Found));
    else if (Status.Target.State != TargetState::Starting)
      Draining.push_back(std::move(Found));
  };
  NodeStatus Local;
  this->Own.fillStatus(Local);
  Consider(Local, {this->Chosen.Node, {}, this->Chosen.FailureDomain}, false);
  for (const auto &[Node, Peer] : this->Others.peers())
    if (Peer.IsReachable && Peer.Status)
      Consider(*Peer.Status, Peer.Contact, Peer.IsSuspect);
  if (!Ready.empty())
    return Ready;
  return Suspect.empty() ? Draining : Suspect;
}

const TargetRecord *Forwarder::targetAt(const NodeId &Node) const {
  if (Node == this->Chosen.Node)
    return &this->Own.record();
  auto Found = this->Others.peers().find(Node);
  if (Found == this->Others.peers().end() || !Found->second.Status)
    return nullptr;
  return &Found->second.Status->Target;
}

void Forwarder::send(const Shared &Of) {
  auto Time = this->Loop.now();
  if (Of->Deadline <= Time) {
    this->onDeadline(Of);
    return;
  }
  auto Node =
      this->Places.pick(this->candidates(Of->Service), Of->Excluded, Time);
  if (!Node) {
    this->follow(Of, Of->Plan.terminalStep(),
                 notRun(Reason::NoTarget, NoTargetRetryAfter));
    return;
  }
  this->sendTo(Of, *Node);
}

void Forwarder::sendAgain(const Shared &Of) {
  auto Same = this->candidates(Of->Service);
  Same.erase(
      std::remove_if(Same.begin(), Same.end(),
                     [&](const auto &Found) { return Found.Node != Of->Node; }),
      Same.end());
  if (this->Places.pick(Same, {}, this->Loop.now()))
    this->sendTo(Of, NodeId(Of->Node));
  else
    this->send(Of); // its target has left meanwhile
}

MeshAttempt Forwarder::makeAttempt(const Forwarding &Of,
                                   const TargetRecord &Target) const {
  MeshAttempt Attempt;
  Attempt.RequestId = Of.Id;
  Attempt.Request = Of.Request;
  auto Left =
      std::chrono::duration_cast<Milliseconds>(Of.Deadline - this->Loop.now());
  Attempt.TimeLeft = std::max(Milliseconds(1), Left - ReturnMargin);
  Attempt.WaitLimit = Of.Chosen->LatencyTarget / WaitShare;
  Attempt.TargetId = Target.Id;
  Attempt.TargetStarted = Target.Started;
  Attempt.CallerService = this->Chosen.OwnService;
  Attempt.Rank = Of.Rank;
  Attempt.Cohort = Of.Cohort;
  Attempt.Route = Of.Chosen->Name;
  return Attempt;
}

void Forwarder::sendTo(const Shared &Of, const NodeId &Node) {
  Of->Node = Node;
  Of->TurnStarted = this->Loop.now();
  Of->Plan.onSent();
  auto Turn = Of->Plan.attempts();
  Of->Excluded.push_back(Node);
  auto Attempt = this->makeAttempt(*Of, *this->targetAt(Node));
  auto OnResult = [this, Of, Turn](const MeshResult &Result) {
    this->onResult(Of, Turn, Result);
  };
  if (Node != this->Chosen.Node) {
    Of->Call = this->Others.call(Node, std::move(Attempt), OnResult);
    return;
  }
  Of->Call = ++this->LastLocalCall;
  Attempt.Call = Of->Call;
  this->Own.execute(this->Chosen.Incarnation, Attempt,
                    [OnResult](const Reply &Value) {
                      OnResult({MeshResult::Kind::Replied, Value});
                    });
}

void Forwarder::endTurn(const Shared &Of, CallResult How) {
  Of->Call = 0;
  auto Time = this->Loop.now();
  this->Places.end(Of->Node, How, Time);
}

void Forwarder::onResult(const Shared &Of, std::uint64_t Turn,
                         const MeshResult &Result) {
  if (Of->Ended || Turn != Of->Plan.attempts())
    return;
  switch (Result.Kind) {
  case MeshResult::Kind::Replied:
    if (this->Chosen.Node == Of->Node)
      this->Own.acknowledge(this->Chosen.Incarnation, Of->Call);
    this->onReply(Of, Result.Reply);
    return;
  case MeshResult::Kind::NeverSent:
    this->endTurn(Of, CallResult::Failed);
    this->onNotRun(Of, notRun(Reason::NodeGone, NoTargetRetryAfter));
    return;
  case MeshResult::Kind::Lost:
    this->endTurn(Of, CallResult::Failed);
    this->onUnknown(Of, Reason::NodeGone);
    return;
  case MeshResult::Kind::Suspected: {
    auto Step = Of->Plan.onSuspected(this->around(Of));
    if (Step == RetryPlan::Step::Wait ||
        !this->takeRepeat(Of, Step, Reason::NodeGone))
      return;
    this->Others.cancel(Of->Node, Of->Call);
    this->endTurn(Of, CallResult::Failed);
    Of->Plan.onRepeatGranted(Step, true);
    this->send(Of);
    return;
  }
  }
}

void Forwarder::onReply(const Shared &Of, const Reply &Value) {
  switch (Value.Outcome) {
  case Outcome::Answered: {
    bool Failed = Value.Status >= 500;
    auto End = Failed ? CallResult::Failed : CallResult::Served;
    // The target is not to blame for what failed below it.
    if (Failed && Value.Reason == Reason::CallFailed)
      End = CallResult::Refused;
    if (Failed)
      this->tellParent(*Of);
    this->endTurn(Of, End);
    this->answer(Of, Value.Status, Value.Headers, Value.Body,
                 Failed ? "target-failed" : "served");
    return;
  }
  case Outcome::NotRun:
    this->endTurn(Of, Value.Reason == Reason::TargetFailed ||
                              Value.Reason == Reason::RefusedByTarget
                          ? CallResult::Failed
                          : CallResult::Refused);
    this->onNotRun(Of, Value);
    return;
  case Outcome::Unknown:
    this->endTurn(Of, CallResult::Failed);
    this->onUnknown(Of, Value.Reason);
    return;
  }
}

RepeatBudget::RouteKind Forwarder::kindOf(const Forwarding &Of) const {
  return this->Overload.isLeaf(Of.Chosen->Name)
             ? RepeatBudget::RouteKind::Leaf
             : RepeatBudget::RouteKind::Inner;
}

bool Forwarder::hasOther(const Forwarding &Of) const {
  auto Ready = this->candidates(Of.Service);
  return std::any_of(Ready.begin(), Ready.end(), [&](const auto &Found) {
    return std::find(Of.Excluded.begin(), Of.Excluded.end(), Found.Node) ==
           Of.Excluded.end();
  });
}

RetryPlan::Context Forwarder::around(const Shared &Of) const {
  auto Left =
      std::chrono::duration_cast<Milliseconds>(Of->Deadline - this->Loop.now());
  return {Left, [this, Of]() { return this->hasOther(*Of); }};
}

bool Forwarder::takeRepeat(const Shared &Of, RetryPlan::Step Which,
                           Reason Why) {
  auto Kind = this->kindOf(*Of);
  bool Granted = this->Repeats.take(Of->Service, Kind,
                                    normalizedPosition(Of->Rank, Of->Cohort),
                                    this->Loop.now());
  this->Log.request("repeat",
                    {{"id", Of->Id},
                     {"route", Of->Chosen->Name},
                     {"service", Of->Service.value()},
                     {"reason", toString(Why)},
                     {"node", Of->Node.value()},
                     {"turns", Of->Plan.attempts()},
                     {"rank", Of->Rank.value()},
                     {"cohort", Of->Cohort},
                     {"leaf", Kind == RepeatBudget::RouteKind::Leaf},
                     {"stays", Which == RetryPlan::Step::RepeatAtSameTarget},
                     {"granted", Granted}});
  if (Granted)
    this->Counters.count("repeats", "reason", toString(Why));
  else
    this->Counters.count("repeats_over_budget");
  Of->Repeats = Granted ? std::optional(Kind) : std::nullopt;
  return Granted;
}

void Forwarder::onUnknown(const Shared &Of, Reason Why) {
  auto Step = Of->Plan.onUnknown(Why, this->around(Of));
  this->follow(Of, Step, unknownOutcome(Why, Milliseconds(0)));
}

void Forwarder::onNotRun(const Shared &Of, const Reply &Value) {
  auto Step = Of->Plan.onNotRun(Value.Reason, this->around(Of));
  bool Ends = Step == RetryPlan::Step::Refuse || Step == RetryPlan::Step::Fail;
  if (Ends && Of->Repeats && !RetryPlan::reachedTarget(Value.Reason))
    this->Repeats.refund(Of->Service, *Of->Repeats, this->Loop.now());
  this->follow(Of, Step, Value);
}

void Forwarder::follow(const Shared &Of, RetryPlan::Step Which,
                       const Reply &Why) {
  if (RetryPlan::isRepeat(Which)) {
    if (this->takeRepeat(Of, Which, Why.Reason))
      Of->Plan.onRepeatGranted(Which, false);
    else
      Which = Of->Plan.terminalStep();
  }
  switch (Which) {
  case RetryPlan::Step::TryOtherNode:
  case RetryPlan::Step::RepeatAtOtherTarget:
    this->send(Of);
    return;
  case RetryPlan::Step::RepeatAtSameTarget:
    this->sendAgain(Of);
    return;
  case RetryPlan::Step::Fail:
    this->fail(Of, Why.Reason == Reason::TimedOut ? 504 : 502, Why.Reason);
    return;
  case RetryPlan::Step::Refuse:
    this->refuse(Of, Why.Reason, Why.RetryAfter);
    return;
  case RetryPlan::Step::Wait:
    return;
  }
}

void Forwarder::onDeadline(const Shared &Of) {
  if (Of->Ended)
    return;
  this->cancelTurn(Of);
  if (Of->Plan.attempts() > 0)
    this->fail(Of, 504, Reason::TimedOut);
  else
    this->refuse(Of, Reason::DeadlineTooNear, NoTargetRetryAfter);
}

void Forwarder::abandon(const Shared &Of) {
  if (std::exchange(Of->Ended, true))
    return;
  Of->DeadlineTimer.cancel();
  this->Log.request("client_left", {{"id", Of->Id},
                                    {"route", Of->Chosen->Name},
                                    {"node", Of->Node.value()},
                                    {"sent", Of->Call != 0},
                                    {"turns", Of->Plan.attempts()}});
  this->cancelTurn(Of);
}

void Forwarder::tellParent(const Forwarding &Of) {
  if (!Of.Parent.empty())
    this->Own.onCallFailed(Of.Parent);
}

void Forwarder::cancelTurn(const Shared &Of) {
  if (Of->Call == 0)
    return;
  auto Call = Of->Call;
  this->endTurn(Of, CallResult::Refused);
  if (Of->Node == this->Chosen.Node)
    this->Own.cancel(this->Chosen.Incarnation, Call);
  else
    this->Others.cancel(Of->Node, Call);
}

void Forwarder::refuse(const Shared &Of, Reason Why, Milliseconds RetryAfter) {
  this->tellParent(*Of);
  this->Log.request(
      "refused", {{"id", Of->Id},
                  {"route", Of->Chosen == nullptr ? "" : Of->Chosen->Name},
                  {"service", Of->Service.value()},
                  {"reason", toString(Why)},
                  {"node", Of->Node.value()},
                  {"turns", Of->Plan.attempts()},
                  {"share", Of->Chosen == nullptr ? 1
                                                  : this->Overload.gate().share(
                                                        Of->Chosen->Name)},
                  {"parent", Of->Parent},
                  {"retry_after_ms", RetryAfter.count()},
                  {"policy", Of->Policy ? Of->Policy->version().value() : 0}});
  this->answer(Of, 503, {{"Retry-After", seconds(RetryAfter)}},
               std::string("not run: ") + toString(Why) + "\n", "refused");
}

void Forwarder::fail(const Shared &Of, int Status, Reason Why) {
  this->tellParent(*Of);
  this->Log.request("failed", {{"id", Of->Id},
                               {"route", Of->Chosen->Name},
                               {"service", Of->Service.value()},
                               {"status", Status},
                               {"reason", toString(Why)},
                               {"node", Of->Node.value()},
                               {"turns", Of->Plan.attempts()},
                               {"parent", Of->Parent},
                               {"policy", Of->Policy->version().value()}});
  this->answer(Of, Status, {}, std::string("unknown: ") + toString(Why) + "\n",
               "failed");
}

void Forwarder::answer(const Shared &Of, int Status, const HttpHeaders &Headers,
                       const std::string &Body, const char *Outcome) {
  Of->Ended = true;
  Of->DeadlineTimer.cancel();
  auto Latency = std::chrono::duration_cast<Microseconds>(this->Loop.now() -
                                                          Of->Request.Started);
  if (Status < 400)
    this->Overload.onServed(Of->Chosen->Name, Latency);
  this->Counters.request(Tenant(""), Of->Chosen ? Of->Chosen->Name : "none",
                         Outcome, Latency);
  Of->Exchange->reply(Status, Headers, Body);
}

} // namespace limpetdrum
