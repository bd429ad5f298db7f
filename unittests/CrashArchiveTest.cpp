#include "limpetdrum/daemon/fleet/CrashArchive.h"
#include "MockStore.h"

#include <fcntl.h>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

using trompeloeil::_;

constexpr std::int64_t Minute = 60'000;

struct ArchiveFixture {
  EventLoop Loop;
  MockStore Store;
  EventLog Log{open("/dev/null", O_WRONLY)};
  std::int64_t UnixTime = 100 * Minute;
  CrashArchive Archive{Loop, Store, Log, [this]() { return this->UnixTime; }};
  std::vector<StoredObject> Objects; ///< what the store holds
  std::optional<CrashNews> News;

  std::unique_ptr<trompeloeil::expectation> allowPuts() {
    return NAMED_ALLOW_CALL(this->Store, put(_, _, _, _))
        .LR_SIDE_EFFECT(this->Objects.push_back(_2))
        .LR_SIDE_EFFECT(_4(StoreOutcome::Done));
  }
  void read() {
    StoreListing Listing;
    Listing.Outcome = StoreOutcome::Done;
    Listing.Objects = this->Objects;
    REQUIRE_CALL(this->Store, list(_, true, _, _)).LR_SIDE_EFFECT(_4(Listing));
    this->Archive.read([this](const CrashNews &Value) { this->News = Value; });
    REQUIRE(this->News);
  }
  void wait(Milliseconds Span) {
    auto Timeout = this->Loop.after(Span, [this]() { this->Loop.stop(); });
    this->Loop.run();
  }
};

} // namespace

TEST_CASE("CrashArchive tells a restarted fleet what is proven") {
  ArchiveFixture Fixture;
  auto Puts = Fixture.allowPuts();
  RequestFingerprint Request(0xabcdef);
  Fixture.Archive.write(Request);
  Fixture.UnixTime += 9 * Minute;
  Fixture.read();
  REQUIRE(Fixture.News->Reports.size() == 1);
  CrashHistory History;
  auto Now = Fixture.Loop.now();
  (void)History.merge(*Fixture.News, Now);
  CHECK(History.verdict(Request, Now) == CrashHistory::Verdict::Crashing);
  // The time in the store counts towards the ten minutes.
  CHECK(History.retryAfter(Request, Now) == std::chrono::minutes(1));
}

TEST_CASE("CrashArchive passes over malformed objects and removes old ones") {
  ArchiveFixture Fixture;
  auto Puts = Fixture.allowPuts();
  Fixture.Archive.write(RequestFingerprint(1));
  Fixture.UnixTime += 21 * Minute;
  Fixture.Archive.write(RequestFingerprint(2));
  for (const auto *Value : {"", "[]", "{}", R"({"target-ended":"x"})"})
    Fixture.Objects.push_back({"0000000000000003", 0, Value});
  Fixture.Objects.push_back({"name", 0, Fixture.Objects[1].Value});
  REQUIRE_CALL(Fixture.Store, remove(_, "0000000000000001", _, _, _))
      .SIDE_EFFECT(_5(StoreOutcome::Done));
  Fixture.read();
  REQUIRE(Fixture.News->Reports.size() == 1);
  CHECK(Fixture.News->Reports[0].Request == RequestFingerprint(2));
}

TEST_CASE("CrashArchive repeats calls that the store has not answered") {
  ArchiveFixture Fixture;
  int Writes = 0;
  ALLOW_CALL(Fixture.Store, put(_, _, _, _))
      .LR_SIDE_EFFECT(
          _4(++Writes < 3 ? StoreOutcome::Lost : StoreOutcome::Done));
  Fixture.Archive.write(RequestFingerprint(1));
  int Reads = 0;
  ALLOW_CALL(Fixture.Store, list(_, _, _, _))
      .LR_SIDE_EFFECT(++Reads)
      .LR_SIDE_EFFECT(_4(StoreListing()));
  Fixture.Archive.read([](const CrashNews &) {});
  Fixture.wait(Milliseconds(6500));
  CHECK(Writes == 3);
  CHECK(Reads == 4);
}
