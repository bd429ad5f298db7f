#include "limpetdrum/daemon/LocalTarget.h"
#include "FakeClock.h"
#include "MockPorts.h"

#include <catch2/catch.hpp>
#include <fcntl.h>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

using trompeloeil::_;

struct Beside {
  FakeClock Clock;
  Metrics Counters;
  EventLog Log{open("/dev/null", O_WRONLY)};
  MockTarget Port;
  std::int64_t UnixTime = 5000;
  LocalTarget Own{{Milliseconds(1000), 1, [this]() { return this->UnixTime; },
                   ServiceName("ordering")},
                  HeaderNames{},
                  Port,
                  Log,
                  Counters,
                  [this]() { return this->Clock.now(); }};
  std::vector<Reply> Replies;
  std::vector<HttpClient::Callback> Sent;
  std::vector<HttpCall> Calls;

  static LocalTarget::Report report(const std::string &Id, std::int64_t Started,
                                    std::uint64_t Sequence,
                                    TargetState State = TargetState::Ready,
                                    unsigned Count = 10) {
    TargetRecord Record;
    Record.Id = Id;
    Record.Started = Started;
    Record.Sequence = Sequence;
    Record.Service = ServiceName("ordering");
    Record.Slots = Slots(static_cast<std::uint16_t>(Count));
    Record.State = State;
    return {Record, Milliseconds(0)};
  }

  void arrive(std::uint64_t Call, const std::string &Target = "t1",
              Milliseconds TimeLeft = Milliseconds(1000)) {
    MeshAttempt Attempt;
    Attempt.Call = Call;
    Attempt.RequestId = "r" + std::to_string(Call);
    Attempt.Request.Method = "POST";
    Attempt.Request.Target = "/orders/1";
    Attempt.TimeLeft = TimeLeft;
    Attempt.TargetId = Target;
    this->Own.execute(Incarnation(7), Attempt, [this](const Reply &Value) {
      this->Replies.push_back(Value);
    });
  }

  std::unique_ptr<trompeloeil::expectation> takeSends() {
    return NAMED_ALLOW_CALL(this->Port, send(_, _))
        .LR_SIDE_EFFECT(this->Calls.push_back(_1))
        .LR_SIDE_EFFECT(this->Sent.push_back(_2))
        .LR_RETURN(this->Sent.size());
  }
  std::unique_ptr<trompeloeil::expectation> Sends = this->takeSends();

  static HttpResponse answer(int Status, HttpHeaders Headers = {}) {
    HttpResponse Value;
    Value.Outcome = HttpOutcome::Answered;
    Value.Status = Status;
    Value.Headers = std::move(Headers);
    Value.Body = "body";
    return Value;
  }
};

} // namespace

TEST_CASE("LocalTarget orders reports by start and then by sequence") {
  Beside Node;
  CHECK(Node.Own.onReport(Beside::report("t1", 100, 5)));
  // Late ones of the same process and of an earlier one change nothing.
  CHECK(Node.Own.onReport(Beside::report("t1", 100, 4)));
  CHECK_FALSE(Node.Own.onReport(Beside::report("t0", 90, 50)));
  CHECK_FALSE(
      Node.Own.onReport(Beside::report("t0", 90, 51, TargetState::Draining)));
  CHECK(Node.Own.record().Id == "t1");
  CHECK(Node.Own.record().isReady());
  // The same id in a later process counts anew.
  CHECK(Node.Own.onReport(Beside::report("t1", 200, 1)));
  CHECK(Node.Own.record().Started == 200);
}

TEST_CASE("LocalTarget hands nothing over once the drain gate has closed") {
  Beside Node;
  REQUIRE(Node.Own.onReport(Beside::report("t1", 100, 1)));
  REQUIRE(
      Node.Own.onReport(Beside::report("t1", 100, 2, TargetState::Draining)));
  Node.arrive(1);
  CHECK(Node.Sent.size() == 1);
  Node.Clock.advance(Milliseconds(1001));
  Node.arrive(2);
  CHECK(Node.Sent.size() == 1);
  REQUIRE(Node.Replies.size() == 1);
  CHECK(Node.Replies[0].Outcome == Outcome::NotRun);
  CHECK(Node.Replies[0].Reason == Reason::Draining);
  // A late report that it is ready does not open the gate.
  CHECK(Node.Own.onReport(Beside::report("t1", 100, 3)));
  Node.arrive(3);
  CHECK(Node.Sent.size() == 1);
  // What was in flight is answered in full.
  Node.Sent[0](Beside::answer(200));
  CHECK(Node.Replies.back().Outcome == Outcome::Answered);
}

TEST_CASE("LocalTarget keeps to a leave that came before any report") {
  // The node has just started; its peers still know the target as ready.
  Beside Node;
  Node.UnixTime = 5000;
  REQUIRE(Node.Own.onLeave("t1"));
  CHECK_FALSE(Node.Own.onReport(Beside::report("t1", 1000, 20)));
  Node.Own.onStatusCheck("t1", ServiceName("ordering"), Slots(4));
  Node.arrive(1);
  CHECK(Node.Sent.empty());
  // A later process may take the same id.
  CHECK(Node.Own.onReport(Beside::report("t1", 6000, 1)));
  Node.arrive(2);
  CHECK(Node.Sent.size() == 1);
}

