#ifndef LIMPETDRUM_UNITTESTS_MEMORYSTORE_H
#define LIMPETDRUM_UNITTESTS_MEMORYSTORE_H

#include "limpetdrum/connection/EventLoop.h"
#include "limpetdrum/connection/ObjectStore.h"

#include <map>

namespace limpetdrum::test {

/// \brief Object store in the memory of a test, which answers from the loop.
class MemoryStore final : public ObjectStore {
public:
  explicit MemoryStore(EventLoop &Loop) : Loop(Loop) {}

  void list(const std::string &Kind, bool /*AllowStale*/,
            const char * /*Purpose*/, ListDone OnDone) override {
    this->answer([this, Kind, OnDone](StoreOutcome Outcome) {
      StoreListing Listing;
      Listing.Outcome = Outcome;
      Listing.Era = this->Era;
      for (const auto &[Name, Object] : this->Kinds[Kind])
        Listing.Objects.push_back(Object);
      OnDone(Listing);
    });
  }
  void get(const std::string &Kind, const std::string &Name,
           const char * /*Purpose*/, ListDone OnDone) override {
    this->answer([this, Kind, Name, OnDone](StoreOutcome Outcome) {
      StoreListing Listing;
      Listing.Outcome = Outcome;
      Listing.Era = this->Era;
      auto Found = this->Kinds[Kind].find(Name);
      if (Found != this->Kinds[Kind].end())
        Listing.Objects.push_back(Found->second);
      OnDone(Listing);
    });
  }
  void watch(const std::string & /*Kind*/, std::uint64_t /*After*/,
             StoreEra /*Era*/, Milliseconds /*Limit*/, const char * /*Purpose*/,
             ListDone OnDone) override {
    this->Watches.push_back(std::move(OnDone));
  }
  void put(const std::string &Kind, const StoredObject &Object,
           const char * /*Purpose*/, WriteDone OnDone) override {
    this->answer([this, Kind, Object, OnDone](StoreOutcome Outcome) {
      if (Outcome == StoreOutcome::Done)
        this->Kinds[Kind][Object.Name] = Object;
      OnDone(Outcome);
    });
  }
  void remove(const std::string &Kind, const std::string &Name,
              std::uint64_t /*Revision*/, const char * /*Purpose*/,
              WriteDone OnDone) override {
    this->answer([this, Kind, Name, OnDone](StoreOutcome Outcome) {
      if (Outcome == StoreOutcome::Done)
        this->Kinds[Kind].erase(Name);
      OnDone(Outcome);
    });
  }

  /// Forgets the calls of a process that has ended.
  void dropCalls() {
    this->Calls.clear();
    this->Watches.clear();
  }

  [[nodiscard]] bool isWatched() const { return !this->Watches.empty(); }
  /// Loses all calls from now on; those that wait for a change break.
  void stop() {
    this->Answers = false;
    this->endWatches(StoreOutcome::Lost);
  }
  /// Comes back from a copy.
  void
  restore(std::map<std::string, std::map<std::string, StoredObject>> Copy) {
    this->Answers = true;
    this->Kinds = std::move(Copy);
    this->Era = StoreEra(this->Era.value() + 1);
    this->endWatches(StoreOutcome::RevisionExpired);
  }

  bool Answers = true; ///< false: all calls are lost, after a while
  std::map<std::string, std::map<std::string, StoredObject>> Kinds;

private:
  void endWatches(StoreOutcome Outcome) {
    StoreListing Listing;
    Listing.Outcome = Outcome;
    Listing.Era = this->Era;
    for (const auto &OnDone : std::exchange(this->Watches, {}))
      OnDone(Listing);
  }
  void answer(std::function<void(StoreOutcome)> Action) {
    constexpr Milliseconds LossTimeout{50};
    auto Outcome = this->Answers ? StoreOutcome::Done : StoreOutcome::Lost;
    this->Calls.push_back(this->Loop.after(
        this->Answers ? Milliseconds(0) : LossTimeout,
        [Outcome, Action = std::move(Action)]() { Action(Outcome); }));
  }

  EventLoop &Loop;
  std::vector<Timer> Calls;
  std::vector<ListDone> Watches;
  StoreEra Era{1};
};

} // namespace limpetdrum::test

#endif
