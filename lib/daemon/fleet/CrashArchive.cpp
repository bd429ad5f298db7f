#include "limpetdrum/daemon/fleet/CrashArchive.h"

#include "limpetdrum/process/Error.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace limpetdrum {

namespace {

const std::string ProofKind = "limpetdrum-crashing-requests";
constexpr const char *EndedField = "target-ended";
constexpr std::chrono::seconds RetryPause{2};

} // namespace

CrashArchive::CrashArchive(EventLoop &Loop, ObjectStore &Store, EventLog &Log,
                           std::function<std::int64_t()> UnixMillis)
    : Loop(Loop), Store(Store), Log(Log), UnixMillis(std::move(UnixMillis)) {}

void CrashArchive::read(OnRead Done) {
  // A stale list costs the store less, and lacks the last seconds only.
  this->Store.list(ProofKind, true, "crashing-requests-read",
                   [this, Done = std::move(Done)](const StoreListing &Listing) {
                     if (Listing.Outcome == StoreOutcome::Done)
                       this->onListing(Listing, Done);
                     else
                       this->ReadTimer = this->Loop.after(
                           RetryPause, [this, Done]() { this->read(Done); });
                   });
}

CrashArchive::StoredProof
CrashArchive::decode(const StoredObject &Object) const {
  try {
    auto Value = nlohmann::json::parse(Object.Value).at(EndedField);
    if (!Value.is_number_integer())
      throw ValueError("'" + std::string(EndedField) +
                           "' of the stored crashing request '" + Object.Name +
                           "' is no whole number",
                       "delete the object");
    auto Ended = Value.get<std::int64_t>();
    // The clocks of two instances may differ.
    auto Age = std::max<std::int64_t>(0, this->UnixMillis() - Ended);
    return {parseFingerprint(Object.Name), Milliseconds(Age)};
  } catch (const nlohmann::json::exception &E) {
    throw ValueError("stored crashing request '" + Object.Name +
                         "' is malformed, expected a JSON object with '" +
                         EndedField + "' in Unix milliseconds: " + E.what(),
                     "delete the object");
  }
}

void CrashArchive::onListing(const StoreListing &Listing, const OnRead &Done) {
  CrashNews News;
  for (const auto &Object : Listing.Objects) {
    try {
      auto Proof = this->decode(Object);
      if (Proof.Age < CrashRetention)
        News.Reports.push_back({Proof.Request, 0, true, Proof.Age});
      else
        this->remove(Object.Name);
    } catch (const ValueError &E) {
      this->Log.state("crashing_request_malformed", {{"error", E.what()}});
    }
  }
  Done(News);
}

void CrashArchive::write(RequestFingerprint Request) {
  nlohmann::json Value = {{EndedField, this->UnixMillis()}};
  this->store({toString(Request), 0, Value.dump()});
}

void CrashArchive::store(const StoredObject &Object) {
  this->Store.put(ProofKind, Object, "crashing-requests-write",
                  [this, Object](StoreOutcome Outcome) {
                    if (Outcome == StoreOutcome::Done)
                      return;
                    this->Unwritten.insert_or_assign(Object.Name, Object);
                    this->WriteTimer = this->Loop.after(RetryPause, [this]() {
                      for (const auto &[Name, Failed] :
                           std::exchange(this->Unwritten, {}))
                        this->store(Failed);
                    });
                  });
}

void CrashArchive::remove(const std::string &Name) {
  this->Store.remove(
      ProofKind, Name, 0, "crashing-requests-remove",
      [this, Name](StoreOutcome Outcome) {
        if (Outcome != StoreOutcome::Done)
          this->Log.state("crashing_request_not_removed",
                          {{"request", Name}, {"outcome", toString(Outcome)}});
      });
}

} // namespace limpetdrum
