#include "limpetdrum/request/KeyLedger.h"

namespace limpetdrum {

namespace {

constexpr std::uint16_t GoneStatus = 410; // HTTP 410 Gone

/// \brief Returns the strength of the evidence that a key has run: 0 if it is
///   proven not to have run, 1 if it may be running, 2 if it has ended.
int evidenceRank(const KeyRecord &Record) {
  if (!Record.Settled)
    return 1;
  return Record.Reply.Outcome == Outcome::NotRun ? 0 : 2;
}

} // namespace

KeyLedger::KeyLedger(Microseconds Retention, std::size_t BodyBytes)
    : Retention(Retention), RemainingBodyBytes(BodyBytes) {}

KeyLedger::Arrival KeyLedger::onArrival(const IdempotencyKey &Key,
                                        const NodeIncarnation &Candidate,
                                        std::uint16_t MaxRuns, TimePoint Now) {
  this->sweep(Now);
  auto [Found, IsNew] = this->Records.try_emplace(Key);
  auto &Record = Found->second;
  if (IsNew) {
    Record.Holder = Candidate;
    Record.Expiry = Now + this->Retention;
    Record.Runs = 1;
    this->Expiries.emplace_back(Record.Expiry, &Found->first);
    return {Verdict::Begin, Candidate, {}};
  }
  if (!Record.Settled)
    return {Verdict::InProgress, Record.Holder, {}};
  if (Record.Reply.Outcome != Outcome::NotRun)
    return {Verdict::Replay, Record.Holder, Record.Reply};
  if (Record.Runs >= MaxRuns)
    return {Verdict::RetriesExhausted, Record.Holder, {}};
  Record.Holder = Candidate;
  Record.Settled = false;
  ++Record.Runs;
  return {Verdict::Begin, Candidate, {}};
}

void KeyLedger::settle(const IdempotencyKey &Key, const Reply &Value) {
  auto Found = this->Records.find(Key);
  if (Found == this->Records.end() || Found->second.Settled)
    return;
  Found->second.Settled = true;
  this->storeReply(Found->second, Value);
}

void KeyLedger::storeReply(KeyRecord &Record, const Reply &Value) {
  Record.Reply = Value;
  Record.Reply.Levels.clear();
  if (Value.Body.size() <= this->RemainingBodyBytes) {
    this->RemainingBodyBytes -= Value.Body.size();
    return;
  }
  Record.Reply.Body = {};
  Record.Reply.Status = GoneStatus;
}

void KeyLedger::adopt(const IdempotencyKey &Key, KeyRecord Value) {
  auto [Found, IsNew] = this->Records.try_emplace(Key);
  if (!IsNew && evidenceRank(Value) <= evidenceRank(Found->second))
    return;
  auto AdoptedReply = std::move(Value.Reply);
  Found->second = std::move(Value);
  if (Found->second.Settled)
    this->storeReply(Found->second, AdoptedReply);
  if (IsNew)
    this->Expiries.emplace_back(Found->second.Expiry, &Found->first);
}

std::optional<KeyRecord> KeyLedger::find(const IdempotencyKey &Key) const {
  auto Found = this->Records.find(Key);
  if (Found == this->Records.end())
    return std::nullopt;
  return Found->second;
}

void KeyLedger::sweep(TimePoint Now) {
  while (!this->Expiries.empty() && this->Expiries.front().first <= Now) {
    auto Found = this->Records.find(*this->Expiries.front().second);
    this->RemainingBodyBytes += Found->second.Reply.Body.size();
    this->Records.erase(Found);
    this->Expiries.pop_front();
  }
}

} // namespace limpetdrum
