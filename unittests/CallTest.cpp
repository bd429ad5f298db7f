#include "limpetdrum/request/Call.h"
#include "FakeClock.h"

#include <catch2/catch.hpp>

using namespace limpetdrum;
using namespace limpetdrum::test;

namespace {

const NodeIncarnation FirstNode{NodeId("a"), Incarnation(1)};
const NodeIncarnation SecondNode{NodeId("b"), Incarnation(1)};

const Reply *finished(const Call::Step &Step) {
  const auto *End = std::get_if<Call::Finish>(&Step);
  return End == nullptr ? nullptr : &End->Reply;
}

Reply answer() {
  Reply R;
  R.Outcome = Outcome::Answered;
  R.Status = 200;
  return R;
}

} // namespace

TEST_CASE("Call sends one attempt and returns its answer", "[call]") {
  RetryRatio Ratio;
  Call C(RunSemantics::Once, true, 2, Ratio);
  CHECK(std::holds_alternative<Call::SelectNode>(C.start()));
  auto Step = C.onNodeSelected(FirstNode, attempt(1));
  REQUIRE(std::holds_alternative<Call::Send>(Step));
  auto Last = C.onReply(answer());
  REQUIRE(finished(Last) != nullptr);
  CHECK(finished(Last)->Status == 200);
  CHECK(C.retries() == 0);
}

TEST_CASE("Call resends the same attempt to the same incarnation after a lost "
          "connection",
          "[call]") {
  RetryRatio Ratio;
  Call C(RunSemantics::Once, true, 2, Ratio);
  static_cast<void>(C.onNodeSelected(FirstNode, attempt(1)));
  auto Step = C.onLost(true, true);
  REQUIRE(std::holds_alternative<Call::Send>(Step));
  CHECK(std::get<Call::Send>(Step).Id == attempt(1));
}

TEST_CASE(
    "Call retries a once-only request at another node only after a proven "
    "not-run",
    "[call]") {
  RetryRatio Ratio;
  Call C(RunSemantics::Once, true, 2, Ratio);
  static_cast<void>(C.onNodeSelected(FirstNode, attempt(1)));
  SECTION("refused by the node") {
    auto Step = C.onReply(notRun(Reason::Draining, Milliseconds(0)));
    CHECK(std::holds_alternative<Call::SelectNode>(Step));
  }
  SECTION("never handed over") {
    CHECK(std::holds_alternative<Call::SelectNode>(C.onLost(false, false)));
  }
  SECTION("handed over and the node is gone") {
    auto Step = C.onLost(true, false);
    REQUIRE(finished(Step) != nullptr);
    CHECK(finished(Step)->Outcome == Outcome::Unknown);
  }
  SECTION("handed over on the first connection but not on the second") {
    static_cast<void>(C.onLost(true, true));
    auto Step = C.onLost(false, false);
    REQUIRE(finished(Step) != nullptr);
    CHECK(finished(Step)->Outcome == Outcome::Unknown);
  }
  SECTION("deadline exceeded") {
    auto Step = C.onDeadline();
    REQUIRE(finished(Step) != nullptr);
    CHECK(finished(Step)->Outcome == Outcome::Unknown);
  }
}

TEST_CASE(
    "Call retries an idempotent request at another node when the first is "
    "suspected",
    "[call]") {
  RetryRatio Ratio;
  Call C(RunSemantics::Idempotent, true, 2, Ratio);
  static_cast<void>(C.onNodeSelected(FirstNode, attempt(1)));
  CHECK(std::holds_alternative<Call::SelectNode>(C.onSuspected()));
  static_cast<void>(C.onNodeSelected(SecondNode, attempt(2)));
  // The first attempt may have run, whatever the outcome of the second.
  auto Step = C.onReply(notRun(Reason::DeadlineTooNear, Milliseconds(5)));
  REQUIRE(finished(Step) != nullptr);
  CHECK(finished(Step)->Outcome == Outcome::Unknown);
}

