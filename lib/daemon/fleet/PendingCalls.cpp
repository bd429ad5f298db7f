#include "limpetdrum/daemon/fleet/PendingCalls.h"

namespace limpetdrum {

namespace {

/// Time for which a call waits for a link. A call that was not sent can still
/// be sent to another node.
constexpr Milliseconds UnsentTimeout{300};

} // namespace

void PendingCalls::add(MeshAttempt Attempt, Done OnResult, TimePoint Now) {
  auto Number = Attempt.Call;
  auto Deadline = Now + Attempt.TimeLeft;
  this->Calls[Number] = {std::move(Attempt),  Deadline, Now,
                         std::move(OnResult), false,    false};
}

std::optional<std::string>
PendingCalls::encode(std::uint64_t Number,
                     const std::vector<std::uint64_t> &Acknowledged,
                     TimePoint Now, BodyPlace Place) {
  auto &Encoded = this->Calls.at(Number);
  auto TimeLeft =
      std::chrono::duration_cast<Milliseconds>(Encoded.Deadline - Now);
  if (TimeLeft <= Milliseconds(0))
    return std::nullopt; // the caller ends the call at its deadline
  Encoded.Attempt.TimeLeft = TimeLeft;
  return codec::encodeAttempt(Encoded.Attempt, Acknowledged, Place);
}

void PendingCalls::onSent(std::uint64_t Number) {
  this->Calls.at(Number).Sent = true;
}

Body PendingCalls::body(std::uint64_t Number) const {
  auto Found = this->Calls.find(Number);
  return Found == this->Calls.end() ? Body()
                                    : Found->second.Attempt.Request.Body;
}

bool PendingCalls::cancel(std::uint64_t Number) {
  auto Cancelled = this->Calls.extract(Number);
  return !Cancelled.empty() && Cancelled.mapped().Sent;
}

void PendingCalls::onReply(std::uint64_t Number, const Reply &Value) {
  auto Ended = this->Calls.extract(Number);
  if (!Ended.empty())
    Ended.mapped().OnResult({MeshResult::Kind::Replied, Value});
}

template <typename Function> void PendingCalls::endIf(const Function &Result) {
  // Callbacks may add calls, so they run last.
  std::vector<std::pair<Done, enum MeshResult::Kind>> Ended;
  for (auto It = this->Calls.begin(); It != this->Calls.end();) {
    std::optional<enum MeshResult::Kind> Kind = Result(It->second);
    if (!Kind) {
      ++It;
      continue;
    }
    Ended.emplace_back(std::move(It->second.OnResult), *Kind);
    It = this->Calls.erase(It);
  }
  for (auto &[OnResult, Kind] : Ended)
    OnResult({Kind, {}});
}

std::vector<std::uint64_t> PendingCalls::onLinked(const NodeStatus &Status) {
  bool IsOther = this->isOtherProcess(Status.Incarnation);
  bool TakesRequests = Status.Target.isReady() && !Status.Leaving;
  this->BoundIncarnation = Status.Incarnation;
  std::vector<std::uint64_t> Remaining;
  for (auto &[Number, Pending] : this->Calls) {
    // A call that an earlier process may have run is not sent to a later one.
    bool IsLost = Pending.Sent && IsOther;
    bool IsForAnyTarget = Pending.Attempt.TargetId.empty();
    if (IsLost || (IsForAnyTarget && !TakesRequests))
      continue;
    if (IsForAnyTarget) {
      Pending.Attempt.TargetId = Status.Target.Id;
      Pending.Attempt.TargetStarted = Status.Target.Started;
    }
    Pending.ReportedSuspected = false;
    Remaining.push_back(Number);
  }
  this->endIf([&](const Call &Pending) {
    std::optional<enum MeshResult::Kind> Kind;
    if (Pending.Sent && IsOther)
      Kind = MeshResult::Kind::Lost;
    else if (!Pending.Sent && Pending.Attempt.TargetId.empty())
      Kind = MeshResult::Kind::NeverSent;
    return Kind;
  });
  return Remaining;
}

void PendingCalls::reportSuspected() {
  std::vector<Done> Callbacks;
  for (auto &[Number, Pending] : this->Calls)
    if (!std::exchange(Pending.ReportedSuspected, true))
      Callbacks.push_back(Pending.OnResult);
  for (auto &OnResult : Callbacks)
    OnResult({MeshResult::Kind::Suspected, {}});
}

void PendingCalls::endUnsendable(std::uint64_t Number) {
  auto Ended = this->Calls.extract(Number);
  if (!Ended.empty())
    Ended.mapped().OnResult({Ended.mapped().Sent ? MeshResult::Kind::Lost
                                                 : MeshResult::Kind::NeverSent,
                             {}});
}

void PendingCalls::endAll() {
  this->endIf([](const Call &Pending) {
    return std::optional(Pending.Sent ? MeshResult::Kind::Lost
                                      : MeshResult::Kind::NeverSent);
  });
}

void PendingCalls::endUnsent(TimePoint Now) {
  this->endIf([Now](const Call &Pending) {
    std::optional<enum MeshResult::Kind> Kind;
    if (!Pending.Sent && Now - Pending.StartedAt >= UnsentTimeout)
      Kind = MeshResult::Kind::NeverSent;
    return Kind;
  });
}

} // namespace limpetdrum
