#include "limpetdrum/request/CallLearner.h"

#include <algorithm>
#include <cmath>

namespace limpetdrum {

namespace {

/// What runs call changes rarely: observations count half after this.
constexpr double HalfLifeSeconds = 6;
/// Demand changes fast.
constexpr double ArrivalHalfLifeSeconds = 1.5;
/// Requests that a cause is credited with before any was seen, so that none
/// is ruled out by chance.
constexpr double PriorRequests = 0.5;
/// Reports leave out what happens less often than this, in a run.
constexpr double LeastPerRun = 0.05;
/// Before so many runs a share says little.
constexpr double LeastRuns = 5;
/// A larger share of failed runs makes the calls of all of them look fewer.
constexpr double MostFailed = 0.05;
constexpr double MicrosPerSecond = 1e6;

} // namespace

void CallLearner::advance(TimePoint Now) {
  if (this->Last == TimePoint{}) {
    this->Last = Now;
    this->LastReport = Now;
    return;
  }
  auto Passed = std::chrono::duration<double>(Now - this->Last).count();
  this->Last = Now;
  this->Elapsed += Passed;
  this->ArrivalElapsed += Passed;
  for (auto &[Name, Of] : this->Parents)
    Of.NewRunTime += Passed * static_cast<double>(Of.Running);
}

void CallLearner::onRunBegin(const std::string &Route, TimePoint Now) {
  this->advance(Now);
  ++this->Parents[Route].Running;
}

void CallLearner::onRunEnd(const std::string &Route, bool Served,
                           TimePoint Now) {
  this->advance(Now);
  auto &Of = this->Parents[Route];
  if (Of.Running > 0)
    --Of.Running;
  Of.NewRuns += 1;
  if (!Served)
    Of.NewFailed += 1;
}

void CallLearner::onRequest(const std::string &Route, TimePoint Now,
                            const std::string &Parent) {
  this->advance(Now);
  auto &Of = this->Callees[Route];
  Of.Arrivals += 1;
  if (!Parent.empty()) {
    Of.Credits[Parent].New += 1;
    return;
  }
  auto FromClients = (Of.FromClients + PriorRequests) / (this->Elapsed + 1);
  std::map<std::string, double> Rates;
  auto Total = FromClients;
  for (const auto &[Name, Cause] : this->Parents) {
    if (Cause.Running == 0)
      continue;
    const auto &Seen = Of.Credits[Name];
    auto PerSecond = (Seen.Old + Seen.New + PriorRequests) /
                     (Cause.RunTime + Cause.NewRunTime + 1);
    auto Rate = PerSecond * static_cast<double>(Cause.Running);
    Rates[Name] = Rate;
    Total += Rate;
  }
  for (const auto &[Name, Rate] : Rates)
    Of.Credits[Name].New += Rate / Total;
  Of.FromClients += FromClients / Total;
}

void CallLearner::takeOver(const std::string &Name, Parent &Of, double Kept) {
  bool Teaches = Of.Runs < LeastRuns || Of.NewFailed <= MostFailed * Of.NewRuns;
  if (Teaches) {
    Of.Runs = Of.Runs * Kept + Of.NewRuns;
    Of.RunTime = Of.RunTime * Kept + Of.NewRunTime;
  }
  Of.NewRuns = Of.NewRunTime = Of.NewFailed = 0;
  for (auto &[Called, Seen] : this->Callees) {
    auto &Part = Seen.Credits[Name];
    if (Teaches)
      Part.Old = Part.Old * Kept + Part.New;
    Part.New = 0;
  }
}

std::vector<RouteUsage> CallLearner::summarize() const {
  std::map<std::string, RouteUsage> Uses;
  for (const auto &[Name, Of] : this->Callees)
    Uses[Name].Arrivals = Of.Arrivals / (this->ArrivalElapsed + 0.1);
  for (const auto &[Name, Of] : this->Parents) {
    // Half of the calls of those that still run have been made.
    auto Runs = Of.Runs + static_cast<double>(Of.Running) / 2;
    if (Of.Runs < LeastRuns)
      continue;
    auto &Use = Uses[Name];
    Use.Runs = Of.Runs / (this->Elapsed + 1);
    Use.SlotTime = Microseconds(
        static_cast<std::int64_t>(Of.RunTime / Runs * MicrosPerSecond));
    for (const auto &[Called, Seen] : this->Callees) {
      auto Part = Seen.Credits.find(Name);
      if (Part != Seen.Credits.end() && Part->second.Old >= LeastPerRun * Runs)
        Use.Calls.push_back({Called, Part->second.Old / Runs});
    }
  }
  std::vector<RouteUsage> Result;
  for (auto &[Name, Use] : Uses) {
    Use.Route = Name;
    Result.push_back(std::move(Use));
  }
  return Result;
}

std::vector<RouteUsage> CallLearner::report(TimePoint Now) {
  this->advance(Now);
  auto Passed = std::chrono::duration<double>(Now - this->LastReport).count();
  this->LastReport = Now;
  auto Kept = std::exp2(-Passed / HalfLifeSeconds);
  for (auto &[Name, Of] : this->Parents)
    this->takeOver(Name, Of, Kept);
  auto Result = this->summarize();
  auto ArrivalsKept = std::exp2(-Passed / ArrivalHalfLifeSeconds);
  this->Elapsed *= Kept;
  this->ArrivalElapsed *= ArrivalsKept;
  for (auto &[Name, Of] : this->Callees) {
    Of.Arrivals *= ArrivalsKept;
    Of.FromClients *= Kept;
  }
  return Result;
}

} // namespace limpetdrum
