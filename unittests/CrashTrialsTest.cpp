#include "LocalTargetFixture.h"
#include "limpetdrum/request/SuspectTrials.h"

#include <algorithm>
#include <map>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

/// A target that ends and starts again, and requests named by their paths.
struct CrashFixture : LocalTargetFixture {
  std::uint64_t LastCall = 0;
  std::uint64_t Targets = 0;

  CrashFixture() { this->startTarget(); }

  void startTarget() {
    ++this->Targets;
    REQUIRE(this->Target.onReport(
        report(this->id(), static_cast<std::int64_t>(100 * this->Targets), 1)));
  }
  [[nodiscard]] std::string id() const {
    return "t" + std::to_string(this->Targets);
  }
  /// \returns the index of the request at the target, if it was sent there.
  std::optional<std::size_t> run(const std::string &Path,
                                 Milliseconds TimeLeft = Milliseconds(1000)) {
    auto Sent = this->SentCallbacks.size();
    this->execute(++this->LastCall, this->id(), TimeLeft, Path);
    return this->SentCallbacks.size() > Sent ? std::optional(Sent)
                                             : std::nullopt;
  }
  void breakConnections(const std::vector<std::size_t> &Indices,
                        bool HasEnded) {
    HttpResponse Broken;
    Broken.Outcome = HttpOutcome::Broken;
    for (auto Index : Indices)
      this->SentCallbacks.at(Index)(Broken);
    this->finishEndChecks(HasEnded);
  }
  /// Lets the target end while it runs requests.
  void crash(const std::vector<std::string> &Paths) {
    std::vector<std::size_t> Indices;
    for (const auto &Path : Paths)
      Indices.push_back(*this->run(Path));
    this->breakConnections(Indices, true);
    this->startTarget();
  }
};

/// Six targets of a service whose nodes know the same of one culprit, which
/// arrives at all of them again and again.
struct SuspectFleet {
  std::array<CrashFixture, 6> Nodes;

  SuspectFleet() {
    CrashNews News;
    for (std::uint64_t Target : {1001, 1002})
      News.Reports.push_back({fingerprintOf("/crash"), Target, false, {}});
    for (auto &Node : this->Nodes)
      (void)Node.Crashes.merge(News, Node.Clock.now());
  }
  static RequestFingerprint fingerprintOf(const std::string &Path) {
    HttpRequest Request;
    Request.Method = "POST";
    Request.Target = Path;
    return fingerprint(Request);
  }
  /// Sends the culprit to the nodes given, lets the targets that run it end,
  /// and tells all nodes.
  /// \returns the number of targets that have ended.
  int play(const std::vector<std::size_t> &Receivers) {
    std::map<std::size_t, std::size_t> Runs;
    for (auto Receiver : Receivers)
      if (auto Run = this->Nodes.at(Receiver).run("/crash"))
        Runs.emplace(Receiver, *Run);
    for (const auto &[Receiver, Run] : Runs)
      this->Nodes.at(Receiver).breakConnections({Run}, true);
    for (auto &From : this->Nodes)
      for (const auto &News : std::exchange(From.News, {}))
        for (auto &To : this->Nodes)
          (void)To.Crashes.merge(News, To.Clock.now());
    return static_cast<int>(Runs.size());
  }
};

} // namespace

TEST_CASE("A suspect that arrives at all nodes ends one target, not all") {
  std::vector<NodeId> Names;
  for (int I = 0; I < 6; ++I)
    Names.emplace_back("n" + std::to_string(I));
  auto Trial = trialNode(SuspectFleet::fingerprintOf("/crash"), Names);
  REQUIRE(Trial);
  auto Chosen = static_cast<std::size_t>(
      std::find(Names.begin(), Names.end(), *Trial) - Names.begin());
  SuspectFleet Fleet;
  CHECK(Fleet.play(std::vector<std::size_t>(12, Chosen)) == 1);
  // Proven: no node runs it any more.
  CHECK(Fleet.play({0, 1, 2, 3, 4, 5}) == 0);
  // Tried where it arrives, it ends them all.
  SuspectFleet Other;
  CHECK(Other.play({0, 1, 2, 3, 4, 5}) == 6);
}

