#include "limpetdrum/request/OverloadControl.h"

#include <algorithm>

namespace limpetdrum {

namespace {

/// Divisor of the time left; clients retry after at most a third of it.
constexpr int TimeLeftDivisor = 3;
/// Minimum delay of retries. The load has to change first, and the gate is
/// updated every 200 ms.
constexpr Milliseconds MinRetryDelay{250};
/// Minimum spread of retries, even if it delays some beyond the latency target.
constexpr Milliseconds MinRetrySpread{200};
/// Spread of retries at a service offered twice its capacity.
constexpr Milliseconds RetrySpread{1200};
constexpr double LatencyWeight = 0.05; ///< of one request, in the mean

} // namespace

OverloadControl::OverloadControl(std::uint64_t Seed)
    : Gate(Seed), Random(Seed + 1) {}

UsageSummary OverloadControl::report(const NodeId &Self,
                                     const ServiceName &Service,
                                     TimePoint Now) {
  UsageSummary Usage{Service, 1, this->Learner.report(Now)};
  this->Demand.record(Self, Usage, Now);
  return Usage;
}

void OverloadControl::update(const TrafficPolicy &Policy,
                             const std::map<ServiceName, ServiceLoad> &Loads,
                             TimePoint Now) {
  this->Demand.update(Policy, Now);
  this->Gate.update(Policy, this->Demand, Loads);
}

double OverloadControl::totalOffered(const TrafficPolicy &Policy) const {
  double Total = 0;
  for (const auto &Route : Policy.routes())
    if (!this->Demand.isInternalRoute(Route.Name))
      Total += this->Demand.offered(Route.Name);
  return Total;
}

void OverloadControl::onServed(const std::string &Route, Microseconds Latency) {
  auto Sample = static_cast<double>(Latency.count());
  auto &Mean = this->Latencies.try_emplace(Route, Sample).first->second;
  Mean += LatencyWeight * (Sample - Mean);
}

Milliseconds OverloadControl::retryDelay(const Request &Request) {
  auto RefusedShare = 1 - this->Gate.share(Request.Route);
  auto Span =
      static_cast<std::int64_t>(static_cast<double>(RetrySpread.count()) *
                                std::max(0.25, 2 * RefusedShare));
  // The spread ends where a retry can still meet the latency target.
  auto Latency = this->Latencies.find(Request.Route);
  if (Latency != this->Latencies.end()) {
    auto LatestDelay = Request.LatencyTargetLeft - MinRetryDelay -
                       std::chrono::duration_cast<Milliseconds>(Microseconds(
                           static_cast<std::int64_t>(Latency->second)));
    Span = std::clamp<std::int64_t>(LatestDelay.count(), MinRetrySpread.count(),
                                    Span);
  }
  std::uniform_int_distribution<std::int64_t> Spread(0, Span);
  auto Delay = MinRetryDelay + Milliseconds(Spread(this->Random));
  return std::min(Delay, Request.TimeLeft / TimeLeftDivisor);
}

std::optional<Milliseconds> OverloadControl::admit(const Request &Request) {
  if (Request.IsCall || this->Gate.admit(Request.Route, Request.Organisation))
    return std::nullopt;
  return this->retryDelay(Request);
}

} // namespace limpetdrum
