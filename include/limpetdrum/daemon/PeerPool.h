#ifndef LIMPETDRUM_DAEMON_PEERPOOL_H
#define LIMPETDRUM_DAEMON_PEERPOOL_H

#include "limpetdrum/connection/Liveness.h"
#include "limpetdrum/connection/RpcClient.h"
#include "limpetdrum/daemon/calls/Ports.h"
#include "limpetdrum/process/Metrics.h"

#include <kj/async.h>
#include <unordered_map>

namespace limpetdrum {

/// \brief Pool of connections to other nodes: one for each node, replaced when
///   dead.
class PeerPool final : public PeerPort, private kj::TaskSet::ErrorHandler {
public:
  PeerPool(EventLoop &Loop, Metrics &Counters);
  ~PeerPool() noexcept(false) override;

  void execute(const Member &Receiver, const AttemptSpec &Attempt,
               Done OnResult) override;
  void cancel(const Member &Receiver, AttemptId Id) override;

  using LevelCallback = std::function<void(const NodeId &Source,
                                           const std::vector<LevelReport> &)>;
  /// \brief Sets the listener for changed levels of the nodes that are called.
  void setLevelListener(LevelCallback Listener) {
    this->LevelListener = std::move(Listener);
  }
  /// \brief Requests a release with a higher revision than \p Current.
  /// \param OnText called with an empty text if there is none, or if the node
  ///   did not answer.
  void fetchRelease(Endpoint Source, Revision Current,
                    std::function<void(std::string)> OnText);
  /// \brief Exchanges complete member lists with a node.
  /// \param OnDone called with nothing if the node did not answer or sent a
  ///   malformed list.
  void
  synchronize(Endpoint Peer, const std::vector<Member> &LocalMembers,
              std::function<void(std::optional<std::vector<Member>>)> OnDone);
  /// \brief Sends key records to a node, in batches.
  /// \param OnDone called with true if the node accepted all of them.
  void
  handOver(Endpoint Receiver,
           const std::vector<std::pair<IdempotencyKey, KeyRecord>> &Records,
           std::function<void(bool)> OnDone);
  /// \brief Probes, replaces or suspects silent connections, and closes idle
  ///   ones. To be called about every 50 ms.
  void tick();
  [[nodiscard]] std::size_t size() const noexcept { return this->Peers.size(); }

private:
  struct Peer;
  struct EndpointHash {
    std::size_t operator()(const Endpoint &E) const noexcept {
      return std::hash<std::uint64_t>()(std::uint64_t{E.Address} << 16 |
                                        E.Port);
    }
  };

  /// Returns the peer at an endpoint, with an open client.
  std::shared_ptr<Peer> peer(Endpoint Address);
  void watchLevels(const std::shared_ptr<Peer> &Watched);
  /// Retires the client if it is still the one of that generation.
  void dropClient(Peer &Owner, std::uint64_t Generation);
  void probeBoth(Peer &SilentPeer);
  void replace(Peer &SilentPeer);
  void suspect(Peer &SilentPeer);
  void retire(std::unique_ptr<RpcClient> Client, const char *Cause);
  void taskFailed(kj::Exception &&E) override;

  EventLoop &Loop;
  Metrics &Counters;
  std::unordered_map<Endpoint, std::shared_ptr<Peer>, EndpointHash> Peers;
  std::uint64_t LastCall = 0;
  LevelCallback LevelListener;
  kj::TaskSet Tasks;
};

} // namespace limpetdrum

#endif
