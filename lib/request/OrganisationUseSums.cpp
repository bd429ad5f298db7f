#include "limpetdrum/request/OrganisationUseSums.h"

#include <algorithm>
#include <cmath>

namespace limpetdrum {

namespace {

/// Time for which the last report of a silent node, or domain, counts.
constexpr std::chrono::seconds KeepFor{20};
/// Age of a report from which its node is silent: a period and a half. It costs
/// little to take a node for silent whose report is late.
constexpr Milliseconds SilentAfter{800};
/// Time without hearing any other node after which all reports are old.
constexpr Milliseconds MaxGap{1000};
/// Time within which each node reports again, and the reports arrive.
constexpr Milliseconds SettlingTime{600};
/// Largest growth of demand that a silent node is assumed to share.
constexpr double MaxSilentGrowth = 10;
/// Time after which a sum of fewer nodes is believed.
constexpr std::chrono::seconds BelieveAfter{3};
constexpr double CompleteShare = 0.9;
/// Share of the rate above which an organisation's demand is handed out.
constexpr double ReportedShare = 0.5;
/// Change of a demand that is handed out at once, as a share of the rate.
constexpr double UrgentShare = 0.1;

template <typename Map> void removeExpired(Map &Entries, TimePoint Now) {
  for (auto It = Entries.begin(); It != Entries.end();)
    It = Now - It->second.ReceivedAt > KeepFor ? Entries.erase(It)
                                               : std::next(It);
}

} // namespace

void OrganisationUseSums::onHeard(TimePoint Now) {
  // Before the first report there is nothing old.
  if (this->HeardAt && Now - *this->HeardAt > MaxGap)
    this->SettledAt = Now + SettlingTime;
  this->HeardAt = Now;
}

bool OrganisationUseSums::isSettled(TimePoint Now) const {
  return this->HeardAt && Now - *this->HeardAt <= MaxGap &&
         Now >= this->SettledAt;
}

void OrganisationUseSums::recordOwn(std::vector<OrganisationUse> Uses,
                                    TimePoint Now) {
  auto Parts = this->parts(Uses);
  this->NodeReports[NodeId()] = {{1, std::move(Uses)}, Now, std::move(Parts)};
}

void OrganisationUseSums::record(const NodeId &Node,
                                 std::vector<OrganisationUse> Uses,
                                 TimePoint Now) {
  this->onHeard(Now);
  auto Parts = this->parts(Uses);
  this->NodeReports[Node] = {{1, std::move(Uses)}, Now, std::move(Parts)};
}

std::vector<double>
OrganisationUseSums::parts(const std::vector<OrganisationUse> &Uses) const {
  std::vector<double> Result;
  for (const auto &Use : Uses) {
    auto Known = this->HandedOut.find(Use.Organisation);
    Result.push_back(Known == this->HandedOut.end() || Known->second <= 0
                         ? 0
                         : std::min(1.0, Use.Asked / Known->second));
  }
  return Result;
}

void OrganisationUseSums::recordDomain(const FailureDomain &Domain, Sum Total,
                                       TimePoint Now) {
  this->onHeard(Now);
  auto [Found, IsNew] = this->DomainSums.try_emplace(Domain);
  auto &Entry = Found->second;
  bool LacksNodes = static_cast<double>(Total.Nodes) <
                    CompleteShare * static_cast<double>(Entry.Total.Nodes);
  if (!IsNew && LacksNodes && Now - Entry.ReceivedAt < BelieveAfter)
    return;
  auto Parts = this->parts(Total.Uses);
  Entry = {std::move(Total), Now, std::move(Parts)};
}

void OrganisationUseSums::expire(TimePoint Now) {
  removeExpired(this->NodeReports, Now);
  removeExpired(this->DomainSums, Now);
}

OrganisationUseSums::Totals OrganisationUseSums::total(bool WithDomains,
                                                       std::size_t &Nodes,
                                                       TimePoint Now) const {
  Totals Result;
  auto Add = [&](const TimedSum &Report) {
    Nodes += Report.Total.Nodes;
    bool IsSilent = Now - Report.ReceivedAt > SilentAfter;
    for (std::size_t I = 0; I < Report.Total.Uses.size(); ++I) {
      const auto &Use = Report.Total.Uses[I];
      auto &Total = Result[Use.Organisation];
      Total.Organisation = Use.Organisation;
      auto HandedOut = this->HandedOut.find(Use.Organisation);
      if (IsSilent && HandedOut != this->HandedOut.end())
        Total.Asked += std::min(Report.Parts[I] * HandedOut->second,
                                MaxSilentGrowth * Use.Asked);
      else
        Total.Asked += Use.Asked;
    }
  };
  for (const auto &[Node, Report] : this->NodeReports)
    Add(Report);
  if (WithDomains)
    for (const auto &[Domain, Entry] : this->DomainSums)
      Add(Entry);
  return Result;
}

OrganisationUseSums::Sum OrganisationUseSums::domainSum(TimePoint Now) {
  this->expire(Now);
  Sum Result;
  for (auto &[Name, Use] : this->total(false, Result.Nodes, Now))
    Result.Uses.push_back(Use);
  return Result;
}

OrganisationUseSums::Sum
OrganisationUseSums::fleetSum(const Organisations &InForce, TimePoint Now) {
  this->expire(Now);
  Sum Result;
  auto Totals = this->total(true, Result.Nodes, Now);
  this->HandedOut.clear();
  for (auto &[Name, Use] : Totals) {
    const auto *Organisation = InForce.find(Name);
    if (Organisation == nullptr)
      continue;
    auto Assumed = ReportedShare * Organisation->RatePerSecond;
    this->HandedOut[Name] = std::max(Use.Asked, Assumed);
    if (Use.Asked > Assumed)
      Result.Uses.push_back(Use);
  }
  return Result;
}

bool OrganisationUseSums::hasChanged(const Organisations &InForce,
                                     TimePoint Now) {
  this->expire(Now);
  std::size_t Nodes = 0;
  for (const auto &[Name, Use] : this->total(true, Nodes, Now)) {
    const auto *Organisation = InForce.find(Name);
    if (Organisation == nullptr ||
        Use.Asked <= ReportedShare * Organisation->RatePerSecond)
      continue;
    auto Known = this->HandedOut.find(Name);
    auto Before = Known == this->HandedOut.end() ? 0 : Known->second;
    // Averages of single requests vary; a change below one is chance.
    if (std::abs(Use.Asked - Before) >
        std::max(1.0, UrgentShare * Organisation->RatePerSecond))
      return true;
  }
  return false;
}

} // namespace limpetdrum
