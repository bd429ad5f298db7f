#include "limpetdrum/request/LevelNotifier.h"
#include "FakeClock.h"
#include "limpetdrum/request/Position.h"

#include <catch2/catch.hpp>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

/// A node whose one level the test sets, and a caller that watches it.
struct Watched {
  FakeClock Clock;
  LevelNotifier Board;
  float Level = MaxRanks;
  bool Waits = true;
  std::vector<float> Heard;
  std::uint64_t Seen = 0;

  void watch() {
    auto Hear = [this](const LevelNotice &News) {
      this->Seen = News.Number;
      this->Heard.push_back(News.Levels.front().Threshold);
    };
    CHECK(
        this->Board.watch(this->Seen, Hear, [this]() { return this->Waits; }));
  }
  void tick(Milliseconds Passed) {
    this->Clock.advance(Passed);
    this->Board.tick(
        [this]() {
          return std::vector<LevelReport>{
              {ServiceName("planning"), this->Level}};
        },
        this->Clock.now());
  }
};

} // namespace

TEST_CASE("LevelNotifier tells of a fallen level at the next tick", "[level]") {
  Watched W;
  W.watch();
  W.tick(Milliseconds(10));
  CHECK(W.Heard.empty());
  W.Level = 0.5F;
  W.tick(Milliseconds(10));
  CHECK(W.Heard == std::vector<float>{0.5F});
}

TEST_CASE("LevelNotifier gives a late watch what it has missed", "[level]") {
  Watched W;
  W.watch();
  W.Level = 0.5F;
  W.tick(Milliseconds(10));
  W.Seen = 0;
  W.watch();
  CHECK(W.Heard == std::vector<float>{0.5F, 0.5F});
  W.watch();
  CHECK(W.Heard.size() == 2);
  CHECK(W.Board.watchers() == 1);
}

TEST_CASE("LevelNotifier is silent about small moves", "[level]") {
  Watched W;
  W.watch();
  W.Level = MaxRanks * 0.95F;
  W.tick(Milliseconds(100));
  CHECK(W.Heard.empty());
}

TEST_CASE("LevelNotifier spends less a watcher the more watch", "[level]") {
  Watched W;
  std::size_t Notices = 0;
  auto Yes = []() { return true; };
  std::function<void(const LevelNotice &)> Again =
      [&](const LevelNotice &News) {
        ++Notices;
        static_cast<void>(W.Board.watch(News.Number, Again, Yes));
      };
  constexpr std::size_t Callers = 200;
  for (std::size_t I = 0; I < Callers; ++I)
    static_cast<void>(W.Board.watch(0, Again, Yes));
  for (int I = 0; I < 100; ++I) {
    W.Level = I % 2 == 0 ? 0.5F : 2.0F;
    W.tick(Milliseconds(10));
  }
  // A thousand a second at the most, and one round.
  CHECK(Notices <= 1000 + Callers);
  CHECK(Notices >= Callers);
}

TEST_CASE("LevelNotifier forgets callers that have hung up", "[level]") {
  Watched W;
  // Many more than may watch at a time, all of them gone again.
  for (int I = 0; I < 10000; ++I) {
    W.Waits = true;
    W.watch();
    W.Waits = false;
    W.Board.sweep();
  }
  CHECK(W.Board.watchers() == 0);
  W.Waits = true;
  W.watch();
  W.Board.sweep();
  CHECK(W.Board.watchers() == 1);
}
