#include "LocalTargetFixture.h"

#include <algorithm>
#include <deque>

using namespace limpetdrum;
using namespace limpetdrum::test;

using trompeloeil::_;

// Guards against a report that is delayed in transit, or comes from an earlier
// process, replacing the record of the current target.
TEST_CASE("LocalTarget orders reports by start time and then by sequence") {
  LocalTargetFixture Fixture;
  CHECK(Fixture.Target.onReport(LocalTargetFixture::report("t1", 100, 5)));
  // Late reports, of the same process or an earlier one, change nothing.
  CHECK(Fixture.Target.onReport(LocalTargetFixture::report("t1", 100, 4)));
  CHECK_FALSE(
      Fixture.Target.onReport(LocalTargetFixture::report("t0", 90, 50)));
  CHECK_FALSE(Fixture.Target.onReport(
      LocalTargetFixture::report("t0", 90, 51, TargetState::Draining)));
  CHECK(Fixture.Target.record().Id == "t1");
  CHECK(Fixture.Target.record().isReady());
  // The sequence starts again in a later process with the same id.
  CHECK(Fixture.Target.onReport(LocalTargetFixture::report("t1", 200, 1)));
  CHECK(Fixture.Target.record().Started == 200);
}

// Guards against a request that is sent to a target after its drain time, when
// the target may end at any moment.
TEST_CASE("LocalTarget dispatches no attempt after the drain gate has closed") {
  LocalTargetFixture Fixture;
  REQUIRE(Fixture.Target.onReport(LocalTargetFixture::report("t1", 100, 1)));
  REQUIRE(Fixture.Target.onReport(
      LocalTargetFixture::report("t1", 100, 2, TargetState::Draining)));
  Fixture.execute(1);
  CHECK(Fixture.SentCallbacks.size() == 1);
  Fixture.Clock.advance(Milliseconds(1001));
  Fixture.execute(2);
  CHECK(Fixture.SentCallbacks.size() == 1);
  REQUIRE(Fixture.Replies.size() == 1);
  CHECK(Fixture.Replies[0].Outcome == Outcome::NotRun);
  CHECK(Fixture.Replies[0].Reason == Reason::Draining);
  // A later report with state ready does not open the gate.
  CHECK(Fixture.Target.onReport(LocalTargetFixture::report("t1", 100, 3)));
  Fixture.execute(3);
  CHECK(Fixture.SentCallbacks.size() == 1);
  // The attempt in flight is answered in full.
  Fixture.SentCallbacks[0](LocalTargetFixture::answer(200));
  CHECK(Fixture.Replies.back().Outcome == Outcome::Answered);
}

// Guards against a target that has left coming back in force: the node has just
// started, and its peers still have the target's record as ready.
TEST_CASE("LocalTarget remembers a leave that arrives before any report") {
  LocalTargetFixture Fixture;
  Fixture.UnixTime = 5000;
  REQUIRE(Fixture.Target.onLeave("t1"));
  CHECK_FALSE(
      Fixture.Target.onReport(LocalTargetFixture::report("t1", 1000, 20)));
  Fixture.Target.onStatusCheck("t1", ServiceName("ordering"), Slots(4));
  Fixture.execute(1);
  CHECK(Fixture.SentCallbacks.empty());
  // A later process may use the same id.
  CHECK(Fixture.Target.onReport(LocalTargetFixture::report("t1", 6000, 1)));
  Fixture.execute(2);
  CHECK(Fixture.SentCallbacks.size() == 1);
}

// Guards against a target that has left for the second time under its id, which
// the first leave hides from a node that has restarted.
TEST_CASE("LocalTarget takes no report of before the last leave of an id") {
  LocalTargetFixture Fixture;
  auto First = LocalTargetFixture::report("t1", 1000, 20, TargetState::Left);
  auto Second = LocalTargetFixture::report("t1", 6000, 9, TargetState::Left);
  bool InOrder = GENERATE(true, false);
  Fixture.Target.onDeparture(InOrder ? First.Target : Second.Target,
                             InOrder ? 5000 : 8000);
  Fixture.Target.onDeparture(InOrder ? Second.Target : First.Target,
                             InOrder ? 8000 : 5000);
  CHECK_FALSE(
      Fixture.Target.onReport(LocalTargetFixture::report("t1", 6000, 8)));
  Fixture.execute(1);
  CHECK(Fixture.SentCallbacks.empty());
  // A third process is used.
  CHECK(Fixture.Target.onReport(LocalTargetFixture::report("t1", 9000, 1)));
}

