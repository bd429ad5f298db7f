#include "limpetdrum/request/CrashHistory.h"
#include "FakeClock.h"
#include "limpetdrum/request/SuspectTrials.h"

#include <algorithm>
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

/// Nodes that pass on to each other what is new to them, as duty holders do.
struct RelayingNodes {
  static constexpr Milliseconds Hop{3};

  FakeClock Clock;
  std::array<CrashHistory, 6> Nodes;
  /// Per node, the news that is on its way to it.
  std::array<std::vector<CrashNews>, 6> Inboxes;

  void send(std::size_t From, const CrashNews &News) {
    for (std::size_t To = 0; To < this->Nodes.size(); ++To)
      if (To != From && !News.empty())
        this->Inboxes.at(To).push_back(News);
  }
  void crash(std::size_t At, const CrashNews &News) {
    this->send(At, this->Nodes.at(At).merge(News, this->Clock.now()));
  }
  /// Delivers news until none is left, or more than \p Limit reports were
  /// sent.
  /// \returns the number of reports sent.
  std::size_t deliverAll(std::size_t Limit) {
    std::size_t Sent = 0;
    while (!this->isQuiet() && Sent <= Limit) {
      this->Clock.advance(Hop);
      auto Arriving = std::exchange(this->Inboxes, {});
      for (std::size_t To = 0; To < this->Nodes.size(); ++To)
        for (const auto &News : Arriving.at(To)) {
          Sent += News.Reports.size();
          this->send(To, this->Nodes.at(To).merge(News, this->Clock.now()));
        }
    }
    return Sent;
  }
  [[nodiscard]] bool isQuiet() const {
    return std::all_of(this->Inboxes.begin(), this->Inboxes.end(),
                       [](const auto &Inbox) { return Inbox.empty(); });
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

TEST_CASE(
    "CrashHistory ends the relay of a request that crashed many targets") {
  RelayingNodes Fleet;
  constexpr std::uint64_t Crashes = 12;
  for (std::uint64_t Target = 0; Target < Crashes; ++Target)
    Fleet.crash(Target % Fleet.Nodes.size(),
                {{{Culprit, Target, Target > 2, Milliseconds(0)}}, {}});
  // Each node passes on each report at most once.
  auto Nodes = Fleet.Nodes.size();
  auto Limit = Crashes * Nodes * (Nodes - 1);
  CHECK(Fleet.deliverAll(Limit) <= Limit);
  CHECK(Fleet.isQuiet());
  for (const auto &Node : Fleet.Nodes)
    CHECK(Node.verdict(Culprit, Fleet.Clock.now()) == Verdict::Crashing);
}

TEST_CASE("CrashHistory ends the relay of more requests than it remembers") {
  RelayingNodes Fleet;
  constexpr std::uint64_t RequestsPerCrash = 1000;
  constexpr std::uint64_t Crashes = 12;
  for (std::uint64_t Target = 0; Target < Crashes; ++Target) {
    CrashNews News;
    for (std::uint64_t I = 0; I < RequestsPerCrash; ++I)
      News.Reports.push_back({RequestFingerprint(Target * 10000 + I), Target,
                              false, Milliseconds(0)});
    Fleet.crash(Target % Fleet.Nodes.size(), News);
  }
  auto Nodes = Fleet.Nodes.size();
  auto Limit = Crashes * RequestsPerCrash * Nodes * (Nodes - 1);
  CHECK(Fleet.deliverAll(Limit) <= Limit);
  CHECK(Fleet.isQuiet());
  for (const auto &Node : Fleet.Nodes)
    CHECK(Node.size() <= 4096);
}

TEST_CASE("CrashHistory makes room for the crashes of the present") {
  HistoryFixture Fixture;
  for (std::uint64_t I = 0; I < 5000; ++I)
    Fixture.report(1, false, RequestFingerprint(100 + I));
  Fixture.Clock.advance(std::chrono::seconds(3));
  Fixture.report(2);
  Fixture.report(3);
  CHECK(Fixture.verdict() == Verdict::Suspect);
}

TEST_CASE(
    "CrashHistory tells a restarted node little enough for all its links") {
  HistoryFixture Fixture;
  for (std::uint64_t I = 0; I < 4000; ++I)
    for (std::uint64_t Target : {1, 2, 3, 4})
      Fixture.report(Target, false, RequestFingerprint(100 + I));
  Fixture.report(1, true);
  auto Now = Fixture.Clock.now();
  auto Told = Fixture.History.known(Now);
  CHECK(Told.Reports.size() <= 2 * 1024);
  CrashHistory Restarted;
  (void)Restarted.merge(Told, Now);
  CHECK(Restarted.verdict(Culprit, Now) == Verdict::Crashing);
  CHECK(Restarted.size() == 1024);
  for (const auto &Report : Told.Reports)
    CHECK(Restarted.verdict(Report.Request, Now) != Verdict::None);
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