TEST_CASE("trialNode spreads different suspects") {
  std::map<NodeId, int> Counts;
  for (std::uint64_t I = 0; I < 600; ++I)
    ++Counts[*trialNode(RequestFingerprint(I * 7919),
                        {NodeId("a"), NodeId("b"), NodeId("c")})];
  CHECK(Counts.size() == 3);
  for (const auto &[Node, Count] : Counts)
    CHECK(Count > 100);
  CHECK_FALSE(trialNode(RequestFingerprint(1), {}));
}

TEST_CASE("LocalTarget keeps a request that crashes targets from the fourth") {
  CrashFixture Fixture;
  for (int Crash = 0; Crash < 3; ++Crash)
    Fixture.crash({"/crash", "/beside/" + std::to_string(Crash)});
  CHECK_FALSE(Fixture.run("/crash"));
  CHECK(Fixture.Replies.back().Outcome == Outcome::NotRun);
  CHECK(Fixture.Replies.back().Reason == Reason::CrashesTargets);
  CHECK(Fixture.Replies.back().RetryAfter > std::chrono::minutes(9));
  // What ran beside it is served.
  for (int Crash = 0; Crash < 3; ++Crash)
    CHECK(Fixture.run("/beside/" + std::to_string(Crash)));
}

TEST_CASE("LocalTarget serves the requests that ran beside every crash") {
  CrashFixture Fixture;
  for (int Crash = 0; Crash < 2; ++Crash)
    Fixture.crash({"/crash", "/sound/1", "/sound/2"});
  // All three are suspected, and run one at a time, beside others.
  auto First = Fixture.run("/sound/1");
  REQUIRE(First);
  CHECK_FALSE(Fixture.run("/crash"));
  CHECK_FALSE(Fixture.run("/sound/2"));
  CHECK(Fixture.run("/other"));
  Fixture.SentCallbacks[*First](LocalTargetFixture::answer(200));
  CHECK(Fixture.Replies.back().Outcome == Outcome::Answered);
  CHECK(Fixture.News.back().Sound.size() == 1);
  // The answered one is cleared; now the culprit runs, and is proven.
  CHECK(Fixture.run("/sound/1"));
  REQUIRE(Fixture.SentCalls.size() == 10);
  CHECK(Fixture.SentCalls[8].Path == "/crash");
  Fixture.breakConnections({7, 8, 9}, true);
  REQUIRE(Fixture.News.back().Reports.size() == 1);
  CHECK(Fixture.News.back().Reports[0].Alone);
  // The next was sent to the ended target.
  REQUIRE(Fixture.SentCalls.size() == 11);
  HttpResponse Refused;
  Refused.Outcome = HttpOutcome::NotConnected;
  Fixture.SentCallbacks[10](Refused);
  CHECK(Fixture.Replies.back().Outcome == Outcome::NotRun);
  Fixture.startTarget();
  CHECK_FALSE(Fixture.run("/crash"));
  auto Second = Fixture.run("/sound/2");
  REQUIRE(Second);
  Fixture.SentCallbacks[*Second](LocalTargetFixture::answer(200));
  CHECK(Fixture.Replies.back().Outcome == Outcome::Answered);
}

