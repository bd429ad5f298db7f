#include "limpetdrum/request/RetryPlan.h"

#include <catch2/catch.hpp>

using namespace limpetdrum;

namespace {

using Step = RetryPlan::Step;

RetryPlan::Context context(bool HasUntriedNode = true, int MillisLeft = 1000) {
  return {Milliseconds(MillisLeft),
          [HasUntriedNode]() { return HasUntriedNode; }};
}

/// A request that has been sent once.
RetryPlan sent(bool Idempotent, std::uint32_t MaxTargets = 2) {
  RetryPlan Plan(Idempotent, MaxTargets);
  Plan.onSent();
  return Plan;
}

} // namespace

TEST_CASE("RetryPlan repeats an attempt with unknown outcome only on an "
          "idempotent route") {
  CHECK(sent(true).onUnknown(Reason::TargetFailed, context()) ==
        Step::RepeatAtOtherTarget);
  CHECK(sent(false).onUnknown(Reason::TargetFailed, context()) == Step::Fail);
  CHECK(sent(true).onSuspected(context()) == Step::RepeatAtOtherTarget);
  CHECK(sent(false).onSuspected(context()) == Step::Wait);
}

TEST_CASE(
    "RetryPlan repeats an attempt that a target refused without running") {
  bool Idempotent = GENERATE(true, false);
  CHECK(sent(Idempotent).onNotRun(Reason::RefusedByTarget, context()) ==
        Step::RepeatAtOtherTarget);
  // The same target is used if there is no other one or no other one is
  // allowed.
  CHECK(sent(Idempotent).onNotRun(Reason::RefusedByTarget, context(false)) ==
        Step::RepeatAtSameTarget);
  CHECK(sent(Idempotent, 1).onNotRun(Reason::RefusedByTarget, context()) ==
        Step::RepeatAtSameTarget);
  // A different target has the address, so the same one cannot be tried again.
  CHECK(sent(Idempotent).onNotRun(Reason::WrongTarget, context(false)) ==
        Step::Refuse);
}

TEST_CASE("RetryPlan tries another node without a repeat if no target was "
          "reached") {
  for (auto Cause :
       {Reason::Draining, Reason::NodeGone, Reason::TargetFailed,
        Reason::Overload, Reason::DeadlineTooNear, Reason::RequestRate}) {
    INFO(toString(Cause));
    CHECK(sent(false).onNotRun(Cause, context()) == Step::TryOtherNode);
    CHECK(sent(false).onNotRun(Cause, context(false)) == Step::Refuse);
  }
  // Two refusals for overload end the request; a reason that is specific to one
  // node does not.
  auto SentTwice = sent(false);
  SentTwice.onSent();
  CHECK(SentTwice.onNotRun(Reason::Overload, context()) == Step::Refuse);
  CHECK(SentTwice.onNotRun(Reason::Draining, context()) == Step::TryOtherNode);
  CHECK(SentTwice.onNotRun(Reason::RequestRate, context()) ==
        Step::TryOtherNode);
}

TEST_CASE("RetryPlan ends a request that crashes targets") {
  CHECK(sent(true, 3).onNotRun(Reason::CrashesTargets, context()) ==
        Step::Refuse);
  auto MayHaveRun = sent(true, 3);
  MayHaveRun.onRepeatGranted(
      MayHaveRun.onUnknown(Reason::TargetEnded, context()), false);
  CHECK(MayHaveRun.onNotRun(Reason::CrashesTargets, context()) == Step::Fail);
}

TEST_CASE(
    "RetryPlan sends a request to no more targets than the route allows") {
  auto Plan = sent(true, 3);
  for (int Repeat = 0; Repeat < 2; ++Repeat) {
    auto Next = Plan.onUnknown(Reason::TargetFailed, context());
    REQUIRE(Next == Step::RepeatAtOtherTarget);
    Plan.onRepeatGranted(Next, false);
    Plan.onSent();
  }
  CHECK(Plan.onUnknown(Reason::TargetFailed, context()) == Step::Fail);
}

TEST_CASE("RetryPlan never reports a request that may have run as not run") {
  auto Unknown = sent(true);
  (void)Unknown.onUnknown(Reason::TargetFailed, context());
  CHECK(Unknown.terminalStep() == Step::Fail);
  auto Abandoned = sent(true);
  Abandoned.onRepeatGranted(Step::RepeatAtOtherTarget, true);
  Abandoned.onSent();
  CHECK(Abandoned.onNotRun(Reason::RefusedByTarget, context(true, 10)) ==
        Step::Fail);
  CHECK(sent(true).terminalStep() == Step::Refuse);
}

TEST_CASE("RetryPlan ends a request when little time is left or after eight "
          "attempts") {
  CHECK(sent(true).onUnknown(Reason::TargetFailed, context(true, 20)) ==
        Step::Fail);
  CHECK(sent(true).onUnknown(Reason::TimedOut, context()) == Step::Fail);
  CHECK(sent(true).onNotRun(Reason::Draining, context(true, 20)) ==
        Step::Refuse);
  auto Plan = sent(true);
  int Attempts = 1;
  while (Plan.onNotRun(Reason::RefusedByTarget, context(false)) ==
         Step::RepeatAtSameTarget) {
    Plan.onRepeatGranted(Step::RepeatAtSameTarget, false);
    Plan.onSent();
    REQUIRE(++Attempts < 20);
  }
  CHECK(Attempts == 8);
}