// Guards against a target that is refused for good, because its predecessor
// under the same id repeated its leave.
TEST_CASE("LocalTarget counts a repeated leave from its first notice") {
  LocalTargetFixture Fixture;
  REQUIRE(Fixture.Target.onReport(LocalTargetFixture::report("t1", 1000, 20)));
  REQUIRE(Fixture.Target.onLeave("t1"));
  Fixture.UnixTime = 7000;
  REQUIRE(Fixture.Target.onLeave("t1"));
  REQUIRE(Fixture.Target.onReport(LocalTargetFixture::report("t2", 5500, 1)));
  CHECK_FALSE(
      Fixture.Target.onReport(LocalTargetFixture::report("t1", 4000, 30)));
  CHECK(Fixture.Target.onReport(LocalTargetFixture::report("t1", 6000, 1)));
}

// Guards against attempts for a target whose leave an earlier process of the
// node acknowledged, at a time that this process does not have.
TEST_CASE(
    "LocalTarget refuses attempts for a target that a peer's record shows "
    "as draining") {
  LocalTargetFixture Fixture;
  auto Draining =
      LocalTargetFixture::report("t1", 1000, 20, TargetState::Draining);
  Fixture.Target.onRecordFromPeer(Draining.Target);
  Fixture.execute(1);
  CHECK(Fixture.SentCallbacks.empty());
}

// Guards against a queued attempt that is dispatched when a slot becomes free
// after the drain gate has closed.
TEST_CASE(
    "LocalTarget refuses queued attempts once the drain gate has closed") {
  LocalTargetFixture Fixture;
  REQUIRE(Fixture.Target.onReport(
      LocalTargetFixture::report("t1", 100, 1, TargetState::Ready, 1)));
  Fixture.execute(1);
  Fixture.execute(2);
  REQUIRE(Fixture.SentCallbacks.size() == 1);
  REQUIRE(Fixture.Target.onLeave("t1"));
  Fixture.Clock.advance(Milliseconds(1001));
  Fixture.SentCallbacks[0](LocalTargetFixture::answer(200));
  CHECK(Fixture.SentCallbacks.size() == 1);
  REQUIRE(Fixture.Replies.size() == 2);
  CHECK(Fixture.Replies.back().Outcome == Outcome::NotRun);
}

// Guards against a second run of an attempt that a caller sends again because
// its link was lost or silent.
TEST_CASE("LocalTarget runs an attempt once however often it arrives") {
  LocalTargetFixture Fixture;
  REQUIRE(Fixture.Target.onReport(LocalTargetFixture::report("t1", 100, 1)));
  Fixture.execute(1);
  Fixture.execute(1);
  CHECK(Fixture.SentCallbacks.size() == 1);
  Fixture.SentCallbacks[0](LocalTargetFixture::answer(200));
  REQUIRE(Fixture.Replies.size() == 1);
  Fixture.execute(1);
  CHECK(Fixture.SentCallbacks.size() == 1);
  REQUIRE(Fixture.Replies.size() == 2);
  CHECK(Fixture.Replies[1].Body == "body");
  // After the acknowledgement the reply is gone: a late copy does not run, and
  // its outcome is unknown.
  Fixture.Target.acknowledge(Incarnation(7), 1);
  Fixture.execute(1);
  CHECK(Fixture.SentCallbacks.size() == 1);
  CHECK(Fixture.Replies[2].Outcome == Outcome::Unknown);
}