TEST_CASE("LocalTarget takes no request on trial for the culprit beside "
          "another that was at an earlier crash") {
  CrashFixture Fixture;
  Fixture.crash({"/sound", "/culprit"});
  Fixture.crash({"/sound", "/first"});
  // The culprit is at its second crash, so it is not suspected yet.
  Fixture.crash({"/sound", "/culprit"});
  auto Reports = Fixture.News.back().Reports;
  REQUIRE(Reports.size() == 2);
  CHECK_FALSE(Reports[0].Alone);
  // Both are on trial in turn: one is answered, the other one is proven.
  auto Sound = Fixture.run("/sound");
  REQUIRE(Sound);
  Fixture.SentCallbacks[*Sound](LocalTargetFixture::answer(200));
  CHECK(Fixture.Replies.back().Outcome == Outcome::Answered);
  Fixture.crash({"/culprit", "/other"});
  CHECK_FALSE(Fixture.run("/culprit"));
  CHECK(Fixture.Replies.back().Reason == Reason::CrashesTargets);
  CHECK(Fixture.run("/sound"));
}

TEST_CASE("LocalTarget proves a culprit at its fifth crash, whatever runs "
          "beside it") {
  CrashFixture Fixture;
  int Crashes = 0;
  // Those beside it are repeated with it, each time with one that was at one
  // crash.
  while (Crashes < 10) {
    auto Beside = "/beside/" + std::to_string(Crashes / 2);
    auto Culprit = Fixture.run("/crash");
    if (!Culprit)
      break;
    auto Companion = Fixture.run(Beside);
    std::vector<std::size_t> Runs{*Culprit};
    if (Companion)
      Runs.push_back(*Companion);
    Fixture.breakConnections(Runs, true);
    Fixture.startTarget();
    ++Crashes;
  }
  CHECK(Crashes <= 5);
  CHECK(Fixture.Replies.back().Reason == Reason::CrashesTargets);
}

TEST_CASE("LocalTarget holds nothing against requests whose connections broke "
          "at a target that goes on") {
  CrashFixture Fixture;
  for (int I = 0; I < 5; ++I) {
    Fixture.breakConnections({*Fixture.run("/lost")}, false);
    CHECK(Fixture.Replies.back().Outcome == Outcome::Unknown);
    CHECK(Fixture.Replies.back().Reason == Reason::TargetFailed);
    Fixture.startTarget();
  }
  CHECK(Fixture.News.empty());
  CHECK(Fixture.run("/lost"));
}

TEST_CASE("LocalTarget puts a request on trial that has crashed targets of "
          "which only its caller knows") {
  CrashFixture Fixture;
  MeshAttempt Attempt;
  Attempt.TargetId = Fixture.id();
  Attempt.TimeLeft = Milliseconds(1000);
  Attempt.TargetsEnded = 2;
  for (std::uint64_t Call : {101, 102}) {
    Attempt.Call = Call;
    Fixture.Target.execute(Incarnation(7), Attempt, [](const Reply &) {});
  }
  REQUIRE(Fixture.SentCallbacks.size() == 1);
  Fixture.breakConnections({0}, true);
  REQUIRE(Fixture.News.size() == 1);
  CHECK(Fixture.News[0].Reports.at(0).Alone);
}

TEST_CASE("LocalTarget ends what waits for a trial") {
  CrashFixture Fixture;
  for (int Crash = 0; Crash < 2; ++Crash)
    Fixture.crash({"/crash", "/sound"});
  REQUIRE(Fixture.run("/crash"));
  auto Replies = Fixture.Replies.size();
  CHECK_FALSE(Fixture.run("/sound", Milliseconds(500)));
  CHECK(Fixture.Replies.size() == Replies);
  SECTION("at its deadline") {
    Fixture.Clock.advance(Milliseconds(501));
    Fixture.Target.tick();
    REQUIRE(Fixture.Replies.size() == Replies + 1);
    CHECK(Fixture.Replies.back().Outcome == Outcome::NotRun);
  }
  SECTION("when the target leaves") {
    REQUIRE(Fixture.Target.onLeave(Fixture.id()));
    Fixture.Clock.advance(Milliseconds(1001));
    Fixture.Target.tick();
    REQUIRE(Fixture.Replies.size() == Replies + 1);
    CHECK(Fixture.Replies.back().Reason == Reason::Draining);
  }
  SECTION("when its caller cancels it") {
    Fixture.Target.cancel(Incarnation(7), Fixture.LastCall);
    CHECK(Fixture.Target.outstanding() == 1);
  }
}

