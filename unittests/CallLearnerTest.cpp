#include "limpetdrum/request/CallLearner.h"
#include "FakeClock.h"

#include <catch2/catch.hpp>
#include <queue>
#include <random>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

/// Simulated node: its target runs the routes "caller" and "plain", of which
/// the first makes two calls of a third one per run. Clients of the node send
/// requests of "caller".
struct SimulatedNode {
  FakeClock Clock;
  CallLearner Learner;
  std::mt19937_64 Random{3};

  double exponential(double PerSecond) {
    return std::exponential_distribution<double>(PerSecond)(this->Random);
  }

  void run(double Seconds) {
    enum class EventKind {
      CallerBegins,
      PlainBegins,
      CallerEnds,
      PlainEnds,
      Call,
      Client
    };
    using Event = std::pair<double, EventKind>;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;
    for (double At = 0; At < Seconds; At += this->exponential(30))
      Events.emplace(At, EventKind::CallerBegins);
    for (double At = 0; At < Seconds; At += this->exponential(15))
      Events.emplace(At, EventKind::PlainBegins);
    for (double At = 0; At < Seconds; At += this->exponential(8))
      Events.emplace(At, EventKind::Client);
    double Now = 0;
    double LastReport = 0;
    while (!Events.empty()) {
      auto [At, Kind] = Events.top();
      Events.pop();
      this->Clock.advance(
          Microseconds(static_cast<std::int64_t>((At - Now) * 1e6)));
      Now = At;
      auto Time = this->Clock.now();
      switch (Kind) {
      case EventKind::CallerBegins:
        this->Learner.onRunBegin("caller", Time);
        Events.emplace(At + 0.05, EventKind::Call);
        Events.emplace(At + 0.10, EventKind::Call);
        Events.emplace(At + 0.15, EventKind::CallerEnds);
        break;
      case EventKind::PlainBegins:
        this->Learner.onRunBegin("plain", Time);
        Events.emplace(At + 0.1, EventKind::PlainEnds);
        break;
      case EventKind::CallerEnds:
        this->Learner.onRunEnd("caller", true, Time);
        break;
      case EventKind::PlainEnds:
        this->Learner.onRunEnd("plain", true, Time);
        break;
      case EventKind::Call:
        this->Learner.onRequest("called", Time);
        break;
      case EventKind::Client:
        this->Learner.onRequest("caller", Time);
        break;
      }
      if (Now - LastReport > 1 && !Events.empty()) {
        LastReport = Now;
        (void)this->Learner.report(Time);
      }
    }
  }

  RouteUsage usageOf(const std::string &Route) {
    for (const auto &Usage : this->Learner.report(this->Clock.now()))
      if (Usage.Route == Route)
        return Usage;
    return {};
  }
};

double callsOf(const RouteUsage &Usage, const std::string &Callee) {
  for (const auto &Call : Usage.Calls)
    if (Call.Route == Callee)
      return Call.PerRun;
  return 0;
}

} // namespace

TEST_CASE("CallLearner attributes calls to the route that makes them") {
  SimulatedNode Node;
  Node.run(30);
  auto Caller = Node.usageOf("caller");
  CHECK(callsOf(Caller, "called") == Approx(2).epsilon(0.25));
  CHECK(callsOf(Node.usageOf("plain"), "called") < 0.5);
  CHECK(Node.usageOf("caller").Arrivals == Approx(8).epsilon(0.5));
}

TEST_CASE("CallLearner attributes no calls while nothing runs") {
  FakeClock Clock;
  CallLearner Learner;
  for (int I = 0; I < 20; ++I) {
    Clock.advance(Milliseconds(100));
    Learner.onRequest("browse", Clock.now());
  }
  auto Usages = Learner.report(Clock.now());
  REQUIRE(Usages.size() == 1);
  CHECK(Usages.front().Calls.empty());
  CHECK(Usages.front().Arrivals > 5);
}

TEST_CASE("CallLearner ignores periods in which many runs fail") {
  FakeClock Clock;
  CallLearner Learner;
  double PerRun = 0;
  auto Run = [&](int Runs, int Calls, bool Served) {
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
        for (const auto &Usage : Learner.report(Clock.now()))
          if (Usage.Route == "caller")
            PerRun = callsOf(Usage, "called");
    }
  };
  Run(200, 5, true);
  auto BeforeFailures = PerRun;
  CHECK(BeforeFailures == Approx(5).epsilon(0.3));
  Run(400, 1, false);
  CHECK(PerRun >= BeforeFailures);
  Run(600, 2, true);
  CHECK(PerRun == Approx(2).epsilon(0.3));
}

TEST_CASE("CallLearner uses the parent of a call if it is known") {
  // Two routes always run at the same time, but only one makes calls, so run
  // counts alone cannot tell which one does.
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
  for (const auto &Usage : Learner.report(Clock.now())) {
    if (Usage.Route == "caller")
      CHECK(callsOf(Usage, "called") == Approx(3).epsilon(0.01));
    if (Usage.Route == "plain")
      CHECK(callsOf(Usage, "called") == 0);
  }
}
