#ifndef LIMPETDRUM_DAEMON_CALLS_TARGETANSWER_H
#define LIMPETDRUM_DAEMON_CALLS_TARGETANSWER_H

#include "limpetdrum/connection/Http.h"
#include "limpetdrum/daemon/calls/HeaderNames.h"
#include "limpetdrum/request/Reply.h"
#include "limpetdrum/request/TargetLoad.h"

#include <optional>

namespace limpetdrum {

/// \brief Returns true if an answer is whole and comes from the target that was
///   asked, so that what it says about itself counts.
[[nodiscard]] bool hasNotices(const HttpResponse &Answer);
/// \brief Returns the requests per second that the target takes from all nodes
///   together; none if the answer names no limit.
/// \throws ValueError if the notice is malformed.
[[nodiscard]] std::optional<double> readRequestRate(const HttpResponse &Answer,
                                                    const HeaderNames &Names);
/// \brief Returns the load that the target states; none if the answer has none.
/// \throws ValueError if it is malformed or stated more than once.
[[nodiscard]] std::optional<TargetLoad>
readTargetLoad(const HttpResponse &Answer, const HeaderNames &Names);
/// \brief Returns true if the target says that it is leaving.
[[nodiscard]] bool saysLeaving(const HttpResponse &Answer,
                               const HeaderNames &Names);

/// \brief Converts a target's answer to a reply, and moves its body there.
/// \param RetryAfter delay before a refused request should be retried.
/// \param WhenBusy the same if the target refused it itself.
[[nodiscard]] Reply toReply(HttpResponse &Answer, const HeaderNames &Names,
                            Milliseconds RetryAfter, Milliseconds WhenBusy);

} // namespace limpetdrum

#endif
