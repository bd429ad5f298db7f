#include "limpetdrum/request/Allowances.h"

#include <algorithm>
#include <cmath>

namespace limpetdrum {

namespace {

/// Accounts without requests for this time are closed.
constexpr std::chrono::seconds IdlePeriod{30};
/// News counts as fresh up to this age: a period of the exchange, and what
/// messages take.
constexpr Milliseconds FreshFor{700};
/// Requests by which an account may be overdrawn before the number of nodes is
/// known, and then before the first news: its level begins at none.
constexpr double UnknownFleetCredit = 1;
constexpr double StartCredit = 2;
/// Requests by which an account may be overdrawn while the node knows nothing
/// fresh of the fleet, at most.
constexpr double MaxBlindCredit = 2;
/// Requests by which all accounts together may be overdrawn then, and a further
/// share of the burst.
constexpr double BlindFleetCredit = 20;
constexpr double BlindFleetShare = 0.2;
/// Requests by which an account may be overdrawn while the fleet is known to
/// ask for less than its allowance; about what a clump of one client brings.
constexpr double FreshCredit = 3;
/// Added to it: requests of the time that news of moved demand takes, in
/// seconds of the own demand, up to a multiple of the demand that the news
/// showed and some requests per second. All nodes may have it at once.
constexpr double NewsDelaySeconds = 0.3;
constexpr double MaxMovedFactor = 2;
constexpr double MaxMovedRate = 5;
/// Time constant with which an account returns to its part of what an account
/// of the whole fleet would hold, in seconds.
constexpr double LevellingSeconds = 1;
/// Share of the rate that an organisation without news asks for at most.
constexpr double UnreportedShare = 0.5;
/// Sums have to cover this share of the nodes that the last ones covered, or of
/// the nodes known, so as to be believed. A duty holder that has just taken
/// over has not heard all nodes yet.
constexpr double CompleteShare = 0.9;
/// Time after which sums over fewer nodes are believed: nodes that fell silent
/// count for as long.
constexpr std::chrono::seconds BelieveAfter{20};
/// Share of the burst that has to be free again before overdrawn accounts
/// recover without paying back.
constexpr double RecoveredShare = 0.25;
/// Age from which a report is contained in news.
constexpr Milliseconds ReportDelay{250};
/// Time for which a demand has to stay higher until the part grows with it.
constexpr Milliseconds GrowthDelay{900};
/// Time constant with which a part follows changes of demand that may be
/// chance, in seconds.
constexpr double PartSeconds = 2;
/// Requests by which an account may be overdrawn while the fleet asks for
/// little more than its rate; none from twice the rate on. Then room is left at
/// nodes where no client asks at that moment.
constexpr double BindingCredit = 3;
/// Requests that an account may hold beyond its part of the burst while the
/// allowance binds. Clients come at random, so at some nodes room would be lost
/// that others lack.
constexpr double BindingReserve = 2;
/// Longest gap between news that the fleet's account is calculated over.
constexpr std::chrono::seconds MaxGap{2};
/// A report does not wait if the demand has changed by more than chance: by
/// this number of requests per second, and by this multiple of the square root
/// of the reported demand. Smaller changes would be reported just after
/// requests came, and so show more demand than there is.
constexpr double UrgentRate = 2;
constexpr double UrgentDeviations = 2;
/// The decision of the next moment depends on news, which takes this long.
constexpr Milliseconds MinRetryDelay{250};
constexpr Milliseconds MaxRetryDelay{15000};
constexpr double MillisPerSecond = 1000;
/// Factors by which a delay differs between clients.
constexpr double MinSpread = 0.75;
constexpr double MaxSpread = 1.25;

double seconds(Microseconds Span) {
  return std::chrono::duration<double>(Span).count();
}

Microseconds since(TimePoint Then, TimePoint Now) {
  return std::chrono::duration_cast<Microseconds>(Now - Then);
}

/// Returns a demand that differs by more than chance from the reported one.
double unusual(double Reported) {
  return Reported + UrgentRate + UrgentDeviations * std::sqrt(Reported);
}

/// Returns a demand that is more than chance above the rate: averages of
/// requests that come at random vary by the square root of their number.
double surelyAbove(double RatePerSecond) {
  return RatePerSecond + 2 * std::sqrt(RatePerSecond);
}

} // namespace

void Allowances::setFleetSize(std::size_t Nodes) {
  this->FleetSize = Nodes;
  if (!this->NewsAt)
    for (auto &[Name, Entry] : this->Accounts)
      Entry.Part = this->equalPart();
}

void Allowances::setPolicy(const Organisations &InForce, TimePoint Now) {
  for (auto It = this->Accounts.begin(); It != this->Accounts.end();) {
    const auto *Organisation = InForce.find(It->first);
    if (Organisation == nullptr || Organisation->RatePerSecond <= 0) {
      It = this->Accounts.erase(It);
      continue;
    }
    this->open(*Organisation, Now);
    ++It;
  }
}

Allowances::Account &Allowances::open(const OrganisationPolicy &Organisation,
                                      TimePoint Now) {
  auto [Found, IsNew] = this->Accounts.try_emplace(Organisation.Name);
  auto &Entry = Found->second;
  if (IsNew) {
    Entry.UpdatedAt = Now;
    Entry.AskedAt = Now;
    Entry.Required = this->drawRequired();
    Entry.FleetLevel = Organisation.Burst;
    Entry.Part = this->equalPart();
  }
  refill(Entry, Now, this->isBlind(Now));
  if (!IsNew && Entry.RatePerSecond == Organisation.RatePerSecond &&
      Entry.Burst == Organisation.Burst)
    return Entry;
  // What was overdrawn under another limit is no measure for this one.
  Entry.Level = std::clamp(Entry.Level, 0.0, Organisation.Burst);
  Entry.FleetLevel = std::min(Entry.FleetLevel, Organisation.Burst);
  Entry.RatePerSecond = Organisation.RatePerSecond;
  Entry.Burst = Organisation.Burst;
  this->updateFleet(Organisation.Name, Entry, Microseconds(0), Now);
  return Entry;
}

double Allowances::equalPart() const noexcept {
  return this->FleetSize == 0 ? 0 : 1 / static_cast<double>(this->FleetSize);
}

bool Allowances::isBlind(TimePoint Now) const {
  return !this->NewsAt || Now - *this->NewsAt > FreshFor;
}

double Allowances::credit(const Account &Entry, TimePoint Now) const {
  if (Entry.IsBinding)
    return BindingCredit *
           std::max(0.0, 2 - Entry.FleetAsked / Entry.RatePerSecond);
  if (!this->NewsAt)
    return this->FleetSize == 0 ? UnknownFleetCredit : StartCredit;
  auto Expected = Entry.Part * Entry.FleetAsked;
  if (this->isBlind(Now)) {
    // A surge here is likely one of the whole fleet, of which no news comes.
    if (Entry.Asked.value(Now) > unusual(Expected))
      return 0;
    return std::min(MaxBlindCredit,
                    Entry.Part *
                        (BlindFleetCredit + BlindFleetShare * Entry.Burst));
  }
  return FreshCredit +
         NewsDelaySeconds * std::min(Entry.Asked.value(Now),
                                     MaxMovedFactor * Expected + MaxMovedRate);
}

bool Allowances::recovers(const Account &Entry, TimePoint Now) {
  // A report counts only once the news of the fleet shows it.
  auto Known =
      std::min(Entry.Reports.front().second, Entry.Part * Entry.FleetAsked);
  return !Entry.IsBinding && Entry.FleetLevel >= RecoveredShare * Entry.Burst &&
         Entry.Asked.value(Now) <= unusual(Known);
}

void Allowances::refill(Account &Entry, TimePoint Now, bool IsBlind) {
  auto Span = since(Entry.UpdatedAt, Now);
  if (Span <= Microseconds(0))
    return;
  Entry.UpdatedAt = Now;
  auto Aim = Entry.FleetLevel * Entry.Part;
  if (!IsBlind && Entry.Level < Aim && recovers(Entry, Now))
    Entry.Level +=
        (Aim - Entry.Level) * (1 - std::exp(-seconds(Span) / LevellingSeconds));
  auto Capacity = Entry.Burst * Entry.Part;
  if (Entry.IsBinding)
    Capacity += BindingReserve;
  else if (IsBlind)
    Capacity = std::max(Capacity, Entry.Required);
  if (Entry.Level > Capacity)
    Entry.Level -= (Entry.Level - Capacity) *
                   (1 - std::exp(-seconds(Span) / LevellingSeconds));
  else
    Entry.Level =
        std::min(Capacity, Entry.Level + Entry.RatePerSecond * Entry.Part *
                                             seconds(Span));
}

std::optional<Milliseconds>
Allowances::take(const OrganisationPolicy &Organisation, TimePoint Now) {
  if (Organisation.RatePerSecond <= 0)
    return std::nullopt;
  auto &Entry = this->open(Organisation, Now);
  Entry.AskedAt = Now;
  Entry.Asked.add(1, Now);
  auto Needed = Entry.Required - this->credit(Entry, Now);
  bool IsGranted = Entry.Level >= Needed;
  if (!IsGranted || Entry.Level < 1)
    Entry.IsPressed = true;
  if (!IsGranted)
    return this->retryDelay(Entry, Needed - Entry.Level);
  Entry.Level -= 1;
  Entry.Required = this->drawRequired();
  return std::nullopt;
}

void Allowances::giveBack(const Organisation &Name, TimePoint Now) {
  auto Found = this->Accounts.find(Name);
  if (Found == this->Accounts.end())
    return;
  auto &Entry = Found->second;
  refill(Entry, Now, this->isBlind(Now));
  auto Capacity = std::max(1.0, Entry.Burst * Entry.Part);
  Entry.Level = std::max(Entry.Level, std::min(Capacity, Entry.Level + 1));
}

double Allowances::drawRequired() {
  return 1 - std::uniform_real_distribution<double>(0, 1)(this->Random);
}

Milliseconds Allowances::retryDelay(const Account &Entry, double Needed) {
  auto Refill = Entry.RatePerSecond * std::max(Entry.Part, this->equalPart());
  // Those that asked in vain in the last second wait for the same room, and it
  // takes a second for each time that they exceed the rate.
  auto Excess = std::max(0.0, Entry.FleetAsked / Entry.RatePerSecond - 1) *
                MillisPerSecond;
  std::uniform_real_distribution<double> Spread(MinSpread, MaxSpread);
  auto Room = Refill > 0 ? Needed / Refill * MillisPerSecond : 0;
  auto Delay = std::max({static_cast<double>(MinRetryDelay.count()) / MinSpread,
                         Room, Excess}) *
               Spread(this->Random);
  return std::min(MaxRetryDelay,
                  Milliseconds(static_cast<std::int64_t>(Delay)));
}

bool Allowances::needsReport(TimePoint Now) const {
  return std::any_of(this->Accounts.begin(), this->Accounts.end(),
                     [&](const auto &Item) {
                       const auto &Entry = Item.second;
                       if (!Entry.IsPressed)
                         return false;
                       auto Reported = Entry.Reports.front().second;
                       return std::abs(Entry.Asked.value(Now) - Reported) >
                              unusual(Reported) - Reported;
                     });
}

std::vector<OrganisationUse> Allowances::report(TimePoint Now) {
  std::vector<OrganisationUse> Uses;
  for (auto It = this->Accounts.begin(); It != this->Accounts.end();) {
    auto &Entry = It->second;
    if (Now - Entry.AskedAt > IdlePeriod) {
      It = this->Accounts.erase(It);
      continue;
    }
    refill(Entry, Now, this->isBlind(Now));
    auto Asked = Entry.Asked.value(Now);
    if (Now - Entry.Reports[1].first >= ReportDelay)
      std::rotate(Entry.Reports.begin(), Entry.Reports.end() - 1,
                  Entry.Reports.end());
    Entry.Reports.front() = {Now, Asked};
    Entry.IsPressed = false;
    Uses.push_back({It->first, Asked});
    ++It;
  }
  return Uses;
}

void Allowances::onFleetUse(const std::vector<OrganisationUse> &Uses,
                            std::size_t Nodes, TimePoint Now) {
  if (!this->NewsAt)
    this->NodesCovered = this->FleetSize;
  bool IsComplete =
      static_cast<double>(Nodes) >=
          CompleteShare * static_cast<double>(this->NodesCovered) ||
      (this->NewsAt && Now - *this->NewsAt > BelieveAfter);
  auto Since = this->NewsAt
                   ? std::min<Microseconds>(MaxGap, since(*this->NewsAt, Now))
                   : Microseconds(0);
  // The account is brought up to date with the parts that held until now.
  for (auto &[Name, Entry] : this->Accounts)
    refill(Entry, Now, this->isBlind(Now));
  if (IsComplete)
    this->FleetUse.clear();
  for (const auto &Use : Uses) {
    auto &Known = this->FleetUse[Use.Organisation];
    Known = std::max(Known, Use.Asked);
  }
  if (IsComplete) {
    this->NewsAt = Now;
    this->NodesCovered = Nodes;
  }
  for (auto &[Name, Entry] : this->Accounts)
    this->updateFleet(Name, Entry, IsComplete ? Since : Microseconds(0), Now);
}

void Allowances::updateFleet(const Organisation &Name, Account &Entry,
                             Microseconds Since, TimePoint Now) {
  auto Known = this->FleetUse.find(Name);
  Entry.FleetAsked = Known == this->FleetUse.end()
                         ? UnreportedShare * Entry.RatePerSecond
                         : Known->second;
  if (this->NewsAt) {
    auto Own = std::find_if(Entry.Reports.begin(), Entry.Reports.end() - 1,
                            [Now](const auto &Report) {
                              return Now - Report.first >= ReportDelay;
                            })
                   ->second;
    auto Expected = Entry.Part * Entry.FleetAsked;
    auto IsUnusual = [Expected](double Asked) {
      return Asked > unusual(Expected);
    };
    // While demand grows at all nodes, the news does not show all of it yet.
    // Only demand that stays higher is one that has moved here.
    bool HasGrown = IsUnusual(Own) &&
                    std::all_of(Entry.Reports.begin(), Entry.Reports.end(),
                                [&](const auto &Report) {
                                  return Now - Report.first >= GrowthDelay ||
                                         IsUnusual(Report.second);
                                });
    bool IsChance = std::abs(Own - Expected) <= unusual(Expected) - Expected;
    auto Part = Own > 0 ? Own / std::max(Entry.FleetAsked, Own) : 0;
    if (IsChance)
      Entry.Part +=
          (Part - Entry.Part) * (1 - std::exp(-seconds(Since) / PartSeconds));
    else if (Part < Entry.Part || HasGrown)
      Entry.Part = Part;
  }
  Entry.FleetLevel =
      std::clamp(Entry.FleetLevel +
                     (Entry.RatePerSecond - Entry.FleetAsked) * seconds(Since),
                 0.0, Entry.Burst);
  if (Entry.FleetAsked > surelyAbove(Entry.RatePerSecond) ||
      (Entry.FleetLevel <= 0 && Entry.FleetAsked > Entry.RatePerSecond)) {
    Entry.IsBinding = true;
    Entry.FleetLevel = 0;
  } else if (Entry.FleetAsked < Entry.RatePerSecond)
    Entry.IsBinding = false;
}

std::vector<OrganisationUse> Allowances::fleetUses(TimePoint Now) const {
  std::vector<OrganisationUse> Uses;
  if (this->isBlind(Now))
    return Uses;
  for (const auto &[Name, Asked] : this->FleetUse)
    Uses.push_back({Name, Asked});
  return Uses;
}

std::optional<Allowances::View> Allowances::view(const Organisation &Name,
                                                 TimePoint Now) const {
  auto Found = this->Accounts.find(Name);
  if (Found == this->Accounts.end())
    return std::nullopt;
  const auto &Entry = Found->second;
  View Result{Entry.Level, Entry.Part, Entry.FleetAsked, std::nullopt,
              Entry.IsBinding};
  if (this->NewsAt)
    Result.NewsAge =
        std::chrono::duration_cast<Milliseconds>(Now - *this->NewsAt);
  return Result;
}

std::size_t Allowances::bindingCount() const {
  return static_cast<std::size_t>(
      std::count_if(this->Accounts.begin(), this->Accounts.end(),
                    [](const auto &Item) { return Item.second.IsBinding; }));
}

} // namespace limpetdrum
