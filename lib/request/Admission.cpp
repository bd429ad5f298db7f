#include "limpetdrum/request/Admission.h"

#include <algorithm>

namespace limpetdrum {

namespace {

/// The queue holds this share of the limit, so that the wait stays near a
/// service time and a surge leaves no standing queue.
constexpr double QueueShare = 1.0;
/// Targets of a few slots have a longer queue, which evens out their arrivals.
constexpr std::size_t LeastQueue = 10;
/// A tenant beyond this multiple of its fair share goes last in its class.
constexpr double ShareTolerance = 1.5;

} // namespace

Admission::Admission(Slots Announced, AdmissionOptions Switches,
                     std::uint64_t Seed)
    : Switches(Switches), Limit(Announced, Seed) {}

void Admission::announce(Slots Announced, Milliseconds WarmUp, TimePoint Now) {
  this->Limit.announce(Announced, WarmUp, Now);
}

Admission::Key Admission::placeOf(const Arrival &Value) {
  Key Place;
  Place.Order = ++this->LastOrder;
  if (!this->Switches.OrderByClass)
    return Place;
  Place.Rank = Value.Rank.value();
  Place.Cohort = Value.Cohort;
  auto Total = static_cast<double>(this->Running.size() + this->Queue.size());
  auto Found = this->Tenants.find(Value.Tenant);
  if (Found != this->Tenants.end() && this->Tenants.size() > 1) {
    double Fair = Total / static_cast<double>(this->Tenants.size());
    Place.OverShare =
        static_cast<double>(Found->second) > Fair * ShareTolerance;
  }
  return Place;
}

std::size_t Admission::queueCapacity(TimePoint Now) const noexcept {
  auto Slots = static_cast<double>(this->Limit.limit(Now));
  auto Most = Slots * QueueShare;
  auto Latency = std::chrono::duration<double>(this->Limit.typicalLatency());
  if (Latency.count() > 0)
    Most = std::max(Most, Slots * (this->Switches.ShortWait / Latency));
  return std::max(LeastQueue, static_cast<std::size_t>(Most));
}

Microseconds Admission::waitBehind(std::size_t Ahead,
                                   TimePoint Now) const noexcept {
  if (this->Running.size() < this->Limit.limit(Now))
    return Microseconds(0);
  auto PerSlot = this->Limit.typicalLatency() /
                 static_cast<std::int64_t>(this->Limit.limit(Now));
  return PerSlot * static_cast<std::int64_t>(Ahead + 1);
}

Microseconds Admission::expectedWait(TimePoint Now) const noexcept {
  return this->waitBehind(this->Queue.size(), Now);
}

AdmissionDecisions Admission::submit(const Arrival &Value, TimePoint Now) {
  AdmissionDecisions Decisions;
  this->Level.onArrival(position(Value.Rank, Value.Cohort));
  Queued Entry{this->placeOf(Value), Value};
  ++this->Tenants[Value.Tenant];
  this->QueuedPlaces.emplace(Value.Id, Entry.Place);
  this->Queue.insert(std::move(Entry));
  this->fill(Now, Decisions);
  this->makeRoom(Value.Id, Now, Decisions);
  return Decisions;
}

bool Admission::isTooLate(const Queued &Entry, TimePoint Now) const {
  auto EndsBy = [&](std::size_t Ahead) {
    return Now + this->waitBehind(Ahead, Now) + this->Limit.typicalLatency();
  };
  // Counting who is ahead takes long: only if the whole queue is too many.
  if (EndsBy(this->Queue.size()) <= Entry.Value.Deadline)
    return false;
  auto Ahead = static_cast<std::size_t>(
      std::distance(this->Queue.begin(), this->Queue.find(Entry)));
  return EndsBy(Ahead) > Entry.Value.Deadline;
}

void Admission::makeRoom(AttemptId Newest, TimePoint Now,
                         AdmissionDecisions &Decisions) {
  auto Found = this->QueuedPlaces.find(Newest);
  if (Found != this->QueuedPlaces.end()) {
    const auto &Entry = *this->Queue.find(Queued{Found->second, {}});
    if (this->isTooLate(Entry, Now) &&
        !this->cancelLower(Entry.Place, Decisions))
      this->refuse(Entry, Reason::DeadlineTooNear, Decisions);
  }
  while (this->Queue.size() > this->queueCapacity(Now) + this->Cancelling) {
    const auto &Last = *this->Queue.rbegin();
    if (this->cancelLower(Last.Place, Decisions))
      continue;
    bool IsNewest = Last.Value.Id == Newest;
    this->refuse(Last, IsNewest ? Reason::Overload : Reason::Displaced,
                 Decisions);
  }
}

bool Admission::cancelLower(const Key &Place, AdmissionDecisions &Decisions) {
  if (this->CancellableRunning.empty())
    return false;
  auto Lowest = std::prev(this->CancellableRunning.end());
  if (Lowest->Place.Rank <= Place.Rank)
    return false;
  Decisions.Cancel.push_back(Lowest->Id);
  this->CancellableRunning.erase(Lowest);
  ++this->Cancelling;
  return true;
}

void Admission::dispatch(const Queued &Entry, TimePoint Now,
                         AdmissionDecisions &Decisions) {
  const auto &Value = Entry.Value;
  this->Running.emplace(
      Value.Id, Served{Entry.Place, Now, Value.Tenant, Value.Cancellable});
  if (Value.Cancellable)
    this->CancellableRunning.insert({Entry.Place, Value.Id});
  Decisions.Dispatch.push_back(Value.Id);
}

void Admission::fill(TimePoint Now, AdmissionDecisions &Decisions) {
  while (!this->Queue.empty() &&
         this->Running.size() < this->Limit.limit(Now)) {
    auto First = this->Queue.begin();
    if (First->Value.Deadline <= Now) {
      this->refuse(*First, Reason::DeadlineTooNear, Decisions);
      continue;
    }
    this->dispatch(*First, Now, Decisions);
    this->QueuedPlaces.erase(First->Value.Id);
    this->Queue.erase(First);
  }
}

void Admission::refuse(const Queued &Entry, Reason Why,
                       AdmissionDecisions &Decisions) {
  this->Level.onRefused(position(Entry.Value.Rank, Entry.Value.Cohort));
  Decisions.Refuse.push_back({Entry.Value.Id, Why});
  this->erase(this->Queue.find(Entry));
}

void Admission::erase(std::set<Queued>::iterator Entry) {
  this->leaveTenant(Entry->Value.Tenant);
  this->QueuedPlaces.erase(Entry->Value.Id);
  this->Queue.erase(Entry);
}

void Admission::leaveTenant(const Tenant &Name) {
  auto Found = this->Tenants.find(Name);
  if (Found != this->Tenants.end() && --Found->second == 0)
    this->Tenants.erase(Found);
}

AdmissionDecisions Admission::complete(AttemptId Id, Completion How,
                                       TimePoint Now) {
  AdmissionDecisions Decisions;
  auto Found = this->Running.find(Id);
  if (Found == this->Running.end())
    return Decisions;
  const auto &Done = Found->second;
  bool Saturated = this->Running.size() >= this->Limit.limit(Now);
  bool WasCancelled =
      Done.Cancellable && this->CancellableRunning.erase({Done.Place, Id}) == 0;
  if (WasCancelled)
    --this->Cancelling;
  else if (How != Completion::Abandoned)
    this->Limit.onCompletion(
        std::chrono::duration_cast<Microseconds>(Now - Done.Start),
        How == Completion::Shed, Saturated, Now);
  this->leaveTenant(Done.Tenant);
  this->Running.erase(Found);
  this->fill(Now, Decisions);
  return Decisions;
}

bool Admission::withdraw(AttemptId Id) {
  auto Found = this->QueuedPlaces.find(Id);
  if (Found == this->QueuedPlaces.end())
    return false;
  this->erase(this->Queue.find(Queued{Found->second, {}}));
  return true;
}

AdmissionDecisions Admission::tick(std::size_t RankCount, TimePoint Now) {
  AdmissionDecisions Decisions;
  this->fill(Now, Decisions);
  std::vector<Queued> Late;
  for (const auto &Entry : this->Queue)
    if (Entry.Value.Deadline <= Now + this->Limit.typicalLatency())
      Late.push_back(Entry);
  std::size_t Kept = 0;
  for (const auto &Entry : Late) {
    bool Alive = Entry.Value.Deadline > Now;
    if (Alive &&
        (Kept < this->Cancelling || this->cancelLower(Entry.Place, Decisions)))
      ++Kept;
    else
      this->refuse(Entry, Reason::DeadlineTooNear, Decisions);
  }
  auto Most = static_cast<double>(this->Limit.limit(Now));
  auto Used = static_cast<double>(this->Running.size());
  Occupancy Full;
  Full.IdleShare = std::max(0.0, 1 - Used / Most);
  Full.QueueShare = static_cast<double>(this->Queue.size()) /
                    static_cast<double>(this->queueCapacity(Now));
  this->Level.tick(Full, RankCount, Now);
  return Decisions;
}

AdmissionDecisions Admission::refuseQueued(Reason Why) {
  AdmissionDecisions Decisions;
  while (!this->Queue.empty())
    this->refuse(*this->Queue.begin(), Why, Decisions);
  return Decisions;
}

} // namespace limpetdrum
