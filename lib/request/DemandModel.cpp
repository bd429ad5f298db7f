#include "limpetdrum/request/DemandModel.h"

#include <algorithm>

namespace limpetdrum {

namespace {

/// Age up to which a report is used.
constexpr std::chrono::seconds FreshFor{4};
/// Maximum depth of a chain of calls that is followed.
constexpr unsigned MaxDepth = 29;
/// Fewer calls per run than this count as attributed by chance.
constexpr double MinCallsPerRun = 0.2;
/// Arrivals at the nodes of a service's targets count as calls if they exceed
/// this multiple of the arrivals at other nodes. Failure domains differ by
/// less.
constexpr double CalledRatio = 3;
/// Margin of that comparison, in requests per second and node; below it, rates
/// are too low to compare.
constexpr double ArrivalMargin = 0.5;

/// Adds the usage of a route at a node: rates are summed, means over runs are
/// weighted with the number of runs.
void addUsage(RouteUsage &Sum, const RouteUsage &Usage) {
  auto Runs = Sum.Runs + Usage.Runs;
  auto Mean = [&](double Previous, double Added) {
    return Runs > 0 ? (Previous * Sum.Runs + Added * Usage.Runs) / Runs : 0;
  };
  Sum.SlotTime = Microseconds(static_cast<std::int64_t>(
      Mean(static_cast<double>(Sum.SlotTime.count()),
           static_cast<double>(Usage.SlotTime.count()))));
  std::map<std::string, std::pair<double, double>> Calls;
  for (const auto &Call : Sum.Calls)
    Calls[Call.Route].first = Call.PerRun;
  for (const auto &Call : Usage.Calls)
    Calls[Call.Route].second = Call.PerRun;
  Sum.Calls.clear();
  for (const auto &[Route, PerRun] : Calls)
    Sum.Calls.push_back({Route, Mean(PerRun.first, PerRun.second)});
  Sum.Route = Usage.Route;
  Sum.Arrivals += Usage.Arrivals;
  Sum.Runs = Runs;
}

/// Sums usage by service.
class UsageSums {
public:
  void add(const UsageSummary &Usage) {
    this->NodeCounts[Usage.Service] += Usage.Nodes;
    for (const auto &RouteUse : Usage.Routes)
      addUsage(this->Routes[Usage.Service][RouteUse.Route], RouteUse);
  }
  [[nodiscard]] std::vector<UsageSummary> summaries() const {
    std::vector<UsageSummary> Result;
    for (const auto &[Service, Count] : this->NodeCounts) {
      UsageSummary Sum{Service, Count, {}};
      auto Found = this->Routes.find(Service);
      if (Found != this->Routes.end())
        for (const auto &[Route, RouteUse] : Found->second)
          Sum.Routes.push_back(RouteUse);
      Result.push_back(std::move(Sum));
    }
    return Result;
  }

private:
  std::map<ServiceName, std::map<std::string, RouteUsage>> Routes;
  std::map<ServiceName, std::uint32_t> NodeCounts;
};

template <typename Map> void removeExpired(Map &Entries, TimePoint Now) {
  for (auto It = Entries.begin(); It != Entries.end();)
    It = Now - It->second.ReceivedAt > FreshFor ? Entries.erase(It)
                                                : std::next(It);
}

} // namespace

void DemandModel::record(const NodeId &Node, UsageSummary Usage,
                         TimePoint Now) {
  this->NodeReports[Node] = {std::move(Usage), Now};
}

void DemandModel::recordDomain(const FailureDomain &Domain, UsageSummary Usage,
                               TimePoint Now) {
  auto &Entry = this->DomainReports[{Domain, Usage.Service}];
  Entry = {std::move(Usage), Now};
}

void DemandModel::recordFleet(UsageSummary Usage, TimePoint Now) {
  auto &Entry = this->FleetReports[Usage.Service];
  Entry = {std::move(Usage), Now};
}

std::vector<UsageSummary> DemandModel::summaries(TimePoint Now) const {
  UsageSums Sums;
  for (const auto &[Node, Report] : this->NodeReports)
    if (Now - Report.ReceivedAt <= FreshFor)
      Sums.add(Report.Usage);
  return Sums.summaries();
}

std::vector<UsageSummary> DemandModel::fleetSummaries(TimePoint Now) const {
  UsageSums Sums;
  for (const auto &[Node, Report] : this->NodeReports)
    if (Now - Report.ReceivedAt <= FreshFor)
      Sums.add(Report.Usage);
  for (const auto &[Key, Report] : this->DomainReports)
    if (Now - Report.ReceivedAt <= FreshFor)
      Sums.add(Report.Usage);
  return Sums.summaries();
}

template <typename Callable>
void DemandModel::forEachUsage(Callable Action) const {
  if (!this->FleetReports.empty()) {
    for (const auto &[Service, Report] : this->FleetReports)
      Action(Report.Usage);
    return;
  }
  for (const auto &[Node, Report] : this->NodeReports)
    Action(Report.Usage);
  for (const auto &[Key, Report] : this->DomainReports)
    Action(Report.Usage);
}

void DemandModel::update(const TrafficPolicy &Policy, TimePoint Now) {
  this->RouteTotals.clear();
  this->Offered.clear();
  this->Callers.clear();
  this->Costs.clear();
  this->Leaves.clear();
  removeExpired(this->NodeReports, Now);
  removeExpired(this->DomainReports, Now);
  removeExpired(this->FleetReports, Now);
  this->forEachUsage([this](const UsageSummary &Usage) {
    for (const auto &RouteUse : Usage.Routes) {
      auto &Total = this->RouteTotals[{Usage.Service, RouteUse.Route}];
      Total.Runs += RouteUse.Runs;
      Total.SlotSeconds +=
          RouteUse.Runs *
          std::chrono::duration<double>(RouteUse.SlotTime).count();
      for (const auto &Call : RouteUse.Calls)
        Total.Calls[Call.Route] += RouteUse.Runs * Call.PerRun;
    }
  });
  this->compareArrivals();
  this->findLeaves(Policy);
  for (const auto &Route : Policy.routes())
    this->addCosts(Policy, Route, 1, 0, this->Costs[Route.Name]);
}

void DemandModel::compareArrivals() {
  std::map<ServiceName, double> NodeCounts;
  std::map<std::string, std::map<ServiceName, double>> Arrivals;
  this->forEachUsage([&](const UsageSummary &Usage) {
    NodeCounts[Usage.Service] += Usage.Nodes;
    for (const auto &RouteUse : Usage.Routes)
      Arrivals[RouteUse.Route][Usage.Service] += RouteUse.Arrivals;
  });
  for (const auto &[Route, ByService] : Arrivals) {
    std::vector<double> Means;
    for (const auto &[Service, Count] : NodeCounts) {
      auto Found = ByService.find(Service);
      Means.push_back(Found == ByService.end() ? 0 : Found->second / Count);
    }
    std::sort(Means.begin(), Means.end());
    // The lower tercile, not the minimum: the nodes of a small service may all
    // be restarting.
    auto Baseline = Means[(Means.size() - 1) / 3];
    double FromClients = 0;
    for (const auto &[Service, Sum] : ByService) {
      auto Mean = Sum / NodeCounts[Service];
      bool IsCaller = Mean > CalledRatio * Baseline + ArrivalMargin;
      if (IsCaller)
        this->Callers[Route].insert(Service);
      FromClients += IsCaller ? Baseline * NodeCounts[Service] : Sum;
    }
    this->Offered[Route] = FromClients;
  }
}

std::vector<RouteCalls>
DemandModel::significantCalls(const RouteTotal &Total,
                              const ServiceName &Service) const {
  std::vector<RouteCalls> Result;
  for (const auto &[Route, Calls] : Total.Calls) {
    auto PerRun = Calls / Total.Runs;
    auto Found = this->Callers.find(Route);
    if (PerRun >= MinCallsPerRun && Found != this->Callers.end() &&
        Found->second.count(Service) != 0)
      Result.push_back({Route, PerRun});
  }
  return Result;
}

void DemandModel::findLeaves(const TrafficPolicy &Policy) {
  for (const auto &Route : Policy.routes()) {
    bool IsLeaf = false;
    for (const auto &Part : Route.Services) {
      auto Found = this->RouteTotals.find({Part.Service, Route.Name});
      if (Found == this->RouteTotals.end() || Found->second.Runs <= 0)
        continue;
      IsLeaf = this->significantCalls(Found->second, Part.Service).empty();
      if (!IsLeaf)
        break;
    }
    if (IsLeaf)
      this->Leaves.insert(Route.Name);
  }
}

void DemandModel::addCosts(const TrafficPolicy &Policy,
                           const TrafficRoute &Route, double Runs,
                           unsigned Depth, ServiceCosts &Result) const {
  if (Depth > MaxDepth || Runs < MinCallsPerRun / MaxDepth)
    return;
  double Total = 0;
  for (const auto &Part : Route.Services)
    Total += Part.Weight;
  for (const auto &Part : Route.Services) {
    auto Found = this->RouteTotals.find({Part.Service, Route.Name});
    if (Found == this->RouteTotals.end() || Found->second.Runs <= 0)
      continue;
    auto Share = Runs * Part.Weight / Total;
    const auto &RunTotal = Found->second;
    Result[Part.Service] += Share * RunTotal.SlotSeconds / RunTotal.Runs;
    for (const auto &Call : this->significantCalls(RunTotal, Part.Service))
      for (const auto &Callee : Policy.routes())
        if (Callee.Name == Call.Route && Callee.Name != Route.Name)
          this->addCosts(Policy, Callee, Share * Call.PerRun, Depth + 1,
                         Result);
  }
}

const ServiceCosts *DemandModel::costs(const std::string &Route) const {
  auto Found = this->Costs.find(Route);
  return Found == this->Costs.end() ? nullptr : &Found->second;
}

double DemandModel::offered(const std::string &Route) const {
  auto Found = this->Offered.find(Route);
  return Found == this->Offered.end() ? 0 : Found->second;
}

bool DemandModel::isInternalRoute(const std::string &Route) const {
  return this->Callers.count(Route) != 0;
}

} // namespace limpetdrum
