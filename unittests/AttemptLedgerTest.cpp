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

TEST_CASE("AttemptLedger attaches a second arrival to the first", "[ledger]") {
  FakeClock Clock;
  AttemptLedger Ledger(std::chrono::seconds(10));
  CHECK(Ledger.onArrival(attempt(1), Clock.now()).Verdict == Verdict::Fresh);
  CHECK(Ledger.onArrival(attempt(1), Clock.now()).Verdict == Verdict::Pending);
  Ledger.dispatch(attempt(1));
  CHECK(Ledger.onArrival(attempt(1), Clock.now()).Verdict == Verdict::Pending);
  Ledger.finish(attempt(1), answered(), Clock.now());
  auto Seen = Ledger.onArrival(attempt(1), Clock.now());
  CHECK(Seen.Verdict == Verdict::Replay);
  CHECK(Seen.Reply->Outcome == Outcome::Answered);
}

TEST_CASE("AttemptLedger proves not run only before dispatch", "[ledger]") {
  FakeClock Clock;
  AttemptLedger Ledger(std::chrono::seconds(10));
  static_cast<void>(Ledger.onArrival(attempt(1), Clock.now()));
  Ledger.dispatch(attempt(1));
  CHECK_FALSE(Ledger.revoke(attempt(1), Clock.now()));
  static_cast<void>(Ledger.onArrival(attempt(2), Clock.now()));
  CHECK(Ledger.revoke(attempt(2), Clock.now()));
}

TEST_CASE("AttemptLedger keeps a tombstone for what it has not seen",
          "[ledger]") {
  FakeClock Clock;
  AttemptLedger Ledger(std::chrono::seconds(10));
  CHECK(Ledger.revoke(attempt(5), Clock.now()));
  // The copy that was delayed arrives after the proof.
  CHECK(Ledger.onArrival(attempt(5), Clock.now()).Verdict == Verdict::Replay);
}

TEST_CASE("AttemptLedger refuses a late copy of what it has forgotten",
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

TEST_CASE("AttemptLedger runs no attempt twice, nor after a not-run",
          "[ledger][property]") {
  for (std::uint64_t Seed = 1; Seed <= 100; ++Seed) {
    std::mt19937_64 Random(Seed);
    FakeClock Clock;
    AttemptLedger Ledger(std::chrono::seconds(10));
    std::map<AttemptId, int> Runs;
    std::map<AttemptId, bool> SaidNotRun;
    std::uint64_t Newest = 1;
    for (int Step = 0; Step < 2000; ++Step) {
      // Mostly recent attempts, at times a very late copy.
      auto Back = Random() % 10 == 0 ? Random() % Newest : Random() % 3;
      auto Id = attempt(Newest - std::min(Newest - 1, Back));
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
          SaidNotRun[Id] = true;
        break;
      default:
        Clock.advance(Milliseconds(Random() % 3000));
      }
    }
    INFO("seed " << Seed);
    for (const auto &[Id, Count] : Runs) {
      REQUIRE(Count <= 1);
      REQUIRE(SaidNotRun.count(Id) == 0);
    }
  }
}
