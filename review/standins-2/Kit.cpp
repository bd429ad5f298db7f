#include "Kit.h"

#include <csignal>
#include <cstdlib>
#include <iomanip>
#include <sstream>
#include <sys/prctl.h>
#include <unistd.h>

namespace limpetdrum::review {

namespace {

const std::string Host = "orders.example";
constexpr unsigned Zones = 3;

std::int64_t unixMillis() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

Record::Record(EventLoop &Loop)
    : Loop(Loop), Started(Loop.now()), File("record.txt") {}

double Record::now() const {
  return std::chrono::duration<double>(this->Loop.now() - this->Started)
      .count();
}

void Record::add(const std::string &Line) {
  this->File << std::fixed << std::setprecision(3) << this->now() << " " << Line
             << std::endl;
}

Endpoint Machine::at(std::uint16_t Port) const {
  return parseEndpoint(this->Address + ":" + std::to_string(Port));
}

Upstream::Upstream(EventLoop &Loop, const Machine &Place, Options Config,
                   Record &Log, std::vector<Run> &Runs)
    : Loop(Loop), Place(Place), Config(std::move(Config)), Log(Log), Runs(Runs),
      Born(unixMillis()), Control(Loop, Place.at(ControlPort)) {
  HttpServerOptions Limits;
  Limits.MaxBodyBytes = 64U * 1024U * 1024U;
  this->Server = std::make_unique<HttpServer>(
      Loop, Place.at(TargetPort),
      [this](const Exchange &Request) { this->onRequest(Request); }, Limits);
  this->Log.add(Place.Name + " upstream " + this->Config.Id + " starts, born " +
                std::to_string(this->Born));
  if (!this->Config.Reports)
    return;
  this->report();
  this->Timers.push_back(
      Loop.every(this->Config.ReportPeriod, [this]() { this->report(); }));
}

HttpCall Upstream::makeReport() {
  nlohmann::json Body = {{"born", this->Born},
                         {"address", toString(this->Place.at(TargetPort))},
                         {"server-info",
                          {{"service", this->Place.Service},
                           {"version", "v1"},
                           {"zone", this->Place.Zone},
                           {"slots", this->Config.Slots}}},
                         {"status",
                          {{"state", this->State},
                           {"sequence", ++this->Sequence},
                           {"cold-remaining", "0ms"}}}};
  HttpCall Call;
  Call.Method = "PUT";
  Call.Path = "/-/instances/" + this->Config.Id;
  Call.Headers = {{"Content-Type", "application/json"}};
  Call.Body = Body.dump();
  return Call;
}

void Upstream::report() {
  if (!this->Withdrawn)
    this->send(this->makeReport(), [](int) {});
}

void Upstream::send(const HttpCall &Call, std::function<void(int)> Done) {
  this->Log.add(this->Place.Name + " upstream " + this->Config.Id + " sends " +
                Call.Method + " " + Call.Body.text());
  (void)this->Control.send(
      Call, [this, Method = Call.Method,
             Done = std::move(Done)](const HttpResponse &Response) {
        auto Status =
            Response.Outcome == HttpOutcome::Answered ? Response.Status : 0;
        this->Log.add(this->Place.Name + " upstream " + this->Config.Id + " " +
                      Method + " answered " + std::to_string(Status));
        Done(Status);
      });
}

void Upstream::withdraw(std::function<void(int)> Done) {
  this->Withdrawn = true;
  HttpCall Call;
  Call.Method = "DELETE";
  Call.Path = "/-/instances/" + this->Config.Id;
  this->send(Call, std::move(Done));
}

void Upstream::drain(std::function<void(int)> Done) {
  this->State = "draining";
  this->send(this->makeReport(), std::move(Done));
}

std::string Upstream::receipt(const std::string &Id, const std::string &Body) {
  return std::to_string(stableHash(Id + "|" + Body));
}

void Upstream::answer(const Exchange &Request, int Status,
                      const std::string &Body) {
  auto Id = Request->header("X-Limpetdrum-Attempt-Id");
  Request->reply(
      Status,
      {{"X-Limpetdrum-Attempt-Id", Id},
       {"X-Limpetdrum-Response-Signature", receipt(Id, Body)},
       {"X-Limpetdrum-Server-Load", std::to_string(this->Running) + ",0," +
                                        std::to_string(this->Config.Slots)}},
      Body);
}

void Upstream::onRequest(const Exchange &Request) {
  bool IsLeaving = this->Withdrawn || this->State != "ready";
  if (Request->path() == "/health") {
    Request->reply(IsLeaving ? 503 : 200,
                   {{"X-Limpetdrum-Instance-Id", this->Config.Id},
                    {"X-Limpetdrum-Server-Load",
                     "0,0," + std::to_string(this->Config.Slots)}},
                   "");
    return;
  }
  auto Id = Request->header("X-Limpetdrum-Attempt-Id");
  auto Expected = Request->header("X-Limpetdrum-Expected-Instance");
  if (!Expected.empty() && Expected != this->Config.Id) {
    Request->reply(421, {{"X-Limpetdrum-Attempt-Id", Id}}, "");
    return;
  }
  this->Runs.push_back({this->Place.Name, Id, Request->method(),
                        Request->request().Target, Request->body(),
                        this->Log.now()});
  this->Log.add(this->Place.Name + " upstream " + this->Config.Id + " runs " +
                Id);
  if (this->Handler) {
    this->Handler(Request);
    return;
  }
  ++this->Running;
  this->Timers.push_back(this->Loop.after(this->Config.Work, [this, Request]() {
    --this->Running;
    this->answer(Request, 200, "done " + this->Config.Id);
  }));
}

Fleet::Fleet(EventLoop &Loop, Record &Log, std::string Sidecar,
             std::string Folder)
    : Loop(Loop), Log(Log), Sidecar(std::move(Sidecar)),
      Folder(std::move(Folder)) {
  // Concurrent runs use other addresses.
  auto Id = static_cast<unsigned>(getpid());
  this->Network = "127." + std::to_string(20 + Id % 200) + "." +
                  std::to_string(1 + Id / 200 % 200) + ".";
  this->ObjectStore = std::make_unique<soak::Store>(
      Loop, parseEndpoint(this->Network + "250:" + std::to_string(StorePort)));
}

void Fleet::addMachine(const std::string &Service) {
  auto Number = this->Machines.size() + 1;
  std::string Zone = "trd-";
  Zone += static_cast<char>('a' + this->Machines.size() % Zones);
  this->Machines.push_back({"sidecar-" + Zone + "-" + std::to_string(Number),
                            Zone, Service,
                            this->Network + std::to_string(Number)});
  this->Processes.emplace_back();
  this->Clients.push_back(std::make_unique<HttpClient>(
      this->Loop, this->Machines.back().at(OutboundPort)));
}

void Fleet::publish(const std::vector<Route> &Routes) {
  std::ostringstream Text;
  Text << std::hex << std::setw(8) << std::setfill('0') << ++this->Version;
  nlohmann::json Manifest = {{"version", Text.str()},
                             {"limits",
                              {{"max-header-bytes", 16384},
                               {"max-body-bytes", 4194304},
                               {"header-timeout", "3000ms"},
                               {"idle-timeout", "15000ms"}}}};
  for (const auto &Each : Routes) {
    Manifest["routes"]["r" + std::to_string(stableHash(Each.Prefix) % 1000)] = {
        {"host", Host},
        {"path-prefix", Each.Prefix},
        {"route-kind", Each.IsSafe ? "safe" : "unsafe"},
        {"timeout", std::to_string(Each.TimeoutMillis) + "ms"},
        {"target-latency", std::to_string(Each.LatencyTargetMillis) + "ms"},
        {"priority", 1},
        {"service", Each.Service},
        {"max-attempts", 2}};
    Manifest["services"][Each.Service] = {{"health-check-path", "/health"},
                                          {"max-connections", 200}};
  }
  this->Log.add("manifest " + Text.str());
  this->ObjectStore->write("config", "main", Manifest);
}

void Fleet::start(std::size_t Index, bool IsFirst) {
  const auto &Place = this->Machines.at(Index);
  auto File = this->Folder + "/" + Place.Name + ".yaml";
  std::ofstream Out(File);
  // As platform/settings.yaml.template filled in by the platform.
  Out << "node: " << Place.Name
      << "\nregion: trondelag\nfailure-domain: " << Place.Zone
      << "\nservice: " << Place.Service << "\ntarget: " << Place.Address << ":"
      << TargetPort << "\nfirst-start: " << (IsFirst ? "true" : "false")
      << "\nlisten:\n  outbound: " << Place.Address << ":" << OutboundPort
      << "\n  readiness: " << Place.Address << ":" << ReadinessPort
      << "\n  reports: " << Place.Address << ":" << ControlPort
      << "\n  link: " << Place.Address << ":7620"
      << "\n  metrics: " << Place.Address << ":9464"
      << "\nstore: " << this->Network << "250:" << StorePort
      << "\ndrain-timeout: 2000ms\nexit-limit: 6s\nrepeats:\n  ratio: 0.2\n"
      << "  slack: 48\n  window: 10s\n";
  Out.close();
  setenv("LIMPETDRUM_CONFIG", File.c_str(), 1);
  setenv("LIMPETDRUM_MEMORY_MB", "260", 1);
  this->Processes[Index] = std::make_unique<bench::Process>(
      std::vector<std::string>{this->Sidecar},
      this->Folder + "/" + Place.Name + ".log");
  this->Log.add(Place.Name + " sidecar starts");
}

void Fleet::kill(std::size_t Index) {
  this->Log.add(this->Machines.at(Index).Name + " sidecar is killed");
  this->Processes[Index].reset();
}

void Fleet::signal(std::size_t Index, int Number) {
  this->Log.add(this->Machines.at(Index).Name + " sidecar gets signal " +
                std::to_string(Number));
  this->Processes[Index]->signal(Number);
}

std::optional<int> Fleet::status(std::size_t Index) {
  return this->Processes[Index] ? this->Processes[Index]->status()
                                : std::optional(-1);
}

void Fleet::request(std::size_t Index, const std::string &Method,
                    const std::string &Path, Milliseconds TimeLeft,
                    const std::string &Body,
                    const std::function<void(const Answer &)> &Done,
                    bool IsRetry) {
  std::ostringstream Id;
  Id << std::hex << std::setw(16) << std::setfill('0')
     << stableHash("request", ++this->LastRequest);
  HttpCall Call;
  Call.Method = Method;
  Call.Path = Path;
  Call.Headers = {
      {"Host", Host},
      {"X-Limpetdrum-Attempt-Id", Id.str()},
      {"X-Limpetdrum-Deadline-Remaining-Ms", std::to_string(TimeLeft.count())}};
  Call.Body = Body;
  Call.Timeout = TimeLeft;
  const auto &Name = this->Machines.at(Index).Name;
  this->Log.add("client of " + Name + " sends " + Id.str() + " " + Method +
                " " + Path);
  auto *Client = this->Clients[Index].get();
  if (IsRetry) {
    this->RetryClients.push_back(std::make_unique<HttpClient>(
        this->Loop, this->Machines.at(Index).at(OutboundPort)));
    Client = this->RetryClients.back().get();
  }
  (void)Client->send(Call, [this, Name, Id = Id.str(),
                            Done](const HttpResponse &Response) {
    Answer Seen{Id,
                Response.Outcome == HttpOutcome::Answered ? Response.Status : 0,
                this->Log.now()};
    this->Log.add("client of " + Name + " gets " + Id + " " +
                  std::to_string(Seen.Status));
    this->Answers.push_back(Seen);
    if (Done)
      Done(Seen);
  });
}

void Fleet::after(Milliseconds Delay, std::function<void()> Action) {
  this->Timers.push_back(this->Loop.after(Delay, std::move(Action)));
}

void Fleet::every(Milliseconds Period, std::function<void()> Action) {
  this->Timers.push_back(this->Loop.every(Period, std::move(Action)));
}

bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

} // namespace limpetdrum::review
