#include "limpetdrum/daemon/fleet/DepartureArchive.h"

#include "limpetdrum/process/Error.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace limpetdrum {

namespace {

const std::string DepartureKind = "limpetdrum-departures";
constexpr Milliseconds ReadRetryPause{200};
constexpr Milliseconds WriteRetryPause{100};
/// A target takes an answer that arrives within a second.
constexpr Milliseconds MaxWriteWait{500};
/// One instance has one target at a time; reports of those before the last few
/// are older than what any later target has reported.
constexpr std::size_t MaxDepartures = 4;
/// Age of the copies that the store may be restored from, at most.
constexpr std::chrono::seconds MaxCopyAge{60};
/// Reports arrive late by seconds, or by as long as a network partition lasts.
constexpr std::chrono::hours Retention{1};

nlohmann::json encode(const Departure &Value) {
  return {{"target", Value.Target.Id},
          {"started", Value.Target.Started},
          {"sequence", Value.Target.Sequence},
          {"service", Value.Target.Service.value()},
          {"slots", Value.Target.Slots.value()},
          {"left", Value.Target.State == TargetState::Left},
          {"at", Value.At}};
}

Departure decodeOne(const nlohmann::json &Value) {
  Departure Result;
  Result.Target.Id = Value.at("target").get<std::string>();
  Result.Target.Started = Value.at("started").get<std::int64_t>();
  Result.Target.Sequence = Value.at("sequence").get<std::uint64_t>();
  Result.Target.Service = ServiceName(Value.at("service").get<std::string>());
  Result.Target.Slots = Slots(Value.at("slots").get<std::uint16_t>());
  Result.Target.State =
      Value.at("left").get<bool>() ? TargetState::Left : TargetState::Draining;
  Result.At = Value.at("at").get<std::int64_t>();
  return Result;
}

} // namespace

DepartureArchive::DepartureArchive(EventLoop &Loop, ObjectStore &Store,
                                   NodeId Self, EventLog &Log,
                                   Metrics &Counters,
                                   std::function<std::int64_t()> UnixMillis)
    : Loop(Loop), Store(Store), Self(std::move(Self)), Log(Log),
      Counters(Counters), UnixMillis(std::move(UnixMillis)) {}

void DepartureArchive::read(OnRead Done) {
  this->IsReading = true;
  this->Store.get(
      DepartureKind, this->Self.value(), "departures-read",
      [this, Done = std::move(Done)](const StoreListing &Listing) {
        if (Listing.Outcome != StoreOutcome::Done) {
          this->ReadTimer = this->Loop.after(
              ReadRetryPause, [this, Done]() { this->read(Done); });
          return;
        }
        this->IsRead = true;
        this->IsReading = false;
        std::vector<Departure> Stored;
        if (!Listing.Objects.empty()) {
          Stored = this->decode(Listing.Objects.front());
          this->StoredAt = this->Loop.now();
        }
        // Departures since the start of this process are later.
        this->Known.insert(this->Known.begin(), Stored.begin(), Stored.end());
        this->Log.state("departures_read", {{"departures", Stored.size()}});
        Done(Stored);
        this->storeIfNeeded();
      });
}

std::vector<Departure>
DepartureArchive::decode(const StoredObject &Object) const {
  std::vector<Departure> Result;
  try {
    auto Document = nlohmann::json::parse(Object.Value);
    for (const auto &Each : Document.at("departures"))
      Result.push_back(decodeOne(Each));
  } catch (const nlohmann::json::exception &E) {
    this->Counters.count("departures_malformed");
    this->Log.state("departures_malformed",
                    {{"node", Object.Name}, {"error", E.what()}});
  }
  return Result;
}