// Guards against an attempt that runs at another target than the one it was
// addressed to, as after a replacement of the target's process.
TEST_CASE("LocalTarget runs only attempts addressed to its current target") {
  LocalTargetFixture Fixture;
  REQUIRE(Fixture.Target.onReport(LocalTargetFixture::report("t2", 200, 1)));
  Fixture.execute(1, "t1");
  REQUIRE(Fixture.Replies.size() == 1);
  CHECK(Fixture.Replies[0].Reason == Reason::WrongTarget);
  Fixture.execute(2, "t2");
  REQUIRE(Fixture.SentCalls.size() == 1);
  CHECK(*findHeader(Fixture.SentCalls[0].Headers,
                    HeaderNames{}.ExpectedTarget) == "t2");
}

// Guards against a "not run" that is not proven: the caller would send the
// request again, and it could run twice.
TEST_CASE("LocalTarget replies not run only if the target's answer proves it") {
  struct Case {
    HttpResponse Answer;
    Outcome Expected;
  };
  HttpHeaders NotExecuted = {{HeaderNames{}.NotExecuted, "1"}};
  HttpResponse Refused;
  Refused.Outcome = HttpOutcome::NotConnected;
  HttpResponse Broken;
  HttpResponse Late;
  Late.Outcome = HttpOutcome::TimedOut;
  auto C = GENERATE_COPY(
      Case{LocalTargetFixture::answer(503, NotExecuted), Outcome::NotRun},
      Case{LocalTargetFixture::answer(400, NotExecuted), Outcome::NotRun},
      Case{LocalTargetFixture::answer(421), Outcome::NotRun},
      // The status alone does not prove that the request did not run.
      Case{LocalTargetFixture::answer(503), Outcome::Unknown},
      Case{LocalTargetFixture::answer(429), Outcome::Unknown},
      Case{LocalTargetFixture::answer(500), Outcome::Answered},
      Case{Refused, Outcome::NotRun}, Case{Broken, Outcome::Unknown},
      Case{Late, Outcome::Unknown});
  LocalTargetFixture Fixture;
  REQUIRE(Fixture.Target.onReport(LocalTargetFixture::report("t1", 100, 1)));
  Fixture.execute(1);
  Fixture.SentCallbacks.at(0)(C.Answer);
  Fixture.finishEndChecks(false);
  REQUIRE(Fixture.Replies.size() == 1);
  INFO(C.Answer.Status);
  CHECK(Fixture.Replies[0].Outcome == C.Expected);
}

// Guards against runs that occupy slots of the target after their caller has
// cancelled them.
TEST_CASE("LocalTarget ends a cancelled run after the grace period") {
  LocalTargetFixture Fixture;
  REQUIRE(Fixture.Target.onReport(LocalTargetFixture::report("t1", 100, 1)));
  Fixture.execute(1);
  Fixture.Target.cancel(Incarnation(7), 1);
  Fixture.Target.tick();
  Fixture.Clock.advance(Milliseconds(150));
  {
    REQUIRE_CALL(Fixture.Port, cancel(_));
    Fixture.Target.tick();
  }
  CHECK(Fixture.Target.outstanding() == 0);
  // A cancellation that overtakes its attempt leaves a tombstone.
  Fixture.Target.cancel(Incarnation(7), 2);
  Fixture.execute(2);
  CHECK(Fixture.SentCallbacks.size() == 1);
}

// Guards against the loss of a connection to the target for a cancelled run
// that would have ended at once by itself.
TEST_CASE(
    "LocalTarget keeps the connection of a cancelled run that ends within "
    "the grace period") {
  LocalTargetFixture Fixture;
  REQUIRE(Fixture.Target.onReport(LocalTargetFixture::report("t1", 100, 1)));
  Fixture.execute(1);
  Fixture.Target.cancel(Incarnation(7), 1);
  Fixture.Clock.advance(Milliseconds(20));
  Fixture.SentCallbacks[0](LocalTargetFixture::answer(200));
  Fixture.Clock.advance(Milliseconds(200));
  Fixture.Target.tick(); // fails if the request is cancelled at the port
  CHECK(Fixture.Target.outstanding() == 0);
  CHECK(Fixture.Replies.empty());
}

