#include "Soak.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iomanip>
#include <sstream>

namespace limpetdrum::soak {

namespace {

constexpr std::uint32_t Loopback = 0x7f000001;
constexpr std::uint16_t PortsPerNode = 12;
// Ports of a node, from its first.
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
constexpr Milliseconds StartUp{3000};     ///< before the first fault
constexpr Milliseconds CalmEnd{8000};     ///< after the last one
constexpr Milliseconds LastAnswers{2500}; ///< of it, without new requests
/// Of the calm end, before requests have to be served again.
constexpr Milliseconds Settling{2000};
constexpr Milliseconds LagLimit{150}; ///< of the harness's own loop
constexpr Milliseconds BeatPeriod{20};
constexpr Milliseconds ReuseAfter{2000};
/// One in so many clients leaves early.
constexpr std::uint64_t LeavesEarly = 12;

struct RouteSpec {
  const char *Path;
  const char *Service; ///< nullptr: the one that it is moved to
  bool Idempotent;
  unsigned TimeoutMillis;
  unsigned Priority;
};
const std::vector<RouteSpec> Routes = {
    {"/read/", "a", true, 2000, 2},
    {"/order/", "b", false, 2500, 0},
    {"/lookup/", "c", true, 1500, 1},
    {"/move/", nullptr, true, 2000, 2},
};

std::vector<std::string> servicesOf(unsigned Nodes) {
  std::vector<std::string> Of;
  for (unsigned I = 0; I < Nodes; ++I)
    Of.push_back(Services[I % Services.size()]);
  return Of;
}

} // namespace

struct Soak::Node {
  std::size_t Index = 0;
  std::string Name;
  std::string Zone;
  std::string Service;
  std::unique_ptr<bench::Process> Running;
  bool Stops = false; ///< a signal of ours ends it
  bool IsPaused = false;
  unsigned Lives = 0; ///< of its target
  std::unique_ptr<soak::Target> Target;
  std::unique_ptr<bench::Relay> Link;
  std::unique_ptr<bench::Relay> ToStore;
  std::unique_ptr<bench::Relay> ToTarget;
  std::unique_ptr<HttpClient> Client;
};

const std::vector<Soak::FaultKind> Soak::FaultKinds = {
    {"kill", &Soak::kill, 3},
    {"kill many", &Soak::killMany, 1},
    {"pause", &Soak::pause, 3},
    {"terminate", &Soak::terminate, 4},
    {"reload", &Soak::reload, 2},
    {"crash target", &Soak::crashTarget, 2},
    {"drain target", &Soak::drainTarget, 4},
    {"withdraw target", &Soak::withdrawTarget, 2},
    {"drain service", &Soak::drainService, 2},
    {"stall target", &Soak::stallTarget, 2},
    {"move policy", &Soak::movePolicy, 3},
    {"storm policy", &Soak::stormPolicy, 1},
    {"store mood", &Soak::storeMood, 3},
    {"forget history", &Soak::forgetHistory, 1},
    {"silence links", &Soak::silenceLinks, 2},
    {"block links", &Soak::blockLinks, 3},
    {"reset links", &Soak::resetLinks, 2},
    {"delay links", &Soak::delayLinks, 2},
};

Soak::Soak(EventLoop &Loop, Options Chosen)
    : Loop(Loop), Chosen(std::move(Chosen)), Random(this->Chosen.Seed),
      Started(Loop.now()), LastBeat(this->Started),
      Seen({}, servicesOf(this->Chosen.Nodes)) {
  this->Objects =
      std::make_unique<Store>(Loop, Endpoint{Loopback, this->Chosen.FirstPort});
  for (const auto &Route : Routes)
    this->Seen.AllowedServices[Route.Path] =
        Route.Service != nullptr
            ? std::set<std::string>{Route.Service}
            : std::set<std::string>(Services.begin(), Services.end());
  this->Seen.MovingRoute = "/move/";
}

Soak::~Soak() = default;

Endpoint Soak::at(const Node &Of, std::uint16_t Offset) const {
  return {Loopback,
          static_cast<std::uint16_t>(this->Chosen.FirstPort +
                                     PortsPerNode * (Of.Index + 1) + Offset)};
}

std::uint64_t Soak::pick(std::uint64_t Below) {
  return std::uniform_int_distribution<std::uint64_t>(0,
                                                      Below - 1)(this->Random);
}

Milliseconds Soak::span(unsigned Least, unsigned Most) {
  return Milliseconds(Least + this->pick(Most - Least + 1));
}

void Soak::later(Milliseconds Delay, std::function<void()> Action) {
  this->Once.push_back(this->Loop.after(Delay, std::move(Action)));
}

void Soak::say(const std::string &What) {
  std::ostringstream Line;
  Line
      << std::fixed << std::setprecision(3)
      << std::chrono::duration<double>(this->Loop.now() - this->Started).count()
      << " " << What;
  this->Events.push_back(Line.str());
}

void Soak::disturb(std::optional<std::size_t> Node, Disturbance::Kind What,
                   Milliseconds Span) {
  auto Now = this->Loop.now();
  this->Seen.Disturbances.push_back({Node, What, Now, Now + Span});
}

void Soak::startProcess(Node &Of, bool FirstStart) {
  auto File = this->Chosen.Folder + "/" + Of.Name + ".yaml";
  std::ofstream Out(File);
  Out << "node: " << Of.Name << "\nregion: r\nfailure-domain: " << Of.Zone
      << "\nservice: " << Of.Service
      << "\ntarget: " << toString(this->at(Of, TargetRelayPort))
      << "\nfirst-start: " << (FirstStart ? "true" : "false")
      << "\nlisten:\n  outbound: " << toString(this->at(Of, OutboundPort))
      << "\n  readiness: " << toString(this->at(Of, ReadinessPort))
      << "\n  reports: " << toString(this->at(Of, ReportsPort))
      << "\n  link: " << toString(this->at(Of, LinkPort))
      << "\n  advertised-link: " << toString(this->at(Of, LinkRelayPort))
      << "\n  metrics: " << toString(this->at(Of, MetricsPort))
      << "\nstore: " << toString(this->at(Of, StoreRelayPort))
      << "\ndrain-timeout: 2s\nexit-limit: 6s\n"
      << "repeats: {ratio: 0.2, slack: 20, window: 10s}\n";
  Out.close();
  Of.Stops = false;
  Of.IsPaused = false;
  Of.Running = std::make_unique<bench::Process>(
      std::vector<std::string>{this->Chosen.Program, "--settings=" + File},
      this->Chosen.Folder + "/" + Of.Name + ".log");
  this->Seen.Starts[Of.Index].push_back(this->Loop.now());
}

void Soak::startTarget(Node &Of) {
  TargetPlace Place;
  Place.Node = Of.Index;
  Place.Service = Of.Service;
  Place.Zone = Of.Zone;
  Place.Listen = this->at(Of, TargetPort);
  Place.Announced = this->at(Of, TargetRelayPort);
  Place.Reports = this->at(Of, ReportsPort);
  Place.Outbound = this->at(Of, OutboundPort);
  Of.Target = std::make_unique<soak::Target>(
      this->Loop, Place, "t" + Of.Name + "-" + std::to_string(++Of.Lives),
      this->Seen, this->Random());
}

void Soak::start() {
  this->writePolicy(false);
  for (std::size_t I = 0; I < this->Chosen.Nodes; ++I) {
    auto Of = std::make_unique<Node>();
    Of->Index = I;
    Of->Name = "n" + std::to_string(I);
    Of->Zone = std::string(1, static_cast<char>('x' + I / 3 % 3));
    Of->Service = Services[I % Services.size()];
    auto Relay = [&](std::uint16_t From, Endpoint Behind) {
      return std::make_unique<bench::Relay>(this->Loop, this->at(*Of, From),
                                            Behind);
    };
    Of->Link = Relay(LinkRelayPort, this->at(*Of, LinkPort));
    Of->ToStore =
        Relay(StoreRelayPort, Endpoint{Loopback, this->Chosen.FirstPort});
    Of->ToTarget = Relay(TargetRelayPort, this->at(*Of, TargetPort));
    Of->Client =
        std::make_unique<HttpClient>(this->Loop, this->at(*Of, OutboundPort));
    this->startProcess(*Of, true);
    this->startTarget(*Of);
    this->Nodes.push_back(std::move(Of));
  }
  this->disturb(std::nullopt, Disturbance::Kind::Unplanned, Milliseconds(0));
  this->Timers.push_back(
      this->Loop.every(Milliseconds(10), [this]() { this->watchProcesses(); }));
  this->Timers.push_back(
      this->Loop.every(BeatPeriod, [this]() { this->watchLag(); }));
  this->later(StartUp / 2, [this]() {
    auto Gap = Microseconds(static_cast<std::int64_t>(
        1e6 / (this->Chosen.RequestsPerNode *
               static_cast<double>(this->Chosen.Nodes))));
    this->Timers.push_back(
        this->Loop.every(Gap, [this]() { this->sendRequests(); }));
  });
  this->later(StartUp, [this]() { this->harm(); });
}

bool Soak::isOver() const {
  return this->Calm && this->Loop.now() > *this->Calm + CalmEnd;
}

void Soak::watchLag() {
  auto Now = this->Loop.now();
  // A harness that was held up has seen things late.
  if (Now - this->LastBeat > LagLimit) {
    this->Seen.Disturbances.push_back(
        {std::nullopt, Disturbance::Kind::Unplanned, this->LastBeat, Now});
    this->say("the harness was held up");
  }
  this->LastBeat = Now;
  if (this->isOver())
    this->Loop.stop();
}

void Soak::watchProcesses() {
  for (auto &Of : this->Nodes) {
    auto Status = Of->Running ? Of->Running->status() : std::nullopt;
    if (Status) {
      if (!Of->Stops)
        this->Own.push_back(
            {"no process ends by itself",
             Of->Name + " ended with " + std::to_string(*Status)});
      this->say(Of->Name + " ended with " + std::to_string(*Status));
      Of->Running.reset();
      this->later(this->span(200, 1200), [this, &N = *Of]() {
        this->say(N.Name + " starts again");
        this->startProcess(N, false);
        this->disturb(N.Index, Disturbance::Kind::Unplanned, Milliseconds(0));
      });
    }
    if (Of->Target && Of->Target->hasLeft()) {
      Of->Target.reset();
      this->later(ReuseAfter + this->span(100, 1000),
                  [this, &N = *Of]() { this->startTarget(N); });
    }
  }
}

void Soak::writePolicy(bool Moves) {
  if (Moves)
    this->MovedTo = (this->MovedTo + 1) % Services.size();
  this->Version += 1 + this->pick(5);
  std::ostringstream Text;
  Text << std::hex << std::setw(8) << std::setfill('0') << this->Version;
  nlohmann::json Policy = {{"version", Text.str()},
                           {"limits",
                            {{"max-header-bytes", 16384},
                             {"max-body-bytes", 1048576},
                             {"header-timeout", "3000ms"},
                             {"idle-timeout", "15000ms"}}}};
  for (const auto &Route : Routes) {
    const auto *Service = Route.Service != nullptr
                              ? Route.Service
                              : Services[this->MovedTo].c_str();
    auto Timeout = std::to_string(Route.TimeoutMillis) + "ms";
    Policy["routes"][std::string("r") + Route.Path[1]] = {
        {"host", wire::Host},
        {"path-prefix", Route.Path},
        {"route-kind", Route.Idempotent ? "safe" : "unsafe"},
        {"timeout", Timeout},
        {"target-latency", "1000ms"},
        {"priority", Route.Priority},
        {"service", Service},
        {"max-attempts", 2}};
  }
  for (const auto &Service : Services)
    Policy["services"][Service] = {{"health-check-path", "/health"},
                                   {"max-connections", 500}};
  this->Objects->write("config", "main", Policy);
  this->Seen.Moves.emplace_back(Services[this->MovedTo], this->Loop.now());
}

void Soak::sendRequests() {
  // The last ones have time to end.
  if (this->Calm && this->Loop.now() > *this->Calm + CalmEnd - LastAnswers)
    return;
  this->send(*this->Nodes[this->pick(this->Nodes.size())]);
}

void Soak::send(Node &Entry) {
  static constexpr std::array<std::size_t, 8> Mix = {0, 0, 0, 1, 1, 1, 3, 3};
  const auto &Route = Routes[Mix[this->pick(Mix.size())]];
  SeenRequest Asked;
  Asked.Id = "q" + std::to_string(++this->LastRequest);
  Asked.Route = Route.Path;
  Asked.Entry = Entry.Index;
  Asked.Idempotent = Route.Idempotent;
  Asked.Sent = this->Loop.now();
  Asked.Deadline = Asked.Sent + Milliseconds(Route.TimeoutMillis);
  this->Seen.Requests[Asked.Id] = Asked;
  HttpCall Call;
  Call.Method = Route.Idempotent ? "GET" : "POST";
  Call.Path = Asked.Route + Asked.Id;
  Call.Body = Route.Idempotent ? "" : Asked.Id;
  Call.Headers = {{"Host", wire::Host},
                  {wire::RequestId, Asked.Id},
                  {wire::TimeLeft, "4000"}};
  Call.Timeout = Milliseconds(4000);
  auto Ticket =
      Entry.Client->send(Call, [this, Key = Asked.Id](const HttpResponse &Got) {
        auto &Told = this->Seen.Requests[Key];
        Told.Ended = this->Loop.now();
        Told.Status = Got.Outcome == HttpOutcome::Answered ? Got.Status : 0;
        Told.Cut = Got.Outcome == HttpOutcome::Broken;
        if (Told.Status == 200)
          Told.OwnAnswer =
              Got.header(wire::Receipt) == wire::receipt(Key, Got.Body);
      });
  if (this->pick(LeavesEarly) != 0)
    return;
  this->later(this->span(10, 300), [this, Ticket, &Entry, Key = Asked.Id]() {
    auto &Told = this->Seen.Requests[Key];
    if (Told.Ended)
      return;
    Told.Left = this->Loop.now();
    Entry.Client->cancel(Ticket);
  });
}

void Soak::harm() {
  if (this->Loop.now() - this->Started > StartUp + this->Chosen.Length) {
    for (auto &Of : this->Nodes) {
      Of->Link->block(bench::Relay::Way::None);
      Of->ToStore->block(bench::Relay::Way::None);
      Of->ToTarget->block(bench::Relay::Way::None);
      if (std::exchange(Of->IsPaused, false) && Of->Running)
        Of->Running->signal(SIGCONT);
    }
    this->Objects->setMood(Store::Mood::Sound);
    this->say("calm from here");
    this->Calm = this->Loop.now();
    return;
  }
  unsigned Sum = 0;
  for (const auto &Kind : FaultKinds)
    Sum += Kind.Weight;
  auto Left = this->pick(Sum);
  for (const auto &Kind : FaultKinds) {
    if (Left >= Kind.Weight) {
      Left -= Kind.Weight;
      continue;
    }
    auto &Of = *this->Nodes[this->pick(this->Nodes.size())];
    this->say(std::string(Kind.Name) + " " + Of.Name);
    ++this->Done[Kind.Name];
    (this->*Kind.Act)(Of);
    break;
  }
  // Some follow at once, some leave time for the rules to hold again.
  auto Quick = this->pick(3) != 0;
  this->later(Quick ? this->span(50, 700) : this->span(1000, 4500),
              [this]() { this->harm(); });
}

void Soak::kill(Node &Of) {
  if (!Of.Running)
    return;
  Of.Stops = true;
  Of.Running->signal(SIGKILL);
  this->disturb(Of.Index, Disturbance::Kind::Unplanned, Milliseconds(50));
}

void Soak::killMany(Node & /*Of*/) {
  for (auto &Each : this->Nodes)
    if (this->pick(3) != 0)
      this->kill(*Each);
}

void Soak::pause(Node &Of) {
  if (!Of.Running || Of.IsPaused)
    return;
  auto Span = this->span(200, 3500);
  Of.IsPaused = true;
  Of.Running->signal(SIGSTOP);
  this->disturb(Of.Index, Disturbance::Kind::Unplanned, Span);
  this->later(Span, [&Of]() {
    if (std::exchange(Of.IsPaused, false) && Of.Running)
      Of.Running->signal(SIGCONT);
  });
}

void Soak::terminate(Node &Of) {
  if (!Of.Running || Of.Stops)
    return;
  Of.Stops = true;
  Of.Running->signal(SIGTERM);
  this->disturb(Of.Index, Disturbance::Kind::Planned, Milliseconds(6500));
}

void Soak::reload(Node &Of) {
  if (Of.Running)
    Of.Running->signal(SIGHUP);
}

void Soak::crashTarget(Node &Of) {
  if (!Of.Target)
    return;
  Of.Target.reset();
  this->disturb(Of.Index, Disturbance::Kind::Target, Milliseconds(0));
  // Another one takes the address, sooner or later than the node can know.
  this->later(ReuseAfter + this->span(0, 2000),
              [this, &Of]() { this->startTarget(Of); });
}

void Soak::drainTarget(Node &Of) {
  if (Of.Target)
    Of.Target->leave(false);
}

void Soak::withdrawTarget(Node &Of) {
  if (Of.Target)
    Of.Target->leave(true);
}

void Soak::drainService(Node &Of) {
  for (auto &Each : this->Nodes)
    if (Each->Service == Of.Service && Each->Target)
      Each->Target->leave(false);
}

void Soak::stallTarget(Node &Of) {
  if (Of.Target)
    Of.Target->stall(this->span(500, 2500));
}

void Soak::movePolicy(Node & /*Of*/) { this->writePolicy(true); }

void Soak::stormPolicy(Node & /*Of*/) {
  for (unsigned I = 0; I < 4; ++I)
    this->later(this->span(0, 800), [this]() { this->writePolicy(true); });
}

void Soak::storeMood(Node & /*Of*/) {
  static constexpr std::array<Store::Mood, 4> Moods = {
      Store::Mood::Refusing, Store::Mood::Silent, Store::Mood::Losing,
      Store::Mood::Slow};
  auto Span = this->span(300, 4000);
  this->Objects->setMood(Moods[this->pick(Moods.size())]);
  this->disturb(std::nullopt, Disturbance::Kind::Store, Span);
  this->later(Span, [this]() { this->Objects->setMood(Store::Mood::Sound); });
}

void Soak::forgetHistory(Node & /*Of*/) { this->Objects->forgetHistory(); }

bench::Relay &Soak::chooseLink(Node &Of, Milliseconds Span) {
  switch (this->pick(4)) {
  case 0:
    this->disturb(Of.Index, Disturbance::Kind::Unplanned, Span);
    return *Of.ToTarget;
  case 1:
    this->disturb(Of.Index, Disturbance::Kind::Unplanned, Span);
    return *Of.ToStore;
  default:
    // The links to it belong to the nodes at both ends.
    this->disturb(std::nullopt, Disturbance::Kind::Unplanned, Span);
    return *Of.Link;
  }
}

void Soak::silenceLinks(Node &Of) {
  this->chooseLink(Of, Milliseconds(0)).cutSilently();
}

void Soak::blockLinks(Node &Of) {
  auto Span = this->span(100, 4000);
  auto &Which = this->chooseLink(Of, Span);
  static constexpr std::array<bench::Relay::Way, 3> Ways = {
      bench::Relay::Way::Both, bench::Relay::Way::ToBehind,
      bench::Relay::Way::FromBehind};
  Which.block(Ways[this->pick(Ways.size())]);
  this->later(Span, [&Which]() { Which.block(bench::Relay::Way::None); });
}

void Soak::resetLinks(Node &Of) {
  this->chooseLink(Of, Milliseconds(0)).reset();
}

void Soak::delayLinks(Node &Of) {
  auto Span = this->span(500, 3000);
  auto &Which = this->chooseLink(Of, Span);
  Which.delay(this->span(20, 300));
  this->later(Span, [&Which]() { Which.delay(Milliseconds(0)); });
}

std::vector<Witness::Finding> Soak::judge() const {
  auto Found = this->Own;
  auto Judged = this->Seen.judge(this->Loop.now());
  Found.insert(Found.end(), Judged.begin(), Judged.end());
  // The calm end: traffic is served again.
  unsigned Sent = 0;
  unsigned Served = 0;
  auto From = this->Calm.value_or(this->Started) + Settling;
  for (const auto &[Id, Asked] : this->Seen.Requests) {
    if (Asked.Sent < From || Asked.IsCall || Asked.Left)
      continue;
    ++Sent;
    Served += Asked.Status == 200 ? 1 : 0;
  }
  if (Served * 4 < Sent || Sent == 0)
    Found.push_back({"service recovers", std::to_string(Served) + " of " +
                                             std::to_string(Sent) +
                                             " served at the end"});
  return Found;
}

std::string Soak::summary() const {
  std::ostringstream Text;
  std::map<std::string, unsigned> Ends;
  for (const auto &[Id, Asked] : this->Seen.Requests)
    if (!Asked.IsCall)
      ++Ends[Asked.Left          ? "left"
             : Asked.Status != 0 ? std::to_string(Asked.Status)
             : Asked.Cut         ? "cut"
             : Asked.Ended       ? "no connection"
                                 : "open"];
  for (const auto &Line : this->Events)
    Text << "  " << Line << "\n";
  Text << "faults:";
  for (const auto &[Name, Count] : this->Done)
    Text << " " << Name << " " << Count << ";";
  Text << "\nrequests:";
  for (const auto &[Name, Count] : Ends)
    Text << " " << Name << " " << Count << ";";
  Text << " runs " << this->Seen.Runs.size() << "; versions "
       << this->Seen.Moves.size() << "; acknowledged leaves "
       << this->Seen.LeaveAcks.size() << "; store calls "
       << this->Objects->calls() << "\n";
  return Text.str();
}

} // namespace limpetdrum::soak
