#include "limpetdrum/daemon/calls/TargetAnswer.h"

#include "limpetdrum/process/Error.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <strings.h>

namespace limpetdrum {

namespace {

/// Statuses that tell a client that its request did not run. From a target, a
/// status alone proves this only if it is 421; the others need the header
/// NotExecuted, and are not passed on without it.
constexpr std::array<int, 4> NotRunStatuses = {408, 421, 429, 503};
constexpr int MisdirectedRequest = 421;

/// Returns a number of requests per second.
/// \throws ValueError unless \p Text is a decimal number from 0.
double parseRequestRate(const std::string &Text) {
  double Value = -1;
  const auto *End = Text.data() + Text.size();
  auto Parsed =
      std::from_chars(Text.data(), End, Value, std::chars_format::fixed);
  if (Parsed.ec != std::errc() || Parsed.ptr != End || !(Value >= 0) ||
      !std::isfinite(Value))
    throw ValueError("'" + Text + "' is not a valid request rate",
                     "name requests per second as a decimal number from 0");
  return Value;
}

} // namespace

bool hasNotices(const HttpResponse &Answer) {
  // Another target may have sent a misdirected answer, and one that was cut may
  // lack headers.
  return Answer.Outcome == HttpOutcome::Answered &&
         Answer.Status != MisdirectedRequest;
}

std::optional<double> readRequestRate(const HttpResponse &Answer,
                                      const HeaderNames &Names) {
  const auto *Text = findHeader(Answer.Headers, Names.RequestRate);
  if (Text == nullptr)
    return std::nullopt;
  return parseRequestRate(*Text);
}

std::optional<TargetLoad> readTargetLoad(const HttpResponse &Answer,
                                         const HeaderNames &Names) {
  std::optional<TargetLoad> Load;
  for (const auto &[Name, Text] : Answer.Headers) {
    if (strcasecmp(Name.c_str(), Names.TargetLoad.c_str()) != 0)
      continue;
    if (Load)
      throw ValueError("the load is stated more than once",
                       "state it in one header");
    Load = parseTargetLoad(Text);
  }
  return Load;
}

bool saysLeaving(const HttpResponse &Answer, const HeaderNames &Names) {
  const auto *Leaving = findHeader(Answer.Headers, Names.TargetLeaving);
  return Leaving != nullptr && *Leaving == "1";
}

Reply toReply(HttpResponse &Answer, const HeaderNames &Names,
              Milliseconds RetryAfter, Milliseconds WhenBusy) {
  switch (Answer.Outcome) {
  case HttpOutcome::NotConnected:
    return notRun(Reason::TargetFailed, RetryAfter);
  case HttpOutcome::Broken:
    return unknownOutcome(Reason::TargetFailed, RetryAfter);
  case HttpOutcome::TimedOut:
    return unknownOutcome(Reason::TimedOut, RetryAfter);
  case HttpOutcome::Answered:
    break;
  }
  if (Answer.Status == MisdirectedRequest)
    return notRun(Reason::WrongTarget, RetryAfter);
  if (findHeader(Answer.Headers, Names.NotExecuted) != nullptr)
    return notRun(Reason::RefusedByTarget, WhenBusy);
  bool HasNotRunStatus = std::find(NotRunStatuses.begin(), NotRunStatuses.end(),
                                   Answer.Status) != NotRunStatuses.end();
  if (HasNotRunStatus)
    return unknownOutcome(Reason::TargetFailed, RetryAfter);
  Reply Value;
  Value.Outcome = Outcome::Answered;
  Value.Status = static_cast<std::uint16_t>(Answer.Status);
  removeConnectionHeaders(Answer.Headers);
  Value.Headers = std::move(Answer.Headers);
  Value.Body = std::move(Answer.Body);
  return Value;
}

} // namespace limpetdrum
