#ifndef LIMPETDRUM_REQUEST_REPLY_H
#define LIMPETDRUM_REQUEST_REPLY_H

#include "limpetdrum/process/Body.h"
#include "limpetdrum/process/Types.h"

#include <string>
#include <utility>
#include <vector>

namespace limpetdrum {

/// \brief Outcome of a request that has ended.
enum class Outcome : std::uint8_t {
  Answered, ///< it ran once, and the whole answer is here
  NotRun,   ///< proven: no copy of it ran or can run
  Unknown,  ///< it may have run
};

/// \brief Reason for which a request was not answered by a target.
enum class Reason : std::uint8_t {
  None,
  Overload,         ///< the queue of the target's node is full
  LevelAtEntry,     ///< a service further down does not admit its position
  Displaced,        ///< displaced from the queue by one that is shed later
  DeadlineTooNear,  ///< the expected wait is longer than the time left
  Cancelled,        ///< the caller cancelled it
  NoTarget,         ///< no ready target is known
  Draining,         ///< the target is draining
  RetriesExhausted, ///< the retries of the whole chain are used up
  TargetFailed,     ///< the target's connection failed, or its answer was cut
  NodeGone,         ///< the node that may have run it is gone
  TimedOut,         ///< no answer within the deadline
  WrongTarget,      ///< a different target has the address now
  RefusedByTarget,  ///< the target reported that it did not run it
  CallFailed,       ///< the target reported that one of its own calls failed
  RequestRate,      ///< the target takes no more requests per second
  TargetEnded,      ///< the target's process ended while it ran the request
  CrashesTargets,   ///< the request has crashed several targets
};

/// \brief Number of values of Reason.
inline constexpr std::size_t ReasonCount = 18;

/// \brief Returns the name of a reason in headers, logs and metrics.
[[nodiscard]] const char *toString(Reason Value) noexcept;
[[nodiscard]] const char *toString(Outcome Value) noexcept;

/// \brief The admission threshold of a service, carried back on replies.
struct LevelReport {
  ServiceName Service;
  /// Requests at positions below it are admitted; see AdmissionLevel.
  float Threshold = 0;
};

/// \brief The complete reply to one attempt.
struct Reply {
  limpetdrum::Outcome Outcome = limpetdrum::Outcome::Unknown;
  std::uint16_t Status = 0; ///< HTTP status of the target's answer
  std::string ContentType;
  /// All headers of the target's answer, if they are passed on.
  std::vector<std::pair<std::string, std::string>> Headers;
  limpetdrum::Body Body;
  limpetdrum::Reason Reason = limpetdrum::Reason::None;
  Milliseconds RetryAfter{0};
  std::uint16_t RetriesLeft = 0; ///< unspent part of the granted retries
  std::vector<LevelReport> Levels;
};

/// \brief Returns a reply which states that a request did not run.
[[nodiscard]] Reply notRun(Reason Cause, Milliseconds RetryAfter);
/// \brief Returns a reply which states that a request may have run.
[[nodiscard]] Reply unknownOutcome(Reason Cause, Milliseconds RetryAfter);

} // namespace limpetdrum

#endif
