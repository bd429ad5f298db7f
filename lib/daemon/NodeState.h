#ifndef LIMPETDRUM_LIB_DAEMON_NODESTATE_H
#define LIMPETDRUM_LIB_DAEMON_NODESTATE_H

#include "limpetdrum/connection/Datagram.h"
#include "limpetdrum/connection/EventLoop.h"
#include "limpetdrum/daemon/Entrance.h"
#include "limpetdrum/daemon/Node.h"
#include "limpetdrum/daemon/PeerPool.h"
#include "limpetdrum/daemon/ReleaseFeed.h"
#include "limpetdrum/request/LevelNotifier.h"

#include <nlohmann/json.hpp>

namespace limpetdrum {

/// \brief The target's HTTP endpoint, known once it has announced itself.
class AnnouncedTarget final : public TargetPort {
public:
  explicit AnnouncedTarget(EventLoop &Loop) : Loop(Loop) {}

  void setEndpoint(Endpoint Where) {
    if (!this->Client || Where != this->Where)
      this->Client = std::make_unique<HttpClient>(this->Loop, Where);
    this->Where = Where;
  }
  std::uint64_t send(const HttpCall &Call, HttpClient::Callback Done) override {
    return this->Client->send(Call, std::move(Done));
  }
  void cancel(std::uint64_t Ticket) override { this->Client->cancel(Ticket); }

private:
  EventLoop &Loop;
  Endpoint Where;
  std::unique_ptr<HttpClient> Client;
};

/// \brief All parts of a node, in the order in which they need each other.
struct Node::State {
  EventLoop &Loop;
  Settings Chosen;
  std::function<void()> OnLeft;
  Clock Now;
  Metrics Counters;
  InForce Releases;
  Membership Members;
  ServiceDirectory Directory;
  LevelTable Levels;
  LevelNotifier Board;
  AnnouncedTarget Target;
  PeerPool Peers;
  PlatformClient Platform;
  Router Routes;
  Executor Own;
  Caller Calls;
  KeyedCalls Keyed;
  Entrance Entry;
  ReleaseFeed Feed;
  std::unique_ptr<DatagramSocket> Gossip;
  std::unique_ptr<RpcServer> Rpc;
  std::unique_ptr<HttpServer> Ingress;
  std::unique_ptr<HttpServer> Egress;
  std::unique_ptr<HttpServer> Admin;
  std::vector<Timer> Timers;
  Timer Leaving;

  struct Sighting {
    limpetdrum::Revision Revision;
    TimePoint At;
  };
  std::unordered_map<NodeId, Sighting> Sightings;
  TimePoint InForceSince{};
  unsigned SearchesSkipped = 0;
  TimePoint LeaveBegan{};
  bool IsLeaving = false;
  bool HandedOver = false;

  State(EventLoop &Loop, const Settings &Chosen, std::function<void()> OnLeft);

  void start();
  // Membership
  void perform(const Membership::Output &Out);
  void onDatagram(const std::string &Bytes);
  void synchronizeWith(Endpoint Contact);
  void findContacts();
  void searchContacts();
  void onContacts(const PlatformObject &Object);
  [[nodiscard]] std::vector<Endpoint> wantedContacts() const;
  [[nodiscard]] bool keepsContacts() const;
  // The target's word
  void onEgress(const std::shared_ptr<HttpExchange> &Exchange);
  void onAnnounce(const std::shared_ptr<HttpExchange> &Exchange);
  // Leaving
  void leave();
  void continueLeaving();
  [[nodiscard]] std::vector<LevelReport> levels() const;
  void moveKeys(const Member &Changed);
  void sendRecords(const Member &To, const KeyedCalls::KeyRecords &Records,
                   std::function<void(bool)> OnDone);
  // The operator's view
  void onAdmin(const std::shared_ptr<HttpExchange> &Exchange);
  [[nodiscard]] nlohmann::json status() const;
  /// \returns the levels of other services that admit less than everything.
  [[nodiscard]] nlohmann::json knownLevels() const;
  [[nodiscard]] nlohmann::json inForce() const;
  void refreshGauges();
};

/// \brief Answers the calls of other nodes.
[[nodiscard]] rpc::Node::Client makeRpcService(Node::State &Of);

} // namespace limpetdrum

#endif
