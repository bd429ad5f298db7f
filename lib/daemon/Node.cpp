#include "NodeState.h"

#include "limpetdrum/daemon/Codec.h"
#include "limpetdrum/process/Error.h"

#include <easylogging++.h>

namespace limpetdrum {

namespace {

constexpr Microseconds AdmissionInterval{10'000};
/// A pass of the event loop that is later than this is counted.
constexpr Milliseconds LongLoopDelay{100};
constexpr Microseconds GossipInterval{50'000};
constexpr Microseconds LivenessInterval{50'000};
constexpr Microseconds LeaveInterval{50'000};
constexpr std::chrono::seconds SweepInterval{1};
constexpr std::chrono::seconds ContactSearchInterval{5};
/// Time for gossip to spread the leave of a node before its process ends.
constexpr Milliseconds LeaveAnnouncementTime{500};

/// Returns the wall clock in microseconds, so that a later process of a node
/// has a higher incarnation.
Incarnation newIncarnation() {
  auto Wall = std::chrono::system_clock::now().time_since_epoch();
  return Incarnation(static_cast<std::uint64_t>(
      std::chrono::duration_cast<Microseconds>(Wall).count()));
}

std::uint64_t seedOf(const NodeId &Node, limpetdrum::Incarnation Incarnation,
                     std::uint64_t Purpose) {
  return stableHash(Node.value(), Incarnation.value() * 16 + Purpose);
}

Member makeSelf(const Settings &Config) {
  Member Self;
  Self.Node = Config.Node;
  Self.Incarnation = newIncarnation();
  Self.FailureDomain = Config.FailureDomain;
  Self.Region = Config.Region;
  Self.Rpc = Config.AdvertisedRpc;
  Self.Gossip = Config.Gossip;
  return Self;
}

MembershipOptions membershipOptions(const Settings &Config) {
  MembershipOptions Options;
  Options.Period = Config.GossipPeriod;
  return Options;
}

Executor::Options executorOptions(const Settings &Config, const Member &Self) {
  return {Self.Incarnation, Config.ShedByClass,
          seedOf(Self.Node, Self.Incarnation, 1)};
}

Entrance::Options entranceOptions(const Settings &Config, const Member &Self) {
  return {Config.ShedAtEntry, Config.BoundRetries,
          seedOf(Self.Node, Self.Incarnation, 2)};
}

} // namespace

Node::State::State(EventLoop &Loop, const Settings &Config,
                   std::function<void()> OnLeft)
    : Loop(Loop), Config(Config), OnLeft(std::move(OnLeft)),
      Now([&Loop]() { return Loop.now(); }),
      Members(makeSelf(Config), membershipOptions(Config),
              stableHash(Config.Node.value(), newIncarnation().value())),
      Directory(this->Members), Target(Loop), Peers(Loop, this->Counters),
      Platform(Loop, Config.Platform),
      Routes(Config.FailureDomain, Config.Region,
             stableHash(Config.Node.value(), newIncarnation().value() + 1)),
      LocalExecutor(executorOptions(Config, this->Members.self()), this->Target,
                    this->Releases, this->Levels, this->Counters, this->Now),
      Calls(this->Members, this->Directory, this->Routes, this->Levels,
            this->LocalExecutor, this->Peers, this->Counters, this->Now,
            [&Loop](Microseconds Delay, std::function<void()> Action) {
              return Loop.after(Delay, std::move(Action));
            }),
      Keyed(this->Members, this->Directory, this->LocalExecutor, this->Calls,
            this->Releases, this->Counters, this->Now),
      RequestEntrance(entranceOptions(Config, this->Members.self()),
                      this->LocalExecutor, this->Calls, this->Keyed,
                      this->Levels, this->Releases, this->Counters, this->Now),
      Feed(Loop, this->Platform, this->Peers, this->Members, this->Releases,
           this->Counters,
           stableHash(Config.Node.value(), newIncarnation().value() + 2),
           [this]() {
             this->InForceSince = this->Now();
             this->Members.setRevision(this->Releases.revision());
           }) {}

void Node::State::start() {
  this->Gossip = std::make_unique<DatagramSocket>(
      this->Loop, this->Config.Gossip,
      [this](const std::string &Bytes) { this->onDatagram(Bytes); });
  this->Rpc = std::make_unique<RpcServer>(this->Loop, this->Config.Rpc,
                                          makeRpcService(*this));
  this->Ingress = std::make_unique<HttpServer>(
      this->Loop, this->Config.Ingress,
      [this](std::shared_ptr<HttpExchange> Exchange) {
        this->RequestEntrance.onClientRequest(std::move(Exchange));
      });
  this->Egress = std::make_unique<HttpServer>(
      this->Loop, this->Config.Egress,
      [this](const std::shared_ptr<HttpExchange> &Exchange) {
        this->onEgress(Exchange);
      });
  this->Admin = std::make_unique<HttpServer>(
      this->Loop, this->Config.Admin,
      [this](const std::shared_ptr<HttpExchange> &Exchange) {
        this->onAdmin(Exchange);
      });
  auto RunEvery = [this](Microseconds Period, std::function<void()> Action) {
    this->Timers.push_back(this->Loop.every(Period, std::move(Action)));
  };
  RunEvery(AdmissionInterval, [this]() {
    this->recordLoopDelay();
    this->LocalExecutor.tick();
    this->Notifier.tick([this]() { return this->levels(); }, this->Now());
  });
  this->Peers.setLevelListener(
      [this](const NodeId &Source, const std::vector<LevelReport> &Levels) {
        for (const auto &Level : Levels)
          this->Levels.record(Source, Level, this->Now());
      });
  RunEvery(GossipInterval,
           [this]() { this->perform(this->Members.tick(Now())); });
  RunEvery(LivenessInterval, [this]() { this->Peers.tick(); });
  RunEvery(SweepInterval, [this]() {
    this->Keyed.sweep();
    this->Notifier.sweep();
  });
  RunEvery(ContactSearchInterval, [this]() { this->searchContacts(); });
  this->findContacts();
  this->Feed.start();
}

void Node::State::recordLoopDelay() {
  auto Now = this->Now();
  auto Delay = this->LastAdmissionTick == TimePoint()
                   ? Microseconds(0)
                   : Now - this->LastAdmissionTick - AdmissionInterval;
  this->LastAdmissionTick = Now;
  this->LongestLoopDelay = std::max(this->LongestLoopDelay, Delay);
  if (Delay > LongLoopDelay)
    this->Counters.count("loop_delays");
}

void Node::State::perform(const Membership::Output &Out) {
  for (const auto &Outgoing : Out.Send) {
    auto Bytes = codec::encode(Outgoing.Message);
    this->Counters.count("gossip_datagrams_sent");
    this->Counters.count("gossip_bytes_sent", "", "", Bytes.size());
    this->Gossip->send(Outgoing.Destination, Bytes);
  }
  for (const auto &M : Out.Changed) {
    LOG(INFO) << "member " << M.Node.value() << " " << toString(M.Target) << " "
              << toString(M.Health);
    if (M.Health == Health::Dead || M.Target == TargetState::Left)
      this->Routes.remove(M.Node);
    if (M.Service == this->LocalExecutor.service())
      this->moveKeys(M);
  }
  if (Out.NewerReleaseAt)
    this->Feed.fetchFrom(*Out.NewerReleaseAt);
  if (Out.SyncWith)
    if (const Member *Peer = this->Members.find(*Out.SyncWith))
      this->synchronizeWith(Peer->Rpc);
  if (this->Members.isSuperseded() && !this->IsLeaving) {
    LOG(ERROR) << "a later process uses the node name "
               << this->Config.Node.value() << "; leaving";
    this->leave();
  }
}

std::vector<LevelReport> Node::State::levels() const {
  std::vector<LevelReport> Result;
  auto Current = this->Releases.current();
  if (!Current)
    return Result;
  const auto &LocalService = this->LocalExecutor.service();
  for (const auto &Service : Current->reachedFrom(LocalService))
    Result.push_back(
        {Service, Service == LocalService
                      ? this->LocalExecutor.threshold()
                      : this->Levels.threshold(Service, this->Now())});
  return Result;
}

void Node::State::moveKeys(const Member &Changed) {
  if (Changed.Target != TargetState::Ready)
    return;
  auto Send = [this](const Member &Receiver, const auto &Records, auto OnDone) {
    this->sendRecords(Receiver, Records, OnDone);
  };
  if (Changed.Health == Health::Alive)
    this->Keyed.handOver(Changed.Node, Send, [](bool) {});
  else if (Changed.Health == Health::Dead)
    this->Keyed.replaceLost({Changed.Node, Changed.FailureDomain}, Send);
}

void Node::State::onDatagram(const std::string &Bytes) {
  this->Counters.count("gossip_bytes_received", "", "", Bytes.size());
  auto Message = codec::decode(Bytes);
  if (!Message) {
    this->Counters.count("gossip_malformed");
    return;
  }
  this->RevisionReports[Message->Sender] = {Message->Revision, this->Now()};
  this->perform(this->Members.receive(*Message, this->Now()));
}

void Node::State::onEgress(const std::shared_ptr<HttpExchange> &Exchange) {
  const std::string Prefix = "/limpetdrum/v1/";
  if (Exchange->path().compare(0, Prefix.size(), Prefix) != 0) {
    this->RequestEntrance.onTargetCall(Exchange);
    return;
  }
  auto Action = Exchange->path().substr(Prefix.size());
  if (Action == "announce") {
    this->onAnnounce(Exchange);
  } else if (Action == "leave") {
    this->leave();
    Exchange->reply(202, {}, "");
  } else {
    Exchange->reply(404, {}, "POST announce or leave\n");
  }
}

void Node::State::onAnnounce(const std::shared_ptr<HttpExchange> &Exchange) {
  try {
    auto Body = nlohmann::json::parse(Exchange->body());
    auto Service = Body.at("service").get<std::string>();
    auto AnnouncedSlots = Body.at("slots").get<std::uint16_t>();
    auto TargetAddress = parseEndpoint(Body.at("address").get<std::string>());
    auto WarmUp = Milliseconds(Body.value("warm-up-ms", 0U));
    if (Service.empty() || AnnouncedSlots == 0)
      throw ValueError("announcement of service '" + Service + "' with " +
                           std::to_string(AnnouncedSlots) +
                           " slots is not valid",
                       "send the name of a service and 1 or more slots");
    if (this->IsLeaving) {
      Exchange->reply(409, {}, "this node is leaving\n");
      return;
    }
    this->Target.setEndpoint(TargetAddress);
    this->LocalExecutor.onAnnounced(ServiceName(Service), Slots(AnnouncedSlots),
                                    WarmUp);
    this->Members.announce(ServiceName(Service), Slots(AnnouncedSlots),
                           TargetState::Ready);
    LOG(INFO) << "target of " << Service << " ready with " << AnnouncedSlots
              << " slots";
    Exchange->reply(200, {}, "");
  } catch (const nlohmann::json::exception &E) {
    this->Counters.count("announcements_malformed");
    Exchange->reply(400, {}, std::string(E.what()) + "\n");
  } catch (const ValueError &E) {
    this->Counters.count("announcements_malformed");
    Exchange->reply(400, {}, std::string(E.what()) + "\n");
  }
}

void Node::State::sendRecords(const Member &Receiver,
                              const KeyedCalls::KeyRecords &Records,
                              std::function<void(bool)> OnDone) {
  this->Peers.handOver(Receiver.Rpc, Records, std::move(OnDone));
}

void Node::State::leave() {
  if (this->IsLeaving)
    return;
  this->IsLeaving = true;
  this->LeaveStart = this->Now();
  const auto &Self = this->Members.self();
  this->Members.announce(Self.Service, Self.Slots, TargetState::Draining);
  LOG(INFO) << "leaving";
  this->Timers.push_back(
      this->Loop.every(LeaveInterval, [this]() { this->continueLeaving(); }));
}

void Node::State::continueLeaving() {
  auto Elapsed = this->Now() - this->LeaveStart;
  if (Elapsed < this->Config.LeaveGrace || this->KeysHandedOver)
    return;
  this->LocalExecutor.refuseNewWork();
  this->Keyed.refuseNewKeys();
  bool Idle = this->LocalExecutor.running() == 0 &&
              this->Calls.inFlight() == 0 &&
              this->RequestEntrance.openRequests() == 0;
  if (!Idle && Elapsed < this->Config.DrainLimit)
    return;
  this->KeysHandedOver = true;
  this->RequestEntrance.close();
  this->Keyed.handOver(
      std::nullopt,
      [this](const Member &Receiver, const auto &Records, auto OnDone) {
        this->sendRecords(Receiver, Records, OnDone);
      },
      [this](bool AllAccepted) {
        if (!AllAccepted)
          this->Counters.count("hand_overs_failed");
        const auto &Self = this->Members.self();
        this->Members.announce(Self.Service, Self.Slots, TargetState::Left);
        LOG(INFO) << "left";
        this->LeaveTimer =
            this->Loop.after(LeaveAnnouncementTime, this->OnLeft);
      });
}

Node::Node(EventLoop &Loop, const Settings &Config,
           std::function<void()> OnLeft)
    : Impl(std::make_unique<State>(Loop, Config, std::move(OnLeft))) {
  this->Impl->start();
}

Node::~Node() = default;

void Node::leave() { this->Impl->leave(); }

} // namespace limpetdrum
