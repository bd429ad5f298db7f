#include "limpetdrum/daemon/ContactRegistry.h"

#include "limpetdrum/process/Error.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace limpetdrum {

namespace {

const std::string ContactKind = "limpetdrum-nodes";
constexpr Milliseconds MinRetryPause{200};
constexpr Milliseconds MaxRetryPause{1600};
/// Links announce new nodes at once; the list only adds those that they missed.
constexpr std::chrono::seconds RefreshPeriod{30};

std::string encode(const Contact &Value) {
  return nlohmann::json({{"link", toString(Value.Link)},
                         {"failure-domain", Value.FailureDomain.value()}})
      .dump();
}

/// \throws ValueError if the object is not a valid contact.
Contact decode(const StoredObject &Object) {
  try {
    auto Value = nlohmann::json::parse(Object.Value);
    return {NodeId(Object.Name),
            parseEndpoint(Value.at("link").get<std::string>()),
            FailureDomain(Value.at("failure-domain").get<std::string>())};
  } catch (const nlohmann::json::exception &E) {
    throw ValueError(
        "stored contact of node '" + Object.Name +
            "' is malformed, expected a JSON object with 'link' and "
            "'failure-domain': " +
            E.what(),
        "delete the object");
  }
}

} // namespace

ContactRegistry::ContactRegistry(EventLoop &Loop, ObjectStore &Store,
                                 Contact Self, EventLog &Log,
                                 std::uint64_t Seed)
    : Loop(Loop), Store(Store), Self(std::move(Self)), Log(Log), Random(Seed) {}

void ContactRegistry::start(std::function<void(const Contact &)> Action) {
  this->OnFound = std::move(Action);
  this->list(false);
}

void ContactRegistry::list(bool AllowStale) {
  this->Store.list(ContactKind, AllowStale, "contacts-read",
                   [this](const StoreListing &Listing) {
                     if (Listing.Outcome == StoreOutcome::Done)
                       this->onListing(Listing);
                     else
                       this->retry();
                   });
}

void ContactRegistry::onListing(const StoreListing &Listing) {
  this->Failures = 0;
  bool IsRegistered = false;
  for (const auto &Object : Listing.Objects) {
    try {
      auto Found = decode(Object);
      if (Found.Node == this->Self.Node)
        IsRegistered = Found == this->Self;
      else
        this->OnFound(Found);
    } catch (const ValueError &E) {
      this->Log.state("contact_malformed", {{"error", E.what()}});
    }
  }
  if (!IsRegistered && !this->ContactWritten) {
    this->write();
    return;
  }
  this->ContactsRead = true;
  auto Jitter = Milliseconds(this->Random() % 5000);
  this->ListTimer =
      this->Loop.after(RefreshPeriod + Jitter, [this]() { this->list(true); });
}

void ContactRegistry::write() {
  this->Store.put(ContactKind, {this->Self.Node.value(), 0, encode(this->Self)},
                  "contacts-write", [this](StoreOutcome Outcome) {
                    if (Outcome != StoreOutcome::Done) {
                      this->retry();
                      return;
                    }
                    this->ContactWritten = true;
                    this->list(false);
                  });
}

void ContactRegistry::retry() {
  auto Doublings = std::min(this->Failures++, 4U);
  auto Pause = std::min(MinRetryPause * (1U << Doublings), MaxRetryPause);
  auto Jitter =
      Milliseconds(this->Random() % static_cast<std::uint64_t>(Pause.count()));
  this->ListTimer =
      this->Loop.after(Pause / 2 + Jitter, [this]() { this->list(false); });
}

void ContactRegistry::unregister() {
  this->Store.remove(ContactKind, this->Self.Node.value(), "contacts-remove",
                     [this](StoreOutcome Outcome) {
                       if (Outcome != StoreOutcome::Done)
                         this->Log.state("contact_not_removed",
                                         {{"outcome", toString(Outcome)}});
                     });
}

} // namespace limpetdrum