TEST_CASE("LocalTarget takes nothing for a target that others saw draining") {
  // The acknowledgement was given by an earlier process, some time ago.
  Beside Node;
  auto Draining = Beside::report("t1", 1000, 20, TargetState::Draining);
  Node.Own.onRecordFromPeer(Draining.Target);
  Node.arrive(1);
  CHECK(Node.Sent.empty());
}

TEST_CASE("LocalTarget hands over what is queued only before the gate closes") {
  Beside Node;
  REQUIRE(
      Node.Own.onReport(Beside::report("t1", 100, 1, TargetState::Ready, 1)));
  Node.arrive(1);
  Node.arrive(2);
  REQUIRE(Node.Sent.size() == 1);
  REQUIRE(Node.Own.onLeave("t1"));
  Node.Clock.advance(Milliseconds(1001));
  Node.Sent[0](Beside::answer(200));
  CHECK(Node.Sent.size() == 1);
  REQUIRE(Node.Replies.size() == 2);
  CHECK(Node.Replies.back().Outcome == Outcome::NotRun);
}

TEST_CASE("LocalTarget runs an attempt once however often it arrives") {
  Beside Node;
  REQUIRE(Node.Own.onReport(Beside::report("t1", 100, 1)));
  Node.arrive(1);
  Node.arrive(1);
  CHECK(Node.Sent.size() == 1);
  Node.Sent[0](Beside::answer(200));
  REQUIRE(Node.Replies.size() == 1);
  Node.arrive(1);
  CHECK(Node.Sent.size() == 1);
  REQUIRE(Node.Replies.size() == 2);
  CHECK(Node.Replies[1].Body == "body");
  // The caller has it: a late copy is not run, and its outcome not claimed.
  Node.Own.acknowledge(Incarnation(7), 1);
  Node.arrive(1);
  CHECK(Node.Sent.size() == 1);
  CHECK(Node.Replies[2].Outcome == Outcome::Unknown);
}

TEST_CASE("LocalTarget runs only what was meant for its present target") {
  Beside Node;
  REQUIRE(Node.Own.onReport(Beside::report("t2", 200, 1)));
  Node.arrive(1, "t1");
  REQUIRE(Node.Replies.size() == 1);
  CHECK(Node.Replies[0].Reason == Reason::WrongTarget);
  Node.arrive(2, "t2");
  REQUIRE(Node.Calls.size() == 1);
  CHECK(*findHeader(Node.Calls[0].Headers, HeaderNames{}.ExpectedTarget) ==
        "t2");
}

TEST_CASE("LocalTarget says not run only with proof") {
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
      Case{Beside::answer(503, NotExecuted), Outcome::NotRun},
      Case{Beside::answer(400, NotExecuted), Outcome::NotRun},
      Case{Beside::answer(421), Outcome::NotRun},
      // The bare status promises nothing of the run.
      Case{Beside::answer(503), Outcome::Unknown},
      Case{Beside::answer(429), Outcome::Unknown},
      Case{Beside::answer(500), Outcome::Answered},
      Case{Refused, Outcome::NotRun}, Case{Broken, Outcome::Unknown},
      Case{Late, Outcome::Unknown});
  Beside Node;
  REQUIRE(Node.Own.onReport(Beside::report("t1", 100, 1)));
  Node.arrive(1);
  Node.Sent.at(0)(C.Answer);
  REQUIRE(Node.Replies.size() == 1);
  INFO(C.Answer.Status);
  CHECK(Node.Replies[0].Outcome == C.Expected);
}

TEST_CASE("LocalTarget ends a run whose caller has gone") {
  Beside Node;
  REQUIRE(Node.Own.onReport(Beside::report("t1", 100, 1)));
  Node.arrive(1);
  Node.Own.cancel(Incarnation(7), 1);
  Node.Own.tick();
  Node.Clock.advance(Milliseconds(150));
  {
    REQUIRE_CALL(Node.Port, cancel(_));
    Node.Own.tick();
  }
  CHECK(Node.Own.outstanding() == 0);
  // A cancel that overtakes its attempt leaves a tombstone.
  Node.Own.cancel(Incarnation(7), 2);
  Node.arrive(2);
  CHECK(Node.Sent.size() == 1);
}

TEST_CASE("LocalTarget keeps the connection of a run that ends soon") {
  Beside Node;
  REQUIRE(Node.Own.onReport(Beside::report("t1", 100, 1)));
  Node.arrive(1);
  Node.Own.cancel(Incarnation(7), 1);
  Node.Clock.advance(Milliseconds(20));
  Node.Sent[0](Beside::answer(200));
  Node.Clock.advance(Milliseconds(200));
  Node.Own.tick(); // no cancel at the port
  CHECK(Node.Own.outstanding() == 0);
  CHECK(Node.Replies.empty());
}

