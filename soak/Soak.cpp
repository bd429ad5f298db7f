#include "Soak.h"

#include "limpetdrum/process/Error.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iomanip>
#include <sstream>

namespace limpetdrum::soak {

namespace {

constexpr std::uint32_t Loopback = 0x7f000001;
constexpr std::uint16_t PortsPerNode = 12;
// Port offsets within the range of a node.
constexpr std::uint16_t OutboundPort = 0;
constexpr std::uint16_t ReadinessPort = 1;
constexpr std::uint16_t ReportsPort = 2;
constexpr std::uint16_t LinkPort = 3;
constexpr std::uint16_t MetricsPort = 4;
constexpr std::uint16_t TargetPort = 5;
constexpr std::uint16_t LinkRelayPort = 6;
constexpr std::uint16_t StoreRelayPort = 7;
constexpr std::uint16_t TargetRelayPort = 8;

const std::vector<std::string> Services = {"a", "b", "c"};
const std::vector<std::string> Organisations = {"kiosks", "drivers", "growers",
                                                "stalls"};
constexpr unsigned KeysPerOrganisation = 2;
constexpr Milliseconds StartUpPeriod{3000};  ///< before the first fault
constexpr Milliseconds RecoveryPeriod{8000}; ///< after the last fault
/// End of the recovery period, in which no new requests are sent.
constexpr Milliseconds FinalAnswerPeriod{2500};
/// Start of the recovery period in which requests may still fail.
constexpr Milliseconds SettlingPeriod{2000};
constexpr Milliseconds LagLimit{150}; ///< of the harness's event loop
constexpr Milliseconds LagCheckPeriod{20};
constexpr Milliseconds MemoryCheckPeriod{50};
/// Memory of the machine of each node, in megabytes.
constexpr std::size_t MachineMegabytes = 260;
constexpr Milliseconds AddressReuseDelay{2000};
/// One client in this many disconnects early.
constexpr std::uint64_t AbandonOneIn = 12;
/// Requests sent in place of each one in a burst.
constexpr unsigned BurstFactor = 4;
/// Times that a client repeats a request that failed.
constexpr unsigned ClientRepeats = 2;
/// Text in the answer to a request that is refused because it crashes targets.
constexpr const char *CrashingReason = "crashes-targets";

struct RouteSpec {
  const char *Path;
  const char *Service; ///< nullptr: the route is reassigned
  bool Idempotent;
  unsigned TimeoutMillis;
  unsigned Priority;
  bool IsOpen = false; ///< needs no key
};
const std::vector<RouteSpec> Routes = {
    {"/read/", "a", true, 2000, 2},       {"/order/", "b", false, 2500, 0},
    {"/lookup/", "c", true, 1500, 1},     {"/move/", nullptr, true, 2000, 2},
    {"/view/", "a", true, 2000, 2, true},
};

Bounds boundsOf(const Soak::Options &Config) {
  Bounds Value;
  Value.RepeatSlack = Config.RepeatSlack;
  Value.MemoryBytes = MachineMegabytes * 1'000'000;
  return Value;
}

std::vector<std::string> servicesOf(unsigned Nodes) {
  std::vector<std::string> Names;
  for (unsigned I = 0; I < Nodes; ++I)
    Names.push_back(Services[I % Services.size()]);
  return Names;
}

} // namespace

struct Soak::Node {
  std::size_t Index = 0;
  std::string Name;
  std::string Zone;
  std::string Service;
  std::unique_ptr<bench::Process> Process;
  bool Stopping = false; ///< the harness sent a signal that ends it
  bool IsPaused = false;
  unsigned TargetStarts = 0; ///< targets started so far
  std::unique_ptr<soak::Target> Target;
  std::unique_ptr<bench::Relay> LinkRelay;
  std::unique_ptr<bench::Relay> StoreRelay;
  std::unique_ptr<bench::Relay> TargetRelay;
  std::unique_ptr<HttpClient> Client;
};

const std::vector<Soak::FaultKind> Soak::FaultKinds = {
    {"kill", &Soak::kill, 3},
    {"kill many", &Soak::killMany, 1},
    {"pause", &Soak::pause, 3},
    {"terminate", &Soak::terminate, 4},
    {"reload", &Soak::reload, 2},
    {"crash target", &Soak::crashTarget, 2},
    {"crashing request", &Soak::crashByRequest, 2},
    {"drain target", &Soak::drainTarget, 4},
    {"withdraw target", &Soak::withdrawTarget, 2},
    {"drain after notice", &Soak::drainAfterNotice, 2},
    {"name rate", &Soak::nameRate, 3},
    {"drain service", &Soak::drainService, 2},
    {"stall target", &Soak::stallTarget, 2},
    {"copy answers", &Soak::copyAnswers, 3},
    {"delay answers", &Soak::delayAnswers, 2},
    {"break answers", &Soak::breakAnswers, 3},
    {"endless answers", &Soak::sendEndlessly, 3},
    {"shed requests", &Soak::shedRequests, 3},
    {"fail unmarked", &Soak::failUnmarked, 2},
    {"burst", &Soak::burst, 2},
    {"move policy", &Soak::reassignRoute, 3},
    {"storm policy", &Soak::publishPolicyBurst, 1},
    {"change keys", &Soak::changeKeys, 3},
    {"store mood", &Soak::failStore, 3},
    {"forget history", &Soak::discardHistory, 1},
    {"restore store", &Soak::restoreStore, 2},
    {"silence links", &Soak::silenceLinks, 2},
    {"block links", &Soak::blockLinks, 3},
    {"reset links", &Soak::resetLinks, 2},
    {"delay links", &Soak::delayLinks, 2},
};

Soak::Soak(EventLoop &Loop, Options Config)
    : Loop(Loop), Config(std::move(Config)), Random(this->Config.Seed),
      Started(Loop.now()), LastLagCheck(this->Started),
      Observations(boundsOf(this->Config), servicesOf(this->Config.Nodes)) {
  for (const auto &Name : this->Config.OnlyFaults)
    Soak::checkFault(Name);
  this->ObjectStore =
      std::make_unique<Store>(Loop, Endpoint{Loopback, this->Config.FirstPort});
  for (const auto &Route : Routes)
    this->Observations.AllowedServices[Route.Path] =
        Route.Service != nullptr
            ? std::set<std::string>{Route.Service}
            : std::set<std::string>(Services.begin(), Services.end());
  this->Observations.CallingRoutes = {"/order/"};
  this->Observations.ReassignedRoute = "/move/";
  for (const auto &Name : Organisations)
    for (unsigned I = 0; I < KeysPerOrganisation; ++I)
      this->addKey(Name, std::nullopt);
}

Soak::~Soak() = default;

void Soak::checkFault(const std::string &Name) {
  std::string Known;
  for (const auto &Kind : FaultKinds) {
    if (Kind.Name == Name)
      return;
    Known += Known.empty() ? "" : ", ";
    Known += Kind.Name;
  }
  throw ValueError("fault '" + Name + "' does not exist",
                   "choose from " + Known);
}

Endpoint Soak::address(const Node &N, std::uint16_t Offset) const {
  return {Loopback,
          static_cast<std::uint16_t>(this->Config.FirstPort +
                                     PortsPerNode * (N.Index + 1) + Offset)};
}

std::uint64_t Soak::randomBelow(std::uint64_t Bound) {
  return std::uniform_int_distribution<std::uint64_t>(0,
                                                      Bound - 1)(this->Random);
}

Milliseconds Soak::randomSpan(unsigned Min, unsigned Max) {
  return Milliseconds(Min + this->randomBelow(Max - Min + 1));
}

void Soak::runAfter(Milliseconds Delay, std::function<void()> Action) {
  this->OneShotTimers.push_back(this->Loop.after(Delay, std::move(Action)));
}

void Soak::logEvent(const std::string &Message) {
  std::ostringstream Line;
  Line
      << std::fixed << std::setprecision(3)
      << std::chrono::duration<double>(this->Loop.now() - this->Started).count()
      << " " << Message;
  this->Events.push_back(Line.str());
}

void Soak::recordDisturbance(std::optional<std::size_t> Node,
                             Disturbance::Kind Cause, Milliseconds Span) {
  auto Now = this->Loop.now();
  this->Observations.Disturbances.push_back({Node, Cause, Now, Now + Span});
}

void Soak::startProcess(Node &N, bool FirstStart) {
  auto File = this->Config.Folder + "/" + N.Name + ".yaml";
  std::ofstream Out(File);
  Out << "node: " << N.Name << "\nregion: r\nfailure-domain: " << N.Zone
      << "\nservice: " << N.Service
      << "\ntarget: " << toString(this->address(N, TargetRelayPort))
      << "\nfirst-start: " << (FirstStart ? "true" : "false")
      << "\nlisten:\n  outbound: " << toString(this->address(N, OutboundPort))
      << "\n  readiness: " << toString(this->address(N, ReadinessPort))
      << "\n  reports: " << toString(this->address(N, ReportsPort))
      << "\n  link: " << toString(this->address(N, LinkPort))
      << "\n  advertised-link: " << toString(this->address(N, LinkRelayPort))
      << "\n  metrics: " << toString(this->address(N, MetricsPort))
      << "\nstore: " << toString(this->address(N, StoreRelayPort))
      << "\ndrain-timeout: 2s\nexit-limit: 6s\n"
      << "repeats: {ratio: 0.2, slack: " << this->Config.RepeatSlack
      << ", window: 10s}\n";
  Out.close();
  N.Stopping = false;
  N.IsPaused = false;
  N.Process = std::make_unique<bench::Process>(
      std::vector<std::string>{this->Config.Program, "--settings=" + File},
      this->Config.Folder + "/" + N.Name + ".log");
  this->Observations.Starts[N.Index].push_back(this->Loop.now());
}

void Soak::startTarget(Node &N) {
  TargetSettings Settings;
  Settings.Node = N.Index;
  Settings.Service = N.Service;
  Settings.Zone = N.Zone;
  Settings.Listen = this->address(N, TargetPort);
  Settings.Announced = this->address(N, TargetRelayPort);
  Settings.Reports = this->address(N, ReportsPort);
  Settings.Outbound = this->address(N, OutboundPort);
  Settings.OnCrash = [this, &N]() {
    if (!N.Target)
      return;
    this->endTarget(N);
    this->recordDisturbance(N.Index, Disturbance::Kind::Target,
                            Milliseconds(0));
    this->runAfter(this->randomSpan(1000, 3000),
                   [this, &N]() { this->startTarget(N); });
  };
  N.TargetRelay->listen();
  N.Target = std::make_unique<soak::Target>(
      this->Loop, Settings,
      "t" + N.Name + "-" + std::to_string(++N.TargetStarts), this->Observations,
      this->Random());
}

void Soak::endTarget(Node &N) {
  N.Target.reset();
  N.TargetRelay->stopListening();
}

void Soak::start() {
  setenv("LIMPETDRUM_MEMORY_MB", std::to_string(MachineMegabytes).c_str(), 1);
  this->publishPolicy(false);
  for (std::size_t I = 0; I < this->Config.Nodes; ++I) {
    auto N = std::make_unique<Node>();
    N->Index = I;
    N->Name = "n" + std::to_string(I);
    N->Zone = std::string(1, static_cast<char>('x' + I / 3 % 3));
    N->Service = Services[I % Services.size()];
    auto MakeRelay = [&](std::uint16_t Offset, Endpoint Destination) {
      return std::make_unique<bench::Relay>(
          this->Loop, this->address(*N, Offset), Destination);
    };
    N->LinkRelay = MakeRelay(LinkRelayPort, this->address(*N, LinkPort));
    N->StoreRelay =
        MakeRelay(StoreRelayPort, Endpoint{Loopback, this->Config.FirstPort});
    N->TargetRelay = MakeRelay(TargetRelayPort, this->address(*N, TargetPort));
    N->Client = std::make_unique<HttpClient>(this->Loop,
                                             this->address(*N, OutboundPort));
    this->startProcess(*N, true);
    this->startTarget(*N);
    this->Nodes.push_back(std::move(N));
  }
  this->recordDisturbance(std::nullopt, Disturbance::Kind::Unplanned,
                          Milliseconds(0));
  this->PeriodicTimers.push_back(this->Loop.every(
      Milliseconds(10), [this]() { this->restartEndedProcesses(); }));
  this->PeriodicTimers.push_back(
      this->Loop.every(LagCheckPeriod, [this]() { this->checkLag(); }));
  this->PeriodicTimers.push_back(
      this->Loop.every(MemoryCheckPeriod, [this]() { this->measureMemory(); }));
  this->runAfter(StartUpPeriod / 2, [this]() {
    auto Interval = Microseconds(static_cast<std::int64_t>(
        1e6 / (this->Config.RequestsPerNode *
               static_cast<double>(this->Config.Nodes))));
    this->PeriodicTimers.push_back(
        this->Loop.every(Interval, [this]() { this->sendRequests(); }));
  });
  this->runAfter(StartUpPeriod, [this]() { this->injectFault(); });
}

bool Soak::isOver() const {
  return this->FaultsEnded &&
         this->Loop.now() > *this->FaultsEnded + RecoveryPeriod;
}

void Soak::measureMemory() {
  for (const auto &Each : this->Nodes)
    if (Each->Process) {
      auto &Peak = this->Observations.PeakMemory[Each->Index];
      Peak = std::max(Peak, Each->Process->residentBytes());
    }
}

void Soak::checkLag() {
  auto Now = this->Loop.now();
  // The harness records events late if its event loop stalls.
  if (Now - this->LastLagCheck > LagLimit) {
    this->Observations.Disturbances.push_back(
        {std::nullopt, Disturbance::Kind::Unplanned, this->LastLagCheck, Now});
    this->logEvent("event loop of the harness stalled");
  }
  this->LastLagCheck = Now;
  if (this->isOver())
    this->Loop.stop();
}

void Soak::restartEndedProcesses() {
  for (auto &Each : this->Nodes) {
    auto Status = Each->Process ? Each->Process->status() : std::nullopt;
    if (Status) {
      if (!Each->Stopping)
        this->HarnessFindings.push_back(
            {"no process ends by itself",
             Each->Name + " ended with " + std::to_string(*Status)});
      this->logEvent(Each->Name + " ended with " + std::to_string(*Status));
      Each->Process.reset();
      this->runAfter(this->randomSpan(200, 1200), [this, &N = *Each]() {
        this->logEvent(N.Name + " restarts");
        this->startProcess(N, false);
        this->recordDisturbance(N.Index, Disturbance::Kind::Unplanned,
                                Milliseconds(0));
      });
    }
    if (Each->Target && Each->Target->hasExited()) {
      this->endTarget(*Each);
      this->runAfter(AddressReuseDelay + this->randomSpan(100, 1000),
                     [this, &N = *Each]() { this->startTarget(N); });
    }
  }
}

void Soak::publishPolicy(bool Reassigns) {
  if (Reassigns)
    this->ReassignedService = (this->ReassignedService + 1) % Services.size();
  this->PolicyVersion += 1 + this->randomBelow(5);
  std::ostringstream Text;
  Text << std::hex << std::setw(8) << std::setfill('0') << this->PolicyVersion;
  nlohmann::json Policy = {{"version", Text.str()},
                           {"limits",
                            {{"max-header-bytes", 16384},
                             {"max-body-bytes", 1048576},
                             {"header-timeout", "3000ms"},
                             {"idle-timeout", "15000ms"}}}};
  for (const auto &Route : Routes) {
    const auto *Service = Route.Service != nullptr
                              ? Route.Service
                              : Services[this->ReassignedService].c_str();
    auto Timeout = std::to_string(Route.TimeoutMillis) + "ms";
    Policy["routes"][std::string("r") + Route.Path[1]] = {
        {"host", wire::Host},
        {"path-prefix", Route.Path},
        {"route-kind", Route.Idempotent ? "safe" : "unsafe"},
        {"timeout", Timeout},
        {"target-latency", "1000ms"},
        {"priority", Route.Priority},
        {"service", Service},
        {"max-attempts", this->Config.MaxAttempts},
        {"public", Route.IsOpen}};
  }
  for (const auto &[Name, Values] : this->Keys)
    Policy["tenants"][Name] = {{"api-keys", Values}};
  for (const auto &Service : Services)
    Policy["services"][Service] = {{"health-check-path", "/health"},
                                   {"max-connections", 500}};
  this->LastPolicy = Policy;
  this->ObjectStore->write("config", "main", Policy);
  this->Observations.PolicyVersions.emplace_back(
      Services[this->ReassignedService], this->Loop.now());
}

void Soak::addKey(const std::string &Organisation,
                  std::optional<TimePoint> Added) {
  auto Key = "key-" + std::to_string(++this->LastKey);
  this->Keys[Organisation].push_back(Key);
  this->Observations.Keys[Key] = {Organisation, Added, std::nullopt};
}

void Soak::replaceKey(const std::string &Organisation) {
  auto &Values = this->Keys[Organisation];
  auto Now = this->Loop.now();
  this->Observations.Keys[Values.front()].Removed = Now;
  Values.erase(Values.begin());
  this->addKey(Organisation, Now);
}

std::string Soak::chooseKey() {
  // One client in sixteen each sends no key, one that never existed, or any
  // that ever did.
  switch (this->randomBelow(16)) {
  case 0:
    return "";
  case 1:
    return "no-key";
  case 2:
    return "key-" + std::to_string(1 + this->randomBelow(this->LastKey));
  default:
    const auto &Values =
        this->Keys[Organisations[this->randomBelow(Organisations.size())]];
    return Values[this->randomBelow(Values.size())];
  }
}

bool Soak::acceptsRequests() const {
  // New requests stop early so that the open ones can end.
  return !this->FaultsEnded || this->Loop.now() <= *this->FaultsEnded +
                                                       RecoveryPeriod -
                                                       FinalAnswerPeriod;
}

void Soak::sendRequests() {
  if (!this->acceptsRequests())
    return;
  auto Count = this->Loop.now() < this->BurstUntil ? BurstFactor : 1;
  for (unsigned I = 0; I < Count; ++I)
    this->send(*this->Nodes[this->randomBelow(this->Nodes.size())]);
}

void Soak::send(Node &Entry) {
  static constexpr std::array<std::size_t, 9> Mix = {0, 0, 0, 1, 1, 1, 3, 3, 4};
  this->send(Entry, Mix[this->randomBelow(Mix.size())], "", ClientRepeats);
}

void Soak::sendCrashing(std::size_t Route, const std::string &Content) {
  if (!this->acceptsRequests())
    return;
  this->send(*this->Nodes[this->randomBelow(this->Nodes.size())], Route,
             Content, 0);
  this->runAfter(this->randomSpan(200, 2000), [this, Route, Content]() {
    this->sendCrashing(Route, Content);
  });
}

void Soak::send(Node &Entry, std::size_t RouteIndex, std::string Content,
                unsigned Repeats) {
  const auto &Route = Routes[RouteIndex];
  RequestRecord Record;
  Record.Id = "q" + std::to_string(++this->LastRequest);
  Record.Content = Content.empty() ? Record.Id : std::move(Content);
  Record.CrashesTargets =
      Record.Content.compare(0, CrashingContent.size(), CrashingContent) == 0;
  Record.Route = Route.Path;
  Record.Entry = Entry.Index;
  Record.Idempotent = Route.Idempotent;
  Record.Sent = this->Loop.now();
  Record.Deadline = Record.Sent + Milliseconds(Route.TimeoutMillis);
  Record.Key = this->chooseKey();
  Record.IsOpen = Route.IsOpen;
  this->Observations.Requests[Record.Id] = Record;
  HttpCall Call;
  Call.Method = Route.Idempotent ? "GET" : "POST";
  Call.Path = Record.Route + Record.Content;
  Call.Body = Route.Idempotent ? "" : Record.Content;
  Call.Headers = {{"Host", wire::Host},
                  {wire::RequestId, Record.Id},
                  {wire::Organisation, wire::ForgedOrganisation},
                  {wire::TimeLeft, "4000"}};
  if (!Record.Key.empty())
    Call.Headers.emplace_back(wire::Key, Record.Key);
  Call.Timeout = Milliseconds(4000);
  auto Ticket =
      Entry.Client->send(Call, [this, RouteIndex, Repeats,
                                Key = Record.Id](const HttpResponse &Response) {
        auto &Record = this->Observations.Requests[Key];
        Record.Ended = this->Loop.now();
        Record.Status =
            Response.Outcome == HttpOutcome::Answered ? Response.Status : 0;
        Record.ConnectionLost = Response.Outcome == HttpOutcome::Broken;
        if (Record.Status == 200)
          Record.AnswerMatches = Response.header(wire::Receipt) ==
                                 wire::receipt(Key, Response.Body);
        Record.RefusedAsCrashing =
            Response.Body.text().find(CrashingReason) != std::string::npos;
        bool MayRepeat = Record.Idempotent || Record.Status == 503;
        if (Record.Status == 200 || Repeats == 0 || !MayRepeat ||
            !this->acceptsRequests())
          return;
        auto Content = Record.Content;
        this->runAfter(this->randomSpan(1, 400), [=]() {
          this->send(*this->Nodes[this->randomBelow(this->Nodes.size())],
                     RouteIndex, Content, Repeats - 1);
        });
      });
  if (Record.CrashesTargets || this->randomBelow(AbandonOneIn) != 0)
    return;
  this->runAfter(this->randomSpan(10, 300),
                 [this, Ticket, &Entry, Key = Record.Id]() {
                   auto &Record = this->Observations.Requests[Key];
                   if (Record.Ended)
                     return;
                   Record.Abandoned = this->Loop.now();
                   Entry.Client->cancel(Ticket);
                 });
}

void Soak::injectFault() {
  if (this->Loop.now() - this->Started >
      StartUpPeriod + this->Config.FaultDuration) {
    for (auto &Each : this->Nodes) {
      Each->LinkRelay->block(bench::Relay::Direction::None);
      Each->StoreRelay->block(bench::Relay::Direction::None);
      Each->TargetRelay->block(bench::Relay::Direction::None);
      if (std::exchange(Each->IsPaused, false) && Each->Process)
        Each->Process->signal(SIGCONT);
    }
    this->ObjectStore->setFailureMode(Store::FailureMode::Healthy);
    this->logEvent("faults ended");
    this->FaultsEnded = this->Loop.now();
    return;
  }
  unsigned Sum = 0;
  auto IsPlayed = [this](const FaultKind &Kind) {
    const auto &Names = this->Config.OnlyFaults;
    return Names.empty() ||
           std::find(Names.begin(), Names.end(), Kind.Name) != Names.end();
  };
  for (const auto &Kind : FaultKinds)
    Sum += IsPlayed(Kind) ? Kind.Weight : 0;
  auto Remaining = this->randomBelow(Sum);
  for (const auto &Kind : FaultKinds) {
    if (!IsPlayed(Kind))
      continue;
    if (Remaining >= Kind.Weight) {
      Remaining -= Kind.Weight;
      continue;
    }
    auto &N = *this->Nodes[this->randomBelow(this->Nodes.size())];
    this->logEvent(std::string(Kind.Name) + " " + N.Name);
    ++this->FaultCounts[Kind.Name];
    if (Kind.Inject != &Soak::sendEndlessly)
      this->Observations.OtherFaults.push_back(this->Loop.now());
    (this->*Kind.Inject)(N);
    break;
  }
  // Some faults follow closely; others leave time for the promises to hold
  // again.
  auto Quick = this->randomBelow(3) != 0;
  this->runAfter(Quick ? this->randomSpan(50, 700)
                       : this->randomSpan(1000, 4500),
                 [this]() { this->injectFault(); });
}

void Soak::kill(Node &N) {
  if (!N.Process)
    return;
  N.Stopping = true;
  N.Process->signal(SIGKILL);
  this->recordDisturbance(N.Index, Disturbance::Kind::Unplanned,
                          Milliseconds(50));
}

void Soak::killMany(Node & /*N*/) {
  for (auto &Each : this->Nodes)
    if (this->randomBelow(3) != 0)
      this->kill(*Each);
}

void Soak::pause(Node &N) {
  if (!N.Process || N.IsPaused)
    return;
  auto Span = this->randomSpan(200, 3500);
  N.IsPaused = true;
  N.Process->signal(SIGSTOP);
  this->recordDisturbance(N.Index, Disturbance::Kind::Unplanned, Span);
  this->runAfter(Span, [&N]() {
    if (std::exchange(N.IsPaused, false) && N.Process)
      N.Process->signal(SIGCONT);
  });
}

void Soak::terminate(Node &N) {
  if (!N.Process || N.Stopping)
    return;
  N.Stopping = true;
  N.Process->signal(SIGTERM);
  this->recordDisturbance(N.Index, Disturbance::Kind::Planned,
                          Milliseconds(6500));
}

void Soak::reload(Node &N) {
  if (N.Process)
    N.Process->signal(SIGHUP);
}

void Soak::crashTarget(Node &N) {
  if (!N.Target)
    return;
  this->endTarget(N);
  this->recordDisturbance(N.Index, Disturbance::Kind::Target, Milliseconds(0));
  // The next target reuses the address before or after the node detects the
  // crash.
  this->runAfter(AddressReuseDelay + this->randomSpan(0, 2000),
                 [this, &N]() { this->startTarget(N); });
}

void Soak::crashByRequest(Node & /*N*/) {
  this->sendCrashing(this->randomBelow(Routes.size()),
                     CrashingContent +
                         std::to_string(++this->LastCrashingContent));
}

void Soak::drainTarget(Node &N) {
  if (N.Target)
    N.Target->leave(false);
}

void Soak::withdrawTarget(Node &N) {
  if (N.Target)
    N.Target->leave(true);
}

void Soak::drainAfterNotice(Node &N) {
  if (N.Target)
    N.Target->leaveAfterNotice(this->randomSpan(500, 5000));
}

void Soak::nameRate(Node &N) {
  if (N.Target)
    N.Target->nameRate(static_cast<double>(this->randomBelow(60)) / 10,
                       this->randomSpan(4000, 15000));
}

void Soak::drainService(Node &N) {
  for (auto &Each : this->Nodes)
    if (Each->Service == N.Service && Each->Target)
      Each->Target->leave(false);
}

void Soak::stallTarget(Node &N) {
  if (N.Target)
    N.Target->stall(this->randomSpan(500, 2500));
}

void Soak::copyAnswers(Node &N) {
  static constexpr std::array<AnswerStyle, 3> Styles = {
      AnswerStyle::CopiedAtOnce, AnswerStyle::CopiedLater,
      AnswerStyle::CopiedBeforeNext};
  this->spoilAnswers(N, Styles[this->randomBelow(Styles.size())]);
}

void Soak::delayAnswers(Node &N) {
  static constexpr std::array<AnswerStyle, 2> Styles = {AnswerStyle::Late,
                                                        AnswerStyle::InHalves};
  this->spoilAnswers(N, Styles[this->randomBelow(Styles.size())]);
}

void Soak::breakAnswers(Node &N) {
  static constexpr std::array<AnswerStyle, 5> Styles = {
      AnswerStyle::CutInHalf, AnswerStyle::Lost, AnswerStyle::Closed,
      AnswerStyle::WithoutLength, AnswerStyle::BeforeNoise};
  this->spoilAnswers(N, Styles[this->randomBelow(Styles.size())]);
}

void Soak::spoilAnswers(Node &N, AnswerStyle Style) {
  auto Share = this->randomShare();
  auto Span = this->randomSpan(1000, 5000);
  for (auto *Each : this->selectNodes(N))
    Each->Target->spoilAnswers(Style, Share, Span);
}

std::vector<Soak::Node *> Soak::selectNodes(Node &N) {
  bool IsOfService = this->randomBelow(2) == 0;
  std::vector<Node *> Selected;
  for (auto &Each : this->Nodes)
    if (Each->Target &&
        (Each.get() == &N || (IsOfService && Each->Service == N.Service)))
      Selected.push_back(Each.get());
  return Selected;
}

void Soak::sendEndlessly(Node &N) {
  // Always of the same service, and not of the first, whose routes are judged.
  const auto &Service = Services[1 + this->Config.Seed % 2];
  auto *Chosen = &N;
  while (Chosen->Service != Service)
    Chosen = this->Nodes[(Chosen->Index + 1) % this->Nodes.size()].get();
  bool IsSlow = this->randomBelow(4) == 0;
  auto Share = (1 + this->randomShare()) / 2;
  auto Span = this->randomSpan(1000, 5000);
  for (auto *Each : this->selectNodes(*Chosen))
    Each->Target->spoilEndlessly(IsSlow, Share, Span);
  this->logEvent("of service " + Service + (IsSlow ? ", slow" : ""));
  auto Now = this->Loop.now();
  this->Observations.EndlessAnswers.push_back({Service, Now, Now + Span});
}

double Soak::randomShare() {
  return static_cast<double>(1 + this->randomBelow(10)) / 10;
}

void Soak::shedRequests(Node &N) {
  auto Share = this->randomShare();
  auto Span = this->randomSpan(1000, 5000);
  for (auto &Each : this->Nodes)
    if (Each->Service == N.Service && Each->Target)
      Each->Target->shed(Share, Span);
}

void Soak::failUnmarked(Node &N) {
  if (N.Target)
    N.Target->failUnmarked(this->randomShare(), this->randomSpan(1000, 5000));
}

void Soak::burst(Node & /*N*/) {
  this->BurstUntil = this->Loop.now() + this->randomSpan(500, 3000);
}

void Soak::reassignRoute(Node & /*N*/) { this->publishPolicy(true); }

void Soak::publishPolicyBurst(Node & /*N*/) {
  for (unsigned I = 0; I < 4; ++I)
    this->runAfter(this->randomSpan(0, 800),
                   [this]() { this->publishPolicy(true); });
}

void Soak::changeKeys(Node &N) {
  for (unsigned I = 0; I < 3; ++I)
    this->runAfter(this->randomSpan(0, 1500), [this]() {
      this->replaceKey(Organisations[this->randomBelow(Organisations.size())]);
      this->publishPolicy(false);
    });
  if (this->randomBelow(2) == 0)
    this->runAfter(this->randomSpan(0, 1500),
                   [this, &N]() { this->terminate(N); });
}

void Soak::failStore(Node & /*N*/) {
  static constexpr std::array<Store::FailureMode, 4> Modes = {
      Store::FailureMode::Refusing, Store::FailureMode::Unresponsive,
      Store::FailureMode::DroppingReplies, Store::FailureMode::Slow};
  auto Span = this->randomSpan(300, 4000);
  this->ObjectStore->setFailureMode(Modes[this->randomBelow(Modes.size())]);
  this->recordDisturbance(std::nullopt, Disturbance::Kind::Store, Span);
  this->runAfter(Span, [this]() {
    this->ObjectStore->setFailureMode(Store::FailureMode::Healthy);
  });
}

void Soak::discardHistory(Node & /*N*/) { this->ObjectStore->discardHistory(); }

void Soak::restoreStore(Node & /*N*/) {
  auto Outage = this->randomSpan(50, 1500);
  auto Rewrite = Outage + this->randomSpan(50, 1500);
  this->ObjectStore->setFailureMode(Store::FailureMode::Refusing);
  this->recordDisturbance(std::nullopt, Disturbance::Kind::Store, Rewrite);
  auto Age = this->randomSpan(200, 5000);
  this->runAfter(Outage, [this, Age]() {
    this->ObjectStore->setFailureMode(Store::FailureMode::Healthy);
    this->ObjectStore->restore(Age);
  });
  // The operator notices the loss and writes the policy again.
  this->runAfter(Rewrite, [this]() {
    this->ObjectStore->write("config", "main", this->LastPolicy);
  });
}

bench::Relay &Soak::selectRelay(Node &N, Milliseconds Span) {
  switch (this->randomBelow(4)) {
  case 0:
    this->recordDisturbance(N.Index, Disturbance::Kind::Unplanned, Span);
    return *N.TargetRelay;
  case 1:
    this->recordDisturbance(N.Index, Disturbance::Kind::Unplanned, Span);
    return *N.StoreRelay;
  default:
    // A fault on its links affects the nodes at both ends.
    this->recordDisturbance(std::nullopt, Disturbance::Kind::Unplanned, Span);
    return *N.LinkRelay;
  }
}

void Soak::silenceLinks(Node &N) {
  this->selectRelay(N, Milliseconds(0)).cutSilently();
}

void Soak::blockLinks(Node &N) {
  auto Span = this->randomSpan(100, 4000);
  auto &Relay = this->selectRelay(N, Span);
  static constexpr std::array<bench::Relay::Direction, 3> Directions = {
      bench::Relay::Direction::Both, bench::Relay::Direction::ToServer,
      bench::Relay::Direction::ToClient};
  Relay.block(Directions[this->randomBelow(Directions.size())]);
  this->runAfter(Span,
                 [&Relay]() { Relay.block(bench::Relay::Direction::None); });
}

void Soak::resetLinks(Node &N) {
  this->selectRelay(N, Milliseconds(0)).reset();
}

void Soak::delayLinks(Node &N) {
  auto Span = this->randomSpan(500, 3000);
  auto &Relay = this->selectRelay(N, Span);
  Relay.delay(this->randomSpan(20, 300));
  this->runAfter(Span, [&Relay]() { Relay.delay(Milliseconds(0)); });
}

std::vector<Witness::Finding> Soak::check() const {
  auto Found = this->HarnessFindings;
  auto Broken = this->Observations.check(this->Loop.now());
  Found.insert(Found.end(), Broken.begin(), Broken.end());
  // Requests must be served again after the settling period.
  unsigned Sent = 0;
  unsigned Served = 0;
  auto Start = this->FaultsEnded.value_or(this->Started) + SettlingPeriod;
  for (const auto &[Id, Record] : this->Observations.Requests) {
    if (Record.Sent < Start || Record.IsCall || Record.Abandoned ||
        Record.CrashesTargets)
      continue;
    ++Sent;
    Served += Record.Status == 200 ? 1 : 0;
  }
  if (Served * 4 < Sent || Sent == 0)
    Found.push_back({"service recovers", std::to_string(Served) + " of " +
                                             std::to_string(Sent) +
                                             " served at the end"});
  return Found;
}

std::string Soak::summary() const {
  std::ostringstream Text;
  std::map<std::string, unsigned> Outcomes;
  for (const auto &[Id, Record] : this->Observations.Requests)
    if (!Record.IsCall)
      ++Outcomes[Record.CrashesTargets
                     ? "crashing " + std::to_string(Record.Status)
                 : Record.Abandoned      ? "left"
                 : Record.Status != 0    ? std::to_string(Record.Status)
                 : Record.ConnectionLost ? "cut"
                 : Record.Ended          ? "no connection"
                                         : "open"];
  for (const auto &Line : this->Events)
    Text << "  " << Line << "\n";
  Text << "faults:";
  for (const auto &[Name, Count] : this->FaultCounts)
    Text << " " << Name << " " << Count << ";";
  Text << "\nrequests:";
  for (const auto &[Name, Count] : Outcomes)
    Text << " " << Name << " " << Count << ";";
  Text << " runs " << this->Observations.Runs.size() << "; versions "
       << this->Observations.PolicyVersions.size() << "; acknowledged leaves "
       << this->Observations.LeaveAcks.size() << "; store calls "
       << this->ObjectStore->calls() << "; judged beside endless answers "
       << this->Observations.soundBesideEndless(this->Loop.now()).size()
       << "; peak memory in MB:";
  for (const auto &[Node, Bytes] : this->Observations.PeakMemory)
    Text << " " << Bytes / 1'000'000;
  Text << "\n";
  return Text.str();
}

} // namespace limpetdrum::soak