// A suspected node may be slow and still answer; without a retry there is
// nothing to gain from ending the call before its deadline.
TEST_CASE("Call waits for a suspected node if it has no retry left", "[call]") {
  RetryRatio Ratio;
  Call C(RunSemantics::Idempotent, true, 1, Ratio);
  static_cast<void>(C.onNodeSelected(FirstNode, attempt(1)));
  CHECK(std::holds_alternative<Call::SelectNode>(C.onSuspected()));
  static_cast<void>(C.onNodeSelected(SecondNode, attempt(2)));
  CHECK(std::holds_alternative<Call::Wait>(C.onSuspected()));
  CHECK(std::holds_alternative<Call::Wait>(C.onSuspected()));
  auto Step = C.onReply(answer());
  REQUIRE(finished(Step) != nullptr);
  CHECK(finished(Step)->Outcome == Outcome::Answered);
}

// The bound on a node's retries is no reason to lose one of the call's own.
TEST_CASE("Call keeps its retry if the node has no retry left", "[call]") {
  RetryRatio Ratio;
  while (Ratio.take()) {
  }
  Call C(RunSemantics::Idempotent, true, 1, Ratio);
  static_cast<void>(C.onNodeSelected(FirstNode, attempt(1)));
  CHECK(std::holds_alternative<Call::Wait>(C.onSuspected()));
  for (int I = 0; I < 20; ++I)
    Ratio.onCall();
  CHECK(std::holds_alternative<Call::SelectNode>(C.onSuspected()));
}

TEST_CASE("Call reports an unknown outcome for a key that may have run",
          "[call]") {
  RetryRatio Ratio;
  Call C(RunSemantics::Once, false, 2, Ratio);
  C.assumeMayHaveRun();
  static_cast<void>(C.onNodeSelected(FirstNode, attempt(1)));
  auto Step = C.onLost(false, false);
  REQUIRE(finished(Step) != nullptr);
  CHECK(finished(Step)->Outcome == Outcome::Unknown);
}

TEST_CASE("Call finishes when its retry budget is spent", "[call]") {
  RetryRatio Ratio;
  Call C(RunSemantics::Idempotent, true, 3, Ratio);
  unsigned Sent = 0;
  Call::Step Step = Call::SelectNode{};
  while (std::holds_alternative<Call::SelectNode>(Step)) {
    // The grant of each attempt is lost with its node.
    static_cast<void>(C.onNodeSelected(FirstNode, attempt(++Sent)));
    Step = C.onLost(true, false);
  }
  CHECK(finished(Step) != nullptr);
  CHECK(Sent <= 1 + 3);
}

TEST_CASE("Call with retryOnOverload pauses before it retries an overloaded "
          "service",
          "[call]") {
  RetryRatio Ratio;
  Call C(RunSemantics::Once, true, 1, Ratio);
  C.retryOnOverload(ClassRank(0));
  auto Refused = notRun(Reason::Overload, Milliseconds(500));
  auto Sent = std::get<Call::Send>(C.onNodeSelected(FirstNode, attempt(1)));
  Refused.RetriesLeft = Sent.Retries;
  CHECK(std::holds_alternative<Call::Pause>(C.onReply(Refused)));
  CHECK(std::holds_alternative<Call::SelectNode>(C.onPauseOver()));
  CHECK(C.triedNodes().empty());
  static_cast<void>(C.onNodeSelected(FirstNode, attempt(2)));
  Refused.RetriesLeft = 0;
  // The budget is spent: the call finishes without another pause.
  CHECK(finished(C.onReply(Refused)) != nullptr);
}

