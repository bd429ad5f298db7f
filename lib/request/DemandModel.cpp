#include "limpetdrum/request/DemandModel.h"

#include <algorithm>

namespace limpetdrum {

namespace {

constexpr std::chrono::seconds FreshFor{4};
/// The deepest chain of calls to design for.
constexpr unsigned MaxDepth = 29;
/// Fewer calls a run than this are ascribed by chance.
constexpr double LeastCalls = 0.2;
/// Arrivals beside a service's targets are calls where they are this multiple
/// of those beside others: failure domains differ by less.
constexpr double CalledRatio = 3;
/// Requests a second and node below which a comparison says nothing.
constexpr double LeastArrivals = 0.5;

/// Adds what a node saw of a route: rates are summed, the means of its runs are
/// weighted with their number.
void add(RouteUsage &Sum, const RouteUsage &Of) {
  auto Runs = Sum.Runs + Of.Runs;
  auto Mean = [&](double Before, double Added) {
    return Runs > 0 ? (Before * Sum.Runs + Added * Of.Runs) / Runs : 0;
  };
  Sum.SlotTime = Microseconds(static_cast<std::int64_t>(
      Mean(static_cast<double>(Sum.SlotTime.count()),
           static_cast<double>(Of.SlotTime.count()))));
  std::map<std::string, std::pair<double, double>> Calls;
  for (const auto &Call : Sum.Calls)
    Calls[Call.Route].first = Call.PerRun;
  for (const auto &Call : Of.Calls)
    Calls[Call.Route].second = Call.PerRun;
  Sum.Calls.clear();
  for (const auto &[Route, PerRun] : Calls)
    Sum.Calls.push_back({Route, Mean(PerRun.first, PerRun.second)});
  Sum.Route = Of.Route;
  Sum.Arrivals += Of.Arrivals;
  Sum.Runs = Runs;
}

template <typename Map> void dropOld(Map &From, TimePoint Now) {
  for (auto At = From.begin(); At != From.end();)
    At = Now - At->second.At > FreshFor ? From.erase(At) : std::next(At);
}

} // namespace

void DemandModel::record(const NodeId &From, UsageSummary Seen, TimePoint Now) {
  this->Reports[From] = {std::move(Seen), Now};
}

void DemandModel::recordDomain(const FailureDomain &From, UsageSummary Seen,
                               TimePoint Now) {
  auto &Entry = this->Sums[{From, Seen.Service}];
  Entry = {std::move(Seen), Now};
}

std::vector<UsageSummary> DemandModel::summaries(TimePoint Now) const {
  std::map<ServiceName, std::map<std::string, RouteUsage>> Totals;
  std::map<ServiceName, std::uint32_t> Nodes;
  for (const auto &[Node, From] : this->Reports) {
    if (Now - From.At > FreshFor)
      continue;
    Nodes[From.Seen.Service] += From.Seen.Nodes;
    for (const auto &Use : From.Seen.Routes)
      add(Totals[From.Seen.Service][Use.Route], Use);
  }
  std::vector<UsageSummary> Result;
  for (const auto &[Service, Count] : Nodes) {
    UsageSummary Sum{Service, Count, {}};
    for (const auto &[Route, Use] : Totals[Service])
      Sum.Routes.push_back(Use);
    Result.push_back(std::move(Sum));
  }
  return Result;
}

template <typename Callable> void DemandModel::forEach(Callable Action) const {
  for (const auto &[Node, From] : this->Reports)
    Action(From.Seen);
  for (const auto &[Of, From] : this->Sums)
    Action(From.Seen);
}

void DemandModel::update(const TrafficPolicy &Policy, TimePoint Now) {
  this->Seen.clear();
  this->Offered.clear();
  this->Callers.clear();
  this->Costs.clear();
  this->Leaves.clear();
  dropOld(this->Reports, Now);
  dropOld(this->Sums, Now);
  this->forEach([this](const UsageSummary &From) {
    for (const auto &Use : From.Routes) {
      auto &Sum = this->Seen[{From.Service, Use.Route}];
      Sum.Runs += Use.Runs;
      Sum.SlotSeconds +=
          Use.Runs * std::chrono::duration<double>(Use.SlotTime).count();
      for (const auto &Call : Use.Calls)
        Sum.Calls[Call.Route] += Use.Runs * Call.PerRun;
    }
  });
  this->compareArrivals();
  this->findLeaves(Policy);
  for (const auto &Of : Policy.routes())
    this->addCosts(Policy, Of, 1, 0, this->Costs[Of.Name]);
}

void DemandModel::compareArrivals() {
  std::map<ServiceName, double> Nodes;
  std::map<std::string, std::map<ServiceName, double>> Arrivals;
  this->forEach([&](const UsageSummary &From) {
    Nodes[From.Service] += From.Nodes;
    for (const auto &Use : From.Routes)
      Arrivals[Use.Route][From.Service] += Use.Arrivals;
  });
  for (const auto &[Route, ByService] : Arrivals) {
    std::vector<double> Means;
    for (const auto &[Service, Count] : Nodes) {
      auto Found = ByService.find(Service);
      Means.push_back(Found == ByService.end() ? 0 : Found->second / Count);
    }
    std::sort(Means.begin(), Means.end());
    // Not the least one: the nodes of a small service may all be restarting.
    auto Least = Means[(Means.size() - 1) / 3];
    double FromClients = 0;
    for (const auto &[Service, Sum] : ByService) {
      auto Mean = Sum / Nodes[Service];
      bool Calls = Mean > CalledRatio * Least + LeastArrivals;
      if (Calls)
        this->Callers[Route].insert(Service);
      FromClients += Calls ? Least * Nodes[Service] : Sum;
    }
    this->Offered[Route] = FromClients;
  }
}

std::vector<RouteCalls> DemandModel::callsOf(const Summary &Runs,
                                             const ServiceName &Service) const {
  std::vector<RouteCalls> Result;
  for (const auto &[Route, Calls] : Runs.Calls) {
    auto PerRun = Calls / Runs.Runs;
    auto Found = this->Callers.find(Route);
    if (PerRun >= LeastCalls && Found != this->Callers.end() &&
        Found->second.count(Service) != 0)
      Result.push_back({Route, PerRun});
  }
  return Result;
}

void DemandModel::findLeaves(const TrafficPolicy &Policy) {
  for (const auto &Of : Policy.routes()) {
    bool IsLeaf = false;
    for (const auto &Part : Of.Services) {
      auto Found = this->Seen.find({Part.Service, Of.Name});
      if (Found == this->Seen.end() || Found->second.Runs <= 0)
        continue;
      IsLeaf = this->callsOf(Found->second, Part.Service).empty();
      if (!IsLeaf)
        break;
    }
    if (IsLeaf)
      this->Leaves.insert(Of.Name);
  }
}

void DemandModel::addCosts(const TrafficPolicy &Policy, const TrafficRoute &Of,
                           double Times, unsigned Depth,
                           ServiceCosts &Into) const {
  if (Depth > MaxDepth || Times < LeastCalls / MaxDepth)
    return;
  double Total = 0;
  for (const auto &Part : Of.Services)
    Total += Part.Weight;
  for (const auto &Part : Of.Services) {
    auto Found = this->Seen.find({Part.Service, Of.Name});
    if (Found == this->Seen.end() || Found->second.Runs <= 0)
      continue;
    auto Share = Times * Part.Weight / Total;
    const auto &Sum = Found->second;
    Into[Part.Service] += Share * Sum.SlotSeconds / Sum.Runs;
    for (const auto &Call : this->callsOf(Sum, Part.Service))
      for (const auto &Callee : Policy.routes())
        if (Callee.Name == Call.Route && Callee.Name != Of.Name)
          this->addCosts(Policy, Callee, Share * Call.PerRun, Depth + 1, Into);
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

bool DemandModel::isCalled(const std::string &Route) const {
  return this->Callers.count(Route) != 0;
}

} // namespace limpetdrum
