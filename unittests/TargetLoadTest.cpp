#include "limpetdrum/request/TargetLoad.h"
#include "FakeClock.h"
#include "LocalTargetFixture.h"
#include "limpetdrum/daemon/calls/TargetCheck.h"
#include "limpetdrum/process/Error.h"

#include <catch2/catch.hpp>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

const std::string Header = HeaderNames().TargetLoad;

/// Loads that targets of other versions, or with a fault, may state.
const std::vector<std::string> Malformed = {"",
                                            ",",
                                            "3",
                                            "3,0",
                                            "3,0,",
                                            "3,0,8,",
                                            ",0,8",
                                            "3,,8",
                                            "3,0,8,100,1",
                                            "-3,0,8",
                                            "3,0,-8",
                                            "3,0,+8",
                                            "3,0,8,-1",
                                            "3,0,0",
                                            "3,0,8,0",
                                            "3,0,65536",
                                            "3,0,8,1e3",
                                            "3,0,8.0",
                                            "3;0;8",
                                            "many,0,8",
                                            "3,0,8,x",
                                            "3, 0, 8",
                                            " 3,0,8",
                                            "3,0,8 ",
                                            "3,0,8,100 200",
                                            "0x3,0,8",
                                            "3,0,8,nan",
                                            "3,0,8%",
                                            "3,0,8,70000",
                                            "70000,0,8",
                                            "3,0,8,99999999999999999999"};

struct CheckFixture : LocalTargetFixture {
  TargetCheck Check{
      ServiceName("ordering"), HeaderNames{}, Port, Target, Log, Counters};

  /// Restarts beside a target that answers with these headers.
  Slots checkedSlots(HttpHeaders Headers) {
    ServicePolicy Policy;
    Policy.HealthPath = "/health";
    this->Check.run(TrafficPolicy(Revision(1), {},
                                  {{ServiceName("ordering"), Policy}}, {}, ""));
    Headers.emplace_back(HeaderNames().TargetId, "t1");
    this->SentCallbacks.at(0)(answer(200, std::move(Headers)));
    REQUIRE(this->Target.record().Id == "t1");
    return this->Target.record().Slots;
  }
};

} // namespace

TEST_CASE("parseTargetLoad reads three figures, and the pace if stated") {
  auto Load = parseTargetLoad("3,1,8");
  CHECK(Load.Running == 3);
  CHECK(Load.Waiting == 1);
  CHECK(Load.Slots == Slots(8));
  CHECK_FALSE(Load.Pace);
  Load = parseTargetLoad("264,0,264,250");
  CHECK(Load.Slots == Slots(264));
  CHECK(Load.Pace == 250);
}

TEST_CASE("parseTargetLoad rejects malformed loads") {
  for (const auto &Text : Malformed) {
    CAPTURE(Text);
    CHECK_THROWS_AS(parseTargetLoad(Text), ValueError);
  }
}

// Guards against a node that admits as many requests as the pace says.
TEST_CASE("TargetCheck takes the slots, whatever the pace") {
  CheckFixture Fixture;
  CHECK(Fixture.checkedSlots({{Header, "3,0,46,100"}}) == Slots(46));
}

TEST_CASE("TargetCheck assumes one slot unless a valid load is stated") {
  CheckFixture Fixture;
  SECTION("none") { CHECK(Fixture.checkedSlots({}) == Slots(1)); }
  SECTION("malformed") {
    CHECK(Fixture.checkedSlots({{Header, "3,0,46,100,200"}}) == Slots(1));
    CHECK(Fixture.Counters.counter("target_loads_malformed") == 1);
  }
  SECTION("repeated") {
    CHECK(Fixture.checkedSlots({{Header, "3,0,46"}, {Header, "3,0,46"}}) ==
          Slots(1));
    CHECK(Fixture.Counters.counter("target_loads_malformed") == 1);
  }
}

TEST_CASE("LocalTarget tells the pace of its target while it is recent") {
  LocalTargetFixture Fixture;
  auto Status = [&]() {
    NodeStatus Value;
    Fixture.Target.fillStatus(Value);
    return Value;
  };
  REQUIRE(Fixture.Target.onReport(LocalTargetFixture::report("t1", 100, 1)));
  for (std::uint64_t Call = 1; Call <= 3; ++Call)
    Fixture.execute(Call);
  Fixture.SentCallbacks.at(0)(LocalTargetFixture::answer(200));
  CHECK(Status().Pace == 0);
  Fixture.SentCallbacks.at(1)(
      LocalTargetFixture::answer(200, {{Header, "2,0,10,250"}}));
  CHECK(Status().Pace == 250);
  auto Limit = Status().Limit;
  SECTION("malformed loads change nothing") {
    for (const auto &Text : Malformed) {
      Fixture.execute(100 + Fixture.SentCallbacks.size());
      Fixture.SentCallbacks.back()(
          LocalTargetFixture::answer(200, {{Header, Text}}));
    }
    CHECK(Fixture.Counters.counter("target_loads_malformed") ==
          Malformed.size());
    CHECK(Status().Pace == 250);
    CHECK(Status().Limit == Limit);
  }
  SECTION("an old reading no longer counts") {
    Fixture.Clock.advance(Milliseconds(1001));
    CHECK(Status().Pace == 0);
  }
  SECTION("a later process is another target") {
    REQUIRE(Fixture.Target.onReport(LocalTargetFixture::report("t1", 200, 1)));
    CHECK(Status().Pace == 0);
  }
}

TEST_CASE("TargetPace follows changes over the time of a request") {
  FakeClock Clock;
  TargetPace Pace;
  constexpr Milliseconds RunTime(200);
  auto Read = [&](Milliseconds Span, std::uint16_t Percent) {
    for (Milliseconds T{0}; T < Span; T += Milliseconds(10)) {
      Clock.advance(Milliseconds(10));
      Pace.onReading(Percent, RunTime, Clock.now());
    }
  };
  CHECK_FALSE(Pace.current(Clock.now()));
  CHECK(Pace.factor(Clock.now()) == 1);
  Read(Milliseconds(1000), 100);
  CHECK(Pace.current(Clock.now()) == 1);
  CHECK(Pace.factor(Clock.now()) == 1);
  // A request that ends now has run at the usual pace.
  Read(Milliseconds(10), 250);
  CHECK(Pace.current(Clock.now()) == 2.5);
  CHECK(Pace.percent(Clock.now()) < 120);
  Read(RunTime * 4, 250);
  CHECK(Pace.factor(Clock.now()) == Approx(2.5).margin(0.1));
  Read(Milliseconds(10), 100);
  CHECK(Pace.current(Clock.now()) == 1);
  CHECK(Pace.factor(Clock.now()) > 2.2);
  // Changes that are shorter than a request average out.
  for (int I = 0; I < 100; ++I)
    Read(Milliseconds(10), I % 2 == 0 ? 100 : 200);
  CHECK(Pace.percent(Clock.now()) == Approx(150).margin(10));
  Clock.advance(Milliseconds(1001));
  CHECK_FALSE(Pace.current(Clock.now()));
  CHECK(Pace.factor(Clock.now()) == 1);
}
