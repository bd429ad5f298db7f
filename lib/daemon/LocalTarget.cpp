#include "limpetdrum/daemon/LocalTarget.h"

#include <algorithm>

namespace limpetdrum {

namespace {

/// Longer than any deadline, so that no late copy of an attempt runs.
constexpr std::chrono::seconds LedgerTime{30};
/// Statuses by which a node promises that a request has not run.
constexpr std::array<int, 4> PromisesNotRun = {408, 421, 429, 503};
constexpr int Misdirected = 421;
/// Targets slow down when their last slots are taken.
constexpr double UsableSlots = 0.95;
constexpr Milliseconds LeastRetryAfter{300};
/// An eighth of a latency target of one second: what waits no longer may still
/// be refused in time.
constexpr Milliseconds ShortWait{120};
/// A run that ends within it leaves its connection usable; a fifth of the time
/// within which work for a client that has gone must end.
constexpr Milliseconds CancelGrace{100};

Slots usable(Slots Announced) {
  auto Share = static_cast<double>(Announced.value()) * UsableSlots;
  return Slots(static_cast<std::uint16_t>(std::max(1.0, Share)));
}

} // namespace

LocalTarget::LocalTarget(const Options &Chosen, HeaderNames Names,
                         TargetPort &Port, EventLog &Log, Metrics &Counters,
                         Clock Now)
    : Chosen(Chosen), Names(std::move(Names)), Port(Port), Log(Log),
      Counters(Counters), Now(std::move(Now)), Gate(Chosen.DrainAllowance),
      Ledger(LedgerTime), Queue(Slots(1), {true, ShortWait}, Chosen.Seed) {}

void LocalTarget::replace(const TargetRecord &New, Milliseconds WarmUp) {
  bool IsOther =
      New.Id != this->Record.Id ||
      (this->Record.Started != 0 && New.Started != this->Record.Started);
  bool Changed = IsOther || New.State != this->Record.State;
  if (IsOther || New.Slots != this->Record.Slots)
    this->Queue.announce(usable(New.Slots), WarmUp, this->Now());
  if (IsOther) {
    this->Gate.reset();
    this->GateWasClosed = false;
  }
  this->Record = New;
  if (New.State != TargetState::Ready && New.State != TargetState::Starting)
    this->Gate.beginDraining(this->Now());
  if (!Changed)
    return;
  this->Log.state("target", {{"target", New.Id},
                             {"started", New.Started},
                             {"sequence", New.Sequence},
                             {"service", New.Service.value()},
                             {"slots", New.Slots.value()},
                             {"state", toString(New.State)}});
  if (this->OnChange)
    this->OnChange();
}

bool LocalTarget::hasDeparted(const TargetRecord &Value) const {
  // The same id in a later process is another target.
  auto Found = this->Departed.find(Value.Id);
  return Found != this->Departed.end() && Value.Started <= Found->second;
}

bool LocalTarget::onReport(const Report &Value) {
  const auto &New = Value.Target;
  if (New.Id != this->Record.Id && this->hasDeparted(New))
    return false;
  if (isLater(New, this->Record)) {
    auto Taken = New;
    bool IsSame =
        New.Id == this->Record.Id && New.Started == this->Record.Started;
    // A target that leaves does not come back, whatever it says later.
    if (IsSame && this->Record.State > New.State)
      Taken.State = this->Record.State;
    this->replace(Taken, Value.WarmUp);
    return true;
  }
  // An older one of the same process is in force if it says nothing else.
  return New.Id == this->Record.Id && New.Started == this->Record.Started &&
         New.State <= this->Record.State;
}

void LocalTarget::onRecordFromPeer(const TargetRecord &Theirs) {
  // Only a reported record tells the order of processes.
  if (Theirs.Id.empty() || Theirs.Started == 0)
    return;
  // Another instance may have had this address; what others remember is then of
  // the target there.
  if (Theirs.Service != this->Chosen.Service)
    return;
  bool Taken = this->onReport({Theirs, Milliseconds(0)});
  // When that leave was acknowledged is not known: its time may be over.
  if (Taken && this->Record.State != TargetState::Ready)
    this->Gate.close(this->Now());
}

bool LocalTarget::onLeave(const std::string &Id) {
  // Remembered also for a target that is not known: others may tell of it as
  // ready, who have not heard that it leaves.
  this->Departed.try_emplace(Id, this->Chosen.UnixMillis());
  if (Id != this->Record.Id)
    return true;
  auto Leaving = this->Record;
  Leaving.State = TargetState::Left;
  this->replace(Leaving, Milliseconds(0));
  return true;
}

void LocalTarget::onStatusCheck(const std::string &Id,
                                const ServiceName &Service, Slots Announced) {
  if (!this->Record.Id.empty())
    return;
  TargetRecord Found;
  Found.Id = Id;
  Found.Service = Service;
  Found.Slots = Announced;
  Found.State = TargetState::Ready;
  if (!this->hasDeparted(Found))
    this->replace(Found, Milliseconds(0));
}

Milliseconds LocalTarget::retryAfter() const {
  auto Wait = std::chrono::duration_cast<Milliseconds>(
      this->Queue.expectedWait(this->Now()));
  return std::max(LeastRetryAfter, Wait);
}

void LocalTarget::execute(Incarnation Caller, const MeshAttempt &Attempt,
                          ReplyDone OnReply) {
  AttemptId Id{Caller, Attempt.Call};
  auto Time = this->Now();
  auto Seen = this->Ledger.onArrival(Id, Time);
  switch (Seen.Verdict) {
  case AttemptLedger::Verdict::Pending:
    this->Counters.count("attempts_attached");
    this->Active.at(Id).Waiting = {std::move(OnReply)};
    return;
  case AttemptLedger::Verdict::Replay:
    this->Counters.count("attempts_replayed");
    OnReply(*Seen.Reply);
    return;
  case AttemptLedger::Verdict::Stale:
    OnReply(unknownOutcome(Reason::None, Milliseconds(0)));
    return;
  case AttemptLedger::Verdict::Fresh:
    break;
  }
  auto &Added = this->Active[Id];
  Added.Attempt = Attempt;
  Added.Arrived = Time;
  Added.Deadline = Time + Attempt.TimeLeft;
  Added.Waiting.push_back(std::move(OnReply));
  if (this->Record.Id.empty() || Attempt.TargetId != this->Record.Id) {
    this->finish(Id, notRun(Reason::WrongTarget, LeastRetryAfter));
    return;
  }
  if (this->IsClosed || this->Gate.isClosed(Time) ||
      this->Record.State == TargetState::Starting) {
    this->finish(Id, notRun(Reason::Draining, LeastRetryAfter));
    return;
  }
  Arrival Asked;
  Asked.Id = Id;
  Asked.Rank = Attempt.Rank;
  Asked.Cohort = Attempt.Cohort;
  Asked.Deadline = Added.Deadline;
  // The queue refuses what could not end by its deadline.
  if (Attempt.WaitLimit > Milliseconds(0))
    Asked.Deadline = std::min(Asked.Deadline, Time + Attempt.WaitLimit +
                                                  this->Queue.typicalLatency());
  this->perform(this->Queue.submit(Asked, Time));
}

void LocalTarget::perform(const AdmissionDecisions &Decisions) {
  for (const auto &Refused : Decisions.Refuse)
    this->finish(Refused.Id, notRun(Refused.Reason, this->retryAfter()));
  for (const auto &Id : Decisions.Dispatch)
    this->dispatch(Id);
}

HttpCall LocalTarget::makeCall(const Entry &Of, Milliseconds Left) const {
  const auto &Asked = Of.Attempt.Request;
  HttpCall Call;
  Call.Method = Asked.Method;
  Call.Path = Asked.Target;
  Call.Headers = Asked.Headers;
  Call.Body = Asked.Body;
  Call.Timeout = Left;
  Call.ExpectedEcho = Of.Attempt.RequestId;
  Call.Headers.emplace_back(this->Names.TimeLeft, std::to_string(Left.count()));
  Call.Headers.emplace_back(this->Names.ExpectedTarget, this->Record.Id);
  Call.Headers.emplace_back(this->Names.CallerService,
                            Of.Attempt.CallerService.value());
  return Call;
}

void LocalTarget::dispatch(AttemptId Id) {
  auto &Entry = this->Active.at(Id);
  auto Time = this->Now();
  auto Left = std::chrono::duration_cast<Milliseconds>(Entry.Deadline - Time);
  bool Gone = Entry.Attempt.TargetId != this->Record.Id;
  if (Left <= Milliseconds(0) || Gone || this->Gate.isClosed(Time)) {
    auto Why = Reason::DeadlineTooNear;
    if (Left > Milliseconds(0))
      Why = Gone ? Reason::WrongTarget : Reason::Draining;
    auto Freed = this->Queue.complete(Id, Completion::Abandoned, Time);
    this->finish(Id, notRun(Why, LeastRetryAfter));
    this->perform(Freed);
    return;
  }
  Entry.Dispatched = Time;
  this->RunningById[Entry.Attempt.RequestId] = Id;
  this->Ledger.dispatch(Id);
  if (this->OnRun)
    this->OnRun(Entry.Attempt.Route, RunEvent::Started);
  Entry.Ticket = this->Port.send(this->makeCall(Entry, Left),
                                 [this, Id](HttpResponse Answer) {
                                   this->onAnswer(Id, std::move(Answer));
                                 });
}

Reply LocalTarget::toReply(HttpResponse &Answer) {
  switch (Answer.Outcome) {
  case HttpOutcome::NotConnected:
    return notRun(Reason::TargetFailed, LeastRetryAfter);
  case HttpOutcome::Broken:
    return unknownOutcome(Reason::TargetFailed, LeastRetryAfter);
  case HttpOutcome::TimedOut:
    return unknownOutcome(Reason::TimedOut, LeastRetryAfter);
  case HttpOutcome::Answered:
    break;
  }
  if (Answer.Status == Misdirected)
    return notRun(Reason::WrongTarget, LeastRetryAfter);
  if (findHeader(Answer.Headers, this->Names.NotExecuted) != nullptr)
    return notRun(Reason::RefusedByTarget, this->retryAfter());
  bool Promises = std::find(PromisesNotRun.begin(), PromisesNotRun.end(),
                            Answer.Status) != PromisesNotRun.end();
  if (Promises)
    return unknownOutcome(Reason::TargetFailed, LeastRetryAfter);
  Reply Value;
  Value.Outcome = Outcome::Answered;
  Value.Status = static_cast<std::uint16_t>(Answer.Status);
  removeConnectionHeaders(Answer.Headers);
  Value.Headers = std::move(Answer.Headers);
  Value.Body = std::move(Answer.Body);
  return Value;
}

void LocalTarget::onAnswer(AttemptId Id, HttpResponse Answer) {
  auto Found = this->Active.find(Id);
  if (Found == this->Active.end())
    return;
  auto Time = this->Now();
  auto Value = this->toReply(Answer);
  if (Found->second.CallFailed && Value.Status >= 500)
    Value.Reason = Reason::CallFailed;
  auto How = Completion::Served;
  // A refusal says nothing of the limit either: the target is never given more
  // than its slots, so it refuses for reasons of its own.
  if (Value.Outcome != Outcome::Answered)
    How = Completion::Abandoned;
  if (Value.Outcome == Outcome::NotRun)
    this->Counters.count("target_refusals", "reason", toString(Value.Reason));
  if (Value.Reason == Reason::WrongTarget) {
    // The record is out of date; the next report or probe brings a new one.
    auto Unknown = this->Record;
    Unknown.State = TargetState::Starting;
    this->replace(Unknown, Milliseconds(0));
  }
  auto Freed = this->Queue.complete(Id, How, Time);
  this->finish(Id, std::move(Value));
  this->perform(Freed);
}

void LocalTarget::finish(AttemptId Id, Reply Value) {
  auto Found = this->Active.find(Id);
  if (Found == this->Active.end())
    return;
  auto Ended = std::move(Found->second);
  this->Active.erase(Found);
  auto ById = this->RunningById.find(Ended.Attempt.RequestId);
  if (ById != this->RunningById.end() && ById->second == Id)
    this->RunningById.erase(ById);
  auto Time = this->Now();
  if (Ended.CancelAt)
    --this->Cancelled;
  if (Ended.Ticket != 0 && this->OnRun)
    this->OnRun(Ended.Attempt.Route,
                Value.Status < 500 ? RunEvent::Served : RunEvent::Failed);
  if (Value.Outcome != Outcome::Answered)
    this->Log.request("attempt_not_served",
                      {{"id", Ended.Attempt.RequestId},
                       {"route", Ended.Attempt.Route},
                       {"target", Ended.Attempt.TargetId},
                       {"outcome", toString(Value.Outcome)},
                       {"reason", toString(Value.Reason)},
                       {"waited_us", (Time - Ended.Arrived).count()},
                       {"dispatched", Ended.Ticket != 0},
                       {"running", this->Queue.running()},
                       {"queued", this->Queue.queued()},
                       {"limit", this->Queue.limit(Time)}});
  auto Shared = std::make_shared<const Reply>(std::move(Value));
  this->Ledger.finish(Id, Shared, Time);
  for (const auto &OnReply : Ended.Waiting)
    OnReply(*Shared);
}

void LocalTarget::cancel(Incarnation Caller, std::uint64_t Call) {
  AttemptId Id{Caller, Call};
  auto Found = this->Active.find(Id);
  if (Found == this->Active.end()) {
    // The attempt may still be on its way.
    (void)this->Ledger.revoke(Id, this->Now());
    return;
  }
  Found->second.Waiting.clear();
  if (Found->second.Ticket == 0) {
    (void)this->Queue.withdraw(Id);
    this->finish(Id, notRun(Reason::Cancelled, Milliseconds(0)));
    return;
  }
  Found->second.CancelAt = this->Now() + CancelGrace;
  ++this->Cancelled;
}

void LocalTarget::endCancelled() {
  if (this->Cancelled == 0)
    return;
  auto Time = this->Now();
  std::vector<AttemptId> Due;
  for (const auto &[Id, Entry] : this->Active)
    if (Entry.CancelAt && *Entry.CancelAt <= Time)
      Due.push_back(Id);
  for (const auto &Id : Due) {
    this->Port.cancel(this->Active.at(Id).Ticket);
    auto Freed = this->Queue.complete(Id, Completion::Abandoned, Time);
    this->finish(Id, unknownOutcome(Reason::Cancelled, Milliseconds(0)));
    this->perform(Freed);
  }
}

void LocalTarget::acknowledge(Incarnation Caller, std::uint64_t Call) {
  this->Ledger.discardReply({Caller, Call});
}

std::optional<CallContext>
LocalTarget::callContext(const std::string &RequestId) const {
  auto Found = this->RunningById.find(RequestId);
  if (Found == this->RunningById.end())
    return std::nullopt;
  const auto &Attempt = this->Active.at(Found->second).Attempt;
  return CallContext{Attempt.Route, Attempt.Rank, Attempt.Cohort};
}

void LocalTarget::onCallFailed(const std::string &RequestId) {
  auto Found = this->RunningById.find(RequestId);
  if (Found != this->RunningById.end())
    this->Active.at(Found->second).CallFailed = true;
}

void LocalTarget::closeIfDrained() {
  if (!this->Gate.isClosed(this->Now()) ||
      std::exchange(this->GateWasClosed, true))
    return;
  this->Log.state("drain_gate_closed", {{"target", this->Record.Id},
                                        {"running", this->Queue.running()},
                                        {"queued", this->Queue.queued()}});
  this->perform(this->Queue.refuseQueued(Reason::Draining));
}

void LocalTarget::tick() {
  this->endCancelled();
  this->closeIfDrained();
  this->Ledger.sweep(this->Now());
  this->perform(this->Queue.tick(MaxRanks, this->Now()));
}

void LocalTarget::fillStatus(NodeStatus &Into) const {
  Into.Target = this->Record;
  Into.Running = static_cast<std::uint32_t>(this->Queue.running());
  Into.Queued = static_cast<std::uint32_t>(this->Queue.queued());
  Into.Limit = static_cast<std::uint32_t>(this->Queue.limit(this->Now()));
  Into.Threshold = this->Queue.threshold();
  Into.ServiceTime = this->Queue.typicalLatency();
}

} // namespace limpetdrum
