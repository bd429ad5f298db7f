#include "limpetdrum/daemon/calls/Forwarder.h"

#include "limpetdrum/request/Position.h"
#include "limpetdrum/request/RequestFingerprint.h"

#include <algorithm>
#include <charconv>

namespace limpetdrum {

namespace {

/// Subtracted from the time left that a target is given, so that its answer
/// can return before the deadline.
constexpr Milliseconds ReturnMargin{5};
constexpr Milliseconds NoPolicyRetryAfter{500};
constexpr Milliseconds NoTargetRetryAfter{500};
/// Bodies that fill the memory are passed on within about this time.
constexpr Milliseconds NoMemoryRetryAfter{500};
/// A request may wait in a queue for its latency target divided by this.
constexpr int QueueWaitDivisor = 2;

/// Returns the time left in a header, at most \p Default; \p Default if the
/// header is missing or is not a decimal number of milliseconds.
Milliseconds readTimeLeft(const std::string &Text, Milliseconds Default) {
  std::uint64_t Value = 0;
  const auto *End = Text.data() + Text.size();
  auto Parsed = std::from_chars(Text.data(), End, Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != End ||
      Value > static_cast<std::uint64_t>(Default.count()))
    return Default;
  return Milliseconds(Value);
}

/// Formats a time span in seconds with three decimal places.
std::string formatSeconds(Milliseconds Span) {
  auto Text = std::to_string(static_cast<double>(Span.count()) / 1000);
  return Text.substr(0, Text.find('.') + 4);
}

} // namespace

/// A request that is being forwarded, from its arrival to its final answer.
struct Forwarder::ForwardedRequest {
  std::shared_ptr<HttpExchange> Exchange;
  std::shared_ptr<const TrafficPolicy> Policy;
  const TrafficRoute *Route = nullptr; ///< owned by Policy; null: no match
  /// Its organisation; owned by Policy, null if it is nobody's.
  const OrganisationPolicy *Owner = nullptr;
  /// Empty if it is nobody's; set also if Policy no longer has it.
  limpetdrum::Organisation Organisation;
  ServiceName Service;
  std::string Id;
  HttpRequest Message; ///< as forwarded
  TimePoint Deadline;
  Timer DeadlineTimer;
  ClassRank Rank;
  float Cohort = 0;
  /// Id of the request whose run at the local target makes this call; empty if
  /// it is unknown or the request is not a call.
  std::string ParentId;
  std::string ParentRoute;
  /// Computed when it is first needed.
  std::optional<RequestFingerprint> Fingerprint;
  std::vector<NodeId> Excluded; ///< nodes that it was sent to
  NodeId Node;                  ///< of the current attempt
  std::uint64_t Call = 0;       ///< of the current attempt; 0: none
  RetryPlan Plan{false, 1};
  std::uint8_t TargetsEnded = 0; ///< while they ran the request
  /// Part of the repeat budget that the current attempt was taken out of; none
  /// if it is not a repeat.
  std::optional<RepeatBudget::RouteKind> RepeatKind;
  /// It was taken out of the allowance of its organisation.
  bool HoldsAllowance = false;
  bool Ended = false;
};

Forwarder::Forwarder(Options Config, HeaderNames Names, EventLoop &Loop,
                     Mesh &Peers, limpetdrum::LocalTarget &LocalTarget,
                     TargetSelector &Targets, RepeatBudget &Repeats,
                     const CrashHistory &Crashes, OverloadControl &Overload,
                     Allowances &AllowanceParts, const LeavePlan &Leaving,
                     PolicyInForce Policy, EventLog &Log, Metrics &Counters)
    : Config(Config), Names(std::move(Names)), Loop(Loop), Peers(Peers),
      LocalTarget(LocalTarget), Targets(Targets), Repeats(Repeats),
      Crashes(Crashes), Overload(Overload), AllowanceParts(AllowanceParts),
      Leaving(Leaving), Policy(std::move(Policy)), Log(Log), Counters(Counters),
      Identifier(this->Names, this->Config.ParentRequestId, LocalTarget,
                 Loop.now()),
      Random(Config.Seed) {}

void Forwarder::onRequest(std::shared_ptr<HttpExchange> Exchange) {
  auto Request = std::make_shared<ForwardedRequest>();
  Request->Exchange = std::move(Exchange);
  Request->Id = Request->Exchange->header(this->Names.RequestId);
  Request->Policy = this->Policy();
  Request->Message = Request->Exchange->request();
  if (Request->Message.ExceedsMemory) {
    this->Counters.count("requests_beyond_memory");
    this->refuse(Request, Reason::Overload, NoMemoryRetryAfter);
    return;
  }
  if (!Request->Policy) {
    this->refuse(Request, Reason::NoTarget, NoPolicyRetryAfter);
    return;
  }
  Request->Route = Request->Policy->find(Request->Exchange->header("Host"),
                                         Request->Exchange->path());
  if (Request->Route == nullptr) {
    this->Log.request("no_route",
                      {{"id", Request->Id},
                       {"host", Request->Exchange->header("Host")},
                       {"path", Request->Exchange->path()},
                       {"policy", Request->Policy->version().value()}});
    this->answer(Request, 404, {}, "no route matches\n", "no-route");
    return;
  }
  // What goes beyond an allowance takes no slot and earns no repeat.
  if (!this->identify(Request) || !this->takeAllowance(Request))
    return;
  auto Limit = readTimeLeft(Request->Exchange->header(this->Names.TimeLeft),
                            Request->Route->Timeout);
  Request->Service = this->Splits.choose(*Request->Route);
  Request->Plan =
      RetryPlan(Request->Route->Idempotent, Request->Route->MaxAttempts);
  removeConnectionHeaders(Request->Message.Headers);
  for (const auto *Name : {&this->Names.TimeLeft, &this->Names.ExpectedTarget,
                           &this->Names.CallerService})
    removeHeader(Request->Message.Headers, *Name);
  removeHeader(Request->Message.Headers, "Expect");
  this->Open.insert(Request);
  this->setDeadline(Request, Request->Message.Started + Limit);
  Request->Exchange->onClientDisconnect(
      [this, Weak = std::weak_ptr<ForwardedRequest>(Request)]() {
        if (auto Request = Weak.lock())
          this->onClientDisconnect(Request);
      });
  this->Repeats.onRequest(Request->Service, this->routeKind(*Request),
                          this->Loop.now());
  this->admit(Request);
}

void Forwarder::setDeadline(const RequestPtr &Request, TimePoint Deadline) {
  Request->Deadline =
      std::min(Deadline, this->Leaving.answerLimit().value_or(Deadline));
  Request->DeadlineTimer = this->Loop.after(
      Request->Deadline - this->Loop.now(),
      [this, Weak = std::weak_ptr<ForwardedRequest>(Request)]() {
        if (auto Request = Weak.lock())
          this->onDeadline(Request);
      });
}

void Forwarder::limitOpenRequests() {
  for (const auto &Request : this->Open)
    this->setDeadline(Request, Request->Deadline);
}

bool Forwarder::identify(const RequestPtr &Request) {
  auto Found =
      this->Identifier.identify(Request->Message, Request->Id, *Request->Policy,
                                *Request->Route, this->Loop.now());
  Request->ParentId = std::move(Found.ParentId);
  Request->Owner = Found.Identity.Owner;
  Request->Organisation = std::move(Found.Identity.Name);
  bool IsAccepted = Found.Identity.Verdict == IdentityVerdict::Accepted;
  if (Found.IsOfUnknownRun)
    this->onUnknownRun(Request, IsAccepted);
  else if (!IsAccepted) {
    this->Log.request("unauthorized",
                      {{"id", Request->Id},
                       {"route", Request->Route->Name},
                       {"has_key", Found.HasKey},
                       {"policy", Request->Policy->version().value()}});
    this->answer(Request, 401, {}, "unknown key\n", "unauthorized");
  }
  if (IsAccepted)
    this->assignRankAndCohort(Request, Found.Run);
  return IsAccepted;
}

void Forwarder::onUnknownRun(const RequestPtr &Request, bool IsAccepted) {
  this->Counters.count("calls_of_unknown_runs", "accepted",
                       IsAccepted ? "yes" : "no");
  this->Log.request("call_of_unknown_run",
                    {{"id", Request->Id},
                     {"route", Request->Route->Name},
                     {"accepted", IsAccepted},
                     {"policy", Request->Policy->version().value()}});
  if (!IsAccepted)
    this->refuse(Request, Reason::Cancelled, NoTargetRetryAfter);
}

void Forwarder::assignRankAndCohort(const RequestPtr &Request,
                                    const std::optional<CallContext> &Run) {
  if (Run) {
    Request->ParentRoute = Run->Route;
    Request->Rank = Run->Rank;
    Request->Cohort = Run->Cohort;
    return;
  }
  Request->Rank = Request->Policy->rank(*Request->Route, Request->Owner);
  Request->Cohort = static_cast<float>(this->Random() % 65536) / 65536;
}

bool Forwarder::takeAllowance(const RequestPtr &Request) {
  const auto *Owner = Request->Owner;
  // The calls of a run are part of what its request was granted.
  if (Owner == nullptr || !Request->ParentId.empty() ||
      Owner->RatePerSecond <= 0)
    return true;
  auto Time = this->Loop.now();
  auto RetryAfter = this->AllowanceParts.take(*Owner, Time);
  Request->HoldsAllowance = !RetryAfter;
  if (!RetryAfter)
    return true;
  auto View = this->AllowanceParts.view(Owner->Name, Time);
  this->Log.request(
      "over_allowance",
      {{"id", Request->Id},
       {"route", Request->Route->Name},
       {"organisation", Owner->Name.value()},
       {"rate", Owner->RatePerSecond},
       {"burst", Owner->Burst},
       {"level", View->Level},
       {"part", View->Part},
       {"fleet_asked", View->FleetAsked},
       {"binding", View->IsBinding},
       {"news_age_ms", View->NewsAge ? View->NewsAge->count() : -1},
       {"retry_after_ms", RetryAfter->count()},
       {"policy", Request->Policy->version().value()}});
  this->Counters.count("allowance_refusals");
  this->answer(Request, 429, {{"Retry-After", formatSeconds(*RetryAfter)}},
               "not run: over the allowance\n", "over-allowance");
  return false;
}

void Forwarder::giveAllowanceBack(ForwardedRequest &Request) {
  if (std::exchange(Request.HoldsAllowance, false))
    this->AllowanceParts.giveBack(Request.Owner->Name, this->Loop.now());
}

void Forwarder::admit(const RequestPtr &Request) {
  auto Time = this->Loop.now();
  this->Overload.learner().onRequest(Request->Route->Name, Time,
                                     Request->ParentRoute);
  bool IsCall = !Request->ParentId.empty() ||
                this->Overload.isInternalRoute(Request->Route->Name);
  if (auto RetryAfter = this->Leaving.refusalDelay(
          IsCall, Request->Route->LatencyTarget, Time)) {
    this->refuse(Request, Reason::Draining, *RetryAfter);
    return;
  }
  OverloadControl::Request EntryRequest;
  EntryRequest.Route = Request->Route->Name;
  EntryRequest.IsCall = IsCall;
  EntryRequest.TimeLeft =
      std::chrono::duration_cast<Milliseconds>(Request->Deadline - Time);
  EntryRequest.LatencyTargetLeft = std::chrono::duration_cast<Milliseconds>(
      Request->Message.Started + Request->Route->LatencyTarget - Time);
  EntryRequest.Organisation = Request->Organisation;
  if (auto RetryAfter = this->Overload.admit(EntryRequest)) {
    this->refuse(Request, Reason::LevelAtEntry, *RetryAfter);
    return;
  }
  this->send(Request);
}

void Forwarder::send(const RequestPtr &Request) {
  auto Time = this->Loop.now();
  if (Request->Deadline <= Time) {
    this->onDeadline(Request);
    return;
  }
  auto Verdict = this->crashVerdict(*Request);
  if (Verdict == CrashHistory::Verdict::Crashing) {
    this->endCrashing(Request);
    return;
  }
  auto Node = this->selectNode(*Request, Verdict);
  if (!Node) {
    this->applyStep(Request, Request->Plan.terminalStep(),
                    notRun(Reason::NoTarget, NoTargetRetryAfter));
    return;
  }
  this->sendTo(Request, *Node);
}

RequestFingerprint Forwarder::fingerprintOf(ForwardedRequest &Request) {
  if (!Request.Fingerprint)
    Request.Fingerprint = fingerprint(Request.Message);
  return *Request.Fingerprint;
}

CrashHistory::Verdict Forwarder::crashVerdict(ForwardedRequest &Request) const {
  if (this->Crashes.empty())
    return CrashHistory::Verdict::None;
  return this->Crashes.verdict(fingerprintOf(Request), this->Loop.now());
}

void Forwarder::endCrashing(const RequestPtr &Request) {
  this->applyStep(Request, Request->Plan.terminalStep(),
                  notRun(Reason::CrashesTargets,
                         this->Crashes.retryAfter(fingerprintOf(*Request),
                                                  this->Loop.now())));
}

std::optional<NodeId> Forwarder::selectNode(ForwardedRequest &Request,
                                            CrashHistory::Verdict Verdict) {
  TargetSelector::Query Query{Request.Id, Request.Service, Request.Excluded};
  if (Verdict == CrashHistory::Verdict::Suspect)
    if (auto Node = this->Targets.selectForTrial(Query, fingerprintOf(Request)))
      return Node;
  return this->Targets.select(Query);
}

void Forwarder::resendToSameNode(const RequestPtr &Request) {
  if (this->Targets.selectAgain(Request->Node, Request->Service))
    this->sendTo(Request, NodeId(Request->Node));
  else
    this->send(Request); // the target has left in the meantime
}

MeshAttempt Forwarder::makeAttempt(const ForwardedRequest &Request,
                                   const TargetRecord &Target) const {
  MeshAttempt Attempt;
  Attempt.RequestId = Request.Id;
  Attempt.Request = Request.Message;
  auto WorkEnd = Request.Deadline - ReturnMargin;
  WorkEnd = std::min(WorkEnd, this->Leaving.workLimit().value_or(WorkEnd));
  auto TimeLeft =
      std::chrono::duration_cast<Milliseconds>(WorkEnd - this->Loop.now());
  Attempt.TimeLeft = std::max(Milliseconds(1), TimeLeft);
  Attempt.WaitLimit = Request.Route->LatencyTarget / QueueWaitDivisor;
  Attempt.TargetId = Target.Id;
  Attempt.TargetStarted = Target.Started;
  Attempt.CallerService = this->Config.LocalService;
  Attempt.Rank = Request.Rank;
  Attempt.Cohort = Request.Cohort;
  Attempt.Route = Request.Route->Name;
  Attempt.TargetsEnded = Request.TargetsEnded;
  Attempt.Organisation = Request.Organisation;
  return Attempt;
}

void Forwarder::sendTo(const RequestPtr &Request, const NodeId &Node) {
  Request->Node = Node;
  Request->Plan.onSent();
  auto AttemptNumber = Request->Plan.attempts();
  Request->Excluded.push_back(Node);
  const auto *Target = this->Targets.target(Node);
  // A node that is not linked yet tells its target when it is.
  auto Attempt =
      this->makeAttempt(*Request, Target == nullptr ? TargetRecord() : *Target);
  auto OnResult = [this, Request, AttemptNumber](const MeshResult &Result) {
    this->onResult(Request, AttemptNumber, Result);
  };
  if (Node != this->Config.Node) {
    Request->Call = this->Peers.call(Node, std::move(Attempt), OnResult);
    return;
  }
  Request->Call = ++this->LastLocalCall;
  Attempt.Call = Request->Call;
  this->LocalTarget.execute(this->Config.Incarnation, Attempt,
                            [OnResult](const Reply &Value) {
                              OnResult({MeshResult::Kind::Replied, Value});
                            });
}

void Forwarder::endAttempt(const RequestPtr &Request, CallResult Result) {
  Request->Call = 0;
  this->Targets.end(Request->Node, Result);
}

void Forwarder::onResult(const RequestPtr &Request, std::uint64_t AttemptNumber,
                         const MeshResult &Result) {
  if (Request->Ended || AttemptNumber != Request->Plan.attempts())
    return;
  switch (Result.Kind) {
  case MeshResult::Kind::Replied:
    if (this->Config.Node == Request->Node)
      this->LocalTarget.acknowledge(this->Config.Incarnation, Request->Call);
    this->onReply(Request, Result.Reply);
    return;
  case MeshResult::Kind::NeverSent:
    this->endAttempt(Request, CallResult::Failed);
    this->onNotRun(Request, notRun(Reason::NodeGone, NoTargetRetryAfter));
    return;
  case MeshResult::Kind::Lost:
    this->endAttempt(Request, CallResult::Failed);
    this->onUnknown(Request, Reason::NodeGone);
    return;
  case MeshResult::Kind::Suspected: {
    auto Step = Request->Plan.onSuspected(this->retryContext(Request));
    if (Step == RetryPlan::Step::Wait ||
        !this->takeRepeat(Request, Step, Reason::NodeGone))
      return;
    this->Peers.cancel(Request->Node, Request->Call);
    this->endAttempt(Request, CallResult::Failed);
    Request->Plan.onRepeatGranted(Step, true);
    this->send(Request);
    return;
  }
  }
}

void Forwarder::onReply(const RequestPtr &Request, const Reply &Value) {
  switch (Value.Outcome) {
  case Outcome::Answered: {
    bool Failed = Value.Status >= 500;
    auto Result = Failed ? CallResult::Failed : CallResult::Served;
    // A failed call to another service does not count against the target that
    // made it.
    if (Failed && Value.Reason == Reason::CallFailed)
      Result = CallResult::Refused;
    if (Failed)
      this->reportCallFailure(*Request);
    this->endAttempt(Request, Result);
    this->answer(Request, Value.Status, Value.Headers, Value.Body,
                 Failed ? "target-failed" : "served");
    return;
  }
  case Outcome::NotRun:
    this->endAttempt(Request, Value.Reason == Reason::TargetFailed ||
                                      Value.Reason == Reason::RefusedByTarget
                                  ? CallResult::Failed
                                  : CallResult::Refused);
    this->onNotRun(Request, Value);
    return;
  case Outcome::Unknown:
    this->endAttempt(Request, CallResult::Failed);
    this->onUnknown(Request, Value.Reason);
    return;
  }
}

RepeatBudget::RouteKind
Forwarder::routeKind(const ForwardedRequest &Request) const {
  return this->Overload.isLeaf(Request.Route->Name)
             ? RepeatBudget::RouteKind::Leaf
             : RepeatBudget::RouteKind::Inner;
}

RetryPlan::Context Forwarder::retryContext(const RequestPtr &Request) const {
  auto TimeLeft = std::chrono::duration_cast<Milliseconds>(Request->Deadline -
                                                           this->Loop.now());
  return {TimeLeft, [this, Request]() {
            return this->Targets.hasUntriedNode(
                {Request->Id, Request->Service, Request->Excluded});
          }};
}

bool Forwarder::takeRepeat(const RequestPtr &Request, RetryPlan::Step Step,
                           Reason Cause) {
  auto Kind = this->routeKind(*Request);
  bool Granted = this->Repeats.take(
      Request->Service, Kind,
      normalizedPosition(Request->Rank, Request->Cohort), this->Loop.now());
  this->Log.request("repeat",
                    {{"id", Request->Id},
                     {"request", toString(fingerprintOf(*Request))},
                     {"route", Request->Route->Name},
                     {"service", Request->Service.value()},
                     {"reason", toString(Cause)},
                     {"node", Request->Node.value()},
                     {"turns", Request->Plan.attempts()},
                     {"rank", Request->Rank.value()},
                     {"cohort", Request->Cohort},
                     {"leaf", Kind == RepeatBudget::RouteKind::Leaf},
                     {"stays", Step == RetryPlan::Step::RepeatAtSameTarget},
                     {"granted", Granted}});
  if (Granted)
    this->Counters.count("repeats", "reason", toString(Cause));
  else
    this->Counters.count("repeats_over_budget");
  Request->RepeatKind = Granted ? std::optional(Kind) : std::nullopt;
  return Granted;
}

void Forwarder::onUnknown(const RequestPtr &Request, Reason Cause) {
  if (Cause == Reason::TargetEnded)
    ++Request->TargetsEnded;
  auto Step = Request->Plan.onUnknown(Cause, this->retryContext(Request));
  this->applyStep(Request, Step, unknownOutcome(Cause, Milliseconds(0)));
}

void Forwarder::onNotRun(const RequestPtr &Request, const Reply &Value) {
  auto Step = Request->Plan.onNotRun(Value.Reason, this->retryContext(Request));
  bool IsFinal =
      Step == RetryPlan::Step::Refuse || Step == RetryPlan::Step::Fail;
  if (IsFinal && Request->RepeatKind && !RetryPlan::reachedTarget(Value.Reason))
    this->Repeats.refund(Request->Service, *Request->RepeatKind,
                         this->Loop.now());
  this->applyStep(Request, Step, Value);
}

void Forwarder::applyStep(const RequestPtr &Request, RetryPlan::Step Step,
                          const Reply &LastReply) {
  if (RetryPlan::isRepeat(Step)) {
    if (this->takeRepeat(Request, Step, LastReply.Reason))
      Request->Plan.onRepeatGranted(Step, false);
    else
      Step = Request->Plan.terminalStep();
  }
  switch (Step) {
  case RetryPlan::Step::TryOtherNode:
  case RetryPlan::Step::RepeatAtOtherTarget:
    this->send(Request);
    return;
  case RetryPlan::Step::RepeatAtSameTarget:
    this->resendToSameNode(Request);
    return;
  case RetryPlan::Step::Fail:
    this->fail(Request, LastReply.Reason == Reason::TimedOut ? 504 : 502,
               LastReply.Reason);
    return;
  case RetryPlan::Step::Refuse:
    this->refuse(Request, LastReply.Reason, LastReply.RetryAfter);
    return;
  case RetryPlan::Step::Wait:
    return;
  }
}

void Forwarder::onDeadline(const RequestPtr &Request) {
  if (Request->Ended)
    return;
  this->cancelAttempt(Request);
  if (Request->Plan.attempts() > 0)
    this->fail(Request, 504, Reason::TimedOut);
  else
    this->refuse(Request, Reason::DeadlineTooNear, NoTargetRetryAfter);
}

void Forwarder::onClientDisconnect(const RequestPtr &Request) {
  if (std::exchange(Request->Ended, true))
    return;
  this->Open.erase(Request);
  Request->DeadlineTimer.cancel();
  this->Log.request("client_left", {{"id", Request->Id},
                                    {"route", Request->Route->Name},
                                    {"node", Request->Node.value()},
                                    {"sent", Request->Call != 0},
                                    {"turns", Request->Plan.attempts()}});
  if (Request->Plan.attempts() == 0)
    this->giveAllowanceBack(*Request);
  this->cancelAttempt(Request);
}

void Forwarder::reportCallFailure(const ForwardedRequest &Request) {
  if (!Request.ParentId.empty())
    this->LocalTarget.onCallFailed(Request.ParentId);
}

void Forwarder::cancelAttempt(const RequestPtr &Request) {
  if (Request->Call == 0)
    return;
  auto Call = Request->Call;
  this->endAttempt(Request, CallResult::Refused);
  if (Request->Node == this->Config.Node)
    this->LocalTarget.cancel(this->Config.Incarnation, Call);
  else
    this->Peers.cancel(Request->Node, Call);
}

void Forwarder::refuse(const RequestPtr &Request, Reason Cause,
                       Milliseconds RetryAfter) {
  this->giveAllowanceBack(*Request);
  this->reportCallFailure(*Request);
  this->Log.request(
      "refused",
      {{"id", Request->Id},
       {"route", Request->Route == nullptr ? "" : Request->Route->Name},
       {"service", Request->Service.value()},
       {"reason", toString(Cause)},
       {"node", Request->Node.value()},
       {"turns", Request->Plan.attempts()},
       {"share", Request->Route == nullptr
                     ? 1
                     : this->Overload.gate().share(Request->Route->Name,
                                                   Request->Organisation)},
       {"organisation", Request->Organisation.value()},
       {"parent", Request->ParentId},
       {"retry_after_ms", RetryAfter.count()},
       {"policy", Request->Policy ? Request->Policy->version().value() : 0}});
  this->answer(Request, 503, {{"Retry-After", formatSeconds(RetryAfter)}},
               std::string("not run: ") + toString(Cause) + "\n", "refused");
}

void Forwarder::fail(const RequestPtr &Request, int Status, Reason Cause) {
  this->reportCallFailure(*Request);
  this->Log.request("failed", {{"id", Request->Id},
                               {"request", toString(fingerprintOf(*Request))},
                               {"route", Request->Route->Name},
                               {"service", Request->Service.value()},
                               {"status", Status},
                               {"reason", toString(Cause)},
                               {"node", Request->Node.value()},
                               {"turns", Request->Plan.attempts()},
                               {"parent", Request->ParentId},
                               {"policy", Request->Policy->version().value()}});
  this->answer(Request, Status, {},
               std::string("unknown: ") + toString(Cause) + "\n", "failed");
}

void Forwarder::answer(const RequestPtr &Request, int Status,
                       const HttpHeaders &Headers, const limpetdrum::Body &Body,
                       const char *Outcome) {
  Request->Ended = true;
  this->Open.erase(Request);
  Request->DeadlineTimer.cancel();
  auto Latency = std::chrono::duration_cast<Microseconds>(
      this->Loop.now() - Request->Message.Started);
  if (Status < 400)
    this->Overload.onServed(Request->Route->Name, Latency);
  this->Counters.request(Request->Organisation,
                         Request->Route ? Request->Route->Name : "none",
                         Outcome, Latency);
  Request->Exchange->reply(Status, Headers, Body);
}

} // namespace limpetdrum
