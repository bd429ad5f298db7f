#include "limpetdrum/daemon/policy/PolicyFeed.h"

#include "limpetdrum/process/Error.h"

#include <algorithm>

namespace limpetdrum {

namespace {

/// Shorter than the 30 s for which the store holds a watch at most.
constexpr std::chrono::seconds WatchLimit{25};
constexpr Milliseconds MinRetryPause{150};
constexpr Milliseconds MaxRetryPause{1200};
/// Time after the start for other nodes to send their policy.
constexpr Milliseconds FirstReadDelay{2500};
constexpr Milliseconds FirstReadJitter{1000};
/// Interval at which the nodes of the fleet together read the store.
constexpr Milliseconds FleetPollPeriod{1000};
/// Interval of the reads of a node that found a policy which no other node had
/// announced.
constexpr Milliseconds FoundPollPeriod{500};

} // namespace

PolicyFeed::PolicyFeed(EventLoop &Loop, ObjectStore &Store,
                       const PlatformAdapter &Adapter, EventLog &Log,
                       Metrics &Counters, std::uint64_t Seed)
    : Loop(Loop), Store(Store), Adapter(Adapter), Log(Log), Counters(Counters),
      Random(Seed) {}

void PolicyFeed::start(Handlers Callbacks) {
  this->Callbacks = std::move(Callbacks);
  auto Jitter = Milliseconds(this->Random() % FirstReadJitter.count());
  this->NextCall = this->Loop.after(FirstReadDelay + Jitter, [this]() {
    if (this->Current)
      this->schedulePoll(false);
    else
      this->read();
  });
}

void PolicyFeed::setWatching(bool Value) {
  if (std::exchange(this->Watching, Value) == Value)
    return;
  this->Log.state("policy_watch", {{"watching", Value}});
  this->Failures = 0;
  if (Value && !this->CallPending)
    this->read();
}

void PolicyFeed::schedulePoll(bool FoundNewer) {
  auto Period =
      FoundNewer ? FoundPollPeriod
                 : FleetPollPeriod * static_cast<std::int64_t>(this->FleetSize);
  auto Jitter = Milliseconds(static_cast<std::int64_t>(
      this->Random() % static_cast<std::uint64_t>(Period.count())));
  this->NextCall =
      this->Loop.after(Period / 2 + Jitter, [this]() { this->read(); });
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
       {"routes", Policy->routes().size()},
       {"open_routes",
        std::count_if(Policy->routes().begin(), Policy->routes().end(),
                      [](const auto &Route) { return Route.IsOpen; })},
       {"organisations", Policy->organisations().entries().size()}});
  this->Counters.count("policies", "source", Source);
  this->Current = std::move(Policy);
  this->Callbacks.OnPolicyChange(*this->Current);
}

void PolicyFeed::onStoreState(const StoreListing &Listing) {
  this->CallPending = false;
  bool WasReached = this->Failures == 0;
  bool IsReached = Listing.Outcome == StoreOutcome::Done ||
                   Listing.Outcome == StoreOutcome::RevisionExpired;
  this->Failures = IsReached ? 0 : this->Failures + 1;
  if (IsReached != WasReached) {
    this->Log.state(IsReached ? "store_reached" : "store_lost",
                    {{"outcome", toString(Listing.Outcome)},
                     {"revision", this->StoreRevision}});
    if (this->Watching)
      this->Callbacks.OnStoreReachable();
  }
  if (!IsReached)
    return;
  auto Previous = std::exchange(this->Era, Listing.Era);
  if (!Previous || *Previous == Listing.Era)
    return;
  this->Log.state("store_restored", {{"era", Listing.Era.value()},
                                     {"previous", Previous->value()},
                                     {"revision", this->StoreRevision}});
  this->Callbacks.OnStoreRestored();
}

void PolicyFeed::readAfterPause() {
  // Often only the connection was lost, and a new one works.
  if (this->Failures == 1) {
    this->read();
    return;
  }
  auto Doublings = std::min(this->Failures, 4U);
  auto Pause = std::min(MinRetryPause * (1U << Doublings), MaxRetryPause);
  // The jitter keeps nodes that lost the store at the same time from retrying
  // at the same time.
  auto Jitter =
      Milliseconds(this->Random() % static_cast<std::uint64_t>(Pause.count()));
  this->NextCall =
      this->Loop.after(Pause / 2 + Jitter, [this]() { this->read(); });
}

void PolicyFeed::read() {
  this->NextCall.cancel();
  this->CallPending = true;
  this->Store.list(this->Adapter.policyKind(), false, "policy-read",
                   [this](const StoreListing &Listing) {
                     this->onStoreState(Listing);
                     if (Listing.Outcome == StoreOutcome::Done)
                       this->onListing(Listing);
                     else if (this->Watching || !this->Current)
                       this->readAfterPause();
                     else
                       this->schedulePoll(false);
                   });
}

void PolicyFeed::onListing(const StoreListing &Listing) {
  this->StoreRevision = Listing.Revision;
  auto Previous = this->Current;
  for (const auto &Object : Listing.Objects)
    if (Object.Name == this->Adapter.policyName())
      this->offer(Object.Value, "store");
  if (this->Watching)
    this->watch();
  else if (this->Current)
    this->schedulePoll(this->Current != Previous);
  else
    this->readAfterPause();
}

void PolicyFeed::watch() {
  this->CallPending = true;
  this->Store.watch(this->Adapter.policyKind(), this->StoreRevision, *this->Era,
                    WatchLimit, "policy-watch",
                    [this](const StoreListing &Listing) {
                      this->onStoreState(Listing);
                      if (Listing.Outcome == StoreOutcome::Done)
                        this->onListing(Listing);
                      else if (Listing.Outcome == StoreOutcome::RevisionExpired)
                        this->read();
                      else if (this->Watching)
                        this->readAfterPause();
                      else
                        this->schedulePoll(false);
                    });
}

} // namespace limpetdrum