TEST_CASE("LocalTarget refuses what has waited too long, long before its end") {
  Beside Node;
  REQUIRE(
      Node.Own.onReport(Beside::report("t1", 100, 1, TargetState::Ready, 1)));
  Node.arrive(1, "t1", Milliseconds(5000));
  MeshAttempt Waiting;
  Waiting.Call = 2;
  Waiting.TargetId = "t1";
  Waiting.TimeLeft = Milliseconds(5000);
  Waiting.WaitLimit = Milliseconds(500);
  Node.Own.execute(Incarnation(7), Waiting,
                   [&](const Reply &Value) { Node.Replies.push_back(Value); });
  Node.Clock.advance(Milliseconds(400));
  Node.Own.tick();
  CHECK(Node.Replies.empty());
  Node.Clock.advance(Milliseconds(150));
  Node.Own.tick();
  REQUIRE(Node.Replies.size() == 1);
  CHECK(Node.Replies[0].Outcome == Outcome::NotRun);
  CHECK(Node.Replies[0].RetryAfter > Milliseconds(0));
}

TEST_CASE("LocalTarget checks the deadline again when it dispatches") {
  Beside Node;
  REQUIRE(
      Node.Own.onReport(Beside::report("t1", 100, 1, TargetState::Ready, 1)));
  Node.arrive(1);
  Node.arrive(2, "t1", Milliseconds(300));
  // The machine was suspended meanwhile.
  Node.Clock.advance(std::chrono::seconds(5));
  Node.Sent[0](Beside::answer(200));
  CHECK(Node.Sent.size() == 1);
  CHECK(Node.Replies.back().Outcome == Outcome::NotRun);
}

TEST_CASE("LocalTarget tells what calls of its runs inherit") {
  Beside Node;
  REQUIRE(
      Node.Own.onReport(Beside::report("t1", 100, 1, TargetState::Ready, 1)));
  MeshAttempt Asked;
  Asked.Call = 1;
  Asked.RequestId = "r1";
  Asked.TargetId = "t1";
  Asked.TimeLeft = Milliseconds(1000);
  Asked.Route = "order";
  Asked.Rank = ClassRank(3);
  Asked.Cohort = 0.25F;
  Node.Own.execute(Incarnation(7), Asked, [](const Reply &) {});
  Node.arrive(2); // queued: it makes no calls yet
  auto Context = Node.Own.callContext("r1");
  REQUIRE(Context);
  CHECK(Context->Route == "order");
  CHECK(Context->Rank == ClassRank(3));
  CHECK(Context->Cohort == 0.25F);
  CHECK_FALSE(Node.Own.callContext("r2"));
  Node.Sent[0](Beside::answer(200));
  CHECK_FALSE(Node.Own.callContext("r1"));
  CHECK(Node.Own.callContext("r2"));
}

TEST_CASE("LocalTarget tells a failure of a call from one of its target") {
  Beside Node;
  REQUIRE(Node.Own.onReport(Beside::report("t1", 100, 1)));
  for (std::uint64_t Call = 1; Call <= 3; ++Call)
    Node.arrive(Call);
  Node.Own.onCallFailed("r1");
  Node.Own.onCallFailed("r3");
  Node.Sent[0](Beside::answer(500));
  Node.Sent[1](Beside::answer(500));
  Node.Sent[2](Beside::answer(200)); // it did without
  REQUIRE(Node.Replies.size() == 3);
  CHECK(Node.Replies[0].Reason == Reason::CallFailed);
  CHECK(Node.Replies[1].Reason == Reason::None);
  CHECK(Node.Replies[2].Reason == Reason::None);
}

TEST_CASE("LocalTarget forgets what others remember of another service") {
  // Its instance got the address of one that is gone.
  Beside Node;
  auto Before = Beside::report("t0", 1000, 20);
  Before.Target.Service = ServiceName("planning");
  Node.Own.onRecordFromPeer(Before.Target);
  CHECK(Node.Own.record().Id.empty());
  Node.Own.onRecordFromPeer(Beside::report("t1", 1000, 20).Target);
  CHECK(Node.Own.record().Id == "t1");
}

TEST_CASE("LocalTarget begins no run shortly before its node ends") {
  Beside Node;
  REQUIRE(Node.Own.onReport(Beside::report("t1", 100, 1)));
  Node.arrive(1);
  Node.Own.refuseNewWork();
  Node.arrive(2);
  CHECK(Node.Sent.size() == 1);
  REQUIRE(Node.Replies.size() == 1);
  CHECK(Node.Replies[0].Outcome == Outcome::NotRun);
  // What runs goes on, also for a caller that asks again.
  Node.arrive(1);
  Node.Sent[0](Beside::answer(200));
  REQUIRE(Node.Replies.size() == 2);
  CHECK(Node.Replies[1].Outcome == Outcome::Answered);
}
