#include "limpetdrum/daemon/PolicyFeed.h"

#include "limpetdrum/process/Error.h"

#include <algorithm>

namespace limpetdrum {

namespace {

/// Shorter than the 30 s for which the store holds a watch at most.
constexpr std::chrono::seconds WatchLimit{25};
constexpr Milliseconds MinRetryPause{150};
constexpr Milliseconds MaxRetryPause{1200};

} // namespace

PolicyFeed::PolicyFeed(EventLoop &Loop, ObjectStore &Store,
                       const PlatformAdapter &Adapter, EventLog &Log,
                       Metrics &Counters, std::uint64_t Seed)
    : Loop(Loop), Store(Store), Adapter(Adapter), Log(Log), Counters(Counters),
      Random(Seed) {}

void PolicyFeed::start(std::function<void(const TrafficPolicy &)> Action) {
  this->OnPolicyChange = std::move(Action);
  this->read();
}

void PolicyFeed::offer(const std::string &Text, const char *Source) {
  std::shared_ptr<const TrafficPolicy> Policy;
  try {
    Policy = this->Adapter.decodePolicy(Text);
  } catch (const ValueError &E) {
    this->Counters.count("policies_malformed", "source", Source);
    this->Log.state("policy_malformed",
                    {{"source", Source}, {"error", E.what()}});
    return;
  }
  if (this->Current && Policy->version() <= this->Current->version())
    return;
  this->Log.state(
      "policy_in_force",
      {{"version", Policy->version().value()},
       {"previous", this->Current ? this->Current->version().value() : 0},
       {"source", Source},
       {"routes", Policy->routes().size()}});
  this->Counters.count("policies", "source", Source);
  this->Current = std::move(Policy);
  this->OnPolicyChange(*this->Current);
}

void PolicyFeed::onStoreState(StoreOutcome Outcome) {
  bool Reached = Outcome == StoreOutcome::Done;
  if (Reached)
    this->Failures = 0;
  else
    ++this->Failures;
  if (Reached == this->StoreReached)
    return;
  this->StoreReached = Reached;
  this->Log.state(
      Reached ? "store_reached" : "store_lost",
      {{"outcome", toString(Outcome)}, {"revision", this->StoreRevision}});
}

void PolicyFeed::retry() {
  auto Doublings = std::min(this->Failures, 4U);
  auto Pause = std::min(MinRetryPause * (1U << Doublings), MaxRetryPause);
  // The jitter keeps nodes that lost the store at the same time from retrying
  // at the same time.
  auto Jitter =
      Milliseconds(this->Random() % static_cast<std::uint64_t>(Pause.count()));
  this->RetryTimer =
      this->Loop.after(Pause / 2 + Jitter, [this]() { this->read(); });
}

void PolicyFeed::read() {
  this->Store.list(this->Adapter.policyKind(), false, "policy-read",
                   [this](const StoreListing &Listing) {
                     this->onStoreState(Listing.Outcome);
                     if (Listing.Outcome != StoreOutcome::Done) {
                       this->retry();
                       return;
                     }
                     this->onListing(Listing);
                   });
}

void PolicyFeed::onListing(const StoreListing &Listing) {
  this->StoreRevision = Listing.Revision;
  for (const auto &Object : Listing.Objects)
    if (Object.Name == this->Adapter.policyName())
      this->offer(Object.Value, "store");
  this->watch();
}

void PolicyFeed::watch() {
  this->Store.watch(this->Adapter.policyKind(), this->StoreRevision, WatchLimit,
                    "policy-watch", [this](const StoreListing &Listing) {
                      this->onStoreState(Listing.Outcome);
                      if (Listing.Outcome == StoreOutcome::Done)
                        this->onListing(Listing);
                      else if (Listing.Outcome == StoreOutcome::RevisionExpired)
                        this->read();
                      else
                        this->retry();
                    });
}

} // namespace limpetdrum