std::string DepartureArchive::encode() const {
  auto Departures = nlohmann::json::array();
  for (const auto &Each : this->Known)
    Departures.push_back(limpetdrum::encode(Each));
  // Ids are any bytes that a target sent.
  return nlohmann::json({{"departures", Departures}})
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

bool DepartureArchive::isOld(const Departure &Value) const {
  return this->UnixMillis() - Value.At > Milliseconds(Retention).count();
}

void DepartureArchive::write(const TargetRecord &Target, OnWritten Done) {
  auto Found = std::find_if(this->Known.begin(), this->Known.end(),
                            [&](const Departure &Each) {
                              return Each.Target.Id == Target.Id &&
                                     Each.Target.Started == Target.Started;
                            });
  // Without a start time, only the time tells two processes with one id apart:
  // a leave after the one that was stored may be that of the next process.
  bool IsAmbiguous = Target.Started == 0 && Target.State == TargetState::Left &&
                     !this->IsStoring;
  bool IsNew = Found == this->Known.end() ||
               Found->Target.State < Target.State || IsAmbiguous;
  if (IsNew) {
    if (Found != this->Known.end())
      this->Known.erase(Found);
    this->Known.push_back({Target, this->UnixMillis()});
    if (this->Known.size() > MaxDepartures)
      this->Known.erase(this->Known.begin());
    ++this->Version;
  }
  if (this->StoredVersion == this->Version) {
    Done(true);
    return;
  }
  auto Number = ++this->LastWaiter;
  this->Waiting.emplace(
      Number, Waiter{std::move(Done), this->Loop.after(MaxWriteWait, [=]() {
                       this->onWaitedTooLong(Number);
                     })});
  this->storeIfNeeded();
}

void DepartureArchive::onStoreDoubtful() {
  if (!this->StoredAt || this->Loop.now() - *this->StoredAt >= MaxCopyAge)
    return;
  this->Counters.count("departures_written_again");
  ++this->Version;
  this->storeIfNeeded();
}

void DepartureArchive::storeIfNeeded() {
  // A write replaces what earlier processes of this node wrote.
  if (!this->IsReading && !this->IsStoring &&
      this->StoredVersion != this->Version)
    this->store();
}

void DepartureArchive::store() {
  this->IsStoring = true;
  this->Store.put(DepartureKind, {this->Self.value(), 0, this->encode()},
                  "departures-write",
                  [this, Current = this->Version](StoreOutcome Outcome) {
                    this->onStored(Current, Outcome);
                  });
}

void DepartureArchive::onStored(std::uint64_t Current, StoreOutcome Outcome) {
  this->IsStoring = false;
  if (Outcome != StoreOutcome::Done) {
    this->IsStoring = true;
    this->RetryTimer =
        this->Loop.after(WriteRetryPause, [this]() { this->store(); });
    return;
  }
  this->StoredVersion = Current;
  this->StoredAt = this->Loop.now();
  if (this->StoredVersion != this->Version) {
    this->store();
    return;
  }
  this->callWaiting();
}

void DepartureArchive::onWaitedTooLong(std::uint64_t Number) {
  this->Counters.count("departures_not_acknowledged");
  this->Log.state("departure_not_stored",
                  {{"target", this->Known.back().Target.Id}});
  auto Late = this->Waiting.extract(Number);
  Late.mapped().Done(false);
}

void DepartureArchive::callWaiting() {
  for (auto &[Number, Each] : std::exchange(this->Waiting, {}))
    Each.Done(true);
}

void DepartureArchive::removeOld() {
  this->Store.list(
      DepartureKind, true, "departures-list",
      [this](const StoreListing &Listing) {
        if (Listing.Outcome != StoreOutcome::Done)
          return; // listed again after the period
        for (const auto &Object : Listing.Objects) {
          auto Stored = this->decode(Object);
          bool IsOver = std::all_of(
              Stored.begin(), Stored.end(),
              [this](const Departure &Each) { return this->isOld(Each); });
          if (Stored.empty() || !IsOver)
            continue;
          // By its revision, as its node may have written another departure.
          this->Store.remove(
              DepartureKind, Object.Name, Object.Revision, "departures-remove",
              [this, Name = Object.Name](StoreOutcome Outcome) {
                if (Outcome != StoreOutcome::Done)
                  this->Log.state(
                      "departure_not_removed",
                      {{"node", Name}, {"outcome", toString(Outcome)}});
              });
        }
      });
}

} // namespace limpetdrum