// Guards against an attempt that waits in the queue until its deadline, when
// its answer is of little use, rather than until its wait limit.
TEST_CASE("LocalTarget refuses a queued attempt that exceeds its wait limit") {
  LocalTargetFixture Fixture;
  REQUIRE(Fixture.Target.onReport(
      LocalTargetFixture::report("t1", 100, 1, TargetState::Ready, 1)));
  Fixture.execute(1, "t1", Milliseconds(5000));
  MeshAttempt Queued;
  Queued.Call = 2;
  Queued.TargetId = "t1";
  Queued.TimeLeft = Milliseconds(5000);
  Queued.WaitLimit = Milliseconds(500);
  Fixture.Target.execute(Incarnation(7), Queued, [&](const Reply &Value) {
    Fixture.Replies.push_back(Value);
  });
  Fixture.Clock.advance(Milliseconds(400));
  Fixture.Target.tick();
  CHECK(Fixture.Replies.empty());
  Fixture.Clock.advance(Milliseconds(150));
  Fixture.Target.tick();
  REQUIRE(Fixture.Replies.size() == 1);
  CHECK(Fixture.Replies[0].Outcome == Outcome::NotRun);
  CHECK(Fixture.Replies[0].RetryAfter > Milliseconds(0));
}

// Guards against the dispatch of a queued attempt whose deadline has passed, as
// after a suspension of the machine, when no tick has refused it.
TEST_CASE("LocalTarget checks the deadline again when it dispatches") {
  LocalTargetFixture Fixture;
  REQUIRE(Fixture.Target.onReport(
      LocalTargetFixture::report("t1", 100, 1, TargetState::Ready, 1)));
  Fixture.execute(1);
  Fixture.execute(2, "t1", Milliseconds(300));
  // Simulates a suspension of the machine.
  Fixture.Clock.advance(std::chrono::seconds(5));
  Fixture.SentCallbacks[0](LocalTargetFixture::answer(200));
  CHECK(Fixture.SentCallbacks.size() == 1);
  CHECK(Fixture.Replies.back().Outcome == Outcome::NotRun);
}

// Guards against an answer of our own in place of that with which a target ends
// work whose time has passed.
TEST_CASE("LocalTarget awaits the answer of a target that stops in time") {
  LocalTargetFixture Fixture;
  REQUIRE(Fixture.Target.onReport(LocalTargetFixture::report("t1", 100, 1)));
  Fixture.execute(1, "t1", Milliseconds(300));
  REQUIRE(Fixture.SentCalls.size() == 1);
  const auto &Call = Fixture.SentCalls.front();
  const auto *TimeLeft = findHeader(Call.Headers, HeaderNames().TimeLeft);
  REQUIRE(TimeLeft != nullptr);
  CHECK(*TimeLeft == "300");
  CHECK(Call.Timeout > Milliseconds(300));
}

// Guards against calls that lose the route, rank and cohort of the request
// whose run makes them, and so are shed apart from it.
TEST_CASE("LocalTarget returns the call context of running attempts only") {
  LocalTargetFixture Fixture;
  REQUIRE(Fixture.Target.onReport(
      LocalTargetFixture::report("t1", 100, 1, TargetState::Ready, 1)));
  MeshAttempt Attempt;
  Attempt.Call = 1;
  Attempt.RequestId = "r1";
  Attempt.TargetId = "t1";
  Attempt.TimeLeft = Milliseconds(1000);
  Attempt.Route = "order";
  Attempt.Rank = ClassRank(3);
  Attempt.Cohort = 0.25F;
  Fixture.Target.execute(Incarnation(7), Attempt, [](const Reply &) {});
  Fixture.execute(2); // queued, so it makes no calls yet
  auto Context = Fixture.Target.callContext("r1");
  REQUIRE(Context);
  CHECK(Context->Route == "order");
  CHECK(Context->Rank == ClassRank(3));
  CHECK(Context->Cohort == 0.25F);
  CHECK_FALSE(Fixture.Target.callContext("r2"));
  Fixture.SentCallbacks[0](LocalTargetFixture::answer(200));
  CHECK_FALSE(Fixture.Target.callContext("r1"));
  CHECK(Fixture.Target.callContext("r2"));
}

