#include "NodeState.h"

#include "limpetdrum/daemon/Codec.h"
#include "limpetdrum/process/Error.h"

#include <easylogging++.h>

namespace limpetdrum {

namespace {

constexpr Microseconds AdmissionTick{10'000};
constexpr Microseconds GossipTick{50'000};
constexpr Microseconds LivenessTick{50'000};
constexpr Microseconds LeaveTick{50'000};
constexpr std::chrono::seconds Housekeeping{1};
constexpr std::chrono::seconds ContactSearch{5};
/// Time for the news of a node's end to go out before the process ends.
constexpr Milliseconds FarewellTime{500};

/// Later lives of a node have higher incarnations.
Incarnation newIncarnation() {
  auto Wall = std::chrono::system_clock::now().time_since_epoch();
  return Incarnation(static_cast<std::uint64_t>(
      std::chrono::duration_cast<Microseconds>(Wall).count()));
}

std::uint64_t seedOf(const NodeId &Node, Incarnation Life,
                     std::uint64_t Purpose) {
  return stableHash(Node.value(), Life.value() * 16 + Purpose);
}

Member selfOf(const Settings &Chosen) {
  Member Self;
  Self.Node = Chosen.Node;
  Self.Incarnation = newIncarnation();
  Self.FailureDomain = Chosen.FailureDomain;
  Self.Region = Chosen.Region;
  Self.Rpc = Chosen.AdvertisedRpc;
  Self.Gossip = Chosen.Gossip;
  return Self;
}

MembershipOptions membershipOptions(const Settings &Chosen) {
  MembershipOptions Options;
  Options.Period = Chosen.GossipPeriod;
  return Options;
}

Executor::Options executorOptions(const Settings &Chosen, const Member &Self) {
  return {Self.Incarnation, Chosen.ShedByClass,
          seedOf(Self.Node, Self.Incarnation, 1)};
}

Entrance::Options entranceOptions(const Settings &Chosen, const Member &Self) {
  return {Chosen.ShedAtEntry, Chosen.BoundRetries,
          seedOf(Self.Node, Self.Incarnation, 2)};
}

} // namespace

Node::State::State(EventLoop &Loop, const Settings &Chosen,
                   std::function<void()> OnLeft)
    : Loop(Loop), Chosen(Chosen), OnLeft(std::move(OnLeft)),
      Now([&Loop]() { return Loop.now(); }),
      Members(selfOf(Chosen), membershipOptions(Chosen),
              stableHash(Chosen.Node.value(), newIncarnation().value())),
      Directory(this->Members), Target(Loop), Peers(Loop, this->Counters),
      Platform(Loop, Chosen.Platform),
      Routes(Chosen.FailureDomain, Chosen.Region,
             stableHash(Chosen.Node.value(), newIncarnation().value() + 1)),
      Own(executorOptions(Chosen, this->Members.self()), this->Target,
          this->Releases, this->Levels, this->Counters, this->Now),
      Calls(this->Members, this->Directory, this->Routes, this->Levels,
            this->Own, this->Peers, this->Counters, this->Now,
            [&Loop](Microseconds Delay, std::function<void()> Action) {
              return Loop.after(Delay, std::move(Action));
            }),
      Keyed(this->Members, this->Directory, this->Own, this->Calls,
            this->Releases, this->Counters, this->Now),
      Entry(entranceOptions(Chosen, this->Members.self()), this->Own,
            this->Calls, this->Keyed, this->Levels, this->Releases,
            this->Counters, this->Now),
      Feed(Loop, this->Platform, this->Peers, this->Members, this->Releases,
           this->Counters,
           stableHash(Chosen.Node.value(), newIncarnation().value() + 2),
           [this]() {
             this->InForceSince = this->Now();
             this->Members.setRevision(this->Releases.revision());
           }) {}

void Node::State::start() {
  this->Gossip = std::make_unique<DatagramSocket>(
      this->Loop, this->Chosen.Gossip,
      [this](const std::string &Bytes) { this->onDatagram(Bytes); });
  this->Rpc = std::make_unique<RpcServer>(this->Loop, this->Chosen.Rpc,
                                          makeRpcService(*this));
  this->Ingress = std::make_unique<HttpServer>(
      this->Loop, this->Chosen.Ingress,
      [this](std::shared_ptr<HttpExchange> Exchange) {
        this->Entry.onClient(std::move(Exchange));
      });
  this->Egress = std::make_unique<HttpServer>(
      this->Loop, this->Chosen.Egress,
      [this](const std::shared_ptr<HttpExchange> &Exchange) {
        this->onEgress(Exchange);
      });
  this->Admin = std::make_unique<HttpServer>(
      this->Loop, this->Chosen.Admin,
      [this](const std::shared_ptr<HttpExchange> &Exchange) {
        this->onAdmin(Exchange);
      });
  auto Every = [this](Microseconds Period, std::function<void()> Action) {
    this->Timers.push_back(this->Loop.every(Period, std::move(Action)));
  };
  Every(AdmissionTick, [this]() {
    this->Own.tick();
    this->Board.tick([this]() { return this->levels(); }, this->Now());
  });
  this->Peers.setLevelListener(
      [this](const NodeId &From, const std::vector<LevelReport> &Levels) {
        for (const auto &Level : Levels)
          this->Levels.record(From, Level, this->Now());
      });
  Every(GossipTick, [this]() { this->perform(this->Members.tick(Now())); });
  Every(LivenessTick, [this]() { this->Peers.tick(); });
  Every(Housekeeping, [this]() {
    this->Keyed.sweep();
    this->Board.sweep();
  });
  Every(ContactSearch, [this]() { this->searchContacts(); });
  this->findContacts();
  this->Feed.start();
}

void Node::State::perform(const Membership::Output &Out) {
  for (const auto &Sent : Out.Send) {
    auto Bytes = codec::encode(Sent.Message);
    this->Counters.count("gossip_datagrams_sent");
    this->Counters.count("gossip_bytes_sent", "", "", Bytes.size());
    this->Gossip->send(Sent.To, Bytes);
  }
  for (const auto &M : Out.Changed) {
    LOG(INFO) << "member " << M.Node.value() << " " << toString(M.Target) << " "
              << toString(M.Health);
    if (M.Health == Health::Dead || M.Target == TargetState::Left)
      this->Routes.forget(M.Node);
    if (M.Service == this->Own.service())
      this->moveKeys(M);
  }
  if (Out.NewerReleaseAt)
    this->Feed.fetchFrom(*Out.NewerReleaseAt);
  if (Out.SyncWith)
    if (const Member *With = this->Members.find(*Out.SyncWith))
      this->synchronizeWith(With->Rpc);
  if (this->Members.isSuperseded() && !this->IsLeaving) {
    LOG(ERROR) << "a later process runs under the name "
               << this->Chosen.Node.value() << "; leaving";
    this->leave();
  }
}

std::vector<LevelReport> Node::State::levels() const {
  std::vector<LevelReport> Result;
  auto Current = this->Releases.current();
  if (!Current)
    return Result;
  const auto &Own = this->Own.service();
  for (const auto &Service : Current->reachedFrom(Own))
    Result.push_back({Service, Service == Own ? this->Own.threshold()
                                              : this->Levels.threshold(
                                                    Service, this->Now())});
  return Result;
}

void Node::State::moveKeys(const Member &Changed) {
  if (Changed.Target != TargetState::Ready)
    return;
  auto Send = [this](const Member &To, const auto &Records, auto OnDone) {
    this->sendRecords(To, Records, OnDone);
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
  this->Sightings[Message->From] = {Message->Revision, this->Now()};
  this->perform(this->Members.receive(*Message, this->Now()));
}

void Node::State::onEgress(const std::shared_ptr<HttpExchange> &Exchange) {
  const std::string Prefix = "/limpetdrum/v1/";
  if (Exchange->path().compare(0, Prefix.size(), Prefix) != 0) {
    this->Entry.onTarget(Exchange);
    return;
  }
  auto What = Exchange->path().substr(Prefix.size());
  if (What == "announce") {
    this->onAnnounce(Exchange);
  } else if (What == "leave") {
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
    auto Announced = Body.at("slots").get<std::uint16_t>();
    auto Where = parseEndpoint(Body.at("address").get<std::string>());
    auto WarmUp = Milliseconds(Body.value("warm-up-ms", 0U));
    if (Service.empty() || Announced == 0)
      throw ValueError("the announcement has no service or no slots",
                       "send a service and slots of 1 or more");
    if (this->IsLeaving) {
      Exchange->reply(409, {}, "this node is leaving\n");
      return;
    }
    this->Target.setEndpoint(Where);
    this->Own.onAnnounced(ServiceName(Service), Slots(Announced), WarmUp);
    this->Members.announce(ServiceName(Service), Slots(Announced),
                           TargetState::Ready);
    LOG(INFO) << "target of " << Service << " ready with " << Announced
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

void Node::State::sendRecords(const Member &To,
                              const KeyedCalls::KeyRecords &Records,
                              std::function<void(bool)> OnDone) {
  this->Peers.handOver(To.Rpc, Records, std::move(OnDone));
}

void Node::State::leave() {
  if (this->IsLeaving)
    return;
  this->IsLeaving = true;
  this->LeaveBegan = this->Now();
  const auto &Self = this->Members.self();
  this->Members.announce(Self.Service, Self.Slots, TargetState::Draining);
  LOG(INFO) << "leaving";
  this->Timers.push_back(
      this->Loop.every(LeaveTick, [this]() { this->continueLeaving(); }));
}

void Node::State::continueLeaving() {
  auto Passed = this->Now() - this->LeaveBegan;
  if (Passed < this->Chosen.LeaveGrace || this->HandedOver)
    return;
  this->Own.refuseNewWork();
  this->Keyed.refuseNewKeys();
  bool Idle = this->Own.running() == 0 && this->Calls.inFlight() == 0 &&
              this->Entry.openRequests() == 0;
  if (!Idle && Passed < this->Chosen.DrainLimit)
    return;
  this->HandedOver = true;
  this->Keyed.handOver(
      std::nullopt,
      [this](const Member &To, const auto &Records, auto OnDone) {
        this->sendRecords(To, Records, OnDone);
      },
      [this](bool AllTaken) {
        if (!AllTaken)
          this->Counters.count("hand_overs_failed");
        const auto &Self = this->Members.self();
        this->Members.announce(Self.Service, Self.Slots, TargetState::Left);
        LOG(INFO) << "left";
        this->Leaving = this->Loop.after(FarewellTime, this->OnLeft);
      });
}

Node::Node(EventLoop &Loop, const Settings &Chosen,
           std::function<void()> OnLeft)
    : Impl(std::make_unique<State>(Loop, Chosen, std::move(OnLeft))) {
  this->Impl->start();
}

Node::~Node() = default;

void Node::leave() { this->Impl->leave(); }

} // namespace limpetdrum
