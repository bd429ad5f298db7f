#include "limpetdrum/request/LevelNotifier.h"
#include "FakeClock.h"
#include "limpetdrum/request/Position.h"

#include <catch2/catch.hpp>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

/// A node with one level, set by the test, and a caller that watches it.
struct Watched {
  FakeClock Clock;
  LevelNotifier Notifier;
  float Level = MaxRanks;
  bool Connected = true;
  std::vector<float> Received;
  std::uint64_t LastSeen = 0;

  void watch() {
    auto OnNotice = [this](const LevelNotice &Notice) {
      this->LastSeen = Notice.Number;
      this->Received.push_back(Notice.Levels.front().Threshold);
    };
    CHECK(this->Notifier.watch(this->LastSeen, OnNotice,
                               [this]() { return this->Connected; }));
  }
  void tick(Milliseconds Passed) {
    this->Clock.advance(Passed);
    this->Notifier.tick(
        [this]() {
          return std::vector<LevelReport>{
              {ServiceName("planning"), this->Level}};
        },
        this->Clock.now());
  }
};

} // namespace

TEST_CASE("LevelNotifier sends a lowered level at the next tick", "[level]") {
  Watched W;
  W.watch();
  W.tick(Milliseconds(10));
  CHECK(W.Received.empty());
  W.Level = 0.5F;
  W.tick(Milliseconds(10));
  CHECK(W.Received == std::vector<float>{0.5F});
}

TEST_CASE("LevelNotifier sends a missed notice to a new watch at once",
          "[level]") {
  Watched W;
  W.watch();
  W.Level = 0.5F;
  W.tick(Milliseconds(10));
  W.LastSeen = 0;
  W.watch();
  CHECK(W.Received == std::vector<float>{0.5F, 0.5F});
  W.watch();
  CHECK(W.Received.size() == 2);
  CHECK(W.Notifier.watchers() == 1);
}

TEST_CASE("LevelNotifier sends no notice for a small change", "[level]") {
  Watched W;
  W.watch();
  W.Level = MaxRanks * 0.95F;
  W.tick(Milliseconds(100));
  CHECK(W.Received.empty());
}

TEST_CASE("LevelNotifier bounds the rate of notices for many watchers",
          "[level]") {
  Watched W;
  std::size_t Notices = 0;
  auto IsConnected = []() { return true; };
  std::function<void(const LevelNotice &)> Again =
      [&](const LevelNotice &Notice) {
        ++Notices;
        static_cast<void>(W.Notifier.watch(Notice.Number, Again, IsConnected));
      };
  constexpr std::size_t Callers = 200;
  for (std::size_t I = 0; I < Callers; ++I)
    static_cast<void>(W.Notifier.watch(0, Again, IsConnected));
  for (int I = 0; I < 100; ++I) {
    W.Level = I % 2 == 0 ? 0.5F : 2.0F;
    W.tick(Milliseconds(10));
  }
  // At most 1000 notices per second, plus one round.
  CHECK(Notices <= 1000 + Callers);
  CHECK(Notices >= Callers);
}

TEST_CASE("LevelNotifier removes watches of disconnected callers", "[level]") {
  Watched W;
  // More callers than may watch at a time, each disconnected again.
  for (int I = 0; I < 10000; ++I) {
    W.Connected = true;
    W.watch();
    W.Connected = false;
    W.Notifier.sweep();
  }
  CHECK(W.Notifier.watchers() == 0);
  W.Connected = true;
  W.watch();
  W.Notifier.sweep();
  CHECK(W.Notifier.watchers() == 1);
}