// Guards against the failure of a called service counting against the target
// that made the call: placement would then avoid the target.
TEST_CASE("LocalTarget distinguishes a failed call from a failed target") {
  LocalTargetFixture Fixture;
  REQUIRE(Fixture.Target.onReport(LocalTargetFixture::report("t1", 100, 1)));
  for (std::uint64_t Call = 1; Call <= 3; ++Call)
    Fixture.execute(Call);
  Fixture.Target.onCallFailed("r1");
  Fixture.Target.onCallFailed("r3");
  Fixture.SentCallbacks[0](LocalTargetFixture::answer(500));
  Fixture.SentCallbacks[1](LocalTargetFixture::answer(500));
  Fixture.SentCallbacks[2](
      LocalTargetFixture::answer(200)); // served despite the failed call
  REQUIRE(Fixture.Replies.size() == 3);
  CHECK(Fixture.Replies[0].Reason == Reason::CallFailed);
  CHECK(Fixture.Replies[1].Reason == Reason::None);
  CHECK(Fixture.Replies[2].Reason == Reason::None);
}

// Guards against a record of a target of another service: the instance has
// taken over the address of one that has ended, and peers still have its
// record.
TEST_CASE("LocalTarget ignores a peer's record of another service") {
  LocalTargetFixture Fixture;
  auto Outdated = LocalTargetFixture::report("t0", 1000, 20);
  Outdated.Target.Service = ServiceName("planning");
  Fixture.Target.onRecordFromPeer(Outdated.Target);
  CHECK(Fixture.Target.record().Id.empty());
  Fixture.Target.onRecordFromPeer(
      LocalTargetFixture::report("t1", 1000, 20).Target);
  CHECK(Fixture.Target.record().Id == "t1");
}

// Guards against a run that starts shortly before the node ends, which could
// not complete.
TEST_CASE("LocalTarget refuses new attempts after refuseNewWork but completes "
          "known ones") {
  LocalTargetFixture Fixture;
  REQUIRE(Fixture.Target.onReport(LocalTargetFixture::report("t1", 100, 1)));
  Fixture.execute(1);
  Fixture.Target.refuseNewWork(Milliseconds(900));
  Fixture.execute(2);
  CHECK(Fixture.SentCallbacks.size() == 1);
  REQUIRE(Fixture.Replies.size() == 1);
  CHECK(Fixture.Replies[0].Outcome == Outcome::NotRun);
  CHECK(Fixture.Replies[0].RetryAfter == Milliseconds(900));
  // The running attempt continues, also for a caller that sends it again.
  Fixture.execute(1);
  Fixture.SentCallbacks[0](LocalTargetFixture::answer(200));
  REQUIRE(Fixture.Replies.size() == 2);
  CHECK(Fixture.Replies[1].Outcome == Outcome::Answered);
}

// Guards against queued attempts that begin to run while the node ends.
TEST_CASE("LocalTarget refuses queued attempts after refuseNewWork") {
  LocalTargetFixture Fixture;
  REQUIRE(Fixture.Target.onReport(
      LocalTargetFixture::report("t1", 100, 1, TargetState::Ready, 1)));
  Fixture.execute(1);
  Fixture.execute(2);
  REQUIRE(Fixture.SentCallbacks.size() == 1);
  REQUIRE(Fixture.Replies.empty());
  Fixture.Target.refuseNewWork(Milliseconds(900));
  REQUIRE(Fixture.Replies.size() == 1);
  CHECK(Fixture.Replies[0].Outcome == Outcome::NotRun);
  CHECK(Fixture.Replies[0].Reason == Reason::Draining);
  CHECK(Fixture.Replies[0].RetryAfter == Milliseconds(900));
  Fixture.SentCallbacks[0](LocalTargetFixture::answer(200));
  CHECK(Fixture.SentCallbacks.size() == 1);
}

