#include "limpetdrum/request/LevelTable.h"

#include "limpetdrum/request/Position.h"

#include <algorithm>

namespace limpetdrum {

namespace {

constexpr Milliseconds FreshFor{500};
constexpr float RisePerSecond = 1.0F;
constexpr std::chrono::seconds ForgetAfter{60};

} // namespace

void LevelTable::record(NodeId Reporter, const LevelReport &Value,
                        TimePoint Now) {
  auto &Reports = this->Known[Value.Service];
  Reports[std::move(Reporter)] = Report{Value.Threshold, Now};
  for (auto It = Reports.begin(); It != Reports.end();)
    It = Now - It->second.At > ForgetAfter ? Reports.erase(It) : std::next(It);
}

float LevelTable::threshold(const ServiceName &Service, TimePoint Now) const {
  auto Found = this->Known.find(Service);
  if (Found == this->Known.end())
    return MaxRanks;
  float Sum = 0;
  int Fresh = 0;
  Report Latest;
  for (const auto &Entry : Found->second) {
    if (Entry.second.At >= Latest.At)
      Latest = Entry.second;
    if (Now - Entry.second.At > FreshFor)
      continue;
    Sum += Entry.second.Threshold;
    ++Fresh;
  }
  if (Fresh > 0)
    return Sum / static_cast<float>(Fresh);
  std::chrono::duration<float> Age = Now - Latest.At;
  return std::min<float>(MaxRanks,
                         Latest.Threshold + Age.count() * RisePerSecond);
}

float LevelTable::threshold(const std::vector<ServiceName> &Services,
                            TimePoint Now) const {
  float Least = MaxRanks;
  for (const auto &Service : Services)
    Least = std::min(Least, this->threshold(Service, Now));
  return Least;
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
