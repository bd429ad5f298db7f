#include "limpetdrum/request/LevelNotifier.h"

#include "limpetdrum/request/Position.h"

#include <algorithm>
#include <cmath>

namespace limpetdrum {

namespace {

constexpr std::size_t MaxWatchers = 4000;
/// A level has moved once it differs by this share of the lower value.
constexpr float MovedShare = 0.1F;
constexpr Milliseconds LeastPause{20};
/// What each watcher adds to the pause between two notices.
constexpr Microseconds PausePerWatcher{1000};

} // namespace

bool LevelNotifier::watch(std::uint64_t Seen, Deliver OnNotice,
                          IsWaiting StillWaits) {
  if (Seen < this->Last.Number) {
    OnNotice(this->Last);
    return true;
  }
  if (this->Watchers.size() >= MaxWatchers)
    return false;
  this->Watchers.push_back({std::move(OnNotice), std::move(StillWaits)});
  return true;
}

void LevelNotifier::sweep() {
  auto HungUp = [](const Watcher &Parked) { return !Parked.StillWaits(); };
  this->Watchers.erase(
      std::remove_if(this->Watchers.begin(), this->Watchers.end(), HungUp),
      this->Watchers.end());
}

void LevelNotifier::tick(const ReadLevels &Read, TimePoint Now) {
  if (this->Watchers.empty() || Now < this->NextNotice)
    return;
  auto Levels = Read();
  if (!this->hasMoved(Levels))
    return;
  this->NextNotice =
      Now + std::max<Microseconds>(LeastPause,
                                   PausePerWatcher * this->Watchers.size());
  this->publish(std::move(Levels));
}

bool LevelNotifier::hasMoved(const std::vector<LevelReport> &Levels) const {
  return std::any_of(
      Levels.begin(), Levels.end(), [this](const LevelReport &Level) {
        auto Found = this->Told.find(Level.Service);
        float Before = Found == this->Told.end() ? MaxRanks : Found->second;
        return std::abs(Level.Threshold - Before) >
               MovedShare * std::min(Level.Threshold, Before);
      });
}

void LevelNotifier::publish(std::vector<LevelReport> Levels) {
  for (const auto &Level : Levels)
    this->Told[Level.Service] = Level.Threshold;
  ++this->Last.Number;
  this->Last.Levels = std::move(Levels);
  // A delivery may bring the caller's next watch with it.
  auto Parked = std::move(this->Watchers);
  this->Watchers.clear();
  for (const auto &Watcher : Parked)
    Watcher.OnNotice(this->Last);
}

} // namespace limpetdrum
