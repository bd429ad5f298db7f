#include "limpetdrum/request/AttemptLedger.h"

#include <algorithm>

namespace limpetdrum {

AttemptLedger::AttemptLedger(Microseconds Retention) : Retention(Retention) {}

AttemptLedger::Arrival AttemptLedger::onArrival(AttemptId Id, TimePoint Now) {
  this->sweep(Now);
  auto Found = this->Entries.find(Id);
  if (Found != this->Entries.end()) {
    if (Found->second.State == State::Ended)
      return {Verdict::Replay, Found->second.Reply};
    return {Verdict::Pending, nullptr};
  }
  auto Highest = this->ExpiredSequences.find(Id.Caller);
  if (Highest != this->ExpiredSequences.end() && Id.Sequence <= Highest->second)
    return {Verdict::Stale, nullptr};
  this->Entries.emplace(Id, Entry{State::Queued, nullptr});
  return {Verdict::Fresh, nullptr};
}

void AttemptLedger::dispatch(AttemptId Id) {
  auto Found = this->Entries.find(Id);
  if (Found != this->Entries.end() && Found->second.State == State::Queued)
    Found->second.State = State::Running;
}

void AttemptLedger::finish(AttemptId Id, std::shared_ptr<const Reply> Value,
                           TimePoint Now) {
  auto Found = this->Entries.find(Id);
  if (Found == this->Entries.end() || Found->second.State == State::Ended)
    return;
  Found->second.State = State::Ended;
  Found->second.Reply = std::move(Value);
  this->Expiries.push_back({Now + this->Retention, Id});
}

void AttemptLedger::discardReply(AttemptId Id) {
  static const auto DiscardedReply =
      std::make_shared<const Reply>(unknownOutcome(Reason::None, {}));
  auto Found = this->Entries.find(Id);
  if (Found != this->Entries.end() && Found->second.State == State::Ended)
    Found->second.Reply = DiscardedReply;
}

bool AttemptLedger::revoke(AttemptId Id, TimePoint Now) {
  auto Result = this->onArrival(Id, Now);
  if (Result.Verdict == Verdict::Replay)
    return Result.Reply->Outcome == Outcome::NotRun;
  if (Result.Verdict == Verdict::Stale || this->isRunning(Id))
    return false;
  auto Tombstone = notRun(Reason::Cancelled, Milliseconds(0));
  this->finish(Id, std::make_shared<const Reply>(std::move(Tombstone)), Now);
  return true;
}

bool AttemptLedger::isQueued(AttemptId Id) const {
  auto Found = this->Entries.find(Id);
  return Found != this->Entries.end() && Found->second.State == State::Queued;
}

bool AttemptLedger::isRunning(AttemptId Id) const {
  auto Found = this->Entries.find(Id);
  return Found != this->Entries.end() && Found->second.State == State::Running;
}

void AttemptLedger::sweep(TimePoint Now) {
  while (!this->Expiries.empty() && this->Expiries.front().Time <= Now) {
    auto Id = this->Expiries.front().Id;
    this->Expiries.pop_front();
    this->Entries.erase(Id);
    auto &Highest = this->ExpiredSequences[Id.Caller];
    Highest = std::max(Highest, Id.Sequence);
  }
}

} // namespace limpetdrum
