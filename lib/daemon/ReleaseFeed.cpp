#include "limpetdrum/daemon/ReleaseFeed.h"

#include "limpetdrum/process/Error.h"
#include "limpetdrum/request/KeyHome.h"

#include <algorithm>
#include <easylogging++.h>

namespace limpetdrum {

namespace {

constexpr std::size_t WatchersPerDomain = 2;
constexpr Milliseconds WatchLimit{30000};
constexpr Microseconds FirstBackoff{200'000};
constexpr Microseconds LongestBackoff{10'000'000};
constexpr Microseconds BetweenWatches{50'000};
constexpr std::chrono::seconds LeastPollInterval{30};
/// Polls that the whole fleet may make of the platform each second.
constexpr std::size_t FleetPollsPerSecond = 20;
constexpr unsigned MaxFetches = 3;

} // namespace

ReleaseFeed::ReleaseFeed(EventLoop &Loop, PlatformClient &Platform,
                         PeerPool &Peers, const Membership &Members,
                         InForce &Releases, Metrics &Counters,
                         std::uint64_t Seed, std::function<void()> OnInForce)
    : Loop(Loop), Platform(Platform), Peers(Peers), Members(Members),
      Releases(Releases), Counters(Counters), Random(Seed),
      OnInForce(std::move(OnInForce)) {}

void ReleaseFeed::start() { this->next(); }

bool ReleaseFeed::isWatcher() const {
  const auto &Self = this->Members.self();
  std::vector<NodeId> Names = {Self.Node};
  for (const auto &[Node, M] : this->Members.others())
    if (M.FailureDomain == Self.FailureDomain && M.Health == Health::Alive &&
        M.Target != TargetState::Left)
      Names.push_back(Node);
  auto Chosen = rankByHash("watch", std::move(Names), WatchersPerDomain);
  return std::find(Chosen.begin(), Chosen.end(), Self.Node) != Chosen.end();
}

Microseconds ReleaseFeed::pollInterval() const {
  auto Fleet = this->Members.others().size() + 1;
  return std::max<Microseconds>(
      LeastPollInterval, std::chrono::seconds(Fleet / FleetPollsPerSecond));
}

Microseconds ReleaseFeed::jittered(Microseconds Span) {
  std::uniform_real_distribution<double> Spread(0.5, 1.5);
  return Microseconds(static_cast<std::int64_t>(
      static_cast<double>(Span.count()) * Spread(this->Random)));
}

void ReleaseFeed::next() {
  auto Done = [this](const PlatformObject &Object) { this->onObject(Object); };
  if (this->Read && this->Reached && this->isWatcher())
    this->Platform.watch(ReleaseObject, this->Version, WatchLimit, Done);
  else
    this->Platform.read(ReleaseObject, Done);
}

void ReleaseFeed::onObject(const PlatformObject &Object) {
  if (this->Reached != Object.Reached)
    LOG(INFO) << "platform " << (Object.Reached ? "reached" : "lost");
  this->Reached = Object.Reached;
  Microseconds Pause = BetweenWatches;
  if (!Object.Reached) {
    this->Counters.count("platform_failures");
    this->Backoff = std::clamp(this->Backoff * 2, FirstBackoff, LongestBackoff);
    Pause = this->jittered(this->Backoff);
  } else {
    this->Backoff = Microseconds(0);
    if (Object.Value && Object.Version != this->Version) {
      this->Version = Object.Version;
      this->offer(*Object.Value);
    }
    if (this->Read && !this->isWatcher())
      Pause = this->jittered(this->pollInterval());
    this->Read = true;
  }
  this->Next = this->Loop.after(Pause, [this]() { this->next(); });
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
  const Member *From = this->Members.find(Node);
  if (From == nullptr || this->Fetching >= MaxFetches)
    return;
  ++this->Fetching;
  this->Counters.count("releases_fetched");
  this->Peers.fetchRelease(From->Rpc, this->Releases.revision(),
                           [this](const std::string &Text) {
                             --this->Fetching;
                             this->offer(Text);
                           });
}

} // namespace limpetdrum
