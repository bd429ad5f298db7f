#include "limpetdrum/request/AttemptLedger.h"
#include "FakeClock.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

using Verdict = AttemptLedger::Verdict;

std::shared_ptr<const Reply> answered() {
  Reply R;
  R.Outcome = Outcome::Answered;
  return std::make_shared<const Reply>(R);
}

} // namespace

TEST_CASE("AttemptLedger attaches a repeated arrival to the first copy",
          "[ledger]") {
  FakeClock Clock;
  AttemptLedger Ledger(std::chrono::seconds(10));
  CHECK(Ledger.onArrival(attempt(1), Clock.now()).Verdict == Verdict::Fresh);
  CHECK(Ledger.onArrival(attempt(1), Clock.now()).Verdict == Verdict::Pending);
  Ledger.dispatch(attempt(1));
  CHECK(Ledger.onArrival(attempt(1), Clock.now()).Verdict == Verdict::Pending);
  Ledger.finish(attempt(1), answered(), Clock.now());
  auto Result = Ledger.onArrival(attempt(1), Clock.now());
  CHECK(Result.Verdict == Verdict::Replay);
  CHECK(Result.Reply->Outcome == Outcome::Answered);
}

TEST_CASE("AttemptLedger revokes an attempt only before its dispatch",
          "[ledger]") {
  FakeClock Clock;
  AttemptLedger Ledger(std::chrono::seconds(10));
  static_cast<void>(Ledger.onArrival(attempt(1), Clock.now()));
  Ledger.dispatch(attempt(1));
  CHECK_FALSE(Ledger.revoke(attempt(1), Clock.now()));
  static_cast<void>(Ledger.onArrival(attempt(2), Clock.now()));
  CHECK(Ledger.revoke(attempt(2), Clock.now()));
}

TEST_CASE("AttemptLedger keeps a tombstone for an attempt revoked before its "
          "arrival",
          "[ledger]") {
  FakeClock Clock;
  AttemptLedger Ledger(std::chrono::seconds(10));
  CHECK(Ledger.revoke(attempt(5), Clock.now()));
  // A delayed copy arrives after the attempt was reported as not run.
  CHECK(Ledger.onArrival(attempt(5), Clock.now()).Verdict == Verdict::Replay);
}

TEST_CASE("AttemptLedger rejects a late copy of an expired attempt",
          "[ledger]") {
  FakeClock Clock;
  AttemptLedger Ledger(std::chrono::seconds(10));
  CHECK(Ledger.revoke(attempt(5), Clock.now()));
  Clock.advance(std::chrono::hours(2));
  CHECK(Ledger.onArrival(attempt(5), Clock.now()).Verdict == Verdict::Stale);
  CHECK(Ledger.size() == 0);
  CHECK(Ledger.onArrival(attempt(6), Clock.now()).Verdict == Verdict::Fresh);
  CHECK(Ledger.onArrival(attempt(5, 8), Clock.now()).Verdict == Verdict::Fresh);
}

TEST_CASE("AttemptLedger never runs an attempt twice or after a not-run",
          "[ledger][property]") {
  for (std::uint64_t Seed = 1; Seed <= 100; ++Seed) {
    std::mt19937_64 Random(Seed);
    FakeClock Clock;
    AttemptLedger Ledger(std::chrono::seconds(10));
    std::map<AttemptId, int> Runs;
    std::map<AttemptId, bool> ReportedNotRun;
    std::uint64_t Newest = 1;
    for (int Step = 0; Step < 2000; ++Step) {
      // Mostly recent attempts, sometimes a very late copy.
      auto Offset = Random() % 10 == 0 ? Random() % Newest : Random() % 3;
      auto Id = attempt(Newest - std::min(Newest - 1, Offset));
      switch (Random() % 5) {
      case 0:
        ++Newest;
        break;
      case 1:
        if (Ledger.onArrival(Id, Clock.now()).Verdict == Verdict::Fresh)
          break;
        if (Ledger.isQueued(Id)) {
          Ledger.dispatch(Id);
          ++Runs[Id];
        }
        break;
      case 2:
        if (Ledger.isRunning(Id))
          Ledger.finish(Id, answered(), Clock.now());
        break;
      case 3:
        if (Ledger.revoke(Id, Clock.now()))
          ReportedNotRun[Id] = true;
        break;
      default:
        Clock.advance(Milliseconds(Random() % 3000));
      }
    }
    INFO("seed " << Seed);
    for (const auto &[Id, Count] : Runs) {
      REQUIRE(Count <= 1);
      REQUIRE(ReportedNotRun.count(Id) == 0);
    }
  }
}
