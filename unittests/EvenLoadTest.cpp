#include "EvenLoadChoosers.h"

#include <array>
#include <catch2/catch.hpp>
#include <cstdio>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

constexpr Milliseconds Span{14000};

/// What callers accept, in shares of all requests.
struct Bounds {
  /// A client sends a request once more; it needs that for faults.
  double NeedlesslyRefused = 0.001;
  /// Those that miss their aim in a queue while others idle. Callers miss it in
  /// two of a hundred requests at an even load, for the length of their work.
  double NeedlesslyQueued = 0.02;
  double BusiestShare = 1.5; ///< load at which queues begin, at a mean of 0.67
};

struct Play {
  const char *Name;
  limpetdrum::test::Scenario Scenario;
  Bounds Accepted;
};

std::vector<Play> plays() {
  std::vector<Play> Result;
  auto Add = [&](const char *Name, double Load) -> Play & {
    Result.push_back({Name, {}, {}});
    Result.back().Scenario.Load = Load;
    return Result.back();
  };
  Add("plain", 0.75);
  Add("high load", 0.9);
  Add("clump of demand", 0.6).Scenario.Clump = 1.5;
  Add("choices in the same tick", 0.75).Scenario.SharedTick = true;
  Add("half of the nodes get no news", 0.75).Scenario.CutOff = 0.5;
  auto &Changes = Add("a target joins cold, one ends", 0.7).Scenario;
  Changes.Cold = true;
  Changes.Ends = true;
  Add("two targets hang", 0.6).Scenario.Hangs = true;
  auto &Pace = Add("pace changes several times a second", 0.65);
  Pace.Scenario.Slowed = 0.15;
  // An instance that is slowed 2.5 times has that share before anybody knows.
  Pace.Accepted.BusiestShare = 1.6;
  return Result;
}

template <typename ChooserType, typename... Arguments>
MakeChooser maker(Arguments... Values) {
  return [=](const FailureDomain &Domain, std::uint64_t Seed) {
    return std::make_unique<ChooserType>(Values..., Domain, Seed);
  };
}

/// The choice before: the least loaded of all, with a noise of a tenth.
MakeChooser leastLoaded() {
  WeighedChooser::Parts Chosen;
  Chosen.Noise = 0.1;
  return maker<WeighedChooser>(Chosen);
}

bool holds(const CallerView &View, const Bounds &Accepted) {
  return View.share(View.NeedlesslyRefused) <= Accepted.NeedlesslyRefused &&
         View.share(View.NeedlesslyQueued) <= Accepted.NeedlesslyQueued &&
         View.BusiestShare <= Accepted.BusiestShare;
}

std::string text(const CallerView &View) {
  std::array<char, 200> Line{};
  std::snprintf(Line.data(), Line.size(),
                "in time %.3f, needlessly refused %.4f, queued %.4f, lost "
                "%.4f, busiest %.2f, between domains %.3f, mean %.0f ms",
                View.share(View.InTime), View.share(View.NeedlesslyRefused),
                View.share(View.NeedlesslyQueued), View.share(View.Lost),
                View.BusiestShare,
                static_cast<double>(View.BetweenDomains) /
                    static_cast<double>(View.Tries),
                View.MeanMs);
  return Line.data();
}

} // namespace

TEST_CASE("Even load: callers get what they accept, whatever the news") {
  for (const auto &Each : plays()) {
    auto View =
        EvenLoadFleet(Each.Scenario, maker<ProductChooser>(), 1).run(Span);
    INFO(Each.Name << ": " << text(View));
    CHECK(View.share(View.NeedlesslyRefused) <=
          Each.Accepted.NeedlesslyRefused);
    CHECK(View.share(View.NeedlesslyQueued) <= Each.Accepted.NeedlesslyQueued);
    CHECK(View.BusiestShare <= Each.Accepted.BusiestShare);
  }
}

TEST_CASE("Even load: the least loaded of all is overrun in each play") {
  for (const auto &Each : plays()) {
    auto View = EvenLoadFleet(Each.Scenario, leastLoaded(), 1).run(Span);
    INFO(Each.Name << ": " << text(View));
    CHECK_FALSE(holds(View, Each.Accepted));
  }
}

TEST_CASE("Even load: no request leaves a failure domain that has room") {
  Scenario Calm;
  Calm.Load = 0.5;
  auto View = EvenLoadFleet(Calm, maker<ProductChooser>(), 1).run(Span);
  CHECK(View.BetweenDomains == 0);
}

TEST_CASE("Even load: the same seed gives the same result") {
  auto Run = [](std::uint64_t Seed) {
    auto View = EvenLoadFleet({}, maker<ProductChooser>(), Seed)
                    .run(std::chrono::seconds(2));
    return std::make_tuple(View.Requests, View.InTime, View.MeanMs);
  };
  CHECK(Run(3) == Run(3));
  CHECK(Run(3) != Run(4));
}

TEST_CASE("Even load: the choices that were weighed", "[.figures]") {
  using Parts = WeighedChooser::Parts;
  std::vector<std::pair<const char *, MakeChooser>> Choices = {
      {"least loaded of all", leastLoaded()}};
  auto Add = [&](const char *Name, auto Set) {
    Parts Chosen;
    Set(Chosen);
    Choices.emplace_back(Name, maker<WeighedChooser>(Chosen));
  };
  Add("two at random", [](Parts &P) { P.Drawn = 2; });
  Add("three at random", [](Parts &P) { P.Drawn = 3; });
  Add("free room", [](Parts &P) { P.ByFreeRoom = true; });
  Add("correction by age", [](Parts &P) {
    P.CorrectsAge = true;
    P.Noise = 0.1;
  });
  Add("pace of the answers", [](Parts &P) {
    P.WeighsPace = true;
    P.Noise = 0.1;
  });
  Add("reservation", [](Parts &P) {
    P.Reserved = 1.0 / 16;
    P.Noise = 0.1;
  });
  Choices.emplace_back("in turn", maker<ProductChooser>());
  auto Plays = plays();
  Play Small{"targets of 5 slots", {}, {}};
  Small.Scenario.SlotsEach = 5;
  Play Mixed{"two kinds of requests, 60 slots", {}, {}};
  Mixed.Scenario.SlotsEach = 60;
  Mixed.Scenario.Load = 0.85;
  Mixed.Scenario.Short = 0.7;
  Plays.push_back(Small);
  Plays.push_back(Mixed);
  for (const auto &Each : Plays)
    for (const auto &[Name, Make] : Choices)
      WARN(Each.Name << ", " << Name << ": "
                     << text(EvenLoadFleet(Each.Scenario, Make, 1).run(Span)));
}
