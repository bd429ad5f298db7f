#include "FakeClock.h"
#include "limpetdrum/request/AdmissionLevel.h"
#include "limpetdrum/request/LevelTable.h"
#include "limpetdrum/request/RetryAfter.h"

#include <catch2/catch.hpp>
#include <random>
#include <set>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

/// Simulated service that is offered requests of two classes. Its callers send
/// only those below the level; it refuses what exceeds its capacity.
struct Surge {
  FakeClock Clock;
  AdmissionLevel Level;
  std::mt19937_64 Random{1};

  /// \param Offered rate of requests, per second.
  /// \param Capacity rate of requests that can be served, per second.
  /// \returns the rate of requests below the level, in requests per second.
  double run(Milliseconds Span, double Offered, double Capacity) {
    double Passed = 0;
    double Credit = 0;
    for (Milliseconds T{0}; T < Span; T += Milliseconds(10)) {
      Credit = std::min(Credit + Capacity / 100, Capacity / 20);
      double Sent = 0;
      for (int I = 0; I < static_cast<int>(Offered / 100); ++I) {
        float Position =
            std::uniform_real_distribution<float>(0, 2)(this->Random);
        if (Position >= this->Level.threshold())
          continue;
        ++Passed;
        ++Sent;
        this->Level.onArrival(Position);
        if (Sent > Credit)
          this->Level.onRefused(Position);
      }
      double Idle = std::max(0.0, 1 - Sent / (Capacity / 100));
      Credit = std::max(0.0, Credit - Sent);
      this->Level.tick({Idle, Sent > Capacity / 100 ? 0.7 : 0.1}, 2,
                       this->Clock.now());
      this->Clock.advance(Milliseconds(10));
    }
    return Passed * 1000 / static_cast<double>(Span.count());
  }
};

} // namespace

TEST_CASE("AdmissionLevel settles near the capacity", "[level]") {
  Surge S;
  S.run(Milliseconds(1000), 2000, 400);
  auto Passed = S.run(Milliseconds(3000), 2000, 400);
  INFO("passed " << Passed);
  CHECK(Passed >= 400 * 0.8);
  CHECK(Passed <= 400 * 1.2);
  CHECK(S.Level.threshold() < 1);
}

TEST_CASE("AdmissionLevel recovers within 2 seconds after a surge", "[level]") {
  Surge S;
  S.run(Milliseconds(3000), 4000, 400);
  CHECK(S.Level.threshold() < 0.5F);
  S.run(Milliseconds(2000), 200, 400);
  CHECK(S.Level.threshold() >= 1.9F);
}

TEST_CASE("LevelTable averages fresh reports", "[level]") {
  FakeClock Clock;
  LevelTable Table;
  ServiceName Planning("planning");
  CHECK(Table.threshold(Planning, Clock.now()) == MaxRanks);
  Table.record(NodeId("a"), {Planning, 0.2F}, Clock.now());
  Table.record(NodeId("b"), {Planning, 0.4F}, Clock.now());
  CHECK(Table.threshold(Planning, Clock.now()) == Approx(0.3F));
  CHECK(Table.threshold({ServiceName("other"), Planning}, Clock.now()) ==
        Approx(0.3F));
}

TEST_CASE("LevelTable raises the threshold of a service without fresh reports",
          "[level]") {
  FakeClock Clock;
  LevelTable Table;
  ServiceName Planning("planning");
  Table.record(NodeId("a"), {Planning, 0.02F}, Clock.now());
  Clock.advance(std::chrono::seconds(3));
  CHECK(Table.threshold(Planning, Clock.now()) > 2);
}

TEST_CASE("RetryAfter grows with the overload and is randomized", "[level]") {
  RetryAfter Delays(1);
  double Near = 0;
  double Far = 0;
  std::set<std::int64_t> Values;
  for (int I = 0; I < 200; ++I) {
    Near += static_cast<double>(Delays.next(0.9F, 1.0F).count());
    Far += static_cast<double>(Delays.next(0.1F, 2.5F).count());
    Values.insert(Delays.next(0.5F, 1.0F).count());
  }
  CHECK(Far > 2 * Near);
  CHECK(Values.size() > 100);
}
