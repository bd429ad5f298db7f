#include "limpetdrum/request/CallLearner.h"
#include "FakeClock.h"

#include <catch2/catch.hpp>
#include <queue>
#include <random>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

/// A target that runs two routes, of which one calls a third route, beside
/// clients that send requests for the first two.
struct Beside {
  FakeClock Clock;
  CallLearner Learner;
  std::mt19937_64 Random{3};

  double exponential(double PerSecond) {
    return std::exponential_distribution<double>(PerSecond)(this->Random);
  }

  void play(double Seconds) {
    enum class What {
      CallerBegins,
      PlainBegins,
      CallerEnds,
      PlainEnds,
      Call,
      Client
    };
    using Event = std::pair<double, What>;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;
    for (double At = 0; At < Seconds; At += this->exponential(30))
      Events.emplace(At, What::CallerBegins);
    for (double At = 0; At < Seconds; At += this->exponential(15))
      Events.emplace(At, What::PlainBegins);
    for (double At = 0; At < Seconds; At += this->exponential(8))
      Events.emplace(At, What::Client);
    double Now = 0;
    double Reported = 0;
    while (!Events.empty()) {
      auto [At, Kind] = Events.top();
      Events.pop();
      this->Clock.advance(
          Microseconds(static_cast<std::int64_t>((At - Now) * 1e6)));
      Now = At;
      auto Time = this->Clock.now();
      switch (Kind) {
      case What::CallerBegins:
        this->Learner.onRunBegin("caller", Time);
        Events.emplace(At + 0.05, What::Call);
        Events.emplace(At + 0.10, What::Call);
        Events.emplace(At + 0.15, What::CallerEnds);
        break;
      case What::PlainBegins:
        this->Learner.onRunBegin("plain", Time);
        Events.emplace(At + 0.1, What::PlainEnds);
        break;
      case What::CallerEnds:
        this->Learner.onRunEnd("caller", true, Time);
        break;
      case What::PlainEnds:
        this->Learner.onRunEnd("plain", true, Time);
        break;
      case What::Call:
        this->Learner.onRequest("called", Time);
        break;
      case What::Client:
        this->Learner.onRequest("caller", Time);
        break;
      }
      if (Now - Reported > 1 && !Events.empty()) {
        Reported = Now;
        (void)this->Learner.report(Time);
      }
    }
  }

  RouteUsage use(const std::string &Route) {
    for (const auto &Use : this->Learner.report(this->Clock.now()))
      if (Use.Route == Route)
        return Use;
    return {};
  }
};

double callsOf(const RouteUsage &Use, const std::string &Callee) {
  for (const auto &Call : Use.Calls)
    if (Call.Route == Callee)
      return Call.PerRun;
  return 0;
}

} // namespace

TEST_CASE("CallLearner ascribes calls to the route that makes them") {
  Beside Node;
  Node.play(30);
  auto Caller = Node.use("caller");
  CHECK(callsOf(Caller, "called") == Approx(2).epsilon(0.25));
  CHECK(callsOf(Node.use("plain"), "called") < 0.5);
  CHECK(Node.use("caller").Arrivals == Approx(8).epsilon(0.5));
}

TEST_CASE("CallLearner ascribes nothing where nothing runs") {
  FakeClock Clock;
  CallLearner Learner;
  for (int I = 0; I < 20; ++I) {
    Clock.advance(Milliseconds(100));
    Learner.onRequest("browse", Clock.now());
  }
  auto Uses = Learner.report(Clock.now());
  REQUIRE(Uses.size() == 1);
  CHECK(Uses.front().Calls.empty());
  CHECK(Uses.front().Arrivals > 5);
}

TEST_CASE("CallLearner keeps what whole runs call while runs fail") {
  FakeClock Clock;
  CallLearner Learner;
  double PerRun = 0;
  auto Play = [&](int Runs, int Calls, bool Served) {
    for (int I = 0; I < Runs; ++I) {
      Learner.onRunBegin("caller", Clock.now());
      for (int C = 0; C < Calls; ++C) {
        Clock.advance(Milliseconds(5));
        Learner.onRequest("called", Clock.now());
      }
      Clock.advance(Milliseconds(5));
      Learner.onRunEnd("caller", Served, Clock.now());
      Clock.advance(Milliseconds(20));
      if (I % 20 == 0)
        for (const auto &Use : Learner.report(Clock.now()))
          if (Use.Route == "caller")
            PerRun = callsOf(Use, "called");
    }
  };
  Play(200, 5, true);
  auto Whole = PerRun;
  CHECK(Whole == Approx(5).epsilon(0.3));
  Play(400, 1, false);
  CHECK(PerRun >= Whole);
  Play(600, 2, true);
  CHECK(PerRun == Approx(2).epsilon(0.3));
}

TEST_CASE("CallLearner takes the parent of a call where it is known") {
  // Two routes run side by side all the time; only one of them calls.
  FakeClock Clock;
  CallLearner Learner;
  for (int I = 0; I < 200; ++I) {
    Learner.onRunBegin("caller", Clock.now());
    Learner.onRunBegin("plain", Clock.now());
    for (int C = 0; C < 3; ++C) {
      Clock.advance(Milliseconds(5));
      Learner.onRequest("called", Clock.now(), "caller");
    }
    Learner.onRunEnd("caller", true, Clock.now());
    Learner.onRunEnd("plain", true, Clock.now());
  }
  for (const auto &Use : Learner.report(Clock.now())) {
    if (Use.Route == "caller")
      CHECK(callsOf(Use, "called") == Approx(3).epsilon(0.01));
    if (Use.Route == "plain")
      CHECK(callsOf(Use, "called") == 0);
  }
}
