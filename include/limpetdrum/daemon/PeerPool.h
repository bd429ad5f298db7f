#ifndef LIMPETDRUM_DAEMON_PEERPOOL_H
#define LIMPETDRUM_DAEMON_PEERPOOL_H

#include "limpetdrum/connection/Liveness.h"
#include "limpetdrum/connection/RpcClient.h"
#include "limpetdrum/daemon/Ports.h"
#include "limpetdrum/process/Metrics.h"

#include <kj/async.h>
#include <unordered_map>

namespace limpetdrum {

/// \brief The connections to other nodes, one each, replaced when dead.
class PeerPool final : public PeerPort, private kj::TaskSet::ErrorHandler {
public:
  PeerPool(EventLoop &Loop, Metrics &Counters);
  ~PeerPool() noexcept(false) override;

  void execute(const Member &To, const AttemptSpec &Attempt,
               Done OnResult) override;
  void cancel(const Member &To, AttemptId Id) override;

  using OnLevels =
      std::function<void(const NodeId &From, const std::vector<LevelReport> &)>;
  /// \brief Who hears of moved levels at the nodes that are called.
  void setLevelListener(OnLevels Listener) {
    this->Listener = std::move(Listener);
  }
  /// \brief Asks for a release above a revision.
  /// \param OnText called with an empty text if there is none.
  void fetchRelease(Endpoint From, Revision Above,
                    std::function<void(std::string)> OnText);
  /// \brief Exchanges whole member lists.
  /// \param OnDone called with nothing if the node did not answer.
  void
  synchronize(Endpoint With, const std::vector<Member> &Mine,
              std::function<void(std::optional<std::vector<Member>>)> OnDone);
  /// \param OnDone called with whether the node took them.
  void
  handOver(Endpoint To,
           const std::vector<std::pair<IdempotencyKey, KeyRecord>> &Records,
           std::function<void(bool)> OnDone);
  /// \brief Looks after the liveness of connections; call every 50 ms or so.
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

  std::shared_ptr<Peer> peer(Endpoint Where);
  void watchLevels(const std::shared_ptr<Peer> &Watched);
  void dropClient(Peer &Of, std::uint64_t Generation);
  void probeBoth(Peer &Silent);
  void replace(Peer &Silent);
  void suspect(Peer &Silent);
  void retire(std::unique_ptr<RpcClient> Old, const char *Why);
  void taskFailed(kj::Exception &&E) override;

  EventLoop &Loop;
  Metrics &Counters;
  std::unordered_map<Endpoint, std::shared_ptr<Peer>, EndpointHash> Peers;
  std::uint64_t LastCall = 0;
  OnLevels Listener;
  kj::TaskSet Tasks;
};

} // namespace limpetdrum

#endif
