#include "limpetdrum/request/LevelNotifier.h"

#include "limpetdrum/request/Position.h"

#include <algorithm>
#include <cmath>

namespace limpetdrum {

namespace {

constexpr std::size_t MaxWatchers = 4000;
/// A level has changed if it differs by more than this share of the lower
/// value.
constexpr float ChangedShare = 0.1F;
/// Pause between two notices, at least and per watcher.
constexpr Milliseconds MinPause{20};
constexpr Microseconds PausePerWatcher{1000};

} // namespace

bool LevelNotifier::watch(std::uint64_t LastSeen, NoticeHandler OnNotice,
                          ConnectionCheck IsConnected) {
  if (LastSeen < this->LastNotice.Number) {
    OnNotice(this->LastNotice);
    return true;
  }
  if (this->Watchers.size() >= MaxWatchers)
    return false;
  this->Watchers.push_back({std::move(OnNotice), std::move(IsConnected)});
  return true;
}

void LevelNotifier::sweep() {
  auto IsDisconnected = [](const Watcher &Entry) {
    return !Entry.IsConnected();
  };
  this->Watchers.erase(std::remove_if(this->Watchers.begin(),
                                      this->Watchers.end(), IsDisconnected),
                       this->Watchers.end());
}

void LevelNotifier::tick(const LevelSource &Source, TimePoint Now) {
  if (this->Watchers.empty() || Now < this->NextNotice)
    return;
  auto Levels = Source();
  if (!this->hasChanged(Levels))
    return;
  this->NextNotice =
      Now +
      std::max<Microseconds>(MinPause, PausePerWatcher * this->Watchers.size());
  this->publish(std::move(Levels));
}

bool LevelNotifier::hasChanged(const std::vector<LevelReport> &Levels) const {
  return std::any_of(
      Levels.begin(), Levels.end(), [this](const LevelReport &Level) {
        auto Found = this->LastSent.find(Level.Service);
        float Previous =
            Found == this->LastSent.end() ? MaxRanks : Found->second;
        return std::abs(Level.Threshold - Previous) >
               ChangedShare * std::min(Level.Threshold, Previous);
      });
}

void LevelNotifier::publish(std::vector<LevelReport> Levels) {
  for (const auto &Level : Levels)
    this->LastSent[Level.Service] = Level.Threshold;
  ++this->LastNotice.Number;
  this->LastNotice.Levels = std::move(Levels);
  // A handler may register the caller's next watch.
  auto Notified = std::move(this->Watchers);
  this->Watchers.clear();
  for (const auto &Watcher : Notified)
    Watcher.OnNotice(this->LastNotice);
}

} // namespace limpetdrum
