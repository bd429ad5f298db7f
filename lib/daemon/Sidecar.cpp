#include "limpetdrum/daemon/Sidecar.h"

#include "limpetdrum/daemon/calls/Forwarder.h"
#include "limpetdrum/daemon/calls/TargetCheck.h"
#include "limpetdrum/daemon/fleet/AllowanceExchange.h"
#include "limpetdrum/daemon/fleet/CrashExchange.h"
#include "limpetdrum/daemon/fleet/DepartureArchive.h"
#include "limpetdrum/daemon/fleet/FleetView.h"
#include "limpetdrum/daemon/fleet/UsageExchange.h"
#include "limpetdrum/daemon/policy/PolicyFeed.h"
#include "limpetdrum/process/Error.h"

#include <algorithm>

namespace limpetdrum {

namespace {

constexpr Milliseconds AdmissionTickPeriod{20};
/// The duty holders of the failure domains delay usage by up to two further
/// periods before it reaches all nodes.
constexpr Milliseconds UsagePeriod{500};
constexpr Milliseconds AllowanceTickPeriod{100};
constexpr Milliseconds GateUpdatePeriod{200};
constexpr Milliseconds LinkUpdatePeriod{100};
/// Time without any contact after which a node assumes that it is alone.
constexpr Milliseconds ContactTimeout{4000};
constexpr Milliseconds GateLogPeriod{1000};
constexpr Milliseconds LogFlushPeriod{100};
constexpr Milliseconds LeaveCheckPeriod{50};
/// Time after which a node may become ready without a link to every peer: by
/// then it is connected to those that run.
constexpr Milliseconds WarmUpLimit{1500};
constexpr std::chrono::seconds CrashSweepPeriod{10};
constexpr std::chrono::minutes DepartureSweepPeriod{10};
/// Time after which a process does without the departures that it cannot read:
/// a target has to serve although the store is down.
constexpr Milliseconds DepartureTimeout{3000};
/// Parts of the memory for the bodies of requests, for answers of the target
/// and for those of other nodes. The rest, a quarter, is for connections, the
/// state of the fleet and the process.
constexpr std::size_t RequestMemoryDivisor = 2;
constexpr std::size_t AnswerMemoryDivisor = 8;
/// Part of the rest for messages of nodes that are not complete, but enough for
/// two of the longest.
constexpr std::size_t FrameMemoryDivisor = 16;
constexpr std::size_t MinFrameMemoryBytes = 2 * MaxConnectionBacklogBytes;
/// Longest body of a request for readiness or metrics, which need none.
constexpr std::size_t MaxQueryBodyBytes = 4096;
/// Longest status report of a target; usual ones have some hundred bytes.
constexpr std::size_t MaxReportBodyBytes = 16U * 1024U;

std::int64_t unixMillis() {
  auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Milliseconds>(SinceEpoch).count();
}

/// Returns an incarnation that differs between the processes of a node.
Incarnation newIncarnation() {
  auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return Incarnation(static_cast<std::uint64_t>(
      std::chrono::duration_cast<Microseconds>(SinceEpoch).count()));
}

/// HTTP connections to the local target.
class HttpTarget final : public TargetPort {
public:
  HttpTarget(EventLoop &Loop, Endpoint Server, HttpClientOptions Options)
      : Client(Loop, Server, std::move(Options)) {}

