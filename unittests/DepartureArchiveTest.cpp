#include "limpetdrum/daemon/fleet/DepartureArchive.h"
#include "MockStore.h"

#include <catch2/catch.hpp>
#include <fcntl.h>

using namespace limpetdrum;
using namespace limpetdrum::test;
using trompeloeil::_;

namespace {

struct ArchiveFixture {
  EventLoop Loop;
  Metrics Counters;
  EventLog Log{open("/dev/null", O_WRONLY)};
  MockStore Store;
  std::int64_t UnixTime = 1'000'000;
  DepartureArchive Archive{this->Loop,     this->Store,
                           NodeId("n1"),   this->Log,
                           this->Counters, [this]() { return this->UnixTime; }};
  std::vector<std::string> Written;
  std::vector<ObjectStore::WriteDone> Writes;
  std::unique_ptr<trompeloeil::expectation> Puts =
      NAMED_ALLOW_CALL(Store, put("limpetdrum-departures", _, _, _))
          .LR_SIDE_EFFECT(this->Written.push_back(_2.Value))
          .LR_SIDE_EFFECT(this->Writes.push_back(_4));
  unsigned Acknowledged = 0;
  unsigned Refused = 0;

  static TargetRecord target(const std::string &Id, TargetState State) {
    TargetRecord Record;
    Record.Id = Id;
    Record.Started = 500;
    Record.Sequence = 7;
    Record.Service = ServiceName("ordering");
    Record.Slots = Slots(12);
    Record.State = State;
    return Record;
  }

  void write(const TargetRecord &Target) {
    this->Archive.write(Target, [this](bool IsStored) {
      ++(IsStored ? this->Acknowledged : this->Refused);
    });
  }
  void write(const std::string &Id, TargetState State) {
    this->write(target(Id, State));
  }

  void wait(Milliseconds Time) {
    auto Timeout = this->Loop.after(Time, [this]() { this->Loop.stop(); });
    this->Loop.run();
  }

  /// Lets the archive of a later process read an object.
  std::vector<Departure> read(const std::string &Value) {
    StoreListing Listing;
    Listing.Outcome = StoreOutcome::Done;
    Listing.Objects.push_back({"n1", 1, Value});
    std::vector<Departure> Result;
    DepartureArchive Later(this->Loop, this->Store, NodeId("n1"), this->Log,
                           this->Counters, [this]() { return this->UnixTime; });
    REQUIRE_CALL(this->Store, get("limpetdrum-departures", "n1", _, _))
        .LR_SIDE_EFFECT(_4(Listing));
    Later.read([&](const std::vector<Departure> &Value) { Result = Value; });
    CHECK(Later.isRead());
    return Result;
  }
};

} // namespace

TEST_CASE("DepartureArchive acknowledges a departure once it is stored") {
  ArchiveFixture Fixture;
  Fixture.write("t1", TargetState::Draining);
  REQUIRE(Fixture.Writes.size() == 1);
  CHECK(Fixture.Acknowledged == 0);
  Fixture.Writes[0](StoreOutcome::Done);
  CHECK(Fixture.Acknowledged == 1);
  // The target repeats its report.
  Fixture.write("t1", TargetState::Draining);
  CHECK(Fixture.Acknowledged == 2);
  CHECK(Fixture.Writes.size() == 1);
  Fixture.write("t1", TargetState::Left);
  CHECK(Fixture.Writes.size() == 2);
}

TEST_CASE("DepartureArchive stores what changed during a write") {
  ArchiveFixture Fixture;
  Fixture.write("t1", TargetState::Draining);
  Fixture.write("t1", TargetState::Left);
  REQUIRE(Fixture.Writes.size() == 1);
  Fixture.Writes[0](StoreOutcome::Done);
  CHECK(Fixture.Acknowledged == 0);
  REQUIRE(Fixture.Writes.size() == 2);
  Fixture.Writes[1](StoreOutcome::Done);
  CHECK(Fixture.Acknowledged == 2);
}

// Guards against an acknowledged leave that nothing knows of after a restart.
TEST_CASE("DepartureArchive repeats a write, and acknowledges none before") {
  ArchiveFixture Fixture;
  Fixture.write("t1", TargetState::Left);
  Fixture.Writes[0](StoreOutcome::Refused);
  Fixture.wait(Milliseconds(150));
  REQUIRE(Fixture.Writes.size() == 2);
  CHECK(Fixture.Acknowledged + Fixture.Refused == 0);
  Fixture.wait(Milliseconds(450));
  CHECK(Fixture.Acknowledged == 0);
  CHECK(Fixture.Refused == 1);
  Fixture.Writes[1](StoreOutcome::Lost);
  Fixture.wait(Milliseconds(150));
  REQUIRE(Fixture.Writes.size() == 3);
  // Each report has its own time.
  Fixture.write("t1", TargetState::Left);
  Fixture.wait(Milliseconds(300));
  Fixture.write("t1", TargetState::Left);
  Fixture.wait(Milliseconds(300));
  CHECK(Fixture.Refused == 2);
  Fixture.Writes[2](StoreOutcome::Done);
  CHECK(Fixture.Acknowledged == 1);
  Fixture.write("t1", TargetState::Left);
  CHECK(Fixture.Acknowledged == 2);
  CHECK(Fixture.Writes.size() == 3);
}