// Runs that may have been broken off make fewer calls than complete ones, which
// would bias the estimate of the calls per run.
TEST_CASE("LocalTarget reports a run with an unknown outcome as failed") {
  LocalTargetFixture Fixture;
  REQUIRE(Fixture.Target.onReport(LocalTargetFixture::report("t1", 100, 1)));
  std::vector<RunEvent> Events;
  Fixture.Target.setOnRun(
      [&](const std::string &, RunEvent Event) { Events.push_back(Event); });
  Fixture.execute(1);
  HttpResponse Broken;
  Broken.Outcome = HttpOutcome::Broken;
  Fixture.SentCallbacks[0](Broken);
  Fixture.finishEndChecks(false);
  CHECK(Events == std::vector<RunEvent>{RunEvent::Started, RunEvent::Failed});
  Fixture.execute(2);
  Fixture.SentCallbacks[1](LocalTargetFixture::answer(200));
  CHECK(Events.back() == RunEvent::Served);
}

TEST_CASE("LocalTarget ends a run that is cancelled twice once, and in time") {
  LocalTargetFixture Fixture;
  REQUIRE(Fixture.Target.onReport(LocalTargetFixture::report("t1", 100, 1)));
  Fixture.execute(1);
  std::size_t Cancelled = 0;
  ALLOW_CALL(Fixture.Port, cancel(_)).LR_SIDE_EFFECT(++Cancelled);
  Fixture.Target.cancel(Incarnation(7), 1);
  Fixture.Clock.advance(Milliseconds(90));
  // The second cancellation must not prolong the run.
  Fixture.Target.cancel(Incarnation(7), 1);
  Fixture.Clock.advance(Milliseconds(20));
  Fixture.Target.tick();
  CHECK(Cancelled == 1);
  CHECK(Fixture.Target.outstanding() == 0);
}

namespace {

constexpr Milliseconds RateStep(10);

/// Sends one attempt every 10 ms and answers each after 100 ms, with the
/// headers given at the time of the answer.
struct RateFixture : LocalTargetFixture {
  std::vector<TimePoint> Sent;
  std::deque<std::pair<TimePoint, std::size_t>> Running;
  std::uint64_t LastCall = 0;

  RateFixture() {
    REQUIRE(
        this->Target.onReport(report("t1", 100, 1, TargetState::Ready, 100)));
  }
  void play(Milliseconds Span, const HttpHeaders &Headers) {
    constexpr Milliseconds ServiceTime(100);
    auto End = this->Clock.now() + Span;
    while (this->Clock.now() < End) {
      this->execute(++this->LastCall);
      this->Target.tick();
      for (; this->Sent.size() < this->SentCallbacks.size();
           this->Sent.push_back(this->Clock.now()))
        this->Running.emplace_back(this->Clock.now() + ServiceTime,
                                   this->Sent.size());
      while (!this->Running.empty() &&
             this->Running.front().first <= this->Clock.now()) {
        auto Answered = this->Running.front().second;
        this->Running.pop_front();
        this->SentCallbacks[Answered](answer(200, Headers));
      }
      this->Clock.advance(RateStep);
    }
  }
  /// Returns the largest number of requests sent in any span of 4 s that begins
  /// at \p From or later.
  [[nodiscard]] std::size_t mostIn4s(TimePoint From) const {
    std::size_t Most = 0;
    for (auto Begin =
             std::lower_bound(this->Sent.begin(), this->Sent.end(), From);
         Begin != this->Sent.end(); ++Begin)
      Most = std::max(Most,
                      static_cast<std::size_t>(
                          std::upper_bound(Begin, this->Sent.end(),
                                           *Begin + std::chrono::seconds(4)) -
                          Begin));
    return Most;
  }
};

} // namespace

TEST_CASE("LocalTarget sends no more requests than its target's named rate") {
  RateFixture Fixture;
  double Rate = GENERATE(0.0, 0.4, 6.6, 16.5, 60.0);
  CAPTURE(Rate);
  Fixture.play(Milliseconds(1000), {});
  CHECK(Fixture.Sent.size() > 90);
  auto Named = Fixture.Clock.now();
  Fixture.play(Milliseconds(20000),
               {{"limpetdrum-request-rate", std::to_string(Rate)}});
  auto Most =
      static_cast<double>(Fixture.mostIn4s(Named + std::chrono::seconds(1)));
  // The platform allows half as much again, and five requests.
  CHECK(Most <= Rate * 4 * 1.5 + 5);
  // The target is not starved of what it takes.
  auto Total = static_cast<double>(
      Fixture.Sent.end() -
      std::lower_bound(Fixture.Sent.begin(), Fixture.Sent.end(), Named));
  CHECK(Total >= Rate * 20 * 0.9);
}

