#include "limpetdrum/request/CrashHistory.h"
#include "FakeClock.h"
#include "limpetdrum/request/SuspectTrials.h"

#include <catch2/catch.hpp>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

using Verdict = CrashHistory::Verdict;

const RequestFingerprint Culprit(1);

struct HistoryFixture {
  FakeClock Clock;
  CrashHistory History;

  CrashNews report(std::uint64_t Target, bool Alone = false,
                   RequestFingerprint Request = Culprit) {
    return this->History.merge(
        {{{Request, Target, Alone, Milliseconds(0)}}, {}}, this->Clock.now());
  }
  CrashNews answer() {
    return this->History.merge({{}, {Culprit}}, this->Clock.now());
  }
  [[nodiscard]] Verdict verdict(RequestFingerprint Request = Culprit) {
    return this->History.verdict(Request, this->Clock.now());
  }
};

} // namespace

TEST_CASE("CrashHistory suspects a request under which two targets ended") {
  HistoryFixture Fixture;
  CHECK(Fixture.verdict() == Verdict::None);
  Fixture.report(1);
  // The same crash, told by another node.
  CHECK(Fixture.report(1).empty());
  CHECK(Fixture.verdict() == Verdict::None);
  CHECK_FALSE(Fixture.report(2).empty());
  CHECK(Fixture.verdict() == Verdict::Suspect);
}

TEST_CASE("CrashHistory never refuses a request that was not alone") {
  HistoryFixture Fixture;
  for (std::uint64_t Target = 0; Target < 100; ++Target)
    Fixture.report(Target);
  CHECK(Fixture.verdict() == Verdict::Suspect);
}

TEST_CASE("CrashHistory refuses a proven request, and then tries it again") {
  HistoryFixture Fixture;
  Fixture.report(1);
  Fixture.report(2);
  Fixture.report(3, true);
  CHECK(Fixture.verdict() == Verdict::Crashing);
  CHECK(Fixture.History.retryAfter(Culprit, Fixture.Clock.now()) ==
        std::chrono::minutes(10));
  Fixture.Clock.advance(std::chrono::minutes(10));
  CHECK(Fixture.verdict() == Verdict::Suspect);
  SECTION("refused again if another target ends under it") {
    Fixture.report(4, true);
    CHECK(Fixture.verdict() == Verdict::Crashing);
  }
  SECTION("forgotten if it does not come again") {
    Fixture.Clock.advance(std::chrono::minutes(10));
    CHECK(Fixture.verdict() == Verdict::None);
    Fixture.History.sweep(Fixture.Clock.now());
    CHECK(Fixture.History.empty());
  }
}

TEST_CASE("CrashHistory clears a suspect that was answered") {
  HistoryFixture Fixture;
  Fixture.report(1);
  Fixture.report(2);
  CHECK_FALSE(Fixture.answer().empty());
  CHECK(Fixture.answer().empty());
  CHECK(Fixture.verdict() == Verdict::None);
  // Late reports of crashes before the answer.
  Fixture.report(3);
  Fixture.report(4, true);
  CHECK(Fixture.verdict() == Verdict::None);
  // Later crashes count from the start.
  Fixture.Clock.advance(std::chrono::seconds(6));
  Fixture.report(5);
  CHECK(Fixture.verdict() == Verdict::None);
  Fixture.report(6);
  CHECK(Fixture.verdict() == Verdict::Suspect);
}

// Guards against a record that lives on because restarted nodes and those that
// tell them of it take turns in holding it for new.
TEST_CASE("CrashHistory forgets a request that nodes tell each other of") {
  FakeClock Clock;
  std::array<CrashHistory, 2> Nodes;
  (void)Nodes[0].merge({{{Culprit, 1, true, Milliseconds(0)}}, {}},
                       Clock.now());
  for (int Minute = 0; Minute < 30; ++Minute) {
    auto &Restarted = Nodes.at(Minute % 2 == 0 ? 1 : 0);
    Restarted = CrashHistory();
    (void)Restarted.merge(Nodes.at(Minute % 2).known(Clock.now()), Clock.now());
    CHECK((Restarted.verdict(Culprit, Clock.now()) == Verdict::Crashing) ==
          (Minute < 10));
    Clock.advance(std::chrono::minutes(1));
  }
  CHECK(Nodes[0].known(Clock.now()).empty());
}

TEST_CASE("CrashHistory is bounded, and keeps the proven requests longest") {
  HistoryFixture Fixture;
  Fixture.report(1, true);
  RequestFingerprint Suspect(2);
  Fixture.report(1, false, Suspect);
  Fixture.report(2, false, Suspect);
  for (std::uint64_t I = 0; I < 10000; ++I)
    Fixture.report(1, false, RequestFingerprint(100 + I));
  CHECK(Fixture.History.size() == 4096);
  CHECK(Fixture.verdict() == Verdict::Crashing);
  CHECK(Fixture.verdict(Suspect) == Verdict::Suspect);
}

TEST_CASE("SuspectTrials lets one attempt run at a time, in turn") {
  SuspectTrials Trials;
  auto Id = [](std::uint64_t Number) {
    return AttemptId{Incarnation(1), Number};
  };
  CHECK(Trials.begin(Id(1)));
  CHECK(Trials.begin(Id(1)));
  for (std::uint64_t Number : {2, 3, 4})
    CHECK_FALSE(Trials.begin(Id(Number)));
  // One that waits is cancelled; others than the trial end.
  CHECK_FALSE(Trials.end(Id(2)));
  CHECK_FALSE(Trials.end(Id(9)));
  CHECK(Trials.end(Id(1)) == Id(3));
  // The next turned out to be sound, so the one after it need not wait.
  CHECK(Trials.end(Id(9)) == Id(4));
  CHECK_FALSE(Trials.end(Id(9)));
}

TEST_CASE("CrashHistory keeps the age of a crash from before its instance "
          "started") {
  CrashHistory History;
  // The steady clock begins with the instance.
  TimePoint Now = TimePoint{} + std::chrono::minutes(1);
  (void)History.merge({{{Culprit, 1, true, std::chrono::minutes(9)}}, {}}, Now);
  CHECK(History.verdict(Culprit, Now) == Verdict::Crashing);
  CHECK(History.retryAfter(Culprit, Now) == std::chrono::minutes(1));
}
