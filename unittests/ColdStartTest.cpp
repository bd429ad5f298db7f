#include "FakeClock.h"
#include "limpetdrum/request/Admission.h"
#include "limpetdrum/request/Position.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

constexpr std::uint16_t SlotCount = 20;
constexpr Milliseconds WarmTime{50};
constexpr Milliseconds ColdTime{100};
constexpr Milliseconds WarmUp{3000};
/// Nine tenths of what the target serves while it is cold.
constexpr double RequestsPerSecond = 180;
constexpr Milliseconds WaitLimit{150};

/// A target that has just started, alone or with all others of its service, so
/// that callers have no other: its runs take twice as long while it is cold.
class ColdTarget {
public:
  explicit ColdTarget(std::uint64_t Seed)
      : Random(Seed), Queue(Slots(SlotCount), {}, Seed) {
    this->Queue.announce(Slots(SlotCount), WarmUp, this->Clock.now());
    this->Started = this->Clock.now();
  }

  /// \returns the share of the requests that is served.
  double run(Milliseconds Length) {
    auto End = this->Clock.now() + Length;
    std::poisson_distribution<int> Arrivals(RequestsPerSecond / 1000);
    while (this->Clock.now() < End) {
      this->Clock.advance(Milliseconds(1));
      for (int Left = Arrivals(this->Random); Left > 0; --Left)
        this->arrive();
      while (!this->Completions.empty() &&
             this->Completions.begin()->first <= this->Clock.now()) {
        auto Id = this->Completions.begin()->second;
        this->Completions.erase(this->Completions.begin());
        ++this->Served;
        this->apply(
            this->Queue.complete(Id, Completion::Served, this->Clock.now()));
      }
      this->apply(this->Queue.tick(MaxRanks, this->Clock.now()));
    }
    auto Ended = this->Served + this->Refused;
    return static_cast<double>(this->Served) / Ended;
  }

  [[nodiscard]] std::size_t limit() const { return this->Queue.limit(); }

private:
  void arrive() {
    Arrival Request;
    Request.Id = attempt(++this->LastId);
    Request.Deadline = this->Clock.now() + std::chrono::seconds(1);
    Request.LatestStart = this->Clock.now() + WaitLimit;
    this->apply(this->Queue.submit(Request, this->Clock.now()));
  }
  void apply(const AdmissionDecisions &Decisions) {
    auto Time =
        this->Clock.now() < this->Started + WarmUp ? ColdTime : WarmTime;
    for (const auto &Id : Decisions.Dispatch)
      this->Completions.emplace(this->Clock.now() + Time, Id);
    this->Refused += static_cast<int>(Decisions.Refuse.size());
  }

  FakeClock Clock;
  TimePoint Started;
  std::mt19937_64 Random;
  Admission Queue;
  std::multimap<TimePoint, AttemptId> Completions;
  std::uint64_t LastId = 0;
  int Served = 0;
  int Refused = 0;
};

} // namespace

// Guards against a recovery that waits for the targets: after a loss of power
// all of them are cold, and slots that are held back serve nobody.
TEST_CASE("Admission lets a cold target serve what it can") {
  for (std::uint64_t Seed = 1; Seed <= 8; ++Seed) {
    INFO("seed " << Seed);
    ColdTarget Target(Seed);
    CHECK(Target.run(WarmUp) > 0.95);
  }
}

// Runs get faster while the target warms up, whatever the limit is, so a trial
// then would prove nothing.
TEST_CASE("Admission does not try other limits during a warm-up") {
  ColdTarget Target(1);
  for (int Step = 0; Step < 30; ++Step) {
    (void)Target.run(Milliseconds(100));
    CHECK(Target.limit() == SlotCount);
  }
}