// A refusal within a chain loses the work of the callers above. Whether the
// request was the newest in a full queue, was displaced from it, or was
// expected to wait too long there says nothing about the moment after the
// pause.
TEST_CASE("Call with retryOnOverload retries a request that was displaced or "
          "would have waited too long",
          "[call]") {
  for (auto Cause : {Reason::Displaced, Reason::DeadlineTooNear}) {
    RetryRatio Ratio;
    Call C(RunSemantics::Once, true, 1, Ratio);
    C.retryOnOverload(ClassRank(0));
    auto Refused = notRun(Cause, Milliseconds(500));
    auto Sent = std::get<Call::Send>(C.onNodeSelected(FirstNode, attempt(1)));
    Refused.RetriesLeft = Sent.Retries;
    CHECK(std::holds_alternative<Call::Pause>(C.onReply(Refused)));
    CHECK(std::holds_alternative<Call::SelectNode>(C.onPauseOver()));
    static_cast<void>(C.onNodeSelected(FirstNode, attempt(2)));
    Refused.RetriesLeft = 0;
    CHECK(finished(C.onReply(Refused)) != nullptr);
  }
}

// Running work of a lower class is cancelled to make room; to start it again
// would take the room back.
TEST_CASE("Call with retryOnOverload does not repeat work that was cancelled "
          "for a higher class",
          "[call]") {
  RetryRatio Ratio;
  Call C(RunSemantics::Idempotent, true, 1, Ratio);
  C.retryOnOverload(ClassRank(0));
  auto Cancelled = unknownOutcome(Reason::Displaced, Milliseconds(500));
  auto Sent = std::get<Call::Send>(C.onNodeSelected(FirstNode, attempt(1)));
  Cancelled.RetriesLeft = Sent.Retries;
  CHECK(finished(C.onReply(Cancelled)) != nullptr);
}

// Demand of low importance is refused most; its retries must not use up those
// of a request whose work so far would be lost.
TEST_CASE("Call of the most important class is retried on overload after many "
          "of lower classes were refused",
          "[call]") {
  RetryRatio Ratio;
  auto IsRetried = [&Ratio](ClassRank Rank) {
    Call C(RunSemantics::Idempotent, true, 1, Ratio);
    static_cast<void>(C.start());
    C.retryOnOverload(Rank);
    auto Sent = std::get<Call::Send>(C.onNodeSelected(FirstNode, attempt(1)));
    auto Refused = notRun(Reason::Displaced, Milliseconds(500));
    Refused.RetriesLeft = Sent.Retries;
    return std::holds_alternative<Call::Pause>(C.onReply(Refused));
  };
  unsigned LowRetries = 0;
  for (int I = 0; I < 1000; ++I)
    LowRetries += IsRetried(ClassRank(1)) ? 1 : 0;
  // A tenth of the calls; the lower classes are not shut out.
  CHECK(LowRetries >= 80);
  for (int I = 0; I < 8; ++I)
    CHECK(IsRetried(ClassRank(0)));
}

TEST_CASE("Call keeps its only retry when a call to a leaf is lost", "[call]") {
  RetryRatio Ratio;
  Call C(RunSemantics::Idempotent, true, 1, Ratio);
  static_cast<void>(C.onNodeSelected(FirstNode, attempt(1)));
  CHECK(std::holds_alternative<Call::SelectNode>(C.onLost(true, false)));
}

TEST_CASE("Call selects another node without a retry if the attempt was not "
          "handed over",
          "[call]") {
  RetryRatio Ratio;
  Call C(RunSemantics::Once, true, 0, Ratio);
  static_cast<void>(C.onNodeSelected(FirstNode, attempt(1)));
  CHECK(std::holds_alternative<Call::SelectNode>(C.onLost(false, false)));
  CHECK(C.triedNodes().size() == 1);
  static_cast<void>(C.onNodeSelected(SecondNode, attempt(2)));
  CHECK(std::holds_alternative<Call::SelectNode>(C.onLost(false, false)));
  auto NoNode = C.onNodeSelected(std::nullopt, attempt(3));
  REQUIRE(finished(NoNode) != nullptr);
  CHECK(finished(NoNode)->Outcome == Outcome::NotRun);
}

TEST_CASE("Call recovers the grant of an attempt that was never handed over",
          "[call]") {
  RetryRatio Ratio;
  Call C(RunSemantics::Once, true, 1, Ratio);
  C.setCallDepth(1);
  static_cast<void>(C.onNodeSelected(FirstNode, attempt(1)));
  CHECK(std::holds_alternative<Call::SelectNode>(C.onLost(false, false)));
}
