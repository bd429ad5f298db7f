#ifndef LIMPETDRUM_DAEMON_RELEASEFEED_H
#define LIMPETDRUM_DAEMON_RELEASEFEED_H

#include "limpetdrum/connection/PlatformClient.h"
#include "limpetdrum/daemon/PeerPool.h"
#include "limpetdrum/version/InForce.h"

#include <random>

namespace limpetdrum {

/// \brief Obtains new releases from the platform or from peers.
///
/// Two nodes of each failure domain, selected by rendezvous hashing over its
/// live members, keep a watch at the platform. The others learn of a new
/// revision by gossip and fetch it from the sender. They also poll the
/// platform, at an interval that grows with the size of the fleet.
class ReleaseFeed {
public:
  ReleaseFeed(EventLoop &Loop, PlatformClient &Platform, PeerPool &Peers,
              const Membership &Members, InForce &Releases, Metrics &Counters,
              std::uint64_t Seed, std::function<void()> OnInForce);

  /// \brief Starts to read and watch the platform.
  void start();
  /// \brief Fetches a release from a member that reported a newer revision.
  void fetchFrom(const NodeId &Node);
  /// \brief Brings a release into force if it is newer. Ignores empty text.
  void offer(const std::string &Text);

  /// \brief Returns true if the last request reached the platform.
  [[nodiscard]] bool platformReached() const noexcept {
    return this->PlatformReached;
  }

private:
  void requestRelease();
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
  Timer RequestTimer;
  std::string Version;
  Microseconds Backoff{0};
  bool PlatformReached = false;
  bool HasRead = false;
  unsigned FetchesInFlight = 0;
};

/// \brief Name of the platform object that holds the release.
inline constexpr const char *ReleaseObject = "release";

} // namespace limpetdrum

#endif
