#include "limpetdrum/daemon/Sidecar.h"

#include "limpetdrum/daemon/ContactRegistry.h"
#include "limpetdrum/daemon/Forwarder.h"
#include "limpetdrum/daemon/PolicyFeed.h"
#include "limpetdrum/process/Error.h"
#include "limpetdrum/request/UsageExchange.h"

#include <algorithm>

namespace limpetdrum {

namespace {

constexpr Milliseconds AdmissionTick{20};
/// The representatives of failure domains add up to as much before it reaches
/// all.
constexpr Milliseconds UsagePeriod{500};
constexpr Milliseconds GatePeriod{200};
constexpr Milliseconds GateLogPeriod{1000};
constexpr Milliseconds LogFlush{100};
constexpr Milliseconds LeaveTick{50};
constexpr Milliseconds FarewellTime{100};
/// Peers of a node that has just started are up by then, if they live.
constexpr Milliseconds WarmUpLimit{1500};
constexpr Milliseconds StatusCheckLimit{500};

std::int64_t unixMillis() {
  auto Wall = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Milliseconds>(Wall).count();
}

/// Differs in each process of a node.
Incarnation newIncarnation() {
  auto Wall = std::chrono::system_clock::now().time_since_epoch();
  return Incarnation(static_cast<std::uint64_t>(
      std::chrono::duration_cast<Microseconds>(Wall).count()));
}

/// The HTTP connections to the own target.
class HttpTarget final : public TargetPort {
public:
  HttpTarget(EventLoop &Loop, Endpoint Where, HttpClientOptions Options)
      : Client(Loop, Where, std::move(Options)) {}

