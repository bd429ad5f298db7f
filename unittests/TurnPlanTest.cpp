#include "limpetdrum/request/TurnPlan.h"

#include <catch2/catch.hpp>

using namespace limpetdrum;

namespace {

using Step = TurnPlan::Step;

TurnPlan::Surroundings around(bool HasOther = true, int MillisLeft = 1000) {
  return {Milliseconds(MillisLeft), [HasOther]() { return HasOther; }};
}

/// A request that has been sent once.
TurnPlan sent(bool Idempotent, std::uint32_t MaxTargets = 2) {
  TurnPlan Plan(Idempotent, MaxTargets);
  Plan.onSent();
  return Plan;
}

} // namespace

TEST_CASE("TurnPlan repeats an unknown outcome only if that is idempotent") {
  CHECK(sent(true).onUnknown(Reason::TargetBroke, around()) ==
        Step::RepeatElsewhere);
  CHECK(sent(false).onUnknown(Reason::TargetBroke, around()) == Step::Fail);
  CHECK(sent(true).onSilent(around()) == Step::RepeatElsewhere);
  CHECK(sent(false).onSilent(around()) == Step::Wait);
}

TEST_CASE("TurnPlan repeats what a target refused without running") {
  bool Idempotent = GENERATE(true, false);
  CHECK(sent(Idempotent).onNotRun(Reason::RefusedByTarget, around()) ==
        Step::RepeatElsewhere);
  // At the same target if there is no other, or no other is allowed.
  CHECK(sent(Idempotent).onNotRun(Reason::RefusedByTarget, around(false)) ==
        Step::RepeatHere);
  CHECK(sent(Idempotent, 1).onNotRun(Reason::RefusedByTarget, around()) ==
        Step::RepeatHere);
  // Another target is at that address: there is nothing to ask again.
  CHECK(sent(Idempotent).onNotRun(Reason::WrongTarget, around(false)) ==
        Step::Refuse);
}

TEST_CASE("TurnPlan moves on without a repeat from where nothing arrived") {
  for (auto Why : {Reason::Draining, Reason::NodeGone, Reason::TargetBroke,
                   Reason::Overload, Reason::DeadlineTooNear}) {
    INFO(toString(Why));
    CHECK(sent(false).onNotRun(Why, around()) == Step::Move);
    CHECK(sent(false).onNotRun(Why, around(false)) == Step::Refuse);
  }
  // Two full queues are enough; what says nothing of others is not.
  auto Twice = sent(false);
  Twice.onSent();
  CHECK(Twice.onNotRun(Reason::Overload, around()) == Step::Refuse);
  CHECK(Twice.onNotRun(Reason::Draining, around()) == Step::Move);
}

TEST_CASE("TurnPlan sends to no more targets than the route allows") {
  auto Plan = sent(true, 3);
  for (int Moved = 0; Moved < 2; ++Moved) {
    auto Next = Plan.onUnknown(Reason::TargetBroke, around());
    REQUIRE(Next == Step::RepeatElsewhere);
    Plan.onGranted(Next, false);
    Plan.onSent();
  }
  CHECK(Plan.onUnknown(Reason::TargetBroke, around()) == Step::Fail);
}

TEST_CASE("TurnPlan never calls not run what may have run") {
  auto Unknown = sent(true);
  (void)Unknown.onUnknown(Reason::TargetBroke, around());
  CHECK(Unknown.onDenied() == Step::Fail);
  auto Abandoned = sent(true);
  Abandoned.onGranted(Step::RepeatElsewhere, true);
  Abandoned.onSent();
  CHECK(Abandoned.onNotRun(Reason::RefusedByTarget, around(true, 10)) ==
        Step::Fail);
  CHECK(sent(true).onDenied() == Step::Refuse);
}

TEST_CASE("TurnPlan ends with its time, and after some turns") {
  CHECK(sent(true).onUnknown(Reason::TargetBroke, around(true, 20)) ==
        Step::Fail);
  CHECK(sent(true).onUnknown(Reason::TimedOut, around()) == Step::Fail);
  CHECK(sent(true).onNotRun(Reason::Draining, around(true, 20)) ==
        Step::Refuse);
  auto Plan = sent(true);
  int Turns = 1;
  while (Plan.onNotRun(Reason::RefusedByTarget, around(false)) ==
         Step::RepeatHere) {
    Plan.onGranted(Step::RepeatHere, false);
    Plan.onSent();
    REQUIRE(++Turns < 20);
  }
  CHECK(Turns == 8);
}
