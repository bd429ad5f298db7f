#include "limpetdrum/daemon/fleet/ContactRegistry.h"

#include "limpetdrum/process/Error.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace limpetdrum {

namespace {

const std::string ContactKind = "limpetdrum-nodes";
constexpr Milliseconds MinRetryPause{200};
constexpr Milliseconds MaxRetryPause{1600};
/// Time for all nodes of a fleet that starts to write their contacts, before
/// the first of them reads the list.
constexpr Milliseconds FleetStartDelay{1500};
constexpr Milliseconds FleetStartJitter{500};
/// Pause before a list that does not contain this node is read again.
constexpr Milliseconds StaleListPause{1000};
/// A stale list costs the store less, but may lag by seconds.
constexpr unsigned MaxStaleLists = 3;
constexpr std::chrono::seconds RefreshPeriod{30};
constexpr Milliseconds RefreshJitter{5000};
/// Age of the copies that the store may be restored from, at most.
constexpr std::chrono::seconds MaxCopyAge{60};

std::string encode(const Member &Value) {
  return nlohmann::json({{"link", toString(Value.Rpc)},
                         {"gossip", toString(Value.Gossip)},
                         {"failure-domain", Value.FailureDomain.value()},
                         {"region", Value.Region.value()},
                         {"service", Value.Service.value()},
                         {"incarnation", Value.Incarnation.value()}})
      .dump();
}

/// \throws ValueError if the object is not a valid contact.
Member decode(const StoredObject &Object) {
  try {
    auto Value = nlohmann::json::parse(Object.Value);
    auto Text = [&Value](const char *Name) {
      return Value.at(Name).get<std::string>();
    };
    Member Result;
    Result.Node = NodeId(Object.Name);
    Result.Rpc = parseEndpoint(Text("link"));
    Result.Gossip = parseEndpoint(Text("gossip"));
    Result.FailureDomain = FailureDomain(Text("failure-domain"));
    Result.Region = Region(Text("region"));
    Result.Service = ServiceName(Text("service"));
    const auto &Started = Value.at("incarnation");
    if (!Started.is_number_unsigned())
      throw ValueError("incarnation " + Started.dump() + " of node '" +
                           Object.Name + "' is no whole number from 0",
                       "delete the object");
    Result.Incarnation = Incarnation(Started.get<std::uint64_t>());
    Result.Target = TargetState::Ready;
    return Result;
  } catch (const nlohmann::json::exception &E) {
    throw ValueError(
        "stored contact of node '" + Object.Name +
            "' is malformed, expected a JSON object with 'link', 'gossip', "
            "'failure-domain', 'region', 'service' and 'incarnation': " +
            E.what(),
        "delete the object");
  }
}

/// Returns true if both lead to the same node. A restart does not change the
/// contact: gossip spreads the new incarnation.
bool isSameContact(const Member &A, const Member &B) {
  return A.Rpc == B.Rpc && A.Gossip == B.Gossip &&
         A.FailureDomain == B.FailureDomain && A.Service == B.Service;
}

} // namespace

ContactRegistry::ContactRegistry(EventLoop &Loop, ObjectStore &Store,
                                 Member Self, EventLog &Log, std::uint64_t Seed)
    : Loop(Loop), Store(Store), Self(std::move(Self)), Log(Log), Random(Seed) {}

void ContactRegistry::start(Start Kind, Handlers Callbacks) {
  this->Callbacks = std::move(Callbacks);
  if (Kind == Start::Alone) {
    this->list(false);
    return;
  }
  this->listAfter(FleetStartDelay + this->jitter(FleetStartJitter), true);
  this->write();
}

Milliseconds ContactRegistry::jitter(Milliseconds Span) {
  return Milliseconds(this->Random() %
                      static_cast<std::uint64_t>(Span.count()));
}

void ContactRegistry::list(bool AllowStale) {
  this->Store.list(ContactKind, AllowStale, "contacts-read",
                   [this, AllowStale](const StoreListing &Listing) {
                     if (Listing.Outcome == StoreOutcome::Done)
                       this->onListing(Listing, AllowStale);
                     else
                       this->ListTimer = this->retryAfterPause(
                           [this]() { this->list(false); });
                   });
}

void ContactRegistry::listAfter(Milliseconds Delay, bool AllowStale) {
  this->ListTimer =
      this->Loop.after(Delay, [this, AllowStale]() { this->list(AllowStale); });
}

void ContactRegistry::onListing(const StoreListing &Listing, bool IsStale) {
  this->Failures = 0;
  bool IsRegistered = false;
  std::vector<Member> Found;
  for (const auto &Object : Listing.Objects) {
    try {
      auto Contact = decode(Object);
      if (Contact.Node == this->Self.Node)
        IsRegistered = isSameContact(Contact, this->Self);
      else
        Found.push_back(std::move(Contact));
    } catch (const ValueError &E) {
      this->Log.state("contact_malformed", {{"error", E.what()}});
    }
  }
  this->Callbacks.OnFound(Found);
  if (IsStale && !IsRegistered && !this->ContactsRead) {
    bool MayLag = ++this->StaleLists < MaxStaleLists;
    this->listAfter(StaleListPause, MayLag);
    return;
  }
  if (!IsRegistered && !IsStale)
    this->write();
  this->ContactsRead = true;
  this->scheduleRefresh();
}

void ContactRegistry::scheduleRefresh() {
  auto Delay = RefreshPeriod + this->jitter(RefreshJitter);
  this->ListTimer = this->Loop.after(Delay, [this]() {
    if (this->Callbacks.MayRefresh())
      this->list(true);
    else
      this->scheduleRefresh();
  });
}

void ContactRegistry::write() {
  this->Store.put(ContactKind, {this->Self.Node.value(), 0, encode(this->Self)},
                  "contacts-write", [this](StoreOutcome Outcome) {
                    if (Outcome == StoreOutcome::Done)
                      this->WrittenAt = this->Loop.now();
                    else
                      this->WriteTimer =
                          this->retryAfterPause([this]() { this->write(); });
                  });
}

Timer ContactRegistry::retryAfterPause(std::function<void()> Action) {
  auto Doublings = std::min(this->Failures++, 4U);
  auto Pause = std::min(MinRetryPause * (1U << Doublings), MaxRetryPause);
  return this->Loop.after(Pause / 2 + this->jitter(Pause), std::move(Action));
}

void ContactRegistry::onStoreRestored() {
  if (this->WrittenAt && this->Loop.now() - *this->WrittenAt < MaxCopyAge)
    this->write();
}

void ContactRegistry::unregister() {
  this->Store.remove(ContactKind, this->Self.Node.value(), 0, "contacts-remove",
                     [this](StoreOutcome Outcome) {
                       if (Outcome != StoreOutcome::Done)
                         this->Log.state("contact_not_removed",
                                         {{"outcome", toString(Outcome)}});
                     });
}

} // namespace limpetdrum
