#include "limpetdrum/daemon/fleet/AllowanceExchange.h"

#include <algorithm>

namespace limpetdrum {

namespace {

constexpr Milliseconds Period{500};

bool hasAllowance(const TrafficPolicy &Policy) {
  const auto &Entries = Policy.organisations().entries();
  return std::any_of(Entries.begin(), Entries.end(),
                     [](const auto &Entry) { return Entry.RatePerSecond > 0; });
}

} // namespace

AllowanceExchange::AllowanceExchange(Options Self, Allowances &Parts,
                                     const LinkKeeper &Links, Mesh &Peers,
                                     EventLog &Log)
    : Self(std::move(Self)), Parts(Parts), Links(Links), Peers(Peers),
      Log(Log) {}

void AllowanceExchange::setPolicy(std::shared_ptr<const TrafficPolicy> InForce,
                                  TimePoint Now) {
  this->Parts.setPolicy(InForce->organisations(), Now);
  if (hasAllowance(*InForce))
    this->Policy = std::move(InForce);
  else
    this->Policy.reset();
}

void AllowanceExchange::tick(TimePoint Now) {
  if (!this->Policy)
    return;
  if (Now - this->ReportedAt >= Period || this->Parts.needsReport(Now))
    this->report(Now);
  if (!this->Links.holdsDuties() || !this->Sums.isSettled(Now))
    return;
  if (Now - this->SharedAt >= Period ||
      this->Sums.hasChanged(this->Policy->organisations(), Now))
    this->shareSums(Now);
}

void AllowanceExchange::sendToHolders(const MeshOrganisationUsage &Value) {
  for (const auto &Holder : this->Links.dutyHolders(this->Self.FailureDomain))
    this->Peers.sendOrganisationUsage(Holder, Value);
}

void AllowanceExchange::report(TimePoint Now) {
  this->ReportedAt = Now;
  MeshOrganisationUsage Report;
  Report.Node = this->Self.Node;
  Report.Organisations = this->Parts.report(Now);
  this->sendToHolders(Report);
  this->Sums.recordOwn(std::move(Report.Organisations), Now);
}

void AllowanceExchange::shareSums(TimePoint Now) {
  this->SharedAt = Now;
  auto Send = [](UsageScope Scope, OrganisationUseSums::Sum Sum) {
    MeshOrganisationUsage Message;
    Message.Scope = Scope;
    Message.Nodes = static_cast<std::uint32_t>(Sum.Nodes);
    Message.Organisations = std::move(Sum.Uses);
    return Message;
  };
  auto Own = Send(UsageScope::FailureDomain, this->Sums.domainSum(Now));
  Own.FailureDomain = this->Self.FailureDomain;
  for (const auto &Other : this->Links.otherDomains())
    for (const auto &Holder : this->Links.dutyHolders(Other))
      this->Peers.sendOrganisationUsage(Holder, Own);
  auto All = Send(UsageScope::Fleet,
                  this->Sums.fleetSum(this->Policy->organisations(), Now));
  this->Peers.sendOrganisationUsage(this->Self.FailureDomain, All);
  this->applyFleetUse(All.Organisations, All.Nodes, Now);
}

void AllowanceExchange::applyFleetUse(const std::vector<OrganisationUse> &Uses,
                                      std::size_t Nodes, TimePoint Now) {
  auto Before = this->Parts.bindingCount();
  this->Parts.onFleetUse(Uses, Nodes, Now);
  auto Binding = this->Parts.bindingCount();
  if (Binding != Before)
    this->Log.state(
        "allowances_bind",
        {{"organisations", Binding}, {"before", Before}, {"nodes", Nodes}});
}

void AllowanceExchange::onUsage(const MeshOrganisationUsage &Value,
                                TimePoint Now) {
  switch (Value.Scope) {
  case UsageScope::Node:
    if (Value.Nodes == 0)
      this->Sums.remove(Value.Node);
    else
      this->Sums.record(Value.Node, Value.Organisations, Now);
    return;
  case UsageScope::FailureDomain:
    this->Sums.recordDomain(Value.FailureDomain,
                            {Value.Nodes, Value.Organisations}, Now);
    return;
  case UsageScope::Fleet:
    // A duty holder makes the sums itself, from fresher reports.
    if (!this->Links.holdsDuties())
      this->applyFleetUse(Value.Organisations, Value.Nodes, Now);
    return;
  }
}

void AllowanceExchange::leave() {
  if (!this->Policy)
    return;
  this->Policy.reset();
  MeshOrganisationUsage Report;
  Report.Node = this->Self.Node;
  Report.Nodes = 0;
  this->sendToHolders(Report);
}

} // namespace limpetdrum
