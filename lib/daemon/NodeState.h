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

/// \brief Port to the target; usable once the target has announced its HTTP
///   endpoint.
class AnnouncedTarget final : public TargetPort {
public:
  explicit AnnouncedTarget(EventLoop &Loop) : Loop(Loop) {}

  void setEndpoint(Endpoint Address) {
    if (!this->Client || Address != this->Address)
      this->Client = std::make_unique<HttpClient>(this->Loop, Address);
    this->Address = Address;
  }
  std::uint64_t send(const HttpCall &Call, HttpClient::Callback Done) override {
    return this->Client->send(Call, std::move(Done));
  }
  void cancel(std::uint64_t Ticket) override { this->Client->cancel(Ticket); }
  void checkEnded(std::function<void(bool HasEnded)> Done) override {
    this->Client->checkEnded(std::move(Done));
  }

private:
  EventLoop &Loop;
  Endpoint Address;
  std::unique_ptr<HttpClient> Client;
};

/// \brief Components of a node, in the order of their dependencies.
struct Node::State {
  EventLoop &Loop;
  Settings Config;
  std::function<void()> OnLeft;
  Clock Now;
  Metrics Counters;
  InForce Releases;
  Membership Members;
  ServiceDirectory Directory;
  LevelTable Levels;
  LevelNotifier Notifier;
  AnnouncedTarget Target;
  PeerPool Peers;
  PlatformClient Platform;
  Router Routes;
  Executor LocalExecutor;
  Caller Calls;
  KeyedCalls Keyed;
  Entrance RequestEntrance;
  ReleaseFeed Feed;
  std::unique_ptr<DatagramSocket> Gossip;
  std::unique_ptr<RpcServer> Rpc;
  std::unique_ptr<HttpServer> Ingress;
  std::unique_ptr<HttpServer> Egress;
  std::unique_ptr<HttpServer> Admin;
  std::vector<Timer> Timers;
  Timer LeaveTimer;

  /// Release revision that a member last reported by gossip.
  struct RevisionReport {
    limpetdrum::Revision Revision;
    TimePoint ReceivedAt;
  };
  std::unordered_map<NodeId, RevisionReport> RevisionReports;
  TimePoint InForceSince{};
  TimePoint LastAdmissionTick{};
  Microseconds LongestLoopDelay{0};
  unsigned SearchesSkipped = 0;
  TimePoint LeaveStart{};
  bool IsLeaving = false;
  bool KeysHandedOver = false;

  State(EventLoop &Loop, const Settings &Config, std::function<void()> OnLeft);

  void start();
  /// Records how late the loop runs, which tells a starved process from a slow
  /// peer.
  void recordLoopDelay();
  // Membership.
  void perform(const Membership::Output &Out);
  void onDatagram(const std::string &Bytes);
  void synchronizeWith(Endpoint Contact);
  /// Synchronizes with the configured contacts and those of the platform.
  void findContacts();
  /// Runs findContacts() if it is due.
  void searchContacts();
  void onContacts(const PlatformObject &Object);
  /// Returns the contacts that the platform should list for this failure
  /// domain.
  [[nodiscard]] std::vector<Endpoint> wantedContacts() const;
  /// Returns true if this node maintains the contacts of its failure domain.
  [[nodiscard]] bool maintainsContacts() const;
  // Requests of the target.
  void onEgress(const std::shared_ptr<HttpExchange> &Exchange);
  void onAnnounce(const std::shared_ptr<HttpExchange> &Exchange);
  // Graceful leave and key records.
  void leave();
  void continueLeaving();
  [[nodiscard]] std::vector<LevelReport> levels() const;
  void moveKeys(const Member &Changed);
  void sendRecords(const Member &Receiver,
                   const KeyedCalls::KeyRecords &Records,
                   std::function<void(bool)> OnDone);
  // Admin interface.
  void onAdmin(const std::shared_ptr<HttpExchange> &Exchange);
  [[nodiscard]] nlohmann::json status() const;
  /// Returns the known levels that admit less than everything, by service.
  [[nodiscard]] nlohmann::json knownLevels() const;
  [[nodiscard]] nlohmann::json inForce() const;
  void refreshGauges();
};

/// \brief Makes the RPC service that other nodes call.
[[nodiscard]] rpc::Node::Client makeRpcService(Node::State &State);

} // namespace limpetdrum

#endif
