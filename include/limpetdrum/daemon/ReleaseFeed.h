#ifndef LIMPETDRUM_DAEMON_RELEASEFEED_H
#define LIMPETDRUM_DAEMON_RELEASEFEED_H

#include "limpetdrum/connection/PlatformClient.h"
#include "limpetdrum/daemon/PeerPool.h"
#include "limpetdrum/version/InForce.h"

#include <random>

namespace limpetdrum {

/// \brief Brings new releases to this node: from the platform or from peers.
///
/// Two nodes of each failure domain, by rendezvous hashing over its live
/// members, keep a watch at the platform. The others hear of a new revision by
/// gossip, take it from the node that told them, and look at the platform
/// now and then, the more rarely the larger the fleet is.
class ReleaseFeed {
public:
  ReleaseFeed(EventLoop &Loop, PlatformClient &Platform, PeerPool &Peers,
              const Membership &Members, InForce &Releases, Metrics &Counters,
              std::uint64_t Seed, std::function<void()> OnInForce);

  /// \brief Begins to read and watch.
  void start();
  /// \brief A member has a newer release.
  void fetchFrom(const NodeId &Node);
  /// \brief Takes a release from anywhere, if it is newer.
  void offer(const std::string &Text);

  [[nodiscard]] bool isWatcher() const;
  [[nodiscard]] bool platformReached() const noexcept { return this->Reached; }

private:
  void next();
  void onObject(const PlatformObject &Object);
  [[nodiscard]] Microseconds jittered(Microseconds Span);
  [[nodiscard]] Microseconds pollInterval() const;

  EventLoop &Loop;
  PlatformClient &Platform;
  PeerPool &Peers;
  const Membership &Members;
  InForce &Releases;
  Metrics &Counters;
  std::mt19937_64 Random;
  std::function<void()> OnInForce;
  Timer Next;
  std::string Version;
  Microseconds Backoff{0};
  bool Reached = false;
  bool Read = false;
  unsigned Fetching = 0;
};

/// \brief The platform object that holds the release.
inline constexpr const char *ReleaseObject = "release";

} // namespace limpetdrum

#endif