TEST_CASE("LocalTarget sends at the usual rate again once its target names no "
          "limit") {
  RateFixture Fixture;
  Fixture.play(Milliseconds(3000), {{"limpetdrum-request-rate", "2.5"}});
  REQUIRE(Fixture.Target.record().RequestRate == 2.5);
  Fixture.play(Milliseconds(1000), {});
  CHECK_FALSE(Fixture.Target.record().RequestRate);
  auto Before = Fixture.Sent.size();
  Fixture.play(Milliseconds(1000), {});
  CHECK(Fixture.Sent.size() - Before > 90);
}

TEST_CASE("LocalTarget keeps a named rate over reports of the same target") {
  RateFixture Fixture;
  auto Report = [&](const char *Id, std::int64_t Started, unsigned Sequence) {
    REQUIRE(Fixture.Target.onReport(LocalTargetFixture::report(
        Id, Started, Sequence, TargetState::Ready, 100)));
  };
  Fixture.play(Milliseconds(500), {{"limpetdrum-request-rate", "2"}});
  Report("t1", 100, 2);
  CHECK(Fixture.Target.record().RequestRate == 2);
  SECTION("malformed rates change nothing") {
    for (const char *Malformed : {"", "-1", "x", "3x", "inf", "nan", "1e3"}) {
      CAPTURE(Malformed);
      Fixture.play(Milliseconds(500), {{"limpetdrum-request-rate", Malformed}});
      CHECK(Fixture.Target.record().RequestRate == 2);
    }
  }
  SECTION("a later process starts without a limit") {
    Report("t1", 200, 1);
    CHECK_FALSE(Fixture.Target.record().RequestRate);
    auto Sent = Fixture.SentCallbacks.size();
    for (int I = 0; I < 20; ++I)
      Fixture.execute(++Fixture.LastCall);
    CHECK(Fixture.SentCallbacks.size() >= Sent + 20);
  }
}

TEST_CASE("LocalTarget refuses at once what exceeds the named rate, and says "
          "when to return") {
  RateFixture Fixture;
  Fixture.play(Milliseconds(500), {{"limpetdrum-request-rate", "2"}});
  Fixture.Replies.clear();
  for (int I = 0; I < 20; ++I)
    Fixture.execute(++Fixture.LastCall);
  auto Refused = std::count_if(Fixture.Replies.begin(), Fixture.Replies.end(),
                               [](const Reply &Value) {
                                 return Value.Outcome == Outcome::NotRun &&
                                        Value.Reason == Reason::RequestRate &&
                                        Value.RetryAfter >= Milliseconds(500);
                               });
  CHECK(Refused >= 18);
  CHECK(static_cast<std::size_t>(Refused) == Fixture.Replies.size());
}

// Guards against a burst at a limited target whose node has just restarted.
TEST_CASE("LocalTarget adopts the named rate from a peer until its target has "
          "answered") {
  LocalTargetFixture Fixture;
  auto FromPeer = LocalTargetFixture::report("t1", 100, 1).Target;
  FromPeer.RequestRate = 2;
  Fixture.Target.onRequestRateFromPeer(FromPeer);
  CHECK_FALSE(Fixture.Target.record().RequestRate);
  REQUIRE(Fixture.Target.onReport(LocalTargetFixture::report("t1", 100, 2)));
  Fixture.Target.onRequestRateFromPeer(FromPeer);
  CHECK(Fixture.Target.record().RequestRate == 2);
  FromPeer.Started = 90;
  FromPeer.RequestRate = 7;
  Fixture.Target.onRequestRateFromPeer(FromPeer);
  CHECK(Fixture.Target.record().RequestRate == 2);
  Fixture.Clock.advance(Milliseconds(1000));
  Fixture.execute(1);
  REQUIRE(Fixture.SentCallbacks.size() == 1);
  Fixture.SentCallbacks[0](LocalTargetFixture::answer(200));
  CHECK_FALSE(Fixture.Target.record().RequestRate);
  FromPeer.Started = 100;
  Fixture.Target.onRequestRateFromPeer(FromPeer);
  CHECK_FALSE(Fixture.Target.record().RequestRate);
}

