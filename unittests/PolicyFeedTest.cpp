#include "limpetdrum/daemon/policy/PolicyFeed.h"
#include "Adapter.h"
#include "MockStore.h"

#include <fcntl.h>
#include <map>
#include <nlohmann/json.hpp>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

using trompeloeil::_;

std::string policy(std::uint64_t Version) {
  char Text[17];
  std::snprintf(Text, sizeof(Text), "%08llx",
                static_cast<unsigned long long>(Version));
  return nlohmann::json({{"version", Text},
                         {"routes", nlohmann::json::object()},
                         {"services", nlohmann::json::object()},
                         {"limits",
                          {{"max-header-bytes", 16384},
                           {"max-body-bytes", 65536},
                           {"header-timeout", "3s"},
                           {"idle-timeout", "15s"}}}})
      .dump();
}

StoreListing listing(std::uint64_t Revision, std::uint64_t Era,
                     std::uint64_t PolicyVersion) {
  StoreListing Result;
  Result.Outcome = StoreOutcome::Done;
  Result.Revision = Revision;
  Result.Era = StoreEra(Era);
  Result.Objects = {{"main", Revision, policy(PolicyVersion)}};
  return Result;
}

StoreListing outcome(StoreOutcome Outcome, std::uint64_t Era = 0) {
  StoreListing Result;
  Result.Outcome = Outcome;
  Result.Era = StoreEra(Era);
  return Result;
}

/// Feed whose calls to the store are answered by the test.
struct FeedFixture {
  EventLoop &Loop;
  MockStore Store;
  platform::Adapter Adapter;
  EventLog Log{open("/dev/null", O_WRONLY)};
  Metrics Counters;
  PolicyFeed Feed{Loop, Store, Adapter, Log, Counters, 1};
  int Restorations = 0;
  int ReachableChanges = 0;

  explicit FeedFixture(EventLoop &Loop) : Loop(Loop) {
    PolicyFeed::Handlers Handlers;
    Handlers.OnPolicyChange = [](const TrafficPolicy &) {};
    Handlers.OnStoreRestored = [this]() { ++this->Restorations; };
    Handlers.OnStoreReachable = [this]() { ++this->ReachableChanges; };
    this->Feed.start(std::move(Handlers));
  }
  [[nodiscard]] std::uint64_t version() const {
    return this->Feed.current() ? this->Feed.current()->version().value() : 0;
  }
};

void wait(EventLoop &Loop, Milliseconds Span) {
  auto Timeout = Loop.after(Span, [&Loop]() { Loop.stop(); });
  Loop.run();
}

} // namespace

TEST_CASE("PolicyFeed makes no store call while other nodes send policies") {
  EventLoop Loop;
  FeedFixture F(Loop);
  FORBID_CALL(F.Store, list(_, _, _, _));
  FORBID_CALL(F.Store, watch(_, _, _, _, _, _));
  F.Feed.offer(policy(3), "peer");
  wait(Loop, Milliseconds(3600));
  CHECK(F.version() == 3);
  CHECK_FALSE(F.Feed.isStoreLost());
}

TEST_CASE("PolicyFeed reads the store if no other node sends a policy") {
  EventLoop Loop;
  FeedFixture F(Loop);
  REQUIRE_CALL(F.Store, list("config", false, _, _))
      .TIMES(1)
      .SIDE_EFFECT(_4(listing(7, 0, 2)));
  wait(Loop, Milliseconds(3600));
  CHECK(F.version() == 2);
}

TEST_CASE("PolicyFeed keeps its policy if an organisation is malformed") {
  EventLoop Loop;
  FeedFixture F(Loop);
  F.Feed.offer(policy(3), "peer");
  auto Malformed = nlohmann::json::parse(policy(4));
  Malformed["tenants"] = {{"acme", {{"api-keys", {"k-1"}}}},
                          {"other", {{"api-keys", {"k-1"}}}}};
  F.Feed.offer(Malformed.dump(), "peer");
  CHECK(F.version() == 3);
  CHECK(F.Counters.counter("policies_malformed") == 1);
  Malformed["tenants"].erase("other");
  F.Feed.offer(Malformed.dump(), "peer");
  CHECK(F.version() == 4);
}

TEST_CASE("PolicyFeed of a watching node keeps a watch and reports its loss") {
  EventLoop Loop;
  FeedFixture F(Loop);
  ObjectStore::ListDone OnWatch;
  ALLOW_CALL(F.Store, list("config", false, _, _))
      .SIDE_EFFECT(_4(listing(7, 0, 2)));
  {
    REQUIRE_CALL(F.Store, watch("config", 7U, StoreEra(0), _, _, _))
        .LR_SIDE_EFFECT(OnWatch = _6);
    F.Feed.setWatching(true);
  }
  CHECK(F.version() == 2);
  {
    REQUIRE_CALL(F.Store, watch("config", 9U, StoreEra(0), _, _, _))
        .LR_SIDE_EFFECT(OnWatch = _6);
    auto Answer = std::move(OnWatch);
    Answer(listing(9, 0, 5));
  }
  CHECK(F.version() == 5);
  CHECK_FALSE(F.Feed.isStoreLost());
  auto Answer = std::move(OnWatch);
  REQUIRE_CALL(F.Store, list("config", false, _, _)); // not answered
  Answer(outcome(StoreOutcome::Lost));
  CHECK(F.Feed.isStoreLost());
  CHECK(F.ReachableChanges == 1);
  // Once it no longer watches, the loss says nothing about the store.
  F.Feed.setWatching(false);
  CHECK_FALSE(F.Feed.isStoreLost());
}

