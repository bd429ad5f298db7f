#include "limpetdrum/request/KeyLedger.h"

namespace limpetdrum {

namespace {

constexpr std::uint16_t GoneStatus = 410;

/// How much a record says of whether its key has run.
int evidence(const KeyRecord &Record) {
  if (!Record.Settled)
    return 1;
  return Record.Reply.Outcome == Outcome::NotRun ? 0 : 2;
}

} // namespace

KeyLedger::KeyLedger(Microseconds Retention, std::size_t BodyBytes)
    : Retention(Retention), BodyBytesLeft(BodyBytes) {}

KeyLedger::Arrival KeyLedger::onArrival(const IdempotencyKey &Key,
                                        const NodeIncarnation &Candidate,
                                        std::uint16_t MostRuns, TimePoint Now) {
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
  if (Record.Runs >= MostRuns)
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
  this->keepBody(Found->second, Value);
}

void KeyLedger::keepBody(KeyRecord &Record, const Reply &Value) {
  Record.Reply = Value;
  Record.Reply.Levels.clear();
  if (Value.Body.size() <= this->BodyBytesLeft) {
    this->BodyBytesLeft -= Value.Body.size();
    return;
  }
  Record.Reply.Body.clear();
  Record.Reply.Status = GoneStatus;
}

void KeyLedger::adopt(const IdempotencyKey &Key, KeyRecord Value) {
  auto [Found, IsNew] = this->Records.try_emplace(Key);
  if (!IsNew && evidence(Value) <= evidence(Found->second))
    return;
  auto Taken = std::move(Value.Reply);
  Found->second = std::move(Value);
  if (Found->second.Settled)
    this->keepBody(Found->second, Taken);
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
    this->BodyBytesLeft += Found->second.Reply.Body.size();
    this->Records.erase(Found);
    this->Expiries.pop_front();
  }
}

} // namespace limpetdrum
