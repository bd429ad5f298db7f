#include "limpetdrum/daemon/ContactRegistry.h"

#include "limpetdrum/process/Error.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace limpetdrum {

namespace {

const std::string ContactKind = "limpetdrum-nodes";
constexpr Milliseconds FirstRetry{200};
constexpr Milliseconds LongestRetry{1600};
/// Links find new nodes at once; the list only heals what they missed.
constexpr std::chrono::seconds RefreshPeriod{30};

std::string encode(const Contact &Value) {
  return nlohmann::json({{"link", toString(Value.Link)},
                         {"failure-domain", Value.FailureDomain.value()}})
      .dump();
}

/// \throws ValueError if the object is no contact.
Contact decode(const StoredObject &Object) {
  try {
    auto Value = nlohmann::json::parse(Object.Value);
    return {NodeId(Object.Name),
            parseEndpoint(Value.at("link").get<std::string>()),
            FailureDomain(Value.at("failure-domain").get<std::string>())};
  } catch (const nlohmann::json::exception &E) {
    throw ValueError("stored node '" + Object.Name +
                         "' cannot be read: " + E.what(),
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
  bool OwnIsRight = false;
  for (const auto &Object : Listing.Objects) {
    try {
      auto Found = decode(Object);
      if (Found.Node == this->Self.Node)
        OwnIsRight = Found == this->Self;
      else
        this->OnFound(Found);
    } catch (const ValueError &E) {
      this->Log.state("contact_malformed", {{"error", E.what()}});
    }
  }
  if (!OwnIsRight && !this->Written) {
    this->write();
    return;
  }
  this->Listed = true;
  auto Jitter = Milliseconds(this->Random() % 5000);
  this->Pause =
      this->Loop.after(RefreshPeriod + Jitter, [this]() { this->list(true); });
}

void ContactRegistry::write() {
  this->Store.put(ContactKind, {this->Self.Node.value(), 0, encode(this->Self)},
                  "contacts-write", [this](StoreOutcome Outcome) {
                    if (Outcome != StoreOutcome::Done) {
                      this->retry();
                      return;
                    }
                    this->Written = true;
                    this->list(false);
                  });
}

void ContactRegistry::retry() {
  auto Doublings = std::min(this->Failures++, 4U);
  auto Span = std::min(FirstRetry * (1U << Doublings), LongestRetry);
  auto Jitter =
      Milliseconds(this->Random() % static_cast<std::uint64_t>(Span.count()));
  this->Pause =
      this->Loop.after(Span / 2 + Jitter, [this]() { this->list(false); });
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
