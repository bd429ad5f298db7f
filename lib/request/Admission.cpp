#include "limpetdrum/request/Admission.h"

#include <algorithm>

namespace limpetdrum {

namespace {

/// Queue capacity as a share of the concurrency limit. It keeps the wait near
/// one service time, so that a surge leaves no standing queue.
constexpr double QueueShare = 1.0;
/// Targets with few slots get a longer queue, which smooths bursts of arrivals.
constexpr std::size_t MinQueueCapacity = 10;
/// An organisation above this multiple of its fair share is served last in its
/// class.
constexpr double ShareTolerance = 1.5;

} // namespace

Admission::Admission(Slots Announced, AdmissionOptions Options,
                     std::uint64_t Seed)
    : Options(Options), Limit(Announced, Seed) {}

void Admission::announce(Slots Announced, Milliseconds WarmUp, TimePoint Now) {
  this->Limit.announce(Announced, WarmUp, Now);
  this->Pace.reset();
}

std::size_t Admission::limit() const noexcept {
  auto BySlots = this->Limit.limit();
  return std::min(
      BySlots,
      this->Rate.concurrency(this->typicalLatency()).value_or(BySlots));
}

Admission::OrderKey Admission::orderKeyFor(const Arrival &Request) {
  OrderKey Key;
  Key.Sequence = ++this->LastSequence;
  if (!this->Options.OrderByClass)
    return Key;
  Key.Rank = Request.Rank.value();
  Key.Cohort = Request.Cohort;
  auto Total = static_cast<double>(this->Running.size() + this->Queue.size());
  auto Found = this->OrganisationRequests.find(Request.Organisation);
  if (Found != this->OrganisationRequests.end() &&
      this->OrganisationRequests.size() > 1) {
    double Fair =
        Total / static_cast<double>(this->OrganisationRequests.size());
    Key.OverShare = static_cast<double>(Found->second) > Fair * ShareTolerance;
  }
  return Key;
}

std::size_t Admission::queueCapacity() const noexcept {
  auto SlotLimit = static_cast<double>(this->limit());
  auto MaxQueued = SlotLimit * QueueShare;
  auto Latency = std::chrono::duration<double>(this->Limit.typicalLatency());
  if (Latency.count() > 0)
    MaxQueued =
        std::max(MaxQueued, SlotLimit * (this->Options.ShortWait / Latency));
  return std::max(MinQueueCapacity, static_cast<std::size_t>(MaxQueued));
}

Microseconds Admission::expectedWaitBehind(std::size_t Ahead,
                                           TimePoint Now) const noexcept {
  auto ByRate = this->Rate.wait(Ahead, Now);
  if (this->Running.size() < this->Limit.limit())
    return ByRate;
  auto PerSlot = this->expectedLatency(Now) /
                 static_cast<std::int64_t>(this->Limit.limit());
  return std::max(ByRate, PerSlot * static_cast<std::int64_t>(Ahead + 1));
}

Microseconds Admission::expectedLatency(TimePoint Now) const noexcept {
  auto Ratio = this->Pace.current(Now);
  if (!Ratio)
    return this->typicalLatency();
  auto Usual = static_cast<double>(this->Limit.usualLatency().count());
  return Microseconds(static_cast<std::int64_t>(Usual * *Ratio));
}

Microseconds Admission::expectedWait(TimePoint Now) const noexcept {
  return this->expectedWaitBehind(this->Queue.size(), Now);
}

AdmissionDecisions Admission::submit(const Arrival &Request, TimePoint Now) {
  AdmissionDecisions Decisions;
  this->Level.onArrival(position(Request.Rank, Request.Cohort));
  QueuedRequest Entry{this->orderKeyFor(Request), Request};
  ++this->OrganisationRequests[Request.Organisation];
  this->QueuedKeys.emplace(Request.Id, Entry.Key);
  this->Queue.insert(std::move(Entry));
  this->dispatchQueued(Now, Decisions);
  this->enforceCapacity(Request.Id, Now, Decisions);
  return Decisions;
}

bool Admission::isTooLate(const Arrival &Request, TimePoint Start,
                          TimePoint Now) const noexcept {
  return Start + this->expectedLatency(Now) > Request.Deadline ||
         (Request.LatestStart && Start > *Request.LatestStart);
}

bool Admission::wouldMissDeadline(const QueuedRequest &Entry,
                                  TimePoint Now) const {
  auto MissesBehind = [&](std::size_t Ahead) {
    return this->isTooLate(Entry.Request,
                           Now + this->expectedWaitBehind(Ahead, Now), Now);
  };
  // Counting the requests ahead is linear in the queue's length, so it is done
  // only if the wait behind the whole queue is too long.
  if (!MissesBehind(this->Queue.size()))
    return false;
  auto Ahead = static_cast<std::size_t>(
      std::distance(this->Queue.begin(), this->Queue.find(Entry)));
  return MissesBehind(Ahead);
}

bool Admission::isRateReached(TimePoint Now) const noexcept {
  return this->Running.size() < this->Limit.limit() && !this->Rate.allows(Now);
}

void Admission::enforceCapacity(AttemptId NewestId, TimePoint Now,
                                AdmissionDecisions &Decisions) {
  // Other targets may have room while this one is at its rate.
  auto CauseOr = [&](limpetdrum::Reason Usual) {
    return this->isRateReached(Now) ? Reason::RequestRate : Usual;
  };
  auto Found = this->QueuedKeys.find(NewestId);
  if (Found != this->QueuedKeys.end()) {
    const auto &Entry = *this->Queue.find(QueuedRequest{Found->second, {}});
    if (this->wouldMissDeadline(Entry, Now) &&
        !this->cancelLowerClass(Entry.Key, Decisions))
      this->refuse(Entry, CauseOr(Reason::DeadlineTooNear), Decisions);
  }
  while (this->Queue.size() > this->queueCapacity() + this->Cancelling) {
    const auto &Last = *this->Queue.rbegin();
    if (this->cancelLowerClass(Last.Key, Decisions))
      continue;
    bool IsNewest = Last.Request.Id == NewestId;
    this->refuse(Last, CauseOr(IsNewest ? Reason::Overload : Reason::Displaced),
                 Decisions);
  }
}

bool Admission::cancelLowerClass(const OrderKey &Key,
                                 AdmissionDecisions &Decisions) {
  if (this->CancellableRunning.empty())
    return false;
  auto Lowest = std::prev(this->CancellableRunning.end());
  if (Lowest->Key.Rank <= Key.Rank)
    return false;
  Decisions.Cancel.push_back(Lowest->Id);
  this->CancellableRunning.erase(Lowest);
  ++this->Cancelling;
  return true;
}

void Admission::dispatch(const QueuedRequest &Entry, TimePoint Now,
                         AdmissionDecisions &Decisions) {
  const auto &Request = Entry.Request;
  this->Running.emplace(Request.Id,
                        RunningRequest{Entry.Key, Now, Request.Organisation,
                                       Request.Cancellable});
  if (Request.Cancellable)
    this->CancellableRunning.insert({Entry.Key, Request.Id});
  Decisions.Dispatch.push_back(Request.Id);
  this->Rate.onSent(Now);
}

void Admission::dispatchQueued(TimePoint Now, AdmissionDecisions &Decisions) {
  while (!this->Queue.empty() && this->Running.size() < this->Limit.limit()) {
    if (!this->Rate.allows(Now))
      return;
    auto First = this->Queue.begin();
    if (First->Request.Deadline <= Now) {
      this->refuse(*First, Reason::DeadlineTooNear, Decisions);
      continue;
    }
    this->dispatch(*First, Now, Decisions);
    this->QueuedKeys.erase(First->Request.Id);
    this->Queue.erase(First);
  }
}

void Admission::refuse(const QueuedRequest &Entry, limpetdrum::Reason Reason,
                       AdmissionDecisions &Decisions) {
  this->Level.onRefused(position(Entry.Request.Rank, Entry.Request.Cohort));
  Decisions.Refuse.push_back({Entry.Request.Id, Reason});
  this->erase(this->Queue.find(Entry));
}

void Admission::erase(std::set<QueuedRequest>::iterator Entry) {
  this->releaseOrganisation(Entry->Request.Organisation);
  this->QueuedKeys.erase(Entry->Request.Id);
  this->Queue.erase(Entry);
}

void Admission::releaseOrganisation(const Organisation &Name) {
  auto Found = this->OrganisationRequests.find(Name);
  if (Found != this->OrganisationRequests.end() && --Found->second == 0)
    this->OrganisationRequests.erase(Found);
}

AdmissionDecisions Admission::complete(AttemptId Id, Completion Result,
                                       TimePoint Now) {
  AdmissionDecisions Decisions;
  auto Found = this->Running.find(Id);
  if (Found == this->Running.end())
    return Decisions;
  const auto &Finished = Found->second;
  bool Saturated = this->Running.size() >= this->Limit.limit();
  bool WasCancelled = Finished.Cancellable &&
                      this->CancellableRunning.erase({Finished.Key, Id}) == 0;
  if (WasCancelled)
    --this->Cancelling;
  else if (Result != Completion::Abandoned)
    this->Limit.onCompletion(
        std::chrono::duration_cast<Microseconds>(Now - Finished.Start),
        Result == Completion::Shed, Saturated, Now, this->Pace.factor(Now));
  this->releaseOrganisation(Finished.Organisation);
  this->Running.erase(Found);
  this->dispatchQueued(Now, Decisions);
  return Decisions;
}

bool Admission::withdraw(AttemptId Id) {
  auto Found = this->QueuedKeys.find(Id);
  if (Found == this->QueuedKeys.end())
    return false;
  this->erase(this->Queue.find(QueuedRequest{Found->second, {}}));
  return true;
}

AdmissionDecisions Admission::tick(std::size_t RankCount, TimePoint Now) {
  AdmissionDecisions Decisions;
  this->dispatchQueued(Now, Decisions);
  std::vector<QueuedRequest> LateRequests;
  auto LatestEnd = Now + this->expectedLatency(Now);
  for (const auto &Entry : this->Queue)
    if (Entry.Request.Deadline <= LatestEnd ||
        (Entry.Request.LatestStart && *Entry.Request.LatestStart <= Now))
      LateRequests.push_back(Entry);
  // A pending cancellation frees a slot for one late request, which stays
  // queued until its deadline.
  std::size_t Kept = 0;
  for (const auto &Entry : LateRequests) {
    bool BeforeDeadline = Entry.Request.Deadline > Now;
    if (BeforeDeadline && (Kept < this->Cancelling ||
                           this->cancelLowerClass(Entry.Key, Decisions)))
      ++Kept;
    else
      this->refuse(Entry,
                   this->isRateReached(Now) ? Reason::RequestRate
                                            : Reason::DeadlineTooNear,
                   Decisions);
  }
  auto SlotLimit = static_cast<double>(this->limit());
  auto UsedSlots = static_cast<double>(this->Running.size());
  Occupancy Sample;
  Sample.IdleShare = std::max(0.0, 1 - UsedSlots / SlotLimit);
  Sample.QueueShare = static_cast<double>(this->Queue.size()) /
                      static_cast<double>(this->queueCapacity());
  this->Level.tick(Sample, RankCount, Now);
  return Decisions;
}

AdmissionDecisions Admission::refuseQueued(limpetdrum::Reason Reason) {
  AdmissionDecisions Decisions;
  while (!this->Queue.empty())
    this->refuse(*this->Queue.begin(), Reason, Decisions);
  return Decisions;
}

} // namespace limpetdrum