TEST_CASE(
    "PolicyFeed keeps its policy when the store is restored from a copy") {
  EventLoop Loop;
  FeedFixture F(Loop);
  ObjectStore::ListDone OnWatch;
  auto Current = listing(20, 0, 5);
  ALLOW_CALL(F.Store, list("config", false, _, _)).LR_SIDE_EFFECT(_4(Current));
  ALLOW_CALL(F.Store, watch("config", 20U, StoreEra(0), _, _, _))
      .LR_SIDE_EFFECT(OnWatch = _6);
  F.Feed.setWatching(true);
  REQUIRE(F.version() == 5);
  // The copy has a lower revision and an older policy.
  Current = listing(12, 1, 4);
  auto Answer = std::move(OnWatch);
  REQUIRE_CALL(F.Store, watch("config", 12U, StoreEra(1), _, _, _))
      .LR_SIDE_EFFECT(OnWatch = _6);
  Answer(outcome(StoreOutcome::RevisionExpired, 1));
  CHECK(F.version() == 5);
  CHECK(F.Restorations == 1);
  // The operator writes again, at a revision below the one seen before.
  REQUIRE_CALL(F.Store, watch("config", 13U, StoreEra(1), _, _, _))
      .LR_SIDE_EFFECT(OnWatch = _6);
  auto Rewritten = std::move(OnWatch);
  Rewritten(listing(13, 1, 6));
  CHECK(F.version() == 6);
  CHECK(F.Restorations == 1);
}

namespace {

/// Store that answers at once, keeps one watch, and can be restored from the
/// copy that it made last.
class ModelStore : public ObjectStore {
public:
  struct State {
    std::uint64_t Revision = 1;
    std::uint64_t Version = 1;
  };
  State Current;
  State Copy;
  std::uint64_t Era = 0;
  bool Unreachable = false;
  ListDone Watch;
  std::uint64_t WatchAfter = 0;
  StoreEra WatchEra;

  void list(const std::string &, bool, const char *, ListDone OnDone) override {
    OnDone(this->Unreachable ? outcome(StoreOutcome::Lost) : this->answer());
  }
  void get(const std::string &, const std::string &, const char *,
           ListDone) override {}
  void watch(const std::string &, std::uint64_t After, StoreEra Era,
             Milliseconds, const char *, ListDone OnDone) override {
    this->Watch = std::move(OnDone);
    this->WatchAfter = After;
    this->WatchEra = Era;
  }
  void put(const std::string &, const StoredObject &, const char *,
           WriteDone) override {}
  void remove(const std::string &, const std::string &, std::uint64_t,
              const char *, WriteDone) override {}

  void write(std::uint64_t Version) {
    this->Copy = this->Current;
    this->Current = {this->Current.Revision + 1, Version};
  }
  void restore() {
    this->Current = this->Copy;
    ++this->Era;
  }
  /// Answers the watch as a store does: in the wrong era, or from a revision
  /// that it does not have, with RevisionExpired.
  void answerWatch() {
    if (!this->Watch)
      return;
    auto OnDone = std::exchange(this->Watch, nullptr);
    if (this->Unreachable)
      OnDone(outcome(StoreOutcome::Lost));
    else if (this->WatchEra != StoreEra(this->Era) ||
             this->WatchAfter > this->Current.Revision)
      OnDone(outcome(StoreOutcome::RevisionExpired, this->Era));
    else if (this->WatchAfter == this->Current.Revision)
      this->Watch = std::move(OnDone);
    else
      OnDone(this->answer());
  }

private:
  [[nodiscard]] StoreListing answer() const {
    return listing(this->Current.Revision, this->Era, this->Current.Version);
  }
};

/// A watching node, a node that follows it, the store and the operator.
struct Model {
  EventLoop &Loop;
  ModelStore Store;
  platform::Adapter Adapter;
  EventLog Log{open("/dev/null", O_WRONLY)};
  Metrics Counters;
  std::unique_ptr<PolicyFeed> Watcher;
  std::unique_ptr<PolicyFeed> Follower;
  std::uint64_t LastVersion = 1;
  std::uint64_t WatcherVersion = 0;
  std::uint64_t FollowerVersion = 0;
  bool WentBack = false;

