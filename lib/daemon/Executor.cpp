#include "limpetdrum/daemon/Executor.h"

#include <cstdio>

namespace limpetdrum {

namespace {

/// Time during which the reply of an ended attempt can be replayed.
constexpr std::chrono::seconds AttemptRetention{10};
/// Slots assumed until the target announces itself.
constexpr Slots UnannouncedSlots{1};
constexpr int ServiceUnavailable = 503;

std::string traceParent(const AttemptSpec &Attempt) {
  char Text[64];
  std::snprintf(Text, sizeof(Text), "00-%016llx%016llx-%016llx-01",
                static_cast<unsigned long long>(Attempt.Root.High),
                static_cast<unsigned long long>(Attempt.Root.Low),
                static_cast<unsigned long long>(Attempt.Id.Sequence));
  return Text;
}

/// Returns the key as the client sent it; see scopedKey().
std::string clientKey(const IdempotencyKey &Scoped) {
  return Scoped.value().substr(Scoped.value().find(' ') + 1);
}

HttpCall toHttpCall(const ParentContext &Context, Milliseconds TimeLeft) {
  const auto &Attempt = Context.Spec;
  HttpCall Call;
  Call.Method = Attempt.Method;
  Call.Path = Attempt.Path;
  Call.Body = Attempt.Body;
  Call.Timeout = TimeLeft;
  Call.Headers = {{header::Attempt, toString(Attempt.Id)},
                  {header::Deadline, std::to_string(TimeLeft.count())},
                  {header::TraceParent, traceParent(Attempt)}};
  if (!Attempt.ContentType.empty())
    Call.Headers.emplace_back(header::ContentType, Attempt.ContentType);
  if (!Attempt.Organisation.value().empty())
    Call.Headers.emplace_back(header::Organisation,
                              Attempt.Organisation.value());
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
  if (Answer.Status == ServiceUnavailable &&
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

Executor::Executor(Options Config, TargetPort &Target, const InForce &Releases,
                   const LevelTable &Levels, Metrics &Counters, Clock Now)
    : Config(Config), Target(Target), Releases(Releases), Levels(Levels),
      Counters(Counters), Now(std::move(Now)),
      AdmissionControl(UnannouncedSlots, AdmissionOptions{Config.OrderByClass},
                       Config.Seed),
      Ledger(AttemptRetention), RetryDelays(Config.Seed) {}

void Executor::onAnnounced(const ServiceName &Name, Slots Announced,
                           Milliseconds WarmUp) {
  this->Service = Name;
  this->Ready = true;
  this->AdmissionControl.announce(Announced, WarmUp, this->Now());
}

void Executor::refuseNewWork() {
  this->RefusesNewWork = true;
  this->apply(this->AdmissionControl.refuseQueued(Reason::Draining));
}

float Executor::threshold() const noexcept {
  return this->AdmissionControl.threshold();
}

std::size_t Executor::running() const noexcept {
  return this->AdmissionControl.running();
}

std::size_t Executor::queued() const noexcept {
  return this->AdmissionControl.queued();
}

std::size_t Executor::limit() const noexcept {
  return this->AdmissionControl.limit();
}

void Executor::execute(const AttemptSpec &Attempt, ReplyCallback Done) {
  if (Attempt.Executor != this->Config.Self) {
    // The attempt was addressed to an earlier incarnation of this node, which
    // may have run it.
    Done(unknownOutcome(Reason::NodeGone, Milliseconds(0)));
    return;
  }
  auto Lookup = this->Ledger.onArrival(Attempt.Id, this->Now());
  switch (Lookup.Verdict) {
  case AttemptLedger::Verdict::Replay:
    this->Counters.count("attempts_replayed");
    Done(*Lookup.Reply);
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

void Executor::admit(const AttemptSpec &Attempt, ReplyCallback Done) {
  auto Now = this->Now();
  auto &J = this->Jobs[Attempt.Id];
  J.Context.Spec = Attempt;
  J.Context.Deadline = Now + Attempt.TimeLeft;
  J.Context.Budget = RetryBudget(Attempt.Retries);
  J.Waiters.push_back(std::move(Done));
  auto Release = this->Releases.current();
  const auto *Route = Release ? Release->route(Attempt.Path) : nullptr;
  if (this->RefusesNewWork || !this->Ready) {
    this->refuse(Attempt.Id,
                 this->RefusesNewWork ? Reason::Draining : Reason::NoTarget);
    return;
  }
  Arrival Value;
  Value.Id = Attempt.Id;
  Value.Rank = Attempt.Rank;
  Value.Cohort = Attempt.Cohort;
  Value.Organisation = Attempt.Organisation;
  Value.Deadline = J.Context.Deadline;
  Value.Cancellable =
      Route != nullptr && Route->Declared.Runs == RunSemantics::Idempotent;
  this->apply(this->AdmissionControl.submit(Value, Now));
}

void Executor::apply(AdmissionDecisions Decisions) {
  for (const auto &Refusal : Decisions.Refuse)
    this->refuse(Refusal.Id, Refusal.Reason);
  for (const auto &Id : Decisions.Dispatch)
    this->dispatch(Id);
  for (const auto &Id : Decisions.Cancel)
    this->cancelAtTarget(Id, Reason::Displaced);
}

void Executor::refuse(AttemptId Id, Reason Cause) {
  auto Found = this->Jobs.find(Id);
  if (Found == this->Jobs.end())
    return;
  const auto &Spec = Found->second.Context.Spec;
  auto Delay = this->RetryDelays.next(this->AdmissionControl.threshold(),
                                      position(Spec.Rank, Spec.Cohort));
  this->Counters.count("attempts_refused", "reason", toString(Cause));
  this->finish(Id, notRun(Cause, Delay));
}

void Executor::dispatch(AttemptId Id) {
  auto Found = this->Jobs.find(Id);
  if (Found == this->Jobs.end())
    return;
  this->Ledger.dispatch(Id);
  this->Counters.count("attempts_dispatched");
  auto &J = Found->second;
  auto TimeLeft =
      std::chrono::ceil<Milliseconds>(J.Context.Deadline - this->Now());
  auto Ticket = this->Target.send(toHttpCall(J.Context, TimeLeft),
                                  [this, Id](const HttpResponse &Answer) {
                                    this->onTargetAnswer(Id, Answer);
                                  });
  auto Pending = this->Jobs.find(Id);
  if (Pending != this->Jobs.end())
    Pending->second.Ticket = Ticket;
}

void Executor::onTargetAnswer(AttemptId Id, const HttpResponse &Answer) {
  auto Value = toReply(Answer);
  auto Result = completionOf(Value);
  if (Value.Outcome == Outcome::NotRun)
    this->refuse(Id, Value.Reason);
  else
    this->finish(Id, std::move(Value));
  this->apply(this->AdmissionControl.complete(Id, Result, this->Now()));
}

void Executor::cancelAtTarget(AttemptId Id, Reason Cause) {
  auto Found = this->Jobs.find(Id);
  if (Found == this->Jobs.end())
    return;
  this->Counters.count("attempts_cancelled", "reason", toString(Cause));
  this->Target.cancel(Found->second.Ticket);
  auto Delay = this->RetryDelays.next(this->AdmissionControl.threshold(),
                                      static_cast<float>(MaxRanks));
  this->finish(Id, unknownOutcome(Cause, Delay));
  this->apply(
      this->AdmissionControl.complete(Id, Completion::Abandoned, this->Now()));
}

void Executor::finish(AttemptId Id, Reply Value) {
  auto Found = this->Jobs.find(Id);
  if (Found == this->Jobs.end())
    return;
  auto J = std::move(Found->second);
  this->Jobs.erase(Found);
  Value.RetriesLeft = J.Context.Budget.remaining();
  this->addLevels(J.Context.Spec.Path, Value);
  auto Stored = std::make_shared<const Reply>(std::move(Value));
  this->Ledger.finish(Id, Stored, this->Now());
  for (const auto &Action : J.EndActions)
    Action.second();
  for (const auto &Done : J.Waiters)
    Done(*Stored);
}

void Executor::addLevels(const std::string &Path, Reply &Value) const {
  Value.Levels.push_back({this->Service, this->threshold()});
  auto Release = this->Releases.current();
  const auto *Route = Release ? Release->route(Path) : nullptr;
  if (Route == nullptr)
    return;
  std::vector<ServiceName> Downstream;
  for (const auto &Name : Route->Reaches)
    if (Name != this->Service)
      Downstream.push_back(Name);
  for (auto &Report : this->Levels.reports(Downstream, this->Now()))
    Value.Levels.push_back(std::move(Report));
}

bool Executor::cancel(AttemptId Id, Incarnation Recipient) {
  if (Recipient != this->Config.Self)
    return false;
  bool NotRun = this->Ledger.revoke(Id, this->Now());
  auto Found = this->Jobs.find(Id);
  if (Found == this->Jobs.end())
    return NotRun;
  if (NotRun) {
    this->AdmissionControl.withdraw(Id);
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
  this->apply(this->AdmissionControl.tick(Ranks, this->Now()));
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
