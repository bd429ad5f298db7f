#include "limpetdrum/daemon/Sidecar.h"

#include "limpetdrum/daemon/ContactRegistry.h"
#include "limpetdrum/daemon/Forwarder.h"
#include "limpetdrum/daemon/PolicyFeed.h"
#include "limpetdrum/process/Error.h"
#include "limpetdrum/request/UsageExchange.h"

#include <algorithm>

namespace limpetdrum {

namespace {

constexpr Milliseconds AdmissionTickPeriod{20};
/// The representatives of the failure domains delay usage by up to one further
/// period before it reaches all nodes.
constexpr Milliseconds UsagePeriod{500};
constexpr Milliseconds GateUpdatePeriod{200};
constexpr Milliseconds GateLogPeriod{1000};
constexpr Milliseconds LogFlushPeriod{100};
constexpr Milliseconds LeaveCheckPeriod{50};
/// Lets the peers and clients receive the last bytes before the process exits.
constexpr Milliseconds ExitDelay{100};
/// Time after which a node may become ready without a link to every peer: by
/// then it is connected to those that run.
constexpr Milliseconds WarmUpLimit{1500};
constexpr Milliseconds StatusCheckTimeout{500};

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
  [[nodiscard]] std::uint64_t connectionsOpened() const noexcept {
    return this->Client.connectionsOpened();
  }

private:
  HttpClient Client;
};

HttpClientOptions targetOptions(const HeaderNames &Names) {
  HttpClientOptions Options;
  Options.EchoHeader = Names.RequestId;
  Options.AcceptCloseDelimited = true;
  Options.MaxBodyBytes = MaxConnectionBacklogBytes / 2;
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
  limpetdrum::Incarnation Incarnation = newIncarnation();
  std::uint64_t Seed;
  TimePoint Started;
  HttpTarget TargetClient;
  limpetdrum::LocalTarget LocalTarget;
  Mesh Peers;
  RepeatBudget Repeats;
  OverloadControl Overload;
  UsageExchange Usages;
  LeavePlan Leaving;
  PolicyFeed Policies;
  ContactRegistry Contacts;
  limpetdrum::Forwarder Forwarder;
  std::unique_ptr<HttpServer> Outbound;
  std::unique_ptr<HttpServer> Readiness;
  std::unique_ptr<HttpServer> Reports;
  std::unique_ptr<HttpServer> MetricsPage;
  std::vector<Timer> Timers;
  std::uint64_t StatusVersion = 0;
  bool HasLeft = false;
  bool WasReady = false;
  bool HasReport = false;
  Timer StatusCheck;

  State(EventLoop &Loop, const SidecarSettings &Settings,
        const PlatformAdapter &Adapter, ObjectStore &Store, EventLog &Log,
        Metrics &Counters, std::function<void()> OnLeft)
      : Loop(Loop), Settings(Settings), Adapter(Adapter), Log(Log),
        Counters(Counters), OnLeft(std::move(OnLeft)),
        Seed(stableHash(Settings.Node.value(), this->Incarnation.value())),
        Started(Loop.now()),
        TargetClient(Loop, Settings.Target, targetOptions(Adapter.headers())),
        LocalTarget({Settings.DrainTimeout / 2, this->Seed, unixMillis,
                     Settings.Service},
                    Adapter.headers(), this->TargetClient, Log, Counters,
                    [&Loop]() { return Loop.now(); }),
        Peers(Loop, this->contact(), this->Incarnation, Log, Counters),
        Repeats(Settings.RepeatRatio, Settings.RepeatWindow, this->Seed + 5),
        Overload(this->Seed + 4), Usages(Settings.Node, Settings.FailureDomain),
        Leaving(Settings.ExitLimit),
        Policies(Loop, Store, Adapter, Log, Counters, this->Seed + 1),
        Contacts(Loop, Store, this->contact(), Log, this->Seed + 2),
        Forwarder(
            {Settings.Node, Settings.FailureDomain, Settings.Region,
             callerKey(Settings.Node, this->Incarnation), Settings.Service,
             this->Seed + 3,
             [&Adapter](const std::string &Id) {
               return Adapter.parentRequestId(Id);
             }},
            Adapter.headers(), Loop, this->Peers, this->LocalTarget,
            this->Repeats, this->Overload, this->Leaving,
            [this]() { return this->Policies.current(); }, Log, Counters) {}

  [[nodiscard]] Contact contact() const {
    return {this->Settings.Node, this->Settings.AdvertisedLink,
            this->Settings.FailureDomain};
  }

  void start();
  void listen();
  void onReport(const std::shared_ptr<HttpExchange> &Exchange);
  void onPolicy(const TrafficPolicy &NewPolicy);
  void checkTarget();
  [[nodiscard]] bool isReady();
  [[nodiscard]] NodeStatus status();
  void leave();
  void continueLeaving();
  void updateSlack();
  void shareUsage();
  void onUsage(MeshUsage Report);
  void updateGate();
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
  this->LocalTarget.fillStatus(Status);
  return Status;
}

void Sidecar::State::listen() {
  using Exchange = std::shared_ptr<HttpExchange>;
  this->Outbound = std::make_unique<HttpServer>(
      this->Loop, this->Settings.Outbound,
      [this](Exchange E) { this->Forwarder.onRequest(std::move(E)); });
  this->Readiness = std::make_unique<HttpServer>(
      this->Loop, this->Settings.Readiness, [this](const Exchange &E) {
        E->reply(this->isReady() ? 200 : 503, {}, "");
      });
  this->Reports = std::make_unique<HttpServer>(
      this->Loop, this->Settings.Reports,
      [this](const Exchange &E) { this->onReport(E); });
  this->MetricsPage = std::make_unique<HttpServer>(
      this->Loop, this->Settings.Metrics, [this](const Exchange &E) {
        E->reply(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                 this->Counters.text());
      });
}

void Sidecar::State::start() {
  this->LocalTarget.setOnChange([this]() { this->Peers.broadcast(); });
  Mesh::Handlers Handlers;
  Handlers.OnAttempt = [this](const NodeId & /*From*/,
                              limpetdrum::Incarnation Caller,
                              const MeshAttempt &Attempt) {
    auto Call = Attempt.Call;
    this->LocalTarget.execute(Caller, Attempt,
                              [this, Caller, Call](const Reply &R) {
                                (void)this->Peers.reply(Caller, Call, R);
                              });
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
    this->Forwarder.onPeerStatus(From);
  };
  Handlers.OnPolicy = [this](const std::string &Text) {
    this->Policies.offer(Text, "peer");
  };
  Handlers.OnRecordFromPeer = [this](const TargetRecord &PeerRecord) {
    if (!this->HasReport)
      this->LocalTarget.onRecordFromPeer(PeerRecord);
  };
  Handlers.LocalStatus = [this]() { return this->status(); };
  Handlers.PolicyText = [this]() {
    return this->Policies.current() ? this->Policies.current()->text() : "";
  };
  Handlers.OnUsage = [this](MeshUsage Report) {
    this->onUsage(std::move(Report));
  };
  this->LocalTarget.setOnRun([this](const std::string &Route, RunEvent Event) {
    auto &Learner = this->Overload.learner();
    if (Event == RunEvent::Started)
      Learner.onRunBegin(Route, this->Loop.now());
    else
      Learner.onRunEnd(Route, Event == RunEvent::Served, this->Loop.now());
  });
  this->Peers.start(std::move(Handlers), this->Settings.Link);
  this->listen();
  this->Policies.start(
      [this](const TrafficPolicy &NewPolicy) { this->onPolicy(NewPolicy); });
  this->Contacts.start([this](const Contact &NewContact) {
    this->Peers.add(NewContact);
    this->updateSlack();
  });
  this->Timers.push_back(this->Loop.every(
      AdmissionTickPeriod, [this]() { this->LocalTarget.tick(); }));
  this->Timers.push_back(
      this->Loop.every(UsagePeriod, [this]() { this->shareUsage(); }));
  this->Timers.push_back(
      this->Loop.every(GateUpdatePeriod, [this]() { this->updateGate(); }));
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
  auto Nodes = static_cast<double>(this->Peers.peers().size() + 1);
  this->Repeats.setSlack(this->Settings.RepeatSlack / Nodes);
}

void Sidecar::State::shareUsage() {
  this->Usages.clear();
  for (const auto &[Node, Peer] : this->Peers.peers())
    if (Peer.IsReachable && Peer.Status && !Peer.Status->Leaving)
      this->Usages.add(Node, Peer.Contact.FailureDomain);
  MeshUsage Report;
  Report.Node = this->Settings.Node;
  Report.Usage = this->Overload.report(Report.Node, this->Settings.Service,
                                       this->Loop.now());
  this->Peers.sendUsage(this->Usages.neighbours(), Report);
  if (this->Usages.isRepresentative()) {
    MeshUsage DomainSum;
    DomainSum.FailureDomain = this->Settings.FailureDomain;
    for (auto &Summary : this->Overload.demand().summaries(this->Loop.now())) {
      DomainSum.Usage = std::move(Summary);
      this->Peers.sendUsage(this->Usages.representatives(), DomainSum);
    }
  }
}

void Sidecar::State::onUsage(MeshUsage Report) {
  auto Now = this->Loop.now();
  if (Report.FailureDomain.value().empty()) {
    this->Overload.demand().record(Report.Node, std::move(Report.Usage), Now);
    return;
  }
  if (!std::exchange(Report.Relayed, true))
    this->Peers.sendUsage(this->Usages.neighbours(), Report);
  this->Overload.demand().recordDomain(Report.FailureDomain,
                                       std::move(Report.Usage), Now);
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
  std::map<ServiceName, ServiceLoad> Loads;
  auto AddLoad = [&](const NodeStatus &Status) {
    if (!Status.Target.isReady() || Status.Leaving)
      return;
    auto &Sum = Loads[Status.Target.Service];
    Sum.Limit += Status.Limit;
    Sum.Running += Status.Running;
    Sum.Queued += Status.Queued;
    Sum.QueuedWork += Status.Queued *
                      std::chrono::duration<double>(Status.ServiceTime).count();
  };
  AddLoad(this->status());
  for (const auto &[Node, Peer] : this->Peers.peers())
    if (Peer.IsReachable && Peer.Status)
      AddLoad(*Peer.Status);
  this->Overload.update(*this->Policies.current(), Loads, this->Loop.now());
}

void Sidecar::State::onPolicy(const TrafficPolicy &NewPolicy) {
  const auto &Limits = NewPolicy.limits();
  HttpServerOptions Options;
  Options.MaxHeaderBytes = Limits.MaxHeaderBytes;
  Options.MaxBodyBytes = Limits.MaxBodyBytes;
  Options.RequestTimeout = Limits.HeaderTimeout * 4;
  Options.IdleTimeout = Limits.IdleTimeout;
  this->Outbound->setOptions(Options);
  this->Peers.broadcast();
  // After a restart of the process the target may already be running.
  if (!this->Settings.FirstStart && this->LocalTarget.record().Id.empty())
    this->checkTarget();
}

void Sidecar::State::checkTarget() {
  const auto &Policy = this->Policies.current();
  const auto *Service =
      Policy ? Policy->service(this->Settings.Service) : nullptr;
  if (Service == nullptr || !this->LocalTarget.record().Id.empty())
    return;
  HttpCall Check;
  Check.Path = Service->HealthPath;
  Check.Timeout = StatusCheckTimeout;
  this->Counters.count("target_status_checks");
  (void)this->TargetClient.send(Check, [this](const HttpResponse &Answer) {
    const auto &Names = this->Adapter.headers();
    auto Id = Answer.header(Names.TargetId);
    bool IsHealthy = Answer.Outcome == HttpOutcome::Answered &&
                     Answer.Status == 200 && !Id.empty();
    this->Log.state(
        "target_checked",
        {{"status", Answer.Status}, {"target", Id}, {"healthy", IsHealthy}});
    if (!IsHealthy)
      return;
    auto Load = Answer.header(Names.TargetLoad);
    auto Slots = std::strtoul(
        Load.substr(std::min(Load.size(), Load.rfind(',') + 1)).c_str(),
        nullptr, 10);
    constexpr unsigned long MaxSlots = 65'535;
    this->LocalTarget.onStatusCheck(
        Id, this->Settings.Service,
        limpetdrum::Slots(
            static_cast<std::uint16_t>(std::clamp(Slots, 1UL, MaxSlots))));
  });
}

void Sidecar::State::onReport(const std::shared_ptr<HttpExchange> &Exchange) {
  TargetMessage Message;
  try {
    Message = this->Adapter.decodeTargetMessage(*Exchange);
  } catch (const ValueError &E) {
    this->Counters.count("target_reports_malformed");
    this->Log.state("target_report_malformed", {{"error", E.what()}});
    Exchange->reply(400, {}, E.what());
    return;
  }
  bool Accepted = false;
  switch (Message.Kind) {
  case TargetMessage::Kind::Other:
    Exchange->reply(404, {}, "");
    return;
  case TargetMessage::Kind::Leave:
    Accepted = this->LocalTarget.onLeave(Message.Id);
    break;
  case TargetMessage::Kind::Report:
    if (Message.Report.Target.Service != this->Settings.Service) {
      this->Counters.count("target_reports_foreign");
      break;
    }
    Accepted = this->LocalTarget.onReport(Message.Report);
    this->HasReport = this->HasReport || Accepted;
    break;
  }
  if (!Accepted) {
    this->Log.state("target_report_refused",
                    {{"target", Message.Report.Target.Id},
                     {"started", Message.Report.Target.Started},
                     {"sequence", Message.Report.Target.Sequence},
                     {"known", this->LocalTarget.record().Id}});
    Exchange->reply(409, {}, "");
    return;
  }
  Exchange->reply(200, {{"Content-Type", "application/json"}},
                  this->Adapter.acknowledgement());
}

bool Sidecar::State::isReady() {
  bool IsWarm = this->Loop.now() - this->Started > WarmUpLimit;
  if (!IsWarm && this->Contacts.hasReadContacts()) {
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
  this->Peers.broadcast();
  this->Timers.push_back(this->Loop.every(
      LeaveCheckPeriod, [this]() { this->continueLeaving(); }));
}

void Sidecar::State::continueLeaving() {
  if (this->HasLeft)
    return;
  if (this->Leaving.refusesRuns(this->Loop.now()))
    this->LocalTarget.refuseNewWork();
  bool Idle = this->Outbound->openRequests() == 0 &&
              this->LocalTarget.outstanding() == 0;
  if (!this->Leaving.mayExit(Idle, this->Loop.now()))
    return;
  this->HasLeft = true;
  this->Leaving.end();
  this->Outbound->stopListening();
  this->Log.state("left", {{"open", this->Outbound->openRequests()},
                           {"running", this->LocalTarget.outstanding()}});
  if (this->LocalTarget.record().State == TargetState::Left)
    this->Contacts.unregister();
  this->Log.flush();
  this->Timers.push_back(
      this->Loop.after(ExitDelay, [this]() { this->OnLeft(); }));
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
  Current.RepeatSlack = Settings.RepeatSlack;
  this->Impl->updateSlack();
  bool NeedsRestart = Settings.Link != Current.Link ||
                      Settings.Outbound != Current.Outbound ||
                      Settings.Target != Current.Target;
  this->Impl->Log.state("reload", {{"needs_restart", NeedsRestart}});
}

} // namespace limpetdrum