  std::uint64_t send(const HttpCall &Call, HttpClient::Callback Done) override {
    return this->Client.send(Call, std::move(Done));
  }
  void cancel(std::uint64_t Ticket) override { this->Client.cancel(Ticket); }
  [[nodiscard]] std::uint64_t opened() const noexcept {
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
  HttpTarget Port;
  LocalTarget Own;
  Mesh Others;
  RepeatBudget Repeats;
  OverloadControl Overload;
  UsageExchange Usages;
  LeavePlan Leaving;
  PolicyFeed Policies;
  ContactRegistry Contacts;
  Forwarder Entry;
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

  State(EventLoop &Loop, const SidecarSettings &Chosen,
        const PlatformAdapter &Adapter, ObjectStore &Store, EventLog &Log,
        Metrics &Counters, std::function<void()> OnLeft)
      : Loop(Loop), Settings(Chosen), Adapter(Adapter), Log(Log),
        Counters(Counters), OnLeft(std::move(OnLeft)),
        Seed(stableHash(Chosen.Node.value(), this->Incarnation.value())),
        Started(Loop.now()),
        Port(Loop, Chosen.Target, targetOptions(Adapter.headers())),
        Own({Chosen.DrainTimeout / 2, this->Seed, unixMillis, Chosen.Service},
            Adapter.headers(), this->Port, Log, Counters,
            [&Loop]() { return Loop.now(); }),
        Others(Loop, this->contact(), this->Incarnation, Log, Counters),
        Repeats(Chosen.RepeatRatio, Chosen.RepeatWindow, this->Seed + 5),
        Overload(this->Seed + 4), Usages(Chosen.Node, Chosen.FailureDomain),
        Leaving(Chosen.ExitLimit),
        Policies(Loop, Store, Adapter, Log, Counters, this->Seed + 1),
        Contacts(Loop, Store, this->contact(), Log, this->Seed + 2),
        Entry(
            {Chosen.Node, Chosen.FailureDomain, Chosen.Region,
             callerKey(Chosen.Node, this->Incarnation), Chosen.Service,
             this->Seed + 3,
             [&Adapter](const std::string &Id) {
               return Adapter.parentRequestId(Id);
             }},
            Adapter.headers(), Loop, this->Others, this->Own, this->Repeats,
            this->Overload, this->Leaving,
            [this]() { return this->Policies.current(); }, Log, Counters) {}

  [[nodiscard]] Contact contact() const {
    return {this->Settings.Node, this->Settings.AdvertisedLink,
            this->Settings.FailureDomain};
  }

  void start();
  void listen();
  void onReport(const std::shared_ptr<HttpExchange> &Exchange);
  void onPolicy(const TrafficPolicy &New);
  void checkTarget();
  [[nodiscard]] bool isReady();
  [[nodiscard]] NodeStatus status();
  void leave();
  void continueLeaving();
  void updateSlack();
  void shareUsage();
  void onUsage(MeshUsage Theirs);
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
  this->Own.fillStatus(Status);
  return Status;
}

void Sidecar::State::listen() {
  using Exchange = std::shared_ptr<HttpExchange>;
  this->Outbound = std::make_unique<HttpServer>(
      this->Loop, this->Settings.Outbound,
      [this](Exchange E) { this->Entry.onRequest(std::move(E)); });
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
  this->Own.setOnChange([this]() { this->Others.broadcast(); });
  Mesh::Handlers Handlers;
  Handlers.OnAttempt = [this](const NodeId & /*From*/,
                              limpetdrum::Incarnation Caller,
                              const MeshAttempt &Attempt) {
    auto Call = Attempt.Call;
    this->Own.execute(Caller, Attempt, [this, Caller, Call](const Reply &R) {
      (void)this->Others.reply(Caller, Call, R);
    });
  };
  Handlers.OnCancel = [this](limpetdrum::Incarnation Caller,
                             std::uint64_t Call) {
    this->Own.cancel(Caller, Call);
  };
  Handlers.OnAcknowledged = [this](limpetdrum::Incarnation Caller,
                                   std::uint64_t Call) {
    this->Own.acknowledge(Caller, Call);
  };
  Handlers.OnStatus = [this](const NodeId &From) {
    this->Entry.onPeerStatus(From);
  };
  Handlers.OnPolicy = [this](const std::string &Text) {
    this->Policies.offer(Text, "peer");
  };
  Handlers.OnRecordFromPeer = [this](const TargetRecord &Theirs) {
    if (!this->HasReport)
      this->Own.onRecordFromPeer(Theirs);
  };
  Handlers.OwnStatus = [this]() { return this->status(); };
  Handlers.PolicyText = [this]() {
    return this->Policies.current() ? this->Policies.current()->text() : "";
  };
  Handlers.OnUsage = [this](MeshUsage Theirs) {
    this->onUsage(std::move(Theirs));
  };
  this->Own.setOnRun([this](const std::string &Route, RunEvent What) {
    auto &Learner = this->Overload.learner();
    if (What == RunEvent::Started)
      Learner.onRunBegin(Route, this->Loop.now());
    else
      Learner.onRunEnd(Route, What == RunEvent::Served, this->Loop.now());
  });
  this->Others.start(std::move(Handlers), this->Settings.Link);
  this->listen();
  this->Policies.start(
      [this](const TrafficPolicy &New) { this->onPolicy(New); });
  this->Contacts.start([this](const Contact &Found) {
    this->Others.add(Found);
    this->updateSlack();
  });
  this->Timers.push_back(
      this->Loop.every(AdmissionTick, [this]() { this->Own.tick(); }));
  this->Timers.push_back(
      this->Loop.every(UsagePeriod, [this]() { this->shareUsage(); }));
  this->Timers.push_back(
      this->Loop.every(GatePeriod, [this]() { this->updateGate(); }));
  this->Timers.push_back(
      this->Loop.every(GateLogPeriod, [this]() { this->logGate(); }));
  this->Timers.push_back(this->Loop.every(LogFlush, [this]() {
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
  auto Nodes = static_cast<double>(this->Others.peers().size() + 1);
  this->Repeats.setSlack(this->Settings.RepeatSlack / Nodes);
}

void Sidecar::State::shareUsage() {
  this->Usages.clear();
  for (const auto &[Node, Peer] : this->Others.peers())
    if (Peer.IsReachable && Peer.Status && !Peer.Status->Leaving)
      this->Usages.add(Node, Peer.Contact.FailureDomain);
  MeshUsage Mine;
  Mine.Node = this->Settings.Node;
  Mine.Usage = this->Overload.report(Mine.Node, this->Settings.Service,
                                     this->Loop.now());
  this->Others.sendUsage(this->Usages.neighbours(), Mine);
  if (this->Usages.isRepresentative()) {
    MeshUsage Sum;
    Sum.FailureDomain = this->Settings.FailureDomain;
    for (auto &Seen : this->Overload.demand().summaries(this->Loop.now())) {
      Sum.Usage = std::move(Seen);
      this->Others.sendUsage(this->Usages.representatives(), Sum);
    }
  }
}

void Sidecar::State::onUsage(MeshUsage Theirs) {
  auto Now = this->Loop.now();
  if (Theirs.FailureDomain.value().empty()) {
    this->Overload.demand().record(Theirs.Node, std::move(Theirs.Usage), Now);
    return;
  }
  if (!std::exchange(Theirs.Relayed, true))
    this->Others.sendUsage(this->Usages.neighbours(), Theirs);
  this->Overload.demand().recordDomain(Theirs.FailureDomain,
                                       std::move(Theirs.Usage), Now);
}

void Sidecar::State::logGate() {
  for (const auto &[Service, Of] : this->Overload.gate().balances())
    if (Of.DemandedSlots > Of.GrantedSlots)
      this->Log.state("service_short", {{"service", Service.value()},
                                        {"wanted_slots", Of.DemandedSlots},
                                        {"given_slots", Of.GrantedSlots},
                                        {"trim", Of.CapacityFactor},
                                        {"wait_ms", Of.QueueWait * 1000}});
}

void Sidecar::State::updateGate() {
  if (!this->Policies.current())
    return;
  std::map<ServiceName, ServiceLoad> Loads;
  auto Add = [&](const NodeStatus &Status) {
    if (!Status.Target.isReady() || Status.Leaving)
      return;
    auto &Sum = Loads[Status.Target.Service];
    Sum.Limit += Status.Limit;
    Sum.Running += Status.Running;
    Sum.Queued += Status.Queued;
    Sum.QueuedWork += Status.Queued *
                      std::chrono::duration<double>(Status.ServiceTime).count();
  };
  Add(this->status());
  for (const auto &[Node, Peer] : this->Others.peers())
    if (Peer.IsReachable && Peer.Status)
      Add(*Peer.Status);
  this->Overload.update(*this->Policies.current(), Loads, this->Loop.now());
}

void Sidecar::State::onPolicy(const TrafficPolicy &New) {
  const auto &Limits = New.limits();
  HttpServerOptions Options;
  Options.MaxHeaderBytes = Limits.MaxHeaderBytes;
  Options.MaxBodyBytes = Limits.MaxBodyBytes;
  Options.RequestTimeout = Limits.HeaderTimeout * 4;
  Options.IdleTimeout = Limits.IdleTimeout;
  this->Outbound->setOptions(Options);
  this->Others.broadcast();
  // A process that starts again finds its target running.
  if (!this->Settings.FirstStart && this->Own.record().Id.empty())
    this->checkTarget();
}

void Sidecar::State::checkTarget() {
  const auto &Policy = this->Policies.current();
  const auto *Service =
      Policy ? Policy->service(this->Settings.Service) : nullptr;
  if (Service == nullptr || !this->Own.record().Id.empty())
    return;
  HttpCall Check;
  Check.Path = Service->HealthPath;
  Check.Timeout = StatusCheckLimit;
  this->Counters.count("target_status_checks");
  (void)this->Port.send(Check, [this](const HttpResponse &Answer) {
    const auto &Names = this->Adapter.headers();
    auto Id = Answer.header(Names.TargetId);
    bool Healthy = Answer.Outcome == HttpOutcome::Answered &&
                   Answer.Status == 200 && !Id.empty();
    this->Log.state(
        "target_checked",
        {{"status", Answer.Status}, {"target", Id}, {"healthy", Healthy}});
    if (!Healthy)
      return;
    auto Load = Answer.header(Names.TargetLoad);
    auto Slots = std::strtoul(
        Load.substr(std::min(Load.size(), Load.rfind(',') + 1)).c_str(),
        nullptr, 10);
    constexpr unsigned long MostSlots = 65'535;
    this->Own.onStatusCheck(Id, this->Settings.Service,
                            limpetdrum::Slots(static_cast<std::uint16_t>(
                                std::clamp(Slots, 1UL, MostSlots))));
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
  bool Taken = false;
  switch (Message.Kind) {
  case TargetMessage::Kind::Other:
    Exchange->reply(404, {}, "");
    return;
  case TargetMessage::Kind::Leave:
    Taken = this->Own.onLeave(Message.Id);
    break;
  case TargetMessage::Kind::Report:
    if (Message.Report.Target.Service != this->Settings.Service) {
      this->Counters.count("target_reports_foreign");
      break;
    }
    Taken = this->Own.onReport(Message.Report);
    this->HasReport = this->HasReport || Taken;
    break;
  }
  if (!Taken) {
    this->Log.state("target_report_refused",
                    {{"target", Message.Report.Target.Id},
                     {"started", Message.Report.Target.Started},
                     {"sequence", Message.Report.Target.Sequence},
                     {"known", this->Own.record().Id}});
    Exchange->reply(409, {}, "");
    return;
  }
  Exchange->reply(200, {{"Content-Type", "application/json"}},
                  this->Adapter.acknowledgement());
}

bool Sidecar::State::isReady() {
  bool Warm = this->Loop.now() - this->Started > WarmUpLimit;
  if (!Warm && this->Contacts.hasReadContacts()) {
    const auto &Peers = this->Others.peers();
    Warm = std::all_of(Peers.begin(), Peers.end(), [](const auto &Entry) {
      return Entry.second.IsReachable;
    });
  }
  bool Ready =
      Warm && this->Policies.current() != nullptr && !this->Leaving.isLeaving();
  if (Ready != this->WasReady)
    this->Log.state(Ready ? "ready" : "not_ready",
                    {{"leaving", this->Leaving.isLeaving()},
                     {"peers", this->Others.peers().size()}});
  this->WasReady = Ready;
  return Ready;
}

void Sidecar::State::leave() {
  if (this->Leaving.isLeaving())
    return;
  this->Leaving.begin(this->Loop.now());
  this->Log.state("leave", {{"open", this->Outbound->openRequests()},
                            {"running", this->Own.outstanding()}});
  this->Outbound->drain();
  this->Others.broadcast();
  this->Timers.push_back(
      this->Loop.every(LeaveTick, [this]() { this->continueLeaving(); }));
}

void Sidecar::State::continueLeaving() {
  if (this->HasLeft)
    return;
  if (this->Leaving.refusesRuns(this->Loop.now()))
    this->Own.refuseNewWork();
  bool Idle =
      this->Outbound->openRequests() == 0 && this->Own.outstanding() == 0;
  if (!this->Leaving.mayExit(Idle, this->Loop.now()))
    return;
  this->HasLeft = true;
  this->Leaving.end();
  this->Outbound->stopListening();
  this->Log.state("left", {{"open", this->Outbound->openRequests()},
                           {"running", this->Own.outstanding()}});
  if (this->Own.record().State == TargetState::Left)
    this->Contacts.unregister();
  this->Log.flush();
  // Time for the last bytes to be taken.
  this->Timers.push_back(
      this->Loop.after(FarewellTime, [this]() { this->OnLeft(); }));
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
