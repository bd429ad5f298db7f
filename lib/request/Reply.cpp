#include "limpetdrum/request/Reply.h"

#include <array>

namespace limpetdrum {

namespace {

constexpr std::array<const char *, ReasonCount> ReasonNames = {
    "none",          "overload",          "level-at-entry", "displaced",
    "deadline",      "cancelled",         "no-target",      "draining",
    "retries-spent", "target-broke",      "node-gone",      "timed-out",
    "wrong-target",  "refused-by-target", "call-failed",    "request-rate",
    "target-ended",  "crashes-targets"};

constexpr std::array<const char *, 3> OutcomeNames = {"answered", "not-run",
                                                      "unknown"};

} // namespace

const char *toString(Reason Value) noexcept {
  return ReasonNames[static_cast<std::size_t>(Value)];
}

const char *toString(Outcome Value) noexcept {
  return OutcomeNames[static_cast<std::size_t>(Value)];
}

Reply notRun(Reason Cause, Milliseconds RetryAfter) {
  Reply Result;
  Result.Outcome = Outcome::NotRun;
  Result.Reason = Cause;
  Result.RetryAfter = RetryAfter;
  return Result;
}

Reply unknownOutcome(Reason Cause, Milliseconds RetryAfter) {
  Reply Result = notRun(Cause, RetryAfter);
  Result.Outcome = Outcome::Unknown;
  return Result;
}

} // namespace limpetdrum
