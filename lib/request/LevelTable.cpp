#include "limpetdrum/request/LevelTable.h"

#include "limpetdrum/request/Position.h"

#include <algorithm>

namespace limpetdrum {

namespace {

/// Age up to which a report is averaged.
constexpr Milliseconds FreshFor{500};
/// Rise of the latest threshold while no report is fresh.
constexpr float RisePerSecond = 1.0F;
/// Age at which a report is removed.
constexpr std::chrono::seconds ReportRetention{60};

} // namespace

void LevelTable::record(NodeId Reporter, const LevelReport &Report,
                        TimePoint Now) {
  auto &ByNode = this->Reports[Report.Service];
  ByNode[std::move(Reporter)] = TimedThreshold{Report.Threshold, Now};
  for (auto It = ByNode.begin(); It != ByNode.end();)
    It = Now - It->second.ReceivedAt > ReportRetention ? ByNode.erase(It)
                                                       : std::next(It);
}

float LevelTable::threshold(const ServiceName &Service, TimePoint Now) const {
  auto Found = this->Reports.find(Service);
  if (Found == this->Reports.end())
    return MaxRanks;
  float Sum = 0;
  int Fresh = 0;
  TimedThreshold Latest;
  for (const auto &Entry : Found->second) {
    if (Entry.second.ReceivedAt >= Latest.ReceivedAt)
      Latest = Entry.second;
    if (Now - Entry.second.ReceivedAt > FreshFor)
      continue;
    Sum += Entry.second.Threshold;
    ++Fresh;
  }
  if (Fresh > 0)
    return Sum / static_cast<float>(Fresh);
  std::chrono::duration<float> Age = Now - Latest.ReceivedAt;
  return std::min<float>(MaxRanks,
                         Latest.Threshold + Age.count() * RisePerSecond);
}

float LevelTable::threshold(const std::vector<ServiceName> &Services,
                            TimePoint Now) const {
  float Lowest = MaxRanks;
  for (const auto &Service : Services)
    Lowest = std::min(Lowest, this->threshold(Service, Now));
  return Lowest;
}

std::vector<LevelReport>
LevelTable::reports(const std::vector<ServiceName> &Services,
                    TimePoint Now) const {
  std::vector<LevelReport> Result;
  for (const auto &Service : Services) {
    float Threshold = this->threshold(Service, Now);
    if (Threshold < MaxRanks)
      Result.push_back({Service, Threshold});
  }
  return Result;
}

} // namespace limpetdrum