// Guards against a departure that overwrites those of earlier processes.
TEST_CASE("DepartureArchive reads what was stored before it writes") {
  ArchiveFixture Fixture;
  Fixture.write("t1", TargetState::Left);
  StoreListing Listing;
  Listing.Outcome = StoreOutcome::Done;
  Listing.Objects.push_back({"n1", 1, Fixture.Written.back()});
  DepartureArchive Later(Fixture.Loop, Fixture.Store, NodeId("n1"), Fixture.Log,
                         Fixture.Counters, []() { return 1'000'000; });
  ObjectStore::ListDone Answer;
  REQUIRE_CALL(Fixture.Store, get("limpetdrum-departures", "n1", _, _))
      .LR_SIDE_EFFECT(Answer = _4);
  Later.read([](const std::vector<Departure> &) {});
  Later.write(ArchiveFixture::target("t2", TargetState::Left), [](bool) {});
  CHECK(Fixture.Writes.size() == 1);
  Answer(Listing);
  REQUIRE(Fixture.Writes.size() == 2);
  auto Stored = Fixture.read(Fixture.Written.back());
  REQUIRE(Stored.size() == 2);
  CHECK(Stored[0].Target.Id == "t1");
}

TEST_CASE("DepartureArchive gives a later process what it stored") {
  ArchiveFixture Fixture;
  Fixture.write("t1", TargetState::Draining);
  Fixture.UnixTime += 100;
  Fixture.write("t2", TargetState::Left);
  Fixture.Writes[0](StoreOutcome::Done);
  auto Stored = Fixture.read(Fixture.Written.back());
  REQUIRE(Stored.size() == 2);
  CHECK(Stored[0].Target.Id == "t1");
  CHECK(Stored[0].Target.Started == 500);
  CHECK(Stored[0].Target.Sequence == 7);
  CHECK(Stored[0].Target.Service == ServiceName("ordering"));
  CHECK(Stored[0].Target.Slots == Slots(12));
  CHECK(Stored[0].Target.State == TargetState::Draining);
  CHECK(Stored[0].At == 1'000'000);
  CHECK(Stored[1].Target.State == TargetState::Left);
  CHECK(Stored[1].At == 1'000'100);
}

TEST_CASE("DepartureArchive keeps the latest departures only") {
  ArchiveFixture Fixture;
  for (int I = 0; I < 9; ++I)
    Fixture.write("t" + std::to_string(I), TargetState::Left);
  Fixture.Writes.back()(StoreOutcome::Done);
  auto Stored = Fixture.read(Fixture.Written.back());
  REQUIRE(Stored.size() == 4);
  CHECK(Stored.back().Target.Id == "t8");
}

// Guards against a second leave under one id that a later process never learns
// of, because no report told the two processes of the target apart.
TEST_CASE("DepartureArchive stores each leave of a target without a report") {
  ArchiveFixture Fixture;
  TargetRecord Unknown;
  Unknown.Id = "t1";
  Unknown.State = TargetState::Left;
  Fixture.write(Unknown);
  Fixture.Writes[0](StoreOutcome::Done);
  Fixture.UnixTime += 9000;
  Fixture.write(Unknown);
  CHECK(Fixture.Acknowledged == 1);
  REQUIRE(Fixture.Writes.size() == 2);
  Fixture.Writes[1](StoreOutcome::Done);
  CHECK(Fixture.Acknowledged == 2);
  auto Stored = Fixture.read(Fixture.Written.back());
  REQUIRE_FALSE(Stored.empty());
  CHECK(Stored.back().At == 1'009'000);
}

TEST_CASE("DepartureArchive counts objects that it cannot read") {
  ArchiveFixture Fixture;
  for (const auto *Value :
       {"{}", "[]", "null", R"({"departures":[{"target":7}]})",
        R"({"departures":{"a":1}})"}) {
    CHECK(Fixture.read(Value).empty());
  }
  CHECK(Fixture.Counters.counter("departures_malformed") == 5);
}

TEST_CASE("DepartureArchive removes departures of an hour ago") {
  ArchiveFixture Fixture;
  Fixture.write("t1", TargetState::Left);
  StoreListing Listing;
  Listing.Outcome = StoreOutcome::Done;
  Listing.Objects.push_back({"n1", 33, Fixture.Written.back()});
  Listing.Objects.push_back({"odd", 34, "{}"});
  ALLOW_CALL(Fixture.Store, list("limpetdrum-departures", true, _, _))
      .LR_SIDE_EFFECT(_4(Listing));
  Fixture.UnixTime += 3'500'000;
  Fixture.Archive.removeOld(); // the mock allows no removal
  Fixture.UnixTime += 200'000;
  REQUIRE_CALL(Fixture.Store, remove("limpetdrum-departures", "n1", 33U, _, _));
  Fixture.Archive.removeOld();
}

// Guards against a process that ends by an exception for an id that is no text.
TEST_CASE("DepartureArchive stores ids that are no UTF-8") {
  ArchiveFixture Fixture;
  Fixture.write("t\xff\xfe", TargetState::Left);
  REQUIRE(Fixture.Written.size() == 1);
  CHECK(Fixture.read(Fixture.Written[0]).size() == 1);
}
