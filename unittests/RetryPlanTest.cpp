#include "limpetdrum/request/RetryPlan.h"

#include <catch2/catch.hpp>

using namespace limpetdrum;

namespace {

using Step = RetryPlan::Step;

RetryPlan::Context around(bool HasOther = true, int MillisLeft = 1000) {
  return {Milliseconds(MillisLeft), [HasOther]() { return HasOther; }};
}

/// A request that has been sent once.
RetryPlan sent(bool Idempotent, std::uint32_t MaxTargets = 2) {
  RetryPlan Plan(Idempotent, MaxTargets);
  Plan.onSent();
  return Plan;
}

} // namespace

TEST_CASE("RetryPlan repeats an unknown outcome only if that is idempotent") {
  CHECK(sent(true).onUnknown(Reason::TargetFailed, around()) ==
        Step::RepeatAtOtherTarget);
  CHECK(sent(false).onUnknown(Reason::TargetFailed, around()) == Step::Fail);
  CHECK(sent(true).onSuspected(around()) == Step::RepeatAtOtherTarget);
  CHECK(sent(false).onSuspected(around()) == Step::Wait);
}

TEST_CASE("RetryPlan repeats what a target refused without running") {
  bool Idempotent = GENERATE(true, false);
  CHECK(sent(Idempotent).onNotRun(Reason::RefusedByTarget, around()) ==
        Step::RepeatAtOtherTarget);
  // At the same target if there is no other, or no other is allowed.
  CHECK(sent(Idempotent).onNotRun(Reason::RefusedByTarget, around(false)) ==
        Step::RepeatAtSameTarget);
  CHECK(sent(Idempotent, 1).onNotRun(Reason::RefusedByTarget, around()) ==
        Step::RepeatAtSameTarget);
  // Another target is at that address: there is nothing to ask again.
  CHECK(sent(Idempotent).onNotRun(Reason::WrongTarget, around(false)) ==
        Step::Refuse);
}

TEST_CASE("RetryPlan moves on without a repeat from where nothing arrived") {
  for (auto Why : {Reason::Draining, Reason::NodeGone, Reason::TargetFailed,
                   Reason::Overload, Reason::DeadlineTooNear}) {
    INFO(toString(Why));
    CHECK(sent(false).onNotRun(Why, around()) == Step::TryOtherNode);
    CHECK(sent(false).onNotRun(Why, around(false)) == Step::Refuse);
  }
  // Two full queues are enough; what says nothing of others is not.
  auto Twice = sent(false);
  Twice.onSent();
  CHECK(Twice.onNotRun(Reason::Overload, around()) == Step::Refuse);
  CHECK(Twice.onNotRun(Reason::Draining, around()) == Step::TryOtherNode);
}

TEST_CASE("RetryPlan sends to no more targets than the route allows") {
  auto Plan = sent(true, 3);
  for (int Moved = 0; Moved < 2; ++Moved) {
    auto Next = Plan.onUnknown(Reason::TargetFailed, around());
    REQUIRE(Next == Step::RepeatAtOtherTarget);
    Plan.onRepeatGranted(Next, false);
    Plan.onSent();
  }
  CHECK(Plan.onUnknown(Reason::TargetFailed, around()) == Step::Fail);
}

TEST_CASE("RetryPlan never calls not run what may have run") {
  auto Unknown = sent(true);
  (void)Unknown.onUnknown(Reason::TargetFailed, around());
  CHECK(Unknown.terminalStep() == Step::Fail);
  auto Abandoned = sent(true);
  Abandoned.onRepeatGranted(Step::RepeatAtOtherTarget, true);
  Abandoned.onSent();
  CHECK(Abandoned.onNotRun(Reason::RefusedByTarget, around(true, 10)) ==
        Step::Fail);
  CHECK(sent(true).terminalStep() == Step::Refuse);
}

TEST_CASE("RetryPlan ends with its time, and after some turns") {
  CHECK(sent(true).onUnknown(Reason::TargetFailed, around(true, 20)) ==
        Step::Fail);
  CHECK(sent(true).onUnknown(Reason::TimedOut, around()) == Step::Fail);
  CHECK(sent(true).onNotRun(Reason::Draining, around(true, 20)) ==
        Step::Refuse);
  auto Plan = sent(true);
  int Turns = 1;
  while (Plan.onNotRun(Reason::RefusedByTarget, around(false)) ==
         Step::RepeatAtSameTarget) {
    Plan.onRepeatGranted(Step::RepeatAtSameTarget, false);
    Plan.onSent();
    REQUIRE(++Turns < 20);
  }
  CHECK(Turns == 8);
}
