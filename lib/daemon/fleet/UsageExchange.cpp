#include "limpetdrum/daemon/fleet/UsageExchange.h"

namespace limpetdrum {

namespace {

/// Sends each sum with \p Send.
template <typename Function>
void sendSums(UsageScope Scope, const FailureDomain &SummedOver,
              std::vector<UsageSummary> Sums, const Function &Send) {
  for (auto &Sum : Sums) {
    MeshUsage Message;
    Message.Scope = Scope;
    Message.FailureDomain = SummedOver;
    Message.Usage = std::move(Sum);
    Send(Message);
  }
}

} // namespace

UsageExchange::UsageExchange(Options Self, OverloadControl &Overload,
                             const LinkKeeper &Links, Mesh &Peers)
    : Self(std::move(Self)), Overload(Overload), Links(Links), Peers(Peers) {}

void UsageExchange::share(TimePoint Now) {
  MeshUsage Report;
  Report.Node = this->Self.Node;
  Report.Usage = this->Overload.report(Report.Node, this->Self.Service, Now);
  for (const auto &Holder : this->Links.dutyHolders(this->Self.FailureDomain))
    this->Peers.sendUsage(Holder, Report);
  if (this->Links.holdsDuties())
    this->shareSums(Now);
}

void UsageExchange::shareSums(TimePoint Now) {
  const auto &Domain = this->Self.FailureDomain;
  auto &Demand = this->Overload.demand();
  sendSums(UsageScope::FailureDomain, Domain, Demand.summaries(Now),
           [this](const MeshUsage &Sum) {
             for (const auto &Other : this->Links.otherDomains())
               for (const auto &Holder : this->Links.dutyHolders(Other))
                 this->Peers.sendUsage(Holder, Sum);
           });
  sendSums(UsageScope::Fleet, {}, Demand.fleetSummaries(Now),
           [this, &Domain](const MeshUsage &Sum) {
             this->Peers.sendUsage(Domain, Sum);
           });
}

void UsageExchange::onUsage(MeshUsage Report, TimePoint Now) {
  auto &Demand = this->Overload.demand();
  switch (Report.Scope) {
  case UsageScope::Node:
    Demand.record(Report.Node, std::move(Report.Usage), Now);
    return;
  case UsageScope::FailureDomain:
    Demand.recordDomain(Report.FailureDomain, std::move(Report.Usage), Now);
    return;
  case UsageScope::Fleet:
    // A duty holder makes the sums itself, from fresher reports.
    if (!this->Links.holdsDuties())
      Demand.recordFleet(std::move(Report.Usage), Now);
    return;
  }
}

} // namespace limpetdrum
