#include "limpetdrum/daemon/ReleaseFeed.h"

#include "limpetdrum/process/Duties.h"
#include "limpetdrum/process/Error.h"

#include <algorithm>
#include <easylogging++.h>

namespace limpetdrum {

namespace {

constexpr Milliseconds WatchTimeout{30000};
constexpr Microseconds MinBackoff{200'000};
constexpr Microseconds MaxBackoff{10'000'000};
constexpr Microseconds WatchPause{50'000};
constexpr std::chrono::seconds MinPollInterval{30};
/// Polls per second that the fleet as a whole may send to the platform.
constexpr std::size_t FleetPollsPerSecond = 20;
constexpr unsigned MaxConcurrentFetches = 3;

} // namespace

ReleaseFeed::ReleaseFeed(EventLoop &Loop, PlatformClient &Platform,
                         PeerPool &Peers, const Membership &Members,
                         InForce &Releases, Metrics &Counters,
                         std::uint64_t Seed, std::function<void()> OnInForce)
    : Loop(Loop), Platform(Platform), Peers(Peers), Members(Members),
      Releases(Releases), Counters(Counters), Random(Seed),
      OnInForce(std::move(OnInForce)) {}

void ReleaseFeed::start() { this->requestRelease(); }

Microseconds ReleaseFeed::pollInterval() const {
  auto FleetSize = this->Members.others().size() + 1;
  return std::max<Microseconds>(
      MinPollInterval, std::chrono::seconds(FleetSize / FleetPollsPerSecond));
}

Microseconds ReleaseFeed::jittered(Microseconds Span) {
  std::uniform_real_distribution<double> Spread(0.5, 1.5);
  return Microseconds(static_cast<std::int64_t>(
      static_cast<double>(Span.count()) * Spread(this->Random)));
}

void ReleaseFeed::requestRelease() {
  auto Done = [this](const PlatformObject &Object) { this->onObject(Object); };
  if (this->HasRead && this->PlatformReached && holdsDuties(this->Members))
    this->Platform.watch(ReleaseObject, this->Version, WatchTimeout, Done);
  else
    this->Platform.read(ReleaseObject, Done);
}

void ReleaseFeed::onObject(const PlatformObject &Object) {
  if (this->PlatformReached != Object.HasUsableAnswer)
    LOG(INFO) << "platform " << (Object.HasUsableAnswer ? "reached" : "lost");
  this->PlatformReached = Object.HasUsableAnswer;
  Microseconds Pause = WatchPause;
  if (!Object.HasUsableAnswer) {
    this->Counters.count("platform_failures");
    this->Backoff = std::clamp(this->Backoff * 2, MinBackoff, MaxBackoff);
    Pause = this->jittered(this->Backoff);
  } else {
    this->Backoff = Microseconds(0);
    if (Object.Value && Object.Version != this->Version) {
      this->Version = Object.Version;
      this->offer(*Object.Value);
    }
    if (this->HasRead && !holdsDuties(this->Members))
      Pause = this->jittered(this->pollInterval());
    this->HasRead = true;
  }
  this->RequestTimer =
      this->Loop.after(Pause, [this]() { this->requestRelease(); });
}

void ReleaseFeed::offer(const std::string &Text) {
  if (Text.empty())
    return;
  try {
    if (!this->Releases.offer(Text)) {
      this->Counters.count("releases_not_newer");
      return;
    }
  } catch (const SourceError &E) {
    this->Counters.count("releases_malformed");
    LOG(ERROR) << E.what();
    return;
  }
  LOG(INFO) << "revision " << this->Releases.revision().value() << " in force";
  this->OnInForce();
}

void ReleaseFeed::fetchFrom(const NodeId &Node) {
  const Member *Source = this->Members.find(Node);
  if (Source == nullptr || this->FetchesInFlight >= MaxConcurrentFetches)
    return;
  ++this->FetchesInFlight;
  this->Counters.count("releases_fetched");
  this->Peers.fetchRelease(Source->Rpc, this->Releases.revision(),
                           [this](const std::string &Text) {
                             --this->FetchesInFlight;
                             this->offer(Text);
                           });
}

} // namespace limpetdrum