  std::uint64_t send(const HttpCall &Call, HttpClient::Callback Done) override {
    return this->Client.send(Call, std::move(Done));
  }
  void cancel(std::uint64_t Ticket) override { this->Client.cancel(Ticket); }
  void checkEnded(std::function<void(bool HasEnded)> Done) override {
    this->Client.checkEnded(std::move(Done));
  }

private:
  HttpClient Client;
};

HttpClientOptions targetOptions(const HeaderNames &Names,
                                AnswerMemory &Memory) {
  HttpClientOptions Options;
  Options.EchoHeader = Names.RequestId;
  Options.AcceptCloseDelimited = true;
  Options.MaxBodyBytes = MaxConnectionBacklogBytes / 2;
  Options.Memory = &Memory;
  return Options;
}

} // namespace

struct Sidecar::State {
  EventLoop &Loop;
  SidecarSettings Settings;
  const PlatformAdapter &Adapter;
  EventLog &Log;
  Metrics &Counters;
  std::function<void()> OnLeft;
  MemoryBudget RequestMemory;
  AnswerMemory TargetMemory; ///< for answers of the target
  AnswerMemory PeerMemory;   ///< for answers of other nodes
  AnswerMemory FrameMemory;  ///< for incomplete messages of other nodes
  limpetdrum::Incarnation Incarnation = newIncarnation();
  std::uint64_t Seed;
  TimePoint Started;
  HttpTarget TargetClient;
  CrashHistory Crashes;
  CrashArchive ProvenCrashes;
  DepartureArchive Departures;
  limpetdrum::LocalTarget LocalTarget;
  TargetCheck RunningTarget;
  FleetView Fleet;
  Mesh Peers;
  LinkKeeper Links;
  CrashExchange CrashNewsExchange;
  RepeatBudget Repeats;
  OverloadControl Overload;
  UsageExchange Usage;
  Allowances AllowanceParts;
  AllowanceExchange AllowanceNews;
  LeavePlan Leaving;
  PolicyFeed Policies;
  TargetSelector Targets;
  limpetdrum::Forwarder Forwarder;
  std::unique_ptr<HttpServer> Outbound;
  std::unique_ptr<HttpServer> Readiness;
  std::unique_ptr<HttpServer> Reports;
  std::unique_ptr<HttpServer> MetricsPage;
  std::vector<Timer> Timers;
  std::uint64_t StatusVersion = 0;
  bool HasRefusedRuns = false; ///< the other nodes have been told
  bool HasExited = false;
  bool WasReady = false;
  bool HasReport = false;
  bool IsStoreLost = false; ///< to this node or to a linked one

  State(EventLoop &Loop, const SidecarSettings &Settings,
        const PlatformAdapter &Adapter, ObjectStore &Store, EventLog &Log,
        Metrics &Counters, std::function<void()> OnLeft)
      : Loop(Loop), Settings(Settings), Adapter(Adapter), Log(Log),
        Counters(Counters), OnLeft(std::move(OnLeft)),
        RequestMemory(Settings.MemoryBytes / RequestMemoryDivisor),
        TargetMemory(Settings.MemoryBytes / AnswerMemoryDivisor),
        PeerMemory(Settings.MemoryBytes / AnswerMemoryDivisor),
        FrameMemory(std::max(Settings.MemoryBytes / FrameMemoryDivisor,
                             MinFrameMemoryBytes)),
        Seed(stableHash(Settings.Node.value(), this->Incarnation.value())),
        Started(Loop.now()),
        TargetClient(Loop, Settings.Target,
                     targetOptions(Adapter.headers(), this->TargetMemory)),
        ProvenCrashes(Loop, Store, Log, unixMillis),
        Departures(Loop, Store, Settings.Node, Log, Counters, unixMillis),
        LocalTarget({Settings.DrainTimeout / 2, this->Seed, unixMillis,
                     Settings.Service},
                    Adapter.headers(), this->TargetClient, this->Crashes, Log,
                    Counters, [&Loop]() { return Loop.now(); }),
        RunningTarget(Settings.Service, Adapter.headers(), this->TargetClient,
                      this->LocalTarget, Log, Counters),
        Fleet(Loop, Store, this->member(), Log, Counters, this->Seed + 2),
        Peers(Loop, this->contact(), this->Incarnation, Log, Counters,
              {&this->RequestMemory, &this->PeerMemory, &this->FrameMemory}),
        Links(this->Fleet.members(), this->Peers, Loop),
        CrashNewsExchange(Settings.FailureDomain, this->Crashes,
                          this->ProvenCrashes, this->Links, this->Peers, Log,
                          Counters),
        Repeats(Settings.RepeatRatio, Settings.RepeatWindow, this->Seed + 5),
        Overload(this->Seed + 4),
        Usage({Settings.Node, Settings.FailureDomain, Settings.Service},
              this->Overload, this->Links, this->Peers),
        AllowanceParts(this->Seed + 7),
        AllowanceNews({Settings.Node, Settings.FailureDomain},
                      this->AllowanceParts, this->Links, this->Peers, Log),
        Leaving(Settings.ExitLimit),
        Policies(Loop, Store, Adapter, Log, Counters, this->Seed + 1),
        Targets({Settings.Node, Settings.FailureDomain, this->Seed + 6,
                 [this](const ServiceName &Service,
                        const std::vector<NodeId> &Excluded) {
                   return this->Links.findUnlinked(Service, Excluded);
                 }},
                Loop, this->Peers, this->LocalTarget, Log, Counters),
        Forwarder(
            {Settings.Node, callerKey(Settings.Node, this->Incarnation),
             Settings.Service, this->Seed + 3,
             [&Adapter](const std::string &Id) {
               return Adapter.parentRequestId(Id);
             }},
            Adapter.headers(), Loop, this->Peers, this->LocalTarget,
            this->Targets, this->Repeats, this->Crashes, this->Overload,
            this->AllowanceParts, this->Leaving,
            [this]() { return this->Policies.current(); }, Log, Counters) {}

