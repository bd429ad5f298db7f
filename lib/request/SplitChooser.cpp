#include "limpetdrum/request/SplitChooser.h"

namespace limpetdrum {

const ServiceName &SplitChooser::choose(const TrafficRoute &Route) {
  if (Route.Services.size() == 1)
    return Route.Services.front().Service;
  auto &RouteCredits = this->Credits[Route.Name];
  const WeightedService *Best = nullptr;
  std::int64_t Total = 0;
  for (const auto &Candidate : Route.Services) {
    RouteCredits[Candidate.Service] += Candidate.Weight;
    Total += Candidate.Weight;
    if (Best == nullptr ||
        RouteCredits[Candidate.Service] > RouteCredits[Best->Service])
      Best = &Candidate;
  }
  RouteCredits[Best->Service] -= Total;
  return Best->Service;
}

} // namespace limpetdrum
