#include "limpetdrum/request/OverloadControl.h"

#include <algorithm>

namespace limpetdrum {

namespace {

/// Clients come back after at most a third of the time that they have left.
constexpr int ShareOfTimeLeft = 3;
/// Time for the load to have changed since the refusal: the gate is worked out
/// anew every 200 ms.
constexpr Milliseconds LeastAppointment{250};
/// Returns need some spread, even if it makes them late.
constexpr Milliseconds LeastSpread{200};
/// Over which returns are spread, for a service that is twice overloaded.
constexpr Milliseconds AppointmentSpread{1200};
constexpr double LatencyWeight = 0.05; ///< of one request, in the mean

} // namespace

OverloadControl::OverloadControl(std::uint64_t Seed)
    : Gate(Seed), Random(Seed + 1) {}

UsageSummary OverloadControl::report(const NodeId &Self,
                                     const ServiceName &Service,
                                     TimePoint Now) {
  UsageSummary Seen{Service, 1, this->Learner.report(Now)};
  this->Demand.record(Self, Seen, Now);
  return Seen;
}

void OverloadControl::update(const TrafficPolicy &Policy,
                             const std::map<ServiceName, ServiceLoad> &Loads,
                             TimePoint Now) {
  this->Demand.update(Policy, Now);
  this->Gate.update(Policy, this->Demand, Loads);
}

void OverloadControl::onServed(const std::string &Route, Microseconds Latency) {
  auto New = static_cast<double>(Latency.count());
  auto &Mean = this->Latencies.try_emplace(Route, New).first->second;
  Mean += LatencyWeight * (New - Mean);
}

Milliseconds OverloadControl::appointment(const Request &Asked) {
  auto Cut = 1 - this->Gate.share(Asked.Route);
  auto Span = static_cast<std::int64_t>(
      static_cast<double>(AppointmentSpread.count()) * std::max(0.25, 2 * Cut));
  // Whoever comes back in time for the latency target is served in full.
  auto Typical = this->Latencies.find(Asked.Route);
  if (Typical != this->Latencies.end()) {
    auto Latest = Asked.LatencyTargetLeft - LeastAppointment -
                  std::chrono::duration_cast<Milliseconds>(
                      Microseconds(static_cast<std::int64_t>(Typical->second)));
    Span = std::clamp<std::int64_t>(Latest.count(), LeastSpread.count(), Span);
  }
  std::uniform_int_distribution<std::int64_t> Spread(0, Span);
  auto Wanted = LeastAppointment + Milliseconds(Spread(this->Random));
  return std::min(Wanted, Asked.TimeLeft / ShareOfTimeLeft);
}

std::optional<Milliseconds> OverloadControl::admit(const Request &Asked) {
  if (Asked.IsCall || this->Gate.admit(Asked.Route))
    return std::nullopt;
  return this->appointment(Asked);
}

} // namespace limpetdrum
