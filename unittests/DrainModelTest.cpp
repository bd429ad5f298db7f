#include "FakeClock.h"
#include "limpetdrum/daemon/calls/LocalTarget.h"

#include <catch2/catch.hpp>
#include <deque>
#include <fcntl.h>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

constexpr Milliseconds DrainTimeout{2000};

/// Target that keeps each request until the model answers it.
class PendingTarget final : public TargetPort {
public:
  std::deque<HttpClient::Callback> Pending;
  std::uint64_t Sent = 0;

  std::uint64_t send(const HttpCall &, HttpClient::Callback Done) override {
    this->Pending.push_back(std::move(Done));
    return ++this->Sent;
  }
  void cancel(std::uint64_t) override {}
  void checkEnded(std::function<void(bool)>) override {}
};

/// A target that leaves, its node, and reports and records that arrive late.
class Model {
public:
  constexpr static unsigned EventCount = 9;

  Model(EventLog &Log, Metrics &Counters)
      : Target({DrainTimeout / 2, 1, []() { return std::int64_t(5000); },
                ServiceName("ordering")},
               HeaderNames{}, Port, Crashes, Log, Counters,
               [this]() { return this->Clock.now(); }) {
    this->report(TargetState::Ready, ++this->Sequence);
  }

  void perform(unsigned Event) {
    switch (Event) {
    case 0:
      this->report(TargetState::Ready, ++this->Sequence);
      break;
    case 1:
      this->report(TargetState::Draining, ++this->Sequence);
      break;
    case 2: // a report that was delayed in transit
      this->report(TargetState::Ready, 1);
      break;
    case 3:
      if (this->Target.onLeave("t1"))
        this->onLeaveKnown();
      break;
    case 4:
      this->answer({{"limpetdrum-target-leaving", "1"}});
      break;
    case 5:
      this->answer({});
      break;
    case 6:
      this->execute();
      break;
    case 7:
      this->pass(Milliseconds(700));
      break;
    default: // a peer that has not received the leave yet
      this->Target.onRecordFromPeer(record(TargetState::Ready, 1));
      break;
    }
  }
  void pass(Milliseconds Span) {
    this->Clock.advance(Span);
    this->Target.tick();
    this->checkSends();
  }
  /// Lets the drain timeout end, counted from when the leave was known.
  void passDrainTimeout() {
    auto Now = this->Clock.now();
    auto End = this->LeaveKnownAt.value_or(Now) + DrainTimeout;
    if (End >= Now)
      this->pass(std::chrono::duration_cast<Milliseconds>(End - Now) +
                 Milliseconds(1));
  }
  /// Executes an attempt and returns true if the target received it.
  bool execute() {
    MeshAttempt Attempt;
    Attempt.Call = ++this->LastCall;
    Attempt.RequestId = "r" + std::to_string(Attempt.Call);
    Attempt.TimeLeft = Milliseconds(60000);
    Attempt.TargetId = "t1";
    auto Before = this->Port.Sent;
    this->Target.execute(Incarnation(7), Attempt, [](const Reply &) {});
    this->checkSends();
    return this->Port.Sent > Before;
  }

  bool SentAfterDrain = false;
  std::optional<TimePoint> LeaveKnownAt;

private:
  static TargetRecord record(TargetState State, std::uint64_t Sequence) {
    TargetRecord Record;
    Record.Id = "t1";
    Record.Started = 100;
    Record.Sequence = Sequence;
    Record.Service = ServiceName("ordering");
    Record.Slots = Slots(2);
    Record.State = State;
    return Record;
  }
  void report(TargetState State, std::uint64_t Sequence) {
    bool IsAcknowledged =
        this->Target.onReport({record(State, Sequence), Milliseconds(0)});
    if (IsAcknowledged && State == TargetState::Draining)
      this->onLeaveKnown();
  }
  void answer(HttpHeaders Headers) {
    if (this->Port.Pending.empty())
      return;
    auto Done = std::move(this->Port.Pending.front());
    this->Port.Pending.pop_front();
    HttpResponse Answer;
    Answer.Outcome = HttpOutcome::Answered;
    Answer.Status = 200;
    bool Leaves = !Headers.empty();
    Answer.Headers = std::move(Headers);
    Done(std::move(Answer));
    if (Leaves)
      this->onLeaveKnown();
    this->checkSends();
  }
  void onLeaveKnown() {
    if (!this->LeaveKnownAt)
      this->LeaveKnownAt = this->Clock.now();
  }
  void checkSends() {
    bool IsDrained = this->LeaveKnownAt &&
                     this->Clock.now() > *this->LeaveKnownAt + DrainTimeout;
    this->SentAfterDrain =
        this->SentAfterDrain || (IsDrained && this->Port.Sent > this->SentSeen);
    this->SentSeen = this->Port.Sent;
  }

  FakeClock Clock;
  PendingTarget Port;
  CrashHistory Crashes;
  LocalTarget Target;
  std::uint64_t Sequence = 0;
  std::uint64_t LastCall = 0;
  std::uint64_t SentSeen = 0;
};

} // namespace

// Walks all orders of events up to a depth.
TEST_CASE("LocalTarget gives a leaving target nothing after its drain timeout",
          "[model]") {
  EventLog Log{open("/dev/null", O_WRONLY)};
  Metrics Counters;
  constexpr unsigned Depth = 5;
  unsigned Walks = 1;
  for (unsigned I = 0; I < Depth; ++I)
    Walks *= Model::EventCount;
  unsigned Late = 0;
  unsigned Refused = 0;
  unsigned Leaving = 0;
  for (unsigned Walk = 0; Walk < Walks; ++Walk) {
    Model M(Log, Counters);
    for (unsigned I = 0, Rest = Walk; I < Depth; ++I, Rest /= M.EventCount)
      M.perform(Rest % M.EventCount);
    Leaving += M.LeaveKnownAt ? 1 : 0;
    // A target that does not leave is used, whatever came late.
    if (!M.LeaveKnownAt) {
      for (unsigned I = 0; I < Depth; ++I)
        M.perform(5);
      Refused += M.execute() ? 0 : 1;
    }
    M.passDrainTimeout();
    M.perform(5);
    (void)M.execute();
    Late += M.SentAfterDrain ? 1 : 0;
  }
  CHECK(Leaving > Walks / 2);
  CHECK(Late == 0);
  CHECK(Refused == 0);
}
