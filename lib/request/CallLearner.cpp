#include "limpetdrum/request/CallLearner.h"

#include <algorithm>
#include <cmath>

namespace limpetdrum {

namespace {

/// Half-life of observations of calls. The calls of a route change rarely.
constexpr double HalfLifeSeconds = 6;
/// Half-life of arrivals. Demand changes quickly.
constexpr double ArrivalHalfLifeSeconds = 1.5;
/// Requests attributed to each possible cause in advance, so that none is ruled
/// out by chance.
constexpr double PriorRequests = 0.5;
/// Reports leave out calls made less often per run than this.
constexpr double MinCallsPerRun = 0.05;
/// Minimum number of runs for a reliable estimate.
constexpr double MinRuns = 5;
/// Largest share of failed runs in observations that are used; a larger one
/// would bias the calls per run downwards.
constexpr double MaxFailedShare = 0.05;
constexpr double MicrosPerSecond = 1e6;

} // namespace

void CallLearner::advance(TimePoint Now) {
  if (this->LastUpdate == TimePoint{}) {
    this->LastUpdate = Now;
    this->LastReport = Now;
    return;
  }
  auto Passed = std::chrono::duration<double>(Now - this->LastUpdate).count();
  this->LastUpdate = Now;
  this->Elapsed += Passed;
  this->ArrivalElapsed += Passed;
  for (auto &[Name, Stats] : this->Parents)
    Stats.NewRunTime += Passed * static_cast<double>(Stats.Running);
}

void CallLearner::onRunBegin(const std::string &Route, TimePoint Now) {
  this->advance(Now);
  ++this->Parents[Route].Running;
}

void CallLearner::onRunEnd(const std::string &Route, bool Served,
                           TimePoint Now) {
  this->advance(Now);
  auto &Stats = this->Parents[Route];
  if (Stats.Running > 0)
    --Stats.Running;
  Stats.NewRuns += 1;
  if (!Served)
    Stats.NewFailed += 1;
}

void CallLearner::onRequest(const std::string &Route, TimePoint Now,
                            const std::string &Parent) {
  this->advance(Now);
  auto &Stats = this->Callees[Route];
  Stats.Arrivals += 1;
  if (!Parent.empty()) {
    Stats.Credits[Parent].New += 1;
    return;
  }
  auto FromClients = (Stats.FromClients + PriorRequests) / (this->Elapsed + 1);
  std::map<std::string, double> Rates;
  auto Total = FromClients;
  for (const auto &[Name, Cause] : this->Parents) {
    if (Cause.Running == 0)
      continue;
    const auto &Credit = Stats.Credits[Name];
    auto PerSecond = (Credit.Old + Credit.New + PriorRequests) /
                     (Cause.RunTime + Cause.NewRunTime + 1);
    auto Rate = PerSecond * static_cast<double>(Cause.Running);
    Rates[Name] = Rate;
    Total += Rate;
  }
  for (const auto &[Name, Rate] : Rates)
    Stats.Credits[Name].New += Rate / Total;
  Stats.FromClients += FromClients / Total;
}

void CallLearner::mergeNewObservations(const std::string &Name,
                                       ParentStats &Stats, double Decay) {
  bool Usable =
      Stats.Runs < MinRuns || Stats.NewFailed <= MaxFailedShare * Stats.NewRuns;
  if (Usable) {
    Stats.Runs = Stats.Runs * Decay + Stats.NewRuns;
    Stats.RunTime = Stats.RunTime * Decay + Stats.NewRunTime;
  }
  Stats.NewRuns = Stats.NewRunTime = Stats.NewFailed = 0;
  for (auto &[Route, Callee] : this->Callees) {
    auto &Credit = Callee.Credits[Name];
    if (Usable)
      Credit.Old = Credit.Old * Decay + Credit.New;
    Credit.New = 0;
  }
}

std::vector<RouteUsage> CallLearner::summarize() const {
  std::map<std::string, RouteUsage> Usages;
  for (const auto &[Name, Stats] : this->Callees)
    Usages[Name].Arrivals = Stats.Arrivals / (this->ArrivalElapsed + 0.1);
  for (const auto &[Name, Stats] : this->Parents) {
    // On average, the runs in progress have made half of their calls.
    auto Runs = Stats.Runs + static_cast<double>(Stats.Running) / 2;
    if (Stats.Runs < MinRuns)
      continue;
    auto &Usage = Usages[Name];
    Usage.Runs = Stats.Runs / (this->Elapsed + 1);
    Usage.SlotTime = Microseconds(
        static_cast<std::int64_t>(Stats.RunTime / Runs * MicrosPerSecond));
    for (const auto &[CalledRoute, Callee] : this->Callees) {
      auto Credit = Callee.Credits.find(Name);
      if (Credit != Callee.Credits.end() &&
          Credit->second.Old >= MinCallsPerRun * Runs)
        Usage.Calls.push_back({CalledRoute, Credit->second.Old / Runs});
    }
  }
  std::vector<RouteUsage> Result;
  for (auto &[Name, Usage] : Usages) {
    Usage.Route = Name;
    Result.push_back(std::move(Usage));
  }
  return Result;
}

std::vector<RouteUsage> CallLearner::report(TimePoint Now) {
  this->advance(Now);
  auto Passed = std::chrono::duration<double>(Now - this->LastReport).count();
  this->LastReport = Now;
  auto Decay = std::exp2(-Passed / HalfLifeSeconds);
  for (auto &[Name, Stats] : this->Parents)
    this->mergeNewObservations(Name, Stats, Decay);
  auto Result = this->summarize();
  auto ArrivalDecay = std::exp2(-Passed / ArrivalHalfLifeSeconds);
  this->Elapsed *= Decay;
  this->ArrivalElapsed *= ArrivalDecay;
  for (auto &[Name, Stats] : this->Callees) {
    Stats.Arrivals *= ArrivalDecay;
    Stats.FromClients *= Decay;
  }
  return Result;
}

} // namespace limpetdrum
