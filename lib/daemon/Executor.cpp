#include "limpetdrum/daemon/Executor.h"

#include <cstdio>

namespace limpetdrum {

namespace {

/// How long an ended attempt can be attached to.
constexpr std::chrono::seconds AttemptRetention{10};
constexpr Slots UnannouncedSlots{1};
constexpr int Unavailable = 503;

std::string traceParent(const AttemptSpec &Attempt) {
  char Text[64];
  std::snprintf(Text, sizeof(Text), "00-%016llx%016llx-%016llx-01",
                static_cast<unsigned long long>(Attempt.Root.High),
                static_cast<unsigned long long>(Attempt.Root.Low),
                static_cast<unsigned long long>(Attempt.Id.Sequence));
  return Text;
}

/// The key as the client gave it; see scopedKey().
std::string clientKey(const IdempotencyKey &Scoped) {
  return Scoped.value().substr(Scoped.value().find(' ') + 1);
}

HttpCall toHttp(const ParentContext &Context, Milliseconds Left) {
  const auto &Attempt = Context.Spec;
  HttpCall Call;
  Call.Method = Attempt.Method;
  Call.Path = Attempt.Path;
  Call.Body = Attempt.Body;
  Call.Timeout = Left;
  Call.Headers = {{header::Attempt, toString(Attempt.Id)},
                  {header::Deadline, std::to_string(Left.count())},
                  {header::TraceParent, traceParent(Attempt)}};
  if (!Attempt.ContentType.empty())
    Call.Headers.emplace_back(header::ContentType, Attempt.ContentType);
  if (!Attempt.Tenant.value().empty())
    Call.Headers.emplace_back(header::Tenant, Attempt.Tenant.value());
  if (!Attempt.Key.value().empty())
    Call.Headers.emplace_back(header::IdempotencyKey, clientKey(Attempt.Key));
  return Call;
}

Reply toReply(const HttpResponse &Answer) {
  switch (Answer.Outcome) {
  case HttpOutcome::NotConnected:
    return notRun(Reason::NoTarget, Milliseconds(0));
  case HttpOutcome::Broken:
    return unknownOutcome(Reason::TargetFailed, Milliseconds(0));
  case HttpOutcome::TimedOut:
    return unknownOutcome(Reason::TimedOut, Milliseconds(0));
  case HttpOutcome::Answered:
    break;
  }
  if (Answer.Status == Unavailable &&
      Answer.header(header::Outcome) == toString(Outcome::NotRun))
    return notRun(Reason::Overload, Milliseconds(0));
  Reply Value;
  Value.Outcome = Outcome::Answered;
  Value.Status = static_cast<std::uint16_t>(Answer.Status);
  Value.ContentType = Answer.header(header::ContentType);
  Value.Body = Answer.Body;
  return Value;
}

Completion completionOf(const Reply &Value) {
  if (Value.Outcome == Outcome::Answered)
    return Completion::Served;
  return Value.Reason == Reason::Overload ? Completion::Shed
                                          : Completion::Abandoned;
}

} // namespace

Executor::Executor(Options Chosen, TargetPort &Target, const InForce &Releases,
                   const LevelTable &Levels, Metrics &Counters, Clock Now)
    : Chosen(Chosen), Target(Target), Releases(Releases), Levels(Levels),
      Counters(Counters), Now(std::move(Now)),
      Admitted(UnannouncedSlots, AdmissionOptions{Chosen.OrderByClass},
               Chosen.Seed),
      Ledger(AttemptRetention), ComeBack(Chosen.Seed) {}

void Executor::onAnnounced(const ServiceName &Name, Slots Announced,
                           Milliseconds WarmUp) {
  this->Service = Name;
  this->Ready = true;
  this->Admitted.announce(Announced, WarmUp, this->Now());
}

void Executor::refuseNewWork() {
  this->Refusing = true;
  this->apply(this->Admitted.refuseQueued(Reason::Draining));
}

float Executor::threshold() const noexcept {
  return this->Admitted.threshold();
}

std::size_t Executor::running() const noexcept {
  return this->Admitted.running();
}

std::size_t Executor::queued() const noexcept {
  return this->Admitted.queued();
}

std::size_t Executor::limit() const noexcept {
  return this->Admitted.limit(this->Now());
}

void Executor::execute(const AttemptSpec &Attempt, ReplyDone Done) {
  if (Attempt.Executor != this->Chosen.Self) {
    // Meant for an earlier life of this node, which may have run it.
    Done(unknownOutcome(Reason::NodeGone, Milliseconds(0)));
    return;
  }
  auto Seen = this->Ledger.onArrival(Attempt.Id, this->Now());
  switch (Seen.Verdict) {
  case AttemptLedger::Verdict::Replay:
    this->Counters.count("attempts_replayed");
    Done(*Seen.Reply);
    return;
  case AttemptLedger::Verdict::Stale:
    this->Counters.count("attempts_stale");
    Done(unknownOutcome(Reason::NodeGone, Milliseconds(0)));
    return;
  case AttemptLedger::Verdict::Pending:
    this->Counters.count("attempts_attached");
    this->Jobs.at(Attempt.Id).Waiters.push_back(std::move(Done));
    return;
  case AttemptLedger::Verdict::Fresh:
    this->admit(Attempt, std::move(Done));
    return;
  }
}

void Executor::admit(const AttemptSpec &Attempt, ReplyDone Done) {
  auto Time = this->Now();
  auto &J = this->Jobs[Attempt.Id];
  J.Context.Spec = Attempt;
  J.Context.Deadline = Time + Attempt.TimeLeft;
  J.Context.Budget = RetryBudget(Attempt.Retries);
  J.Waiters.push_back(std::move(Done));
  auto Release = this->Releases.current();
  const auto *Route = Release ? Release->route(Attempt.Path) : nullptr;
  if (this->Refusing || !this->Ready) {
    this->refuse(Attempt.Id,
                 this->Refusing ? Reason::Draining : Reason::NoTarget);
    return;
  }
  Arrival Value;
  Value.Id = Attempt.Id;
  Value.Rank = Attempt.Rank;
  Value.Cohort = Attempt.Cohort;
  Value.Tenant = Attempt.Tenant;
  Value.Deadline = J.Context.Deadline;
  Value.Cancellable =
      Route != nullptr && Route->Declared.Runs == RunSemantics::Idempotent;
  this->apply(this->Admitted.submit(Value, Time));
}

void Executor::apply(AdmissionDecisions Decisions) {
  for (const auto &Refusal : Decisions.Refuse)
    this->refuse(Refusal.Id, Refusal.Reason);
  for (const auto &Id : Decisions.Dispatch)
    this->dispatch(Id);
  for (const auto &Id : Decisions.Cancel)
    this->cancelAtTarget(Id, Reason::Displaced);
}

void Executor::refuse(AttemptId Id, Reason Why) {
  auto Found = this->Jobs.find(Id);
  if (Found == this->Jobs.end())
    return;
  const auto &Spec = Found->second.Context.Spec;
  auto Span = this->ComeBack.next(this->Admitted.threshold(),
                                  position(Spec.Rank, Spec.Cohort));
  this->Counters.count("attempts_refused", "reason", toString(Why));
  this->finish(Id, notRun(Why, Span));
}

void Executor::dispatch(AttemptId Id) {
  auto Found = this->Jobs.find(Id);
  if (Found == this->Jobs.end())
    return;
  this->Ledger.dispatch(Id);
  this->Counters.count("attempts_dispatched");
  auto &J = Found->second;
  auto Left = std::chrono::ceil<Milliseconds>(J.Context.Deadline - this->Now());
  auto Ticket = this->Target.send(toHttp(J.Context, Left),
                                  [this, Id](const HttpResponse &Answer) {
                                    this->onTargetAnswer(Id, Answer);
                                  });
  auto Still = this->Jobs.find(Id);
  if (Still != this->Jobs.end())
    Still->second.Ticket = Ticket;
}

void Executor::onTargetAnswer(AttemptId Id, const HttpResponse &Answer) {
  auto Value = toReply(Answer);
  auto How = completionOf(Value);
  if (Value.Outcome == Outcome::NotRun)
    this->refuse(Id, Value.Reason);
  else
    this->finish(Id, std::move(Value));
  this->apply(this->Admitted.complete(Id, How, this->Now()));
}

void Executor::cancelAtTarget(AttemptId Id, Reason Why) {
  auto Found = this->Jobs.find(Id);
  if (Found == this->Jobs.end())
    return;
  this->Counters.count("attempts_cancelled", "reason", toString(Why));
  this->Target.cancel(Found->second.Ticket);
  auto Span = this->ComeBack.next(this->Admitted.threshold(),
                                  static_cast<float>(MaxRanks));
  this->finish(Id, unknownOutcome(Why, Span));
  this->apply(this->Admitted.complete(Id, Completion::Abandoned, this->Now()));
}

void Executor::finish(AttemptId Id, Reply Value) {
  auto Found = this->Jobs.find(Id);
  if (Found == this->Jobs.end())
    return;
  auto J = std::move(Found->second);
  this->Jobs.erase(Found);
  Value.RetriesLeft = J.Context.Budget.remaining();
  this->addLevels(J.Context.Spec.Path, Value);
  auto Kept = std::make_shared<const Reply>(std::move(Value));
  this->Ledger.finish(Id, Kept, this->Now());
  for (const auto &Action : J.EndActions)
    Action.second();
  for (const auto &Done : J.Waiters)
    Done(*Kept);
}

void Executor::addLevels(const std::string &Path, Reply &Value) const {
  Value.Levels.push_back({this->Service, this->threshold()});
  auto Release = this->Releases.current();
  const auto *Route = Release ? Release->route(Path) : nullptr;
  if (Route == nullptr)
    return;
  std::vector<ServiceName> Below;
  for (const auto &Name : Route->Reaches)
    if (Name != this->Service)
      Below.push_back(Name);
  for (auto &Report : this->Levels.reports(Below, this->Now()))
    Value.Levels.push_back(std::move(Report));
}

bool Executor::cancel(AttemptId Id, Incarnation Life) {
  if (Life != this->Chosen.Self)
    return false;
  bool NotRun = this->Ledger.revoke(Id, this->Now());
  auto Found = this->Jobs.find(Id);
  if (Found == this->Jobs.end())
    return NotRun;
  if (NotRun) {
    this->Admitted.withdraw(Id);
    this->refuse(Id, Reason::Cancelled);
    return true;
  }
  auto Release = this->Releases.current();
  const auto *Route =
      Release ? Release->route(Found->second.Context.Spec.Path) : nullptr;
  if (Route != nullptr && Route->Declared.Runs == RunSemantics::Idempotent)
    this->cancelAtTarget(Id, Reason::Cancelled);
  return false;
}

void Executor::tick() {
  auto Release = this->Releases.current();
  auto Ranks = Release ? Release->rankCount() : 1;
  this->apply(this->Admitted.tick(Ranks, this->Now()));
  this->Ledger.sweep(this->Now());
}

ParentContext *Executor::parent(AttemptId Id) {
  auto Found = this->Jobs.find(Id);
  if (Found == this->Jobs.end() || !this->Ledger.isRunning(Id))
    return nullptr;
  return &Found->second.Context;
}

void Executor::addParentEndAction(AttemptId Id, std::uint64_t Key,
                                  std::function<void()> Action) {
  auto Found = this->Jobs.find(Id);
  if (Found != this->Jobs.end())
    Found->second.EndActions.emplace(Key, std::move(Action));
}

void Executor::removeParentEndAction(AttemptId Id, std::uint64_t Key) {
  auto Found = this->Jobs.find(Id);
  if (Found != this->Jobs.end())
    Found->second.EndActions.erase(Key);
}

} // namespace limpetdrum
