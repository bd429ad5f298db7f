#include "limpetdrum/request/ConcurrencyLimit.h"
#include "FakeClock.h"

#include <catch2/catch.hpp>
#include <queue>
#include <random>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

/// Simulated target that queues requests beyond its slots, kept busy up to the
/// limit.
class Target {
public:
  Target(unsigned Slots, unsigned Announced)
      : Limit(limpetdrum::Slots(static_cast<std::uint16_t>(Announced))),
        FreeAt(Slots, Clock.now()) {
    this->Limit.announce(
        limpetdrum::Slots(static_cast<std::uint16_t>(Announced)),
        Milliseconds(0), this->Clock.now());
  }

  /// \returns the mean limit over \p Span.
  double run(Milliseconds Span, Milliseconds ServiceTime) {
    double Sum = 0;
    int Samples = 0;
    auto End = this->Clock.now() + Span;
    while (this->Clock.now() < End) {
      while (this->Open.size() < this->Limit.limit())
        this->begin(ServiceTime);
      this->Clock.advance(Milliseconds(1));
      while (!this->Open.empty() &&
             this->Open.top().first <= this->Clock.now()) {
        auto Start = this->Open.top().second;
        bool Full = this->Open.size() >= this->Limit.limit();
        this->Open.pop();
        this->Limit.onCompletion(this->Clock.now() - Start, false, Full,
                                 this->Clock.now());
      }
      Sum += static_cast<double>(this->Limit.limit());
      ++Samples;
    }
    return Sum / Samples;
  }

  FakeClock Clock;
  ConcurrencyLimit Limit;

private:
  using Request = std::pair<TimePoint, TimePoint>; ///< end, start

  void begin(Milliseconds ServiceTime) {
    auto Slot = std::min_element(this->FreeAt.begin(), this->FreeAt.end());
    std::uniform_real_distribution<double> Spread(0.5, 1.5);
    auto Duration = Microseconds(
        static_cast<std::int64_t>(static_cast<double>(ServiceTime.count()) *
                                  1000 * Spread(this->Random)));
    *Slot = std::max(*Slot, this->Clock.now()) + Duration;
    this->Open.push({*Slot, this->Clock.now()});
  }

  std::vector<TimePoint> FreeAt;
  std::priority_queue<Request, std::vector<Request>, std::greater<>> Open;
  std::mt19937_64 Random{1};
};

} // namespace

TEST_CASE("ConcurrencyLimit keeps its slots when the target slows down",
          "[limit]") {
  for (unsigned Slots : {5U, 27U}) {
    Target T(Slots, Slots);
    T.run(Milliseconds(3000), Milliseconds(50));
    auto Mean = T.run(Milliseconds(20000), Milliseconds(150));
    INFO(Slots << " slots, mean limit " << Mean);
    CHECK(Mean >= 0.95 * Slots);
    CHECK(Mean <= 1.3 * Slots);
  }
}

TEST_CASE("ConcurrencyLimit falls when too many slots were announced",
          "[limit]") {
  Target T(20, 80);
  T.run(Milliseconds(120000), Milliseconds(50));
  auto Limit = T.Limit.limit();
  INFO("limit " << Limit);
  CHECK(Limit <= 40);
  CHECK(Limit >= 18);
}

TEST_CASE("ConcurrencyLimit rises when too few slots were announced",
          "[limit]") {
  Target T(40, 10);
  T.run(Milliseconds(120000), Milliseconds(50));
  CHECK(T.Limit.limit() >= 20);
}

TEST_CASE("ConcurrencyLimit falls when the target sheds", "[limit]") {
  FakeClock Clock;
  ConcurrencyLimit L(Slots(100));
  L.announce(Slots(100), Milliseconds(0), Clock.now());
  for (int I = 0; I < 5; ++I) {
    Clock.advance(Milliseconds(1100));
    L.onCompletion(Milliseconds(10), true, true, Clock.now());
  }
  CHECK(L.limit() < 65);
}

TEST_CASE("ConcurrencyLimit keeps the announced slots during a warm-up",
          "[limit]") {
  FakeClock Clock;
  ConcurrencyLimit L(Slots(100));
  L.announce(Slots(100), Milliseconds(3000), Clock.now());
  // Runs get faster as the target warms up; each window is fully used.
  for (int I = 0; I < 300; ++I) {
    CHECK(L.limit() == 100);
    L.onCompletion(Milliseconds(200 - I / 3), false, true, Clock.now());
    Clock.advance(Milliseconds(10));
  }
  // Shedding lowers the limit all the same.
  L.onCompletion(Milliseconds(10), true, true, Clock.now());
  CHECK(L.limit() < 100);
}

// Guards against a slow phase of the instance that looks like queueing in the
// target: the limit would fall when it is needed most.
TEST_CASE("ConcurrencyLimit is not lowered by the pace that a target states",
          "[limit]") {
  auto Lowest = [](bool States) {
    FakeClock Clock;
    ConcurrencyLimit L(Slots(40));
    L.announce(Slots(40), Milliseconds(0), Clock.now());
    std::mt19937_64 Random(1);
    std::size_t Result = 40;
    bool IsSlow = false;
    for (int I = 0; I < 30000; ++I) {
      if (I % 60 == 0)
        IsSlow = Random() % 4 == 0;
      Clock.advance(Milliseconds(10));
      L.onCompletion(Milliseconds(IsSlow ? 250 : 100), false, true, Clock.now(),
                     States && IsSlow ? 2.5 : 1);
      Result = std::min(Result, L.limit());
    }
    return Result;
  };
  CHECK(Lowest(true) == 40);
  CHECK(Lowest(false) < 40);
}