  explicit Model(EventLoop &Loop) : Loop(Loop) {
    this->start(this->Watcher);
    this->Watcher->setWatching(true);
    this->start(this->Follower);
    this->check();
  }
  void start(std::unique_ptr<PolicyFeed> &Feed) {
    Feed = std::make_unique<PolicyFeed>(this->Loop, this->Store, this->Adapter,
                                        this->Log, this->Counters, 1);
    Feed->start({[](const TrafficPolicy &) {}, []() {}, []() {}});
  }
  static std::uint64_t version(const PolicyFeed &Feed) {
    return Feed.current() ? Feed.current()->version().value() : 0;
  }
  void check() {
    auto Check = [this](const PolicyFeed &Feed, std::uint64_t &Last) {
      this->WentBack = this->WentBack || version(Feed) < Last;
      Last = version(Feed);
    };
    Check(*this->Watcher, this->WatcherVersion);
    Check(*this->Follower, this->FollowerVersion);
  }
  void perform(unsigned Event) {
    switch (Event) {
    case 0:
      this->Store.write(++this->LastVersion);
      break;
    case 1: // the operator writes again what it wrote last
      this->Store.restore();
      this->Store.write(this->LastVersion);
      break;
    case 2: // the operator has not noticed the loss yet
      this->Store.restore();
      break;
    case 3:
      this->Store.answerWatch();
      break;
    case 4: // the nodes exchange their policies
      if (this->Watcher->current())
        this->Follower->offer(this->Watcher->current()->text(), "peer");
      if (this->Follower->current())
        this->Watcher->offer(this->Follower->current()->text(), "peer");
      break;
    case 5: // a new incarnation may start with an older policy
      this->Store.Watch = nullptr;
      this->WatcherVersion = 0;
      this->start(this->Watcher);
      this->Watcher->setWatching(true);
      break;
    default:
      this->FollowerVersion = 0;
      this->start(this->Follower);
      break;
    }
    this->check();
  }
  constexpr static unsigned EventCount = 7;
};

} // namespace

// Walks all orders of events up to a depth.
TEST_CASE("PolicyFeed never goes back over restorations and restarts",
          "[model]") {
  EventLoop Loop;
  constexpr unsigned Depth = 5;
  unsigned Walks = 1;
  for (unsigned I = 0; I < Depth; ++I)
    Walks *= Model::EventCount;
  unsigned WentBack = 0;
  unsigned Behind = 0;
  for (unsigned Walk = 0; Walk < Walks; ++Walk) {
    Model M(Loop);
    for (unsigned I = 0, Rest = Walk; I < Depth; ++I, Rest /= M.EventCount)
      M.perform(Rest % M.EventCount);
    // Once the operator has written again, all nodes reach the last version.
    M.Store.write(M.LastVersion);
    M.Store.answerWatch();
    M.perform(4);
    WentBack += M.WentBack ? 1 : 0;
    Behind +=
        M.WatcherVersion != M.LastVersion || M.FollowerVersion != M.LastVersion
            ? 1
            : 0;
  }
  CHECK(WentBack == 0);
  CHECK(Behind == 0);
}

TEST_CASE("PolicyFeed follows the store while no watcher reaches it") {
  EventLoop Loop;
  ModelStore Store;
  platform::Adapter Adapter;
  EventLog Log{open("/dev/null", O_WRONLY)};
  Metrics Counters;
  PolicyFeed Feed(Loop, Store, Adapter, Log, Counters, 7);
  Feed.start({[](const TrafficPolicy &) {}, []() {}, []() {}});
  Feed.setFleetSize(4);
  Feed.offer(policy(1), "peer");
  // The versions come while the other nodes have none of them.
  std::uint64_t Version = 1;
  std::map<std::uint64_t, TimePoint> WrittenAt;
  Microseconds WorstDelay(0);
  auto Writer = Loop.every(Milliseconds(150), [&]() {
    Store.write(++Version);
    WrittenAt[Version] = Loop.now();
  });
  // The first read takes the time that the nodes share.
  wait(Loop, Milliseconds(9600));
  REQUIRE(Feed.current()->version().value() > 1);
  auto Checker = Loop.every(Milliseconds(20), [&]() {
    auto Missing = WrittenAt.find(Feed.current()->version().value() + 1);
    if (Missing != WrittenAt.end())
      WorstDelay =
          std::max(WorstDelay, std::chrono::duration_cast<Microseconds>(
                                   Loop.now() - Missing->second));
  });
  wait(Loop, Milliseconds(3000));
  CHECK(WorstDelay < Milliseconds(2000));
}

TEST_CASE("PolicyFeed reads again at once after its watch is lost") {
  EventLoop Loop;
  FeedFixture F(Loop);
  ObjectStore::ListDone OnWatch;
  ALLOW_CALL(F.Store, watch("config", 7U, StoreEra(0), _, _, _))
      .LR_SIDE_EFFECT(OnWatch = _6);
  {
    REQUIRE_CALL(F.Store, list("config", false, _, _))
        .SIDE_EFFECT(_4(listing(7, 0, 2)));
    F.Feed.setWatching(true);
  }
  REQUIRE_CALL(F.Store, list("config", false, _, _))
      .SIDE_EFFECT(_4(listing(7, 0, 3)));
  auto Answer = std::move(OnWatch);
  Answer(outcome(StoreOutcome::Lost));
  CHECK(F.version() == 3);
  CHECK(F.ReachableChanges == 2);
}
