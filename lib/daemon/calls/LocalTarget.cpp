#include "limpetdrum/daemon/calls/LocalTarget.h"

#include "limpetdrum/daemon/calls/TargetAnswer.h"
#include "limpetdrum/process/Error.h"
#include "limpetdrum/request/RequestFingerprint.h"

#include <algorithm>

namespace limpetdrum {

namespace {

/// Longer than any deadline, so that a late copy of an attempt does not run.
constexpr std::chrono::seconds AttemptRetention{30};
/// Targets slow down when their last slots are in use.
constexpr double UsableSlotShare = 0.95;
constexpr Milliseconds MinRetryAfter{300};
/// Delay after a refusal by a target that has room: waiting longer would not
/// raise the chance, and could make the answer late.
constexpr Milliseconds RetryAfterWithRoom{20};
/// About an eighth of a latency target of one second: a request that has waited
/// no longer than this can still be refused in time.
constexpr Milliseconds ShortWait{120};
/// A cancelled run that ends within this time leaves its connection usable. It
/// is a fifth of the time within which work for a disconnected client must end.
constexpr Milliseconds CancelGrace{100};
/// Time for which the answer of a target is awaited after the time left that it
/// was given: it stops then, and says so itself.
constexpr Milliseconds FinalAnswerTime{100};
/// Requests that are reported of one crash. A target with more slots than this
/// may have to be crashed more often until the cause is known.
constexpr std::size_t MaxReportsPerCrash = 1024;
/// A target that states a malformed load does so in all answers.
constexpr Milliseconds LoadErrorLogPeriod{1000};

Slots usableSlots(Slots AnnouncedSlots) {
  auto Count = static_cast<double>(AnnouncedSlots.value()) * UsableSlotShare;
  return Slots(static_cast<std::uint16_t>(std::max(1.0, Count)));
}

} // namespace

LocalTarget::LocalTarget(const Options &Config, HeaderNames Names,
                         TargetPort &Port, CrashHistory &Crashes, EventLog &Log,
                         Metrics &Counters, Clock Now)
    : Config(Config), Names(std::move(Names)), Port(Port), Crashes(Crashes),
      Log(Log), Counters(Counters), Now(std::move(Now)),
      Gate(Config.DrainAllowance), Ledger(AttemptRetention),
      Queue(Slots(1), {true, ShortWait}, Config.Seed) {}

void LocalTarget::setRecord(const TargetRecord &NewRecord,
                            Milliseconds WarmUp) {
  bool IsNewTarget =
      NewRecord.Id != this->Record.Id ||
      (this->Record.Started != 0 && NewRecord.Started != this->Record.Started);
  bool Changed = IsNewTarget || NewRecord.State != this->Record.State;
  if (IsNewTarget || NewRecord.Slots != this->Record.Slots)
    this->Queue.announce(usableSlots(NewRecord.Slots), WarmUp, this->Now());
  if (IsNewTarget) {
    this->Gate.reset();
    this->GateCloseHandled = false;
    this->HasAnswered = false;
    this->Queue.setRequestRate(std::nullopt, this->Now());
  }
  auto KnownRate = IsNewTarget ? std::nullopt : this->Record.RequestRate;
  this->Record = NewRecord;
  // Reports do not have the rate.
  this->Record.RequestRate = KnownRate;
  if (NewRecord.State != TargetState::Ready &&
      NewRecord.State != TargetState::Starting)
    this->Gate.beginDraining(this->Now());
  if (!Changed)
    return;
  this->Log.state("target", {{"target", NewRecord.Id},
                             {"started", NewRecord.Started},
                             {"sequence", NewRecord.Sequence},
                             {"service", NewRecord.Service.value()},
                             {"slots", NewRecord.Slots.value()},
                             {"state", toString(NewRecord.State)}});
  if (this->OnChange)
    this->OnChange();
}

bool LocalTarget::onReport(const Report &Value) {
  auto Verdict = this->Identity.judge(Value.Target, this->Record);
  if (Verdict == TargetIdentity::Verdict::Newer)
    this->setRecord(TargetIdentity::merge(Value.Target, this->Record),
                    Value.WarmUp);
  return Verdict != TargetIdentity::Verdict::Outdated;
}

void LocalTarget::onRecordFromPeer(const TargetRecord &PeerRecord) {
  // Records of a status check have no start time, by which processes are
  // ordered.
  if (PeerRecord.Id.empty() || PeerRecord.Started == 0)
    return;
  // Another instance may have used this address before; the record of the other
  // node is then that of its target.
  if (PeerRecord.Service != this->Config.Service)
    return;
  bool Accepted = this->onReport({PeerRecord, Milliseconds(0)});
  // The time of the acknowledged leave is unknown, so its drain allowance may
  // have passed.
  if (Accepted && this->Record.State != TargetState::Ready)
    this->Gate.close(this->Now());
}

bool LocalTarget::onLeave(const std::string &Id) {
  // A later process with the same id may have started since the first notice.
  if (Id == this->Record.Id && this->Record.State == TargetState::Left)
    return true;
  this->Identity.onLeave(Id, this->Config.UnixMillis());
  if (Id != this->Record.Id)
    return true;
  auto Leaving = this->Record;
  Leaving.State = TargetState::Left;
  this->setRecord(Leaving, Milliseconds(0));
  return true;
}

void LocalTarget::onDeparture(const TargetRecord &Departed, std::int64_t At) {
  if (Departed.State == TargetState::Left) {
    this->Identity.onLeave(Departed.Id, At);
    // It may be in use by a report that arrived before the store could be read.
    if (this->Identity.hasDeparted(this->Record) &&
        this->Record.State != TargetState::Left) {
      auto Left = this->Record;
      Left.State = TargetState::Left;
      this->setRecord(Left, Milliseconds(0));
      this->Gate.close(this->Now());
    }
    return;
  }
  // The reports of a draining target go on, and have to be acknowledged.
  if (!this->Record.Id.empty() && !isLater(Departed, this->Record))
    return;
  this->setRecord(Departed, Milliseconds(0));
  // The time of the acknowledgement lies before the start of this process.
  this->Gate.close(this->Now());
}

void LocalTarget::onStatusCheck(const std::string &Id,
                                const ServiceName &Service,
                                Slots AnnouncedSlots) {
  if (!this->Record.Id.empty())
    return;
  TargetRecord NewRecord;
  NewRecord.Id = Id;
  NewRecord.Service = Service;
  NewRecord.Slots = AnnouncedSlots;
  NewRecord.State = TargetState::Ready;
  if (!this->Identity.hasDeparted(NewRecord))
    this->setRecord(NewRecord, Milliseconds(0));
}

Milliseconds LocalTarget::retryAfter() const {
  if (this->RetryAfterEnd)
    return *this->RetryAfterEnd;
  auto Wait = std::chrono::duration_cast<Milliseconds>(
      this->Queue.expectedWait(this->Now()));
  return std::max(MinRetryAfter, Wait);
}

void LocalTarget::execute(Incarnation Caller, const MeshAttempt &Attempt,
                          ReplyCallback OnReply) {
  AttemptId Id{Caller, Attempt.Call};
  auto Time = this->Now();
  auto LedgerEntry = this->Ledger.onArrival(Id, Time);
  switch (LedgerEntry.Verdict) {
  case AttemptLedger::Verdict::Pending:
    this->Counters.count("attempts_attached");
    this->Active.at(Id).ReplyCallbacks = {std::move(OnReply)};
    return;
  case AttemptLedger::Verdict::Replay:
    this->Counters.count("attempts_replayed");
    OnReply(*LedgerEntry.Reply);
    return;
  case AttemptLedger::Verdict::Stale:
    OnReply(unknownOutcome(Reason::None, Milliseconds(0)));
    return;
  case AttemptLedger::Verdict::Fresh:
    break;
  }
  auto &NewEntry = this->Active[Id];
  NewEntry.Attempt = Attempt;
  NewEntry.ArrivedAt = Time;
  NewEntry.Deadline = Time + Attempt.TimeLeft;
  NewEntry.ReplyCallbacks.push_back(std::move(OnReply));
  if (this->Record.Id.empty() || Attempt.TargetId != this->Record.Id) {
    this->finish(Id, notRun(Reason::WrongTarget, MinRetryAfter));
    return;
  }
  if (Attempt.Request.ExceedsMemory) {
    this->Counters.count("attempts_beyond_memory");
    this->finish(Id, notRun(Reason::Overload, MinRetryAfter));
    return;
  }
  if (this->RetryAfterEnd) {
    this->Counters.count("attempts_refused_at_end");
    this->finish(Id, notRun(Reason::Draining, *this->RetryAfterEnd));
    return;
  }
  if (this->Gate.isClosed(Time) ||
      this->Record.State == TargetState::Starting) {
    this->finish(Id, notRun(Reason::Draining, MinRetryAfter));
    return;
  }
  if (this->mayRun(Id))
    this->submit(Id);
}

void LocalTarget::refuseNewWork(Milliseconds RetryAfter) {
  this->RetryAfterEnd = RetryAfter;
  this->refuseQueued();
}

void LocalTarget::submit(AttemptId Id) {
  const auto &Waiting = this->Active.at(Id);
  const auto &Attempt = Waiting.Attempt;
  Arrival Submission;
  Submission.Id = Id;
  Submission.Rank = Attempt.Rank;
  Submission.Cohort = Attempt.Cohort;
  Submission.Deadline = Waiting.Deadline;
  if (Attempt.WaitLimit > Milliseconds(0))
    Submission.LatestStart = Waiting.ArrivedAt + Attempt.WaitLimit;
  this->applyDecisions(this->Queue.submit(Submission, this->Now()));
}

RequestFingerprint LocalTarget::fingerprintOf(Entry &Value) {
  if (!Value.Fingerprint)
    Value.Fingerprint = fingerprint(Value.Attempt.Request);
  return *Value.Fingerprint;
}

CrashHistory::Verdict LocalTarget::verdict(Entry &Value) const {
  auto Known = this->Crashes.empty()
                   ? CrashHistory::Verdict::None
                   : this->Crashes.verdict(fingerprintOf(Value), this->Now());
  // The caller may know of crashes that were not reported here yet.
  if (Known == CrashHistory::Verdict::None &&
      Value.Attempt.TargetsEnded >= SuspectCrashes)
    return CrashHistory::Verdict::Suspect;
  return Known;
}

bool LocalTarget::mayRun(AttemptId Id) {
  auto &Value = this->Active.at(Id);
  switch (this->verdict(Value)) {
  case CrashHistory::Verdict::None:
    return true;
  case CrashHistory::Verdict::Suspect:
    return this->Trials.begin(Id);
  case CrashHistory::Verdict::Crashing:
    break;
  }
  this->finish(
      Id, notRun(Reason::CrashesTargets,
                 this->Crashes.retryAfter(fingerprintOf(Value), this->Now())));
  return false;
}

void LocalTarget::refuseWaiting(
    const std::function<bool(const Entry &)> &Condition, Reason Cause) {
  for (const auto &Id : std::vector(this->Trials.waiting()))
    if (auto Found = this->Active.find(Id);
        Found != this->Active.end() && Condition(Found->second))
      this->finish(Id, notRun(Cause, this->retryAfter()));
}

void LocalTarget::applyDecisions(const AdmissionDecisions &Decisions) {
  std::deque<AttemptId> Next;
  auto Apply = [&](const AdmissionDecisions &Value) {
    for (const auto &Refusal : Value.Refuse)
      this->finish(Refusal.Id, notRun(Refusal.Reason, this->retryAfter()));
    Next.insert(Next.begin(), Value.Dispatch.begin(), Value.Dispatch.end());
  };
  Apply(Decisions);
  while (!Next.empty()) {
    auto Id = Next.front();
    Next.pop_front();
    Apply(this->dispatch(Id));
  }
}

HttpCall LocalTarget::makeCall(const Entry &Run, Milliseconds TimeLeft) const {
  const auto &Request = Run.Attempt.Request;
  HttpCall Call;
  Call.Method = Request.Method;
  Call.Path = Request.Target;
  Call.Headers = Request.Headers;
  Call.Body = Request.Body;
  Call.Timeout = TimeLeft + FinalAnswerTime;
  Call.ExpectedEcho = Run.Attempt.RequestId;
  Call.Headers.emplace_back(this->Names.TimeLeft,
                            std::to_string(TimeLeft.count()));
  Call.Headers.emplace_back(this->Names.ExpectedTarget, this->Record.Id);
  Call.Headers.emplace_back(this->Names.CallerService,
                            Run.Attempt.CallerService.value());
  if (!Run.Attempt.Organisation.value().empty())
    Call.Headers.emplace_back(this->Names.Organisation,
                              Run.Attempt.Organisation.value());
  return Call;
}

AdmissionDecisions LocalTarget::dispatch(AttemptId Id) {
  auto &Entry = this->Active.at(Id);
  auto Time = this->Now();
  auto TimeLeft =
      std::chrono::duration_cast<Milliseconds>(Entry.Deadline - Time);
  bool IsWrongTarget = Entry.Attempt.TargetId != this->Record.Id;
  if (TimeLeft <= Milliseconds(0) || IsWrongTarget ||
      this->Gate.isClosed(Time)) {
    auto Cause = Reason::DeadlineTooNear;
    if (TimeLeft > Milliseconds(0))
      Cause = IsWrongTarget ? Reason::WrongTarget : Reason::Draining;
    auto Decisions = this->Queue.complete(Id, Completion::Abandoned, Time);
    this->finish(Id, notRun(Cause, MinRetryAfter));
    return Decisions;
  }
  // The attempt may have become suspected while it was queued.
  if (!this->mayRun(Id))
    return this->Queue.complete(Id, Completion::Abandoned, Time);
  this->RunningByRequestId[Entry.Attempt.RequestId] = Id;
  this->Ledger.dispatch(Id);
  this->Counters.count("target_requests");
  if (this->OnRun)
    this->OnRun(Entry.Attempt.Route, RunEvent::Started);
  Entry.Ticket = this->Port.send(this->makeCall(Entry, TimeLeft),
                                 [this, Id](HttpResponse Answer) {
                                   this->onAnswer(Id, std::move(Answer));
                                 });
  return {};
}

std::optional<TargetLoad> LocalTarget::readNotices(const HttpResponse &Answer) {
  if (!hasNotices(Answer))
    return std::nullopt;
  this->readRequestRate(Answer);
  auto Load = this->readLoad(Answer);
  if (Load && Load->Pace)
    this->Queue.setPace(*Load->Pace, this->Now());
  if (!saysLeaving(Answer, this->Names) ||
      this->Record.State >= TargetState::Draining)
    return Load;
  auto LeavingRecord = this->Record;
  LeavingRecord.State = TargetState::Draining;
  this->setRecord(LeavingRecord, Milliseconds(0));
  return Load;
}

bool LocalTarget::hasRoom(const std::optional<TargetLoad> &Stated) const {
  if (Stated &&
      (Stated->Waiting > 0 || Stated->Running >= Stated->Slots.value()))
    return false;
  return this->Queue.queued() == 0 &&
         this->Queue.running() < this->Queue.limit();
}

std::optional<TargetLoad> LocalTarget::readLoad(const HttpResponse &Answer) {
  try {
    return readTargetLoad(Answer, this->Names);
  } catch (const ValueError &E) {
    this->Counters.count("target_loads_malformed");
    auto Time = this->Now();
    if (!this->LoadErrorLoggedAt ||
        Time - *this->LoadErrorLoggedAt >= LoadErrorLogPeriod) {
      this->LoadErrorLoggedAt = Time;
      this->Log.state("target_load_malformed",
                      {{"target", this->Record.Id}, {"error", E.what()}});
    }
    return std::nullopt;
  }
}

void LocalTarget::readRequestRate(const HttpResponse &Answer) {
  std::optional<double> NewRate;
  try {
    NewRate = limpetdrum::readRequestRate(Answer, this->Names);
  } catch (const ValueError &E) {
    this->Counters.count("target_rates_malformed");
    this->Log.request("target_rate_malformed",
                      {{"target", this->Record.Id}, {"error", E.what()}});
    return;
  }
  this->HasAnswered = true;
  this->setRequestRate(NewRate, "answer");
}

void LocalTarget::onRequestRateFromPeer(const TargetRecord &PeerRecord) {
  bool IsSameTarget = PeerRecord.Id == this->Record.Id &&
                      PeerRecord.Started == this->Record.Started;
  if (IsSameTarget && !this->HasAnswered && PeerRecord.RequestRate)
    this->setRequestRate(PeerRecord.RequestRate, "peer");
}

void LocalTarget::setRequestRate(std::optional<double> PerSecond,
                                 const char *Source) {
  if (PerSecond == this->Record.RequestRate)
    return;
  auto Previous = std::exchange(this->Record.RequestRate, PerSecond);
  this->Queue.setRequestRate(PerSecond, this->Now());
  auto ToField = [](const std::optional<double> &Rate) {
    return Rate ? EventLog::Fields(*Rate) : EventLog::Fields("none");
  };
  this->Counters.count("target_rate_changes");
  this->Log.request("target_rate", {{"target", this->Record.Id},
                                    {"requests_per_second", ToField(PerSecond)},
                                    {"previous", ToField(Previous)},
                                    {"source", Source},
                                    {"running", this->Queue.running()},
                                    {"queued", this->Queue.queued()}});
  // Peers keep the record for a restart of this node; the periodic status
  // brings them changes of the figure.
  if (PerSecond.has_value() != Previous.has_value() && this->OnChange)
    this->OnChange();
}

void LocalTarget::onAnswer(AttemptId Id, HttpResponse Answer) {
  auto Found = this->Active.find(Id);
  if (Found == this->Active.end())
    return;
  bool IsCurrentTarget = Found->second.Attempt.TargetId == this->Record.Id;
  if (Answer.Outcome == HttpOutcome::Broken) {
    this->Counters.count("target_answers_broken", "defect",
                         toString(Answer.Defect));
    this->Log.request("target_answer_broken",
                      {{"id", Found->second.Attempt.RequestId},
                       {"target", Found->second.Attempt.TargetId},
                       {"defect", toString(Answer.Defect)}});
  }
  if (Answer.Outcome == HttpOutcome::Broken && IsCurrentTarget &&
      this->Record.State == TargetState::Ready) {
    this->BrokenRuns.push_back(Id);
    if (this->BrokenRuns.size() == 1)
      this->Port.checkEnded(
          [this](bool HasEnded) { this->endBrokenRuns(HasEnded); });
    return;
  }
  std::optional<TargetLoad> Stated;
  if (IsCurrentTarget)
    Stated = this->readNotices(Answer);
  auto Value =
      toReply(Answer, this->Names, MinRetryAfter,
              this->hasRoom(Stated) ? RetryAfterWithRoom : this->retryAfter());
  if (Found->second.CallFailed && Value.Status >= 500)
    Value.Reason = Reason::CallFailed;
  if (Value.Outcome == Outcome::Answered && Value.Status < 500)
    this->reportSound(Found->second);
  this->endRun(Id, std::move(Value));
}

void LocalTarget::endBrokenRuns(bool HasEnded) {
  auto Runs = std::exchange(this->BrokenRuns, {});
  if (HasEnded)
    this->reportCrash(Runs);
  auto Cause = HasEnded ? Reason::TargetEnded : Reason::TargetFailed;
  for (const auto &Id : Runs)
    if (this->Active.count(Id) != 0)
      this->endRun(Id, unknownOutcome(Cause, MinRetryAfter));
}

unsigned LocalTarget::earlierCrashes(Entry &Run) const {
  auto Told = static_cast<unsigned>(Run.Attempt.TargetsEnded);
  if (this->Crashes.empty())
    return Told;
  return std::max(Told, this->Crashes.crashes(fingerprintOf(Run), this->Now()));
}

bool LocalTarget::provesTrial(const std::vector<AttemptId> &Runs) {
  auto Trial = this->Trials.running();
  if (!Trial || std::find(Runs.begin(), Runs.end(), *Trial) == Runs.end())
    return false;
  if (this->earlierCrashes(this->Active.at(*Trial)) >= CertainCrashes)
    return true;
  return std::none_of(Runs.begin(), Runs.end(), [&](const AttemptId &Id) {
    auto Found = this->Active.find(Id);
    return !(Id == *Trial) && Found != this->Active.end() &&
           this->earlierCrashes(Found->second) > 0;
  });
}

void LocalTarget::reportCrash(const std::vector<AttemptId> &Runs) {
  auto Trial = this->Trials.running();
  bool IsProof = this->provesTrial(Runs);
  CrashNews News;
  for (const auto &Id : Runs) {
    auto Found = this->Active.find(Id);
    // A proof clears the requests that ran beside the trial.
    if (Found == this->Active.end() || (IsProof && !(Id == *Trial)) ||
        News.Reports.size() >= MaxReportsPerCrash)
      continue;
    const auto &Attempt = Found->second.Attempt;
    News.Reports.push_back(
        {fingerprintOf(Found->second),
         stableHash(Attempt.TargetId,
                    static_cast<std::uint64_t>(Attempt.TargetStarted)),
         IsProof, Milliseconds(0)});
  }
  this->Counters.count("targets_ended");
  this->Log.state("target_ended",
                  {{"target", this->Record.Id},
                   {"runs", Runs.size()},
                   {"proven", IsProof && !News.Reports.empty()
                                  ? toString(News.Reports.front().Request)
                                  : std::string()}});
  auto Fresh = this->Crashes.merge(News, this->Now());
  if (!Fresh.empty() && this->OnCrashNews)
    this->OnCrashNews(Fresh);
}

void LocalTarget::reportSound(Entry &Run) {
  if (this->verdict(Run) == CrashHistory::Verdict::None)
    return;
  CrashNews News;
  News.Sound.push_back(fingerprintOf(Run));
  this->Log.request("suspect_answered",
                    {{"id", Run.Attempt.RequestId},
                     {"request", toString(fingerprintOf(Run))}});
  auto Fresh = this->Crashes.merge(News, this->Now());
  if (!Fresh.empty() && this->OnCrashNews)
    this->OnCrashNews(Fresh);
}

void LocalTarget::endRun(AttemptId Id, Reply Value) {
  auto Result = Completion::Served;
  // A refusal does not count towards the concurrency limit either: the target
  // never gets more requests than it has slots, so it refuses for other
  // reasons.
  if (Value.Outcome != Outcome::Answered)
    Result = Completion::Abandoned;
  if (Value.Outcome == Outcome::NotRun)
    this->Counters.count("target_refusals", "reason", toString(Value.Reason));
  if (Value.Reason == Reason::WrongTarget) {
    // The record is out of date; the next report replaces it.
    auto Outdated = this->Record;
    Outdated.State = TargetState::Starting;
    this->setRecord(Outdated, Milliseconds(0));
  }
  auto Decisions = this->Queue.complete(Id, Result, this->Now());
  this->finish(Id, std::move(Value));
  this->applyDecisions(Decisions);
}

void LocalTarget::finish(AttemptId Id, Reply Value) {
  auto Found = this->Active.find(Id);
  if (Found == this->Active.end())
    return;
  auto Finished = std::move(Found->second);
  this->Active.erase(Found);
  auto RunningEntry = this->RunningByRequestId.find(Finished.Attempt.RequestId);
  if (RunningEntry != this->RunningByRequestId.end() &&
      RunningEntry->second == Id)
    this->RunningByRequestId.erase(RunningEntry);
  auto Time = this->Now();
  if (Finished.CancelAt)
    --this->CancelledCount;
  if (Finished.Ticket != 0 && this->OnRun) {
    bool IsServed = Value.Outcome == Outcome::Answered && Value.Status < 500;
    this->OnRun(Finished.Attempt.Route,
                IsServed ? RunEvent::Served : RunEvent::Failed);
  }
  if (Value.Outcome != Outcome::Answered)
    this->Log.request(
        "attempt_not_served",
        {{"id", Finished.Attempt.RequestId},
         {"request", toString(fingerprint(Finished.Attempt.Request))},
         {"route", Finished.Attempt.Route},
         {"target", Finished.Attempt.TargetId},
         {"outcome", toString(Value.Outcome)},
         {"reason", toString(Value.Reason)},
         {"waited_us", (Time - Finished.ArrivedAt).count()},
         {"dispatched", Finished.Ticket != 0},
         {"running", this->Queue.running()},
         {"queued", this->Queue.queued()},
         {"limit", this->Queue.limit()}});
  auto SharedReply = std::make_shared<const Reply>(std::move(Value));
  this->Ledger.finish(Id, SharedReply, Time);
  for (const auto &OnReply : Finished.ReplyCallbacks)
    OnReply(*SharedReply);
  this->endTrial(Id);
}

void LocalTarget::endTrial(AttemptId Id) {
  this->EndedAttempts.push_back(Id);
  // An attempt that ends within the loop below is left to the loop.
  if (this->EndedAttempts.size() > 1)
    return;
  while (!this->EndedAttempts.empty()) {
    while (auto Next = this->Trials.end(this->EndedAttempts.front()))
      if (this->Active.count(*Next) != 0 && this->mayRun(*Next))
        this->submit(*Next);
    this->EndedAttempts.pop_front();
  }
}

void LocalTarget::cancel(Incarnation Caller, std::uint64_t Call) {
  AttemptId Id{Caller, Call};
  auto Found = this->Active.find(Id);
  if (Found == this->Active.end()) {
    // The cancellation may have overtaken the attempt, which must not run when
    // it arrives.
    (void)this->Ledger.revoke(Id, this->Now());
    return;
  }
  Found->second.ReplyCallbacks.clear();
  if (Found->second.Ticket == 0) {
    (void)this->Queue.withdraw(Id);
    this->finish(Id, notRun(Reason::Cancelled, Milliseconds(0)));
    return;
  }
  if (Found->second.CancelAt)
    return;
  Found->second.CancelAt = this->Now() + CancelGrace;
  ++this->CancelledCount;
}

void LocalTarget::endCancelledRuns() {
  if (this->CancelledCount == 0)
    return;
  auto Time = this->Now();
  std::vector<AttemptId> ExpiredIds;
  for (const auto &[Id, Entry] : this->Active)
    if (Entry.CancelAt && *Entry.CancelAt <= Time)
      ExpiredIds.push_back(Id);
  for (const auto &Id : ExpiredIds) {
    this->Port.cancel(this->Active.at(Id).Ticket);
    auto Decisions = this->Queue.complete(Id, Completion::Abandoned, Time);
    this->finish(Id, unknownOutcome(Reason::Cancelled, Milliseconds(0)));
    this->applyDecisions(Decisions);
  }
}

void LocalTarget::acknowledge(Incarnation Caller, std::uint64_t Call) {
  this->Ledger.discardReply({Caller, Call});
}

std::optional<CallContext>
LocalTarget::callContext(const std::string &RequestId) const {
  auto Found = this->RunningByRequestId.find(RequestId);
  if (Found == this->RunningByRequestId.end())
    return std::nullopt;
  const auto &Attempt = this->Active.at(Found->second).Attempt;
  return CallContext{Attempt.Route, Attempt.Rank, Attempt.Cohort,
                     Attempt.Organisation};
}

void LocalTarget::onCallFailed(const std::string &RequestId) {
  auto Found = this->RunningByRequestId.find(RequestId);
  if (Found != this->RunningByRequestId.end())
    this->Active.at(Found->second).CallFailed = true;
}

void LocalTarget::refuseQueued() {
  this->applyDecisions(this->Queue.refuseQueued(Reason::Draining));
  this->refuseWaiting([](const Entry &) { return true; }, Reason::Draining);
}

void LocalTarget::refuseQueuedIfGateClosed() {
  if (!this->Gate.isClosed(this->Now()) ||
      std::exchange(this->GateCloseHandled, true))
    return;
  this->Log.state("drain_gate_closed", {{"target", this->Record.Id},
                                        {"running", this->Queue.running()},
                                        {"queued", this->Queue.queued()}});
  this->refuseQueued();
}

void LocalTarget::tick() {
  this->endCancelledRuns();
  this->refuseQueuedIfGateClosed();
  auto Time = this->Now();
  this->refuseWaiting(
      [Time](const Entry &Waiting) {
        const auto &Limit = Waiting.Attempt.WaitLimit;
        return Waiting.Deadline <= Time ||
               (Limit > Milliseconds(0) && Waiting.ArrivedAt + Limit <= Time);
      },
      Reason::DeadlineTooNear);
  this->Ledger.sweep(this->Now());
  this->applyDecisions(this->Queue.tick(MaxRanks, this->Now()));
}

void LocalTarget::fillStatus(NodeStatus &Status) const {
  Status.Target = this->Record;
  Status.RefusesRuns = this->RetryAfterEnd.has_value();
  Status.Running = static_cast<std::uint32_t>(this->Queue.running());
  Status.Queued = static_cast<std::uint32_t>(this->Queue.queued());
  Status.Limit = static_cast<std::uint32_t>(this->Queue.limit());
  Status.Threshold = this->Queue.threshold();
  Status.ServiceTime = this->Queue.typicalLatency();
  Status.Pace = this->Queue.pace(this->Now());
}

} // namespace limpetdrum