  [[nodiscard]] Contact contact() const {
    return {this->Settings.Node, this->Settings.AdvertisedLink,
            this->Settings.FailureDomain};
  }

  [[nodiscard]] Member member() const {
    Member Self;
    Self.Node = this->Settings.Node;
    Self.Incarnation = this->Incarnation;
    Self.Service = this->Settings.Service;
    Self.FailureDomain = this->Settings.FailureDomain;
    Self.Region = this->Settings.Region;
    Self.Rpc = this->Settings.AdvertisedLink;
    Self.Gossip = this->Settings.Link;
    Self.Target = TargetState::Ready;
    return Self;
  }

  void start();
  [[nodiscard]] Mesh::Handlers meshHandlers();
  /// Returns the limits on clients that no policy sets.
  [[nodiscard]] HttpServerOptions clientOptions();
  /// Returns the options that all servers have in common.
  [[nodiscard]] HttpServerOptions serverOptions();
  void listen();
  using Exchange = std::shared_ptr<HttpExchange>;
  /// Starts to learn which targets left before this process started.
  void readDepartures();
  void onDepartures(const std::vector<Departure> &Stored);
  /// Asks a target that may be running already who it is, once it is known
  /// which targets have left.
  void checkRunningTarget();
  void onReport(const Exchange &Report);
  void onLeave(const Exchange &Report, const std::string &Id);
  void onTargetReport(const Exchange &Report, const LocalTarget::Report &Value);
  /// Acknowledges a departure once it is stored.
  void storeDeparture(const Exchange &Report, const TargetRecord &Target);
  void acknowledge(const Exchange &Report);
  void refuseReport(const Exchange &Report, const TargetRecord &Target);
  void onPolicy(const TrafficPolicy &NewPolicy);
  [[nodiscard]] bool isReady();
  [[nodiscard]] NodeStatus status();
  void leave();
  /// Returns true if no request is in flight and all answers are written.
  [[nodiscard]] bool isIdle() const;
  void continueLeaving();
  /// Refuses everything from now on, and tells the other nodes.
  void close();
  void exit();
  void updateSlack();
  /// Updates the links and the duties of this node.
  void updateRole();
  /// Finds out whether this node or a linked one has lost the store: most nodes
  /// do not watch it.
  void updateStoreState();
  void onTargetChange();
  void updateGate();
  void refreshGauges();
  /// \param Source whose answers the memory holds.
  void refreshAnswerGauges(const std::string &Source,
                           const AnswerMemory &Memory);
  void logGate();
};

NodeStatus Sidecar::State::status() {
  NodeStatus Status;
  Status.Self = this->contact();
  Status.Incarnation = this->Incarnation;
  Status.Version = ++this->StatusVersion;
  Status.Leaving = this->Leaving.isLeaving();
  if (this->Policies.current())
    Status.Policy = this->Policies.current()->version();
  Status.StoreLost = this->Policies.isStoreLost();
  this->LocalTarget.fillStatus(Status);
  return Status;
}

HttpServerOptions Sidecar::State::serverOptions() {
  HttpServerOptions Options;
  Options.OnAcceptError = [this](const std::string &Problem) {
    this->Log.state("accept_failed", {{"error", Problem}});
  };
  return Options;
}

HttpServerOptions Sidecar::State::clientOptions() {
  auto Options = this->serverOptions();
  Options.Memory = &this->RequestMemory;
  Options.IsMemoryScarce = [this]() {
    return this->TargetMemory.isScarce() || this->PeerMemory.isScarce();
  };
  return Options;
}

void Sidecar::State::listen() {
  this->Outbound = std::make_unique<HttpServer>(
      this->Loop, this->Settings.Outbound,
      [this](Exchange E) { this->Forwarder.onRequest(std::move(E)); },
      this->clientOptions());
  auto QueryOptions = this->serverOptions();
  QueryOptions.MaxBodyBytes = MaxQueryBodyBytes;
  this->Readiness = std::make_unique<HttpServer>(
      this->Loop, this->Settings.Readiness,
      [this](const Exchange &E) {
        E->reply(this->isReady() ? 200 : 503, {}, "");
      },
      QueryOptions);
  auto ReportOptions = this->serverOptions();
  ReportOptions.MaxBodyBytes = MaxReportBodyBytes;
  this->Reports = std::make_unique<HttpServer>(
      this->Loop, this->Settings.Reports,
      [this](const Exchange &E) { this->onReport(E); }, ReportOptions);
  this->MetricsPage = std::make_unique<HttpServer>(
      this->Loop, this->Settings.Metrics,
      [this](const Exchange &E) {
        this->refreshGauges();
        E->reply(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                 this->Counters.text());
      },
      QueryOptions);
}

Mesh::Handlers Sidecar::State::meshHandlers() {
  Mesh::Handlers Handlers;
  Handlers.OnAttempt = [this](const NodeId & /*From*/,
                              limpetdrum::Incarnation Caller,
                              const MeshAttempt &Attempt) {
    this->Leaving.onAttempt(this->Loop.now());
    auto OnReply = [this, Caller, Call = Attempt.Call](const Reply &R) {
      (void)this->Peers.reply(Caller, Call, R);
    };
    if (!this->TargetMemory.isScarce()) {
      this->LocalTarget.execute(Caller, Attempt, OnReply);
      return;
    }
    auto Refused = Attempt;
    Refused.Request.ExceedsMemory = true;
    this->LocalTarget.execute(Caller, Refused, OnReply);
  };
  Handlers.IsKnown = [this](limpetdrum::Incarnation Caller,
                            std::uint64_t Call) {
    return this->LocalTarget.knows(Caller, Call);
  };
  Handlers.OnCancel = [this](limpetdrum::Incarnation Caller,
                             std::uint64_t Call) {
    this->LocalTarget.cancel(Caller, Call);
  };
  Handlers.OnAcknowledged = [this](limpetdrum::Incarnation Caller,
                                   std::uint64_t Call) {
    this->LocalTarget.acknowledge(Caller, Call);
  };
  Handlers.OnStatus = [this](const NodeId &From) {
    this->Targets.onPeerStatus(From);
  };
  Handlers.OnRemoved = [this](const NodeId &Node) {
    this->Targets.onPeerRemoved(Node);
  };
  Handlers.OnPolicy = [this](const std::string &Text) {
    this->Policies.offer(Text, "peer");
  };
  Handlers.OnRecordFromPeer = [this](const TargetRecord &PeerRecord) {
    if (!this->HasReport)
      this->LocalTarget.onRecordFromPeer(PeerRecord);
    this->LocalTarget.onRequestRateFromPeer(PeerRecord);
  };
  Handlers.LocalStatus = [this]() { return this->status(); };
  Handlers.PolicyText = [this]() {
    return this->Policies.current() ? this->Policies.current()->text() : "";
  };
  Handlers.OnCrashNews = [this](const CrashNews &News) {
    this->CrashNewsExchange.onNews(News, this->Loop.now());
  };
  Handlers.KnownCrashes = [this]() {
    return this->Crashes.known(this->Loop.now());
  };
  Handlers.OnUsage = [this](MeshUsage Report) {
    this->Usage.onUsage(std::move(Report), this->Loop.now());
  };
  Handlers.OnOrganisationUsage = [this](const MeshOrganisationUsage &Report) {
    this->AllowanceNews.onUsage(Report, this->Loop.now());
  };
  return Handlers;
}

void Sidecar::State::start() {
  this->LocalTarget.setOnChange([this]() { this->onTargetChange(); });
  this->LocalTarget.setOnCrashNews([this](const CrashNews &News) {
    this->CrashNewsExchange.announce(News);
  });
  this->LocalTarget.setOnRun([this](const std::string &Route, RunEvent Event) {
    auto &Learner = this->Overload.learner();
    if (Event == RunEvent::Started)
      Learner.onRunBegin(Route, this->Loop.now());
    else
      Learner.onRunEnd(Route, Event == RunEvent::Served, this->Loop.now());
  });
  // All addresses are bound before the first call of the store, whose answer
  // would find nobody if one of them is in use.
  this->Peers.start(this->meshHandlers(), this->Settings.Link);
  this->listen();
  this->Fleet.listen();
  PolicyFeed::Handlers PolicyHandlers;
  PolicyHandlers.OnPolicyChange = [this](const TrafficPolicy &NewPolicy) {
    this->onPolicy(NewPolicy);
  };
  PolicyHandlers.OnStoreRestored = [this]() {
    this->Fleet.registry().onStoreRestored();
    this->Departures.onStoreDoubtful();
  };
  // The next in the failure domain takes over the watch as soon as it is told.
  PolicyHandlers.OnStoreReachable = [this]() { this->Peers.broadcastLoad(); };
  this->Policies.start(std::move(PolicyHandlers));
  if (!this->Settings.FirstStart)
    this->ProvenCrashes.read([this](const CrashNews &News) {
      this->CrashNewsExchange.onNews(News, this->Loop.now());
    });
  this->readDepartures();
  this->Fleet.start(this->Settings.FirstStart
                        ? ContactRegistry::Start::WithFleet
                        : ContactRegistry::Start::Alone);
  this->Timers.push_back(
      this->Loop.every(LinkUpdatePeriod, [this]() { this->updateRole(); }));
  this->Timers.push_back(this->Loop.every(
      AdmissionTickPeriod, [this]() { this->LocalTarget.tick(); }));
  this->Timers.push_back(this->Loop.every(
      UsagePeriod, [this]() { this->Usage.share(this->Loop.now()); }));
  this->Timers.push_back(this->Loop.every(AllowanceTickPeriod, [this]() {
    this->AllowanceNews.tick(this->Loop.now());
  }));
  this->Timers.push_back(
      this->Loop.every(GateUpdatePeriod, [this]() { this->updateGate(); }));
  this->Timers.push_back(this->Loop.every(
      CrashSweepPeriod, [this]() { this->Crashes.sweep(this->Loop.now()); }));
  this->Timers.push_back(
      this->Loop.every(GateLogPeriod, [this]() { this->logGate(); }));
  this->Timers.push_back(this->Loop.every(LogFlushPeriod, [this]() {
    (void)this->isReady();
    this->Log.flush();
  }));
  this->Log.state("start",
                  {{"node", this->Settings.Node.value()},
                   {"incarnation", this->Incarnation.value()},
                   {"failure_domain", this->Settings.FailureDomain.value()},
                   {"service", this->Settings.Service.value()},
                   {"first_start", this->Settings.FirstStart}});
}

void Sidecar::State::updateSlack() {
  // Members that are gone count too, until they are removed: those that replace
  // them may not be known yet.
  auto Nodes = static_cast<double>(this->Fleet.members().others().size() + 1);
  this->Repeats.setSlack(this->Settings.RepeatSlack / Nodes);
}

void Sidecar::State::updateRole() {
  this->Links.update();
  this->updateStoreState();
  bool KnowsFleet = this->Fleet.isComplete() ||
                    this->Loop.now() - this->Started > ContactTimeout;
  this->Policies.setWatching(KnowsFleet && this->Links.holdsDuties() &&
                             !this->Leaving.isLeaving());
  // A share for fewer nodes than there are would exceed the fleet's allowance.
  if (!KnowsFleet)
    return;
  this->updateSlack();
  this->AllowanceParts.setFleetSize(this->Fleet.members().others().size() + 1);
  this->Policies.setFleetSize(this->Fleet.members().others().size() + 1);
}

void Sidecar::State::updateStoreState() {
  const auto &Peers = this->Peers.peers();
  bool IsLost =
      this->Policies.isStoreLost() ||
      std::any_of(Peers.begin(), Peers.end(), [](const auto &Entry) {
        const auto &Peer = Entry.second;
        return Peer.IsReachable && Peer.Status && Peer.Status->StoreLost;
      });
  if (IsLost && !this->IsStoreLost)
    this->Departures.onStoreDoubtful();
  this->IsStoreLost = IsLost;
}

void Sidecar::State::onTargetChange() {
  this->Peers.broadcast();
  if (this->Leaving.isLeaving())
    return;
  auto State = this->LocalTarget.record().State;
  bool IsLeaving = State == TargetState::Draining || State == TargetState::Left;
  this->Fleet.announce(IsLeaving ? TargetState::Draining : TargetState::Ready);
}

void Sidecar::State::refreshAnswerGauges(const std::string &Source,
                                         const AnswerMemory &Memory) {
  this->Counters.gauge("answer_bytes_held_from_" + Source,
                       static_cast<double>(Memory.used()));
  this->Counters.gauge("answer_bytes_limit_from_" + Source,
                       static_cast<double>(Memory.limit()));
  this->Counters.gauge("answers_given_up_from_" + Source,
                       static_cast<double>(Memory.givenUp()));
}

void Sidecar::State::refreshGauges() {
  const auto &Others = this->Fleet.members().others();
  auto Present = std::count_if(Others.begin(), Others.end(),
                               [](const auto &E) { return !isGone(E.second); });
  this->Counters.gauge("members", static_cast<double>(Present + 1));
  this->Counters.gauge("links",
                       static_cast<double>(this->Peers.peers().size()));
  this->Counters.gauge("allowances_held",
                       static_cast<double>(this->AllowanceParts.size()));
  this->Counters.gauge(
      "allowances_binding",
      static_cast<double>(this->AllowanceParts.bindingCount()));
  this->Counters.gauge("body_bytes_held",
                       static_cast<double>(this->RequestMemory.used()));
  this->Counters.gauge("body_bytes_limit",
                       static_cast<double>(this->RequestMemory.limit()));
  this->refreshAnswerGauges("target", this->TargetMemory);
  this->refreshAnswerGauges("nodes", this->PeerMemory);
  this->Counters.gauge("holds_duties", this->Links.holdsDuties() ? 1 : 0);
}

void Sidecar::State::logGate() {
  for (const auto &[Service, Balance] : this->Overload.gate().balances())
    if (Balance.DemandedSlots > Balance.GrantedSlots)
      this->Log.state("service_short", {{"service", Service.value()},
                                        {"wanted_slots", Balance.DemandedSlots},
                                        {"given_slots", Balance.GrantedSlots},
                                        {"trim", Balance.CapacityFactor},
                                        {"wait_ms", Balance.QueueWait * 1000}});
}

void Sidecar::State::updateGate() {
  if (!this->Policies.current())
    return;
  auto Now = this->Loop.now();
  const auto &InForce = *this->Policies.current();
  if (!InForce.organisations().empty())
    this->Overload.setOrganisations(
        fairShares(InForce.organisations(), this->AllowanceParts.fleetUses(Now),
                   this->Overload.totalOffered(InForce)));
  this->Overload.update(InForce, this->Links.loads(this->status()), Now);
}

void Sidecar::State::onPolicy(const TrafficPolicy &NewPolicy) {
  const auto &Limits = NewPolicy.limits();
  auto Options = this->clientOptions();
  Options.MaxHeaderBytes = Limits.MaxHeaderBytes;
  Options.MaxBodyBytes = Limits.MaxBodyBytes;
  Options.RequestTimeout = Limits.HeaderTimeout * 4;
  Options.IdleTimeout = Limits.IdleTimeout;
  this->Outbound->setOptions(Options);
  this->AllowanceNews.setPolicy(this->Policies.current(), this->Loop.now());
  // Tells the linked nodes, which then ask for the policy.
  this->Peers.broadcastLoad();
  this->checkRunningTarget();
}

void Sidecar::State::readDepartures() {
  this->Timers.push_back(this->Loop.every(DepartureSweepPeriod, [this]() {
    if (this->Links.holdsDuties())
      this->Departures.removeOld();
  }));
  if (this->Settings.FirstStart) {
    this->Departures.skipReading();
    return;
  }
  this->Departures.read([this](const std::vector<Departure> &Stored) {
    this->onDepartures(Stored);
  });
  this->Timers.push_back(this->Loop.after(DepartureTimeout, [this]() {
    if (this->Departures.isRead())
      return;
    this->Log.state("departures_unknown", {});
    this->checkRunningTarget();
  }));
}

void Sidecar::State::onDepartures(const std::vector<Departure> &Stored) {
  for (const auto &Each : Stored)
    this->LocalTarget.onDeparture(Each.Target, Each.At);
  this->checkRunningTarget();
}

void Sidecar::State::checkRunningTarget() {
  // After a restart of the process the target may already be running.
  bool IsLate = this->Loop.now() - this->Started >= DepartureTimeout;
  if (!this->Settings.FirstStart && this->Policies.current() &&
      (this->Departures.isRead() || IsLate))
    this->RunningTarget.run(*this->Policies.current());
}

void Sidecar::State::onReport(const Exchange &Report) {
  TargetMessage Message;
  try {
    Message = this->Adapter.decodeTargetMessage(*Report);
  } catch (const ValueError &E) {
    this->Counters.count("target_reports_malformed");
    this->Log.state("target_report_malformed", {{"error", E.what()}});
    Report->reply(400, {}, E.what());
    return;
  }
  switch (Message.Kind) {
  case TargetMessage::Kind::Other:
    Report->reply(404, {}, "");
    return;
  case TargetMessage::Kind::Leave:
    this->onLeave(Report, Message.Id);
    return;
  case TargetMessage::Kind::Report:
    this->onTargetReport(Report, Message.Report);
    return;
  }
}

void Sidecar::State::onLeave(const Exchange &Report, const std::string &Id) {
  (void)this->LocalTarget.onLeave(Id);
  TargetRecord Left = this->LocalTarget.record();
  if (Left.Id != Id) {
    Left = {};
    Left.Id = Id;
    Left.State = TargetState::Left;
  }
  this->storeDeparture(Report, Left);
}

void Sidecar::State::storeDeparture(const Exchange &Report,
                                    const TargetRecord &Target) {
  this->Departures.write(Target, [this, Report](bool IsStored) {
    if (IsStored)
      this->acknowledge(Report);
    else
      Report->reply(503, {}, "the departure is not stored yet\n");
  });
}

void Sidecar::State::onTargetReport(const Exchange &Report,
                                    const LocalTarget::Report &Value) {
  const auto &Reported = Value.Target;
  if (Reported.Service != this->Settings.Service) {
    this->Counters.count("target_reports_foreign");
    this->refuseReport(Report, Reported);
    return;
  }
  bool IsLeaving = Reported.State >= TargetState::Draining;
  bool IsUnread = !this->Departures.isRead() &&
                  this->Loop.now() - this->Started < DepartureTimeout;
  if (!IsLeaving && IsUnread && this->LocalTarget.record().Id.empty()) {
    // It may be older than a departure; the target reports again.
    this->Counters.count("target_reports_early");
    Report->reply(503, {}, "the departures have not been read yet\n");
    return;
  }
  if (!this->LocalTarget.onReport(Value)) {
    this->refuseReport(Report, Reported);
    return;
  }
  this->HasReport = true;
  if (IsLeaving)
    this->storeDeparture(Report, this->LocalTarget.record());
  else
    this->acknowledge(Report);
}

void Sidecar::State::acknowledge(const Exchange &Report) {
  Report->reply(200, {{"Content-Type", "application/json"}},
                this->Adapter.acknowledgement());
}

void Sidecar::State::refuseReport(const Exchange &Report,
                                  const TargetRecord &Target) {
  this->Log.state("target_report_refused",
                  {{"target", Target.Id},
                   {"started", Target.Started},
                   {"sequence", Target.Sequence},
                   {"known", this->LocalTarget.record().Id}});
  Report->reply(409, {}, "");
}

bool Sidecar::State::isReady() {
  // Without any other node, requests would find no target.
  auto Limit =
      this->Fleet.members().others().empty() ? ContactTimeout : WarmUpLimit;
  bool IsWarm = this->Loop.now() - this->Started > Limit;
  if (!IsWarm && this->Fleet.isComplete()) {
    const auto &Peers = this->Peers.peers();
    IsWarm = std::all_of(Peers.begin(), Peers.end(), [](const auto &Entry) {
      return Entry.second.IsReachable;
    });
  }
  bool Ready = IsWarm && this->Policies.current() != nullptr &&
               !this->Leaving.isLeaving();
  if (Ready != this->WasReady)
    this->Log.state(Ready ? "ready" : "not_ready",
                    {{"leaving", this->Leaving.isLeaving()},
                     {"peers", this->Peers.peers().size()}});
  this->WasReady = Ready;
  return Ready;
}

void Sidecar::State::leave() {
  if (this->Leaving.isLeaving())
    return;
  this->Leaving.begin(this->Loop.now());
  this->Log.state("leave", {{"open", this->Outbound->openRequests()},
                            {"running", this->LocalTarget.outstanding()}});
  this->Outbound->drain();
  this->Forwarder.limitOpenRequests();
  this->Peers.broadcast();
  this->Fleet.announce(TargetState::Draining);
  this->Timers.push_back(this->Loop.every(
      LeaveCheckPeriod, [this]() { this->continueLeaving(); }));
}

bool Sidecar::State::isIdle() const {
  return this->Outbound->openRequests() == 0 &&
         this->Outbound->unsentBytes() == 0 &&
         this->LocalTarget.outstanding() == 0 &&
         !this->Peers.hasUnsentReplies();
}

void Sidecar::State::continueLeaving() {
  auto Now = this->Loop.now();
  if (this->Leaving.refusesRuns(Now) &&
      !std::exchange(this->HasRefusedRuns, true)) {
    this->LocalTarget.refuseNewWork(this->Leaving.retryAfter(Now));
    this->Peers.broadcast();
  }
  if (this->Leaving.mayClose(this->isIdle(), Now))
    this->close();
  else if (this->Leaving.mayExit(this->isIdle(), Now))
    this->exit();
}

void Sidecar::State::close() {
  this->Leaving.close(this->Loop.now());
  this->LocalTarget.refuseNewWork(this->Leaving.retryAfter(this->Loop.now()));
  this->AllowanceNews.leave();
  this->Outbound->stopListening();
  this->Peers.broadcast();
  this->Log.state("left", {{"open", this->Outbound->openRequests()},
                           {"running", this->LocalTarget.outstanding()},
                           {"unsent_bytes", this->Outbound->unsentBytes()}});
  this->Fleet.announce(TargetState::Left);
  if (this->LocalTarget.record().State == TargetState::Left)
    this->Fleet.registry().unregister();
}

void Sidecar::State::exit() {
  if (std::exchange(this->HasExited, true))
    return;
  // What is still open here is cut by the end of the process.
  this->Log.state("exit", {{"open", this->Outbound->openRequests()},
                           {"running", this->LocalTarget.outstanding()},
                           {"unsent_bytes", this->Outbound->unsentBytes()},
                           {"unsent_replies", this->Peers.hasUnsentReplies()}});
  this->Log.flush();
  this->OnLeft();
}

Sidecar::Sidecar(EventLoop &Loop, const SidecarSettings &Settings,
                 const PlatformAdapter &Adapter, ObjectStore &Store,
                 EventLog &Log, Metrics &Counters, std::function<void()> OnLeft)
    : Impl(std::make_unique<State>(Loop, Settings, Adapter, Store, Log,
                                   Counters, std::move(OnLeft))) {
  this->Impl->start();
}

Sidecar::~Sidecar() = default;

void Sidecar::leave() { this->Impl->leave(); }

void Sidecar::reload(const SidecarSettings &Settings) {
  auto &Current = this->Impl->Settings;
  Current.ExitLimit = Settings.ExitLimit;
  this->Impl->Leaving.setExitLimit(Settings.ExitLimit);
  this->Impl->Forwarder.limitOpenRequests();
  Current.RepeatSlack = Settings.RepeatSlack;
  bool NeedsRestart = Settings.Link != Current.Link ||
                      Settings.Outbound != Current.Outbound ||
                      Settings.Target != Current.Target;
  this->Impl->Log.state("reload", {{"needs_restart", NeedsRestart}});
}

} // namespace limpetdrum
