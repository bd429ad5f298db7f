#include "limpetdrum/daemon/fleet/CrashExchange.h"

namespace limpetdrum {

CrashExchange::CrashExchange(FailureDomain Domain, CrashHistory &Crashes,
                             CrashArchive &ProvenCrashes,
                             const LinkKeeper &Links, Mesh &Peers,
                             EventLog &Log, Metrics &Counters)
    : Domain(std::move(Domain)), Crashes(Crashes), ProvenCrashes(ProvenCrashes),
      Links(Links), Peers(Peers), Log(Log), Counters(Counters) {}

void CrashExchange::announce(const CrashNews &News) {
  this->Peers.sendCrashNews(News);
  for (const auto &Holder : this->Links.dutyHolders(this->Domain))
    this->Peers.sendCrashNews(Holder, News);
  for (const auto &Report : News.Reports)
    if (Report.Alone)
      this->ProvenCrashes.write(Report.Request);
}

void CrashExchange::onNews(const CrashNews &News, TimePoint Now) {
  auto Fresh = this->Crashes.merge(News, Now);
  if (Fresh.empty())
    return;
  this->Counters.count("crash_news");
  for (const auto &Report : Fresh.Reports)
    if (Report.Alone)
      this->Log.state("request_crashes_targets",
                      {{"request", toString(Report.Request)},
                       {"age_ms", Report.Age.count()}});
  if (!this->Links.holdsDuties())
    return;
  this->Peers.sendCrashNews(this->Domain, Fresh);
  for (const auto &Other : this->Links.otherDomains())
    for (const auto &Holder : this->Links.dutyHolders(Other))
      this->Peers.sendCrashNews(Holder, Fresh);
}

} // namespace limpetdrum