namespace {

/// Deepest use of the stack within the replies, below the frame given.
struct StackDepth {
  const char *Start;
  std::ptrdiff_t Deepest = 0;
  std::size_t Replies = 0;

  void onReply() {
    ++this->Replies;
    const auto *Frame = static_cast<const char *>(__builtin_frame_address(0));
    this->Deepest = std::max(this->Deepest, this->Start - Frame);
  }
};

constexpr std::ptrdiff_t UsualDepth = 32 * 1024;

void executeMany(CrashFixture &Fixture, const std::string &Path,
                 std::uint64_t Count, StackDepth &Stack) {
  MeshAttempt Attempt;
  Attempt.TargetId = Fixture.id();
  Attempt.TimeLeft = Milliseconds(10'000);
  Attempt.Request.Method = "POST";
  Attempt.Request.Target = Path;
  for (std::uint64_t I = 0; I < Count; ++I) {
    Attempt.Call = ++Fixture.LastCall;
    Attempt.RequestId = "r" + std::to_string(Attempt.Call);
    Fixture.Target.execute(Incarnation(7), Attempt,
                           [&Stack](const Reply &) { Stack.onReply(); });
  }
}

} // namespace

TEST_CASE("LocalTarget does not overflow the stack when many attempts wait for "
          "a trial that proves the culprit") {
  CrashFixture Fixture;
  for (int Crash = 0; Crash < 2; ++Crash)
    Fixture.crash({"/crash", "/sound"});
  auto Trial = Fixture.run("/crash", Milliseconds(10'000));
  REQUIRE(Trial);
  StackDepth Stack{static_cast<const char *>(__builtin_frame_address(0))};
  executeMany(Fixture, "/crash", 1000, Stack);
  CHECK(Stack.Replies == 0);
  Fixture.breakConnections({*Trial}, true);
  CHECK(Stack.Replies == 1000);
  CHECK(Stack.Deepest < UsualDepth);
}

TEST_CASE("LocalTarget does not overflow the stack when many attempts that "
          "waited for a trial are past their deadlines") {
  CrashFixture Fixture;
  for (int Crash = 0; Crash < 2; ++Crash)
    Fixture.crash({"/crash", "/sound"});
  auto Trial = Fixture.run("/crash", Milliseconds(10'000));
  REQUIRE(Trial);
  StackDepth Stack{static_cast<const char *>(__builtin_frame_address(0))};
  executeMany(Fixture, "/sound", 1000, Stack);
  Fixture.Clock.advance(Milliseconds(10'001)); // past all deadlines
  Fixture.SentCallbacks[*Trial](LocalTargetFixture::answer(200));
  CHECK(Stack.Replies == 1000);
  CHECK(Stack.Deepest < UsualDepth);
}

TEST_CASE("LocalTarget does not overflow the stack when a new target starts "
          "behind a long queue") {
  CrashFixture Fixture;
  constexpr unsigned SlotCount = 2000;
  REQUIRE(Fixture.Target.onReport(LocalTargetFixture::report(
      Fixture.id(), 100, 2, TargetState::Ready, SlotCount)));
  StackDepth Stack{static_cast<const char *>(__builtin_frame_address(0))};
  executeMany(Fixture, "/any", 3800, Stack);
  NodeStatus Status;
  Fixture.Target.fillStatus(Status);
  REQUIRE(Status.Queued > 1000);
  auto Refused = Stack.Replies;
  REQUIRE(Fixture.Target.onReport(
      LocalTargetFixture::report("t2", 200, 1, TargetState::Ready, SlotCount)));
  Fixture.SentCallbacks[0](LocalTargetFixture::answer(200));
  CHECK(Stack.Replies > Refused + 1000);
  CHECK(Stack.Deepest < UsualDepth);
}