// Guards against requests to a target that leaves while its report is lost or
// late: its answers are then the only notice.
TEST_CASE("LocalTarget closes the drain gate for a target whose answers say "
          "that it leaves") {
  LocalTargetFixture Fixture;
  REQUIRE(Fixture.Target.onReport(LocalTargetFixture::report("t1", 100, 1)));
  Fixture.execute(1);
  Fixture.execute(2);
  REQUIRE(Fixture.SentCallbacks.size() == 2);
  Fixture.SentCallbacks[0](
      LocalTargetFixture::answer(200, {{"limpetdrum-target-leaving", "1"}}));
  CHECK(Fixture.Target.record().State == TargetState::Draining);
  Fixture.Clock.advance(Milliseconds(500));
  // An answer that was on its way, and a report made before, change nothing.
  Fixture.SentCallbacks[1](LocalTargetFixture::answer(200));
  CHECK(Fixture.Target.onReport(LocalTargetFixture::report("t1", 100, 2)));
  CHECK(Fixture.Target.record().State == TargetState::Draining);
  Fixture.execute(3);
  CHECK(Fixture.SentCallbacks.size() == 3);
  Fixture.Clock.advance(Milliseconds(501));
  Fixture.execute(4);
  CHECK(Fixture.SentCallbacks.size() == 3);
  CHECK(Fixture.Replies.back().Reason == Reason::Draining);
  // A later process with the same id does not leave.
  CHECK(Fixture.Target.onReport(LocalTargetFixture::report("t1", 6000, 1)));
  Fixture.execute(5);
  CHECK(Fixture.SentCallbacks.size() == 4);
}

TEST_CASE("LocalTarget ignores a notice of leaving with another value") {
  LocalTargetFixture Fixture;
  REQUIRE(Fixture.Target.onReport(LocalTargetFixture::report("t1", 100, 1)));
  Fixture.execute(1);
  Fixture.SentCallbacks.at(0)(
      LocalTargetFixture::answer(200, {{"limpetdrum-target-leaving", "0"}}));
  CHECK(Fixture.Target.record().isReady());
}

// Guards against clients of a target that refuses at random and return only
// when their latency target is missed.
TEST_CASE("LocalTarget asks clients to return at once if its target refuses "
          "while it has room") {
  LocalTargetFixture Fixture;
  REQUIRE(Fixture.Target.onReport(
      LocalTargetFixture::report("t1", 100, 1, TargetState::Ready, 10)));
  auto Refuse = [&](std::size_t Index, const char *Load = "1,0,10") {
    Fixture.SentCallbacks.at(Index)(
        LocalTargetFixture::answer(503, {{"limpetdrum-not-executed", "1"},
                                         {"limpetdrum-target-load", Load}}));
    return Fixture.Replies.back().RetryAfter;
  };
  Fixture.execute(1);
  CHECK(Refuse(0) <= Milliseconds(50));
  CHECK(Fixture.Replies.back().Outcome == Outcome::NotRun);
  CHECK(Fixture.Replies.back().RetryAfter > Milliseconds(0));
  // A target that serves others too knows better.
  for (const char *Load : {"10,0,10", "4,2,10", "12,0,10,250"}) {
    Fixture.execute(Fixture.SentCallbacks.size() + 1);
    CHECK(Refuse(Fixture.SentCallbacks.size() - 1, Load) >= Milliseconds(300));
  }
  auto Sent = Fixture.SentCallbacks.size();
  for (std::uint64_t Call = 20; Call <= 35; ++Call)
    Fixture.execute(Call);
  CHECK(Refuse(Sent) >= Milliseconds(300));
}
