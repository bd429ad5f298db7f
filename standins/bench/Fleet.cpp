#include "Fleet.h"

#include "limpetdrum/process/Error.h"
#include "limpetdrum/version/ReleaseNote.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace limpetdrum::bench {

namespace {

constexpr std::uint32_t Loopback = 0x7f000001;
constexpr std::uint16_t PortsPerMember = 10;
// Offsets from the base port of the fleet.
constexpr std::uint16_t PlatformPort = 0;
constexpr std::uint16_t RunLogPort = 1;
// Offsets from the first port of a member.
constexpr std::uint16_t IngressPort = 0;
constexpr std::uint16_t EgressPort = 1;
constexpr std::uint16_t RpcPort = 2;
constexpr std::uint16_t GossipPort = 3;
constexpr std::uint16_t AdminPort = 4;
constexpr std::uint16_t TargetPort = 5;
constexpr std::uint16_t RelayPort = 6;
constexpr Milliseconds PollPause{50};

std::string address(std::uint16_t Port) {
  return toString(Endpoint{Loopback, Port});
}

std::string at(const Fleet::Member &M, std::uint16_t Offset) {
  return address(static_cast<std::uint16_t>(M.Port + Offset));
}

ServiceSpec parseService(YamlMap Map) {
  ServiceSpec S;
  S.Name = Map.text("name");
  S.Targets = static_cast<unsigned>(Map.number("targets", 1, 200, 1));
  S.Slots = static_cast<unsigned>(Map.number("slots", 1, 10000, 10));
  S.AnnouncedSlots =
      static_cast<unsigned>(Map.number("announced-slots", 1, 10000, S.Slots));
  S.ServiceMillis = static_cast<double>(
      Map.duration("service-time", Milliseconds(10)).count());
  S.Queue = static_cast<unsigned>(Map.number("queue", 0, 100000, 1000));
  S.WarmUpMillis =
      static_cast<unsigned>(Map.duration("warm-up", Milliseconds(0)).count());
  Map.rejectUnknownKeys();
  return S;
}

} // namespace

FleetSpec parseFleet(YamlMap Map, const std::string &File) {
  FleetSpec Spec;
  if (Map.has("domains"))
    Spec.Domains = Map.texts("domains");
  for (const auto &Node : Map.list("services"))
    Spec.Services.push_back(parseService(YamlMap(Node, File)));
  Spec.Note = Map.text("note");
  Spec.UsesRelays = Map.choice("relays", {"no", "yes"}, 0) == 1;
  Spec.RegionPerDomain = Map.choice("region-per-domain", {"no", "yes"}, 0) == 1;
  Spec.DisabledMechanisms = Map.texts("off");
  Map.rejectUnknownKeys();
  return Spec;
}

Fleet::Fleet(EventLoop &Loop, FleetSpec Spec)
    : Loop(Loop), Spec(std::move(Spec)) {
  std::filesystem::create_directories(this->Spec.WorkFolder);
  auto Note = parseReleaseNote(this->Spec.Note, "note");
  for (const auto &S : Note.Added.Services)
    for (const auto &R : S.Value.Routes)
      this->Calls[R.Path] = R.Calls;
  auto Port = static_cast<std::uint16_t>(this->Spec.BasePort + PortsPerMember);
  for (const auto &S : this->Spec.Services)
    for (unsigned I = 1; I <= S.Targets; ++I) {
      auto M = std::make_unique<Member>();
      M->Name = S.Name + "-" + std::to_string(I);
      M->Service = S;
      M->Domain = this->Spec.Domains[(I - 1) % this->Spec.Domains.size()];
      M->Port = Port;
      Port = static_cast<std::uint16_t>(Port + PortsPerMember);
      this->Members.push_back(std::move(M));
    }
  this->RunLog = std::make_unique<DatagramSocket>(
      Loop,
      Endpoint{Loopback,
               static_cast<std::uint16_t>(this->Spec.BasePort + RunLogPort)},
      [this](const std::string &Bytes) { this->onRunLogEntry(Bytes); });
}

void Fleet::onRunLogEntry(const std::string &Bytes) {
  std::istringstream Text(Bytes);
  std::string Target;
  std::uint64_t Number = 0;
  Text >> Target >> Number;
  std::string Run;
  std::getline(Text >> std::ws, Run);
  auto &Last = this->LastLogNumbers[Target];
  // A restarted target numbers its entries from 1 again.
  if (Number != Last + 1 && Number != 1)
    this->RunLogComplete = false;
  Last = Number;
  this->Runs[Run].push_back(Target);
}

Fleet::Member &Fleet::member(const std::string &Name) {
  for (auto &M : this->Members)
    if (M->Name == Name)
      return *M;
  throw ValueError("unknown fleet member '" + Name + "'",
                   "expected the name of a service, a dash and a number from "
                   "1 to its number of targets, such as 'ordering-1'");
}

Endpoint Fleet::ingress(const Member &M) const {
  return parseEndpoint(at(M, IngressPort));
}
Endpoint Fleet::admin(const Member &M) const {
  return parseEndpoint(at(M, AdminPort));
}
Endpoint Fleet::target(const Member &M) const {
  return parseEndpoint(at(M, TargetPort));
}
Endpoint Fleet::platform() const {
  return {Loopback,
          static_cast<std::uint16_t>(this->Spec.BasePort + PlatformPort)};
}

std::string Fleet::buildSettings(const Member &M) const {
  YAML::Emitter Out;
  auto Put = [&Out](const char *Key, const std::string &Value) {
    Out << YAML::Key << Key << YAML::Value << YAML::DoubleQuoted << Value;
  };
  Out << YAML::BeginMap;
  Put("node", M.Name);
  Put("region", this->Spec.RegionPerDomain ? M.Domain : "home");
  Put("failure-domain", M.Domain);
  Out << YAML::Key << "listen" << YAML::Value << YAML::BeginMap;
  Put("ingress", at(M, IngressPort));
  Put("egress", at(M, EgressPort));
  Put("rpc", at(M, RpcPort));
  Put("gossip", at(M, GossipPort));
  Put("admin", at(M, AdminPort));
  Out << YAML::EndMap;
  if (this->Spec.UsesRelays)
    Put("advertised-rpc", at(M, RelayPort));
  Put("platform", toString(this->platform()));
  Out << YAML::Key << "contacts" << YAML::Value << YAML::Flow << YAML::BeginSeq;
  for (std::size_t I = 0; I < std::min<std::size_t>(2, this->Members.size());
       ++I)
    Out << YAML::DoubleQuoted
        << at(*this->Members[I], this->Spec.UsesRelays ? RelayPort : RpcPort);
  Out << YAML::EndSeq;
  if (!this->Spec.DisabledMechanisms.empty()) {
    Out << YAML::Key << "mechanisms" << YAML::Value << YAML::BeginMap;
    for (const auto &Name : this->Spec.DisabledMechanisms)
      Put(Name.c_str(), "off");
    Out << YAML::EndMap;
  }
  Out << YAML::EndMap;
  return Out.c_str();
}

std::string Fleet::formatCalls() const {
  std::string Text;
  for (const auto &[Path, Callees] : this->Calls) {
    if (Callees.empty())
      continue;
    Text += (Text.empty() ? "" : ";") + Path + "=";
    for (std::size_t I = 0; I < Callees.size(); ++I)
      Text += (I == 0 ? "" : "+") + Callees[I];
  }
  return Text;
}

std::string Fleet::formatDirectCalls() const {
  std::string Text;
  for (const auto &Entry : this->Calls) {
    Text += (Text.empty() ? "" : ";") + Entry.first + "=";
    bool First = true;
    for (const auto &M : this->Members)
      if (serviceOf(Entry.first).value() == M->Service.Name) {
        Text += (First ? "" : "+") + at(*M, TargetPort);
        First = false;
      }
  }
  return Text;
}

void Fleet::startPlatform() {
  this->Platform = std::make_unique<Process>(
      std::vector<std::string>{this->Spec.ProgramFolder + "/standin-platform",
                               "--listen", toString(this->platform())},
      this->Spec.WorkFolder + "/platform.log");
}

void Fleet::startNode(Member &M) {
  auto Settings = this->Spec.WorkFolder + "/" + M.Name + ".yaml";
  std::ofstream(Settings) << this->buildSettings(M);
  if (this->Spec.UsesRelays && !M.Relay)
    M.Relay = std::make_unique<bench::Relay>(this->Loop,
                                             parseEndpoint(at(M, RelayPort)),
                                             parseEndpoint(at(M, RpcPort)));
  M.Node = std::make_unique<Process>(
      std::vector<std::string>{this->Spec.ProgramFolder + "/limpetdrumd",
                               "--settings", Settings},
      this->Spec.WorkFolder + "/" + M.Name + ".log");
}

void Fleet::startTarget(Member &M) {
  ++M.TargetStarts;
  std::vector<std::string> Command = {
      this->Spec.ProgramFolder + "/standin-target",
      "--listen=" + at(M, TargetPort),
      "--service=" + M.Service.Name,
      "--slots=" + std::to_string(M.Service.Slots),
      "--announced_slots=" + std::to_string(M.Service.AnnouncedSlots),
      "--queue=" + std::to_string(M.Service.Queue),
      "--service_ms=" + std::to_string(M.Service.ServiceMillis),
      "--warm_up_ms=" + std::to_string(M.Service.WarmUpMillis),
      "--seed=" + std::to_string(M.Port + M.TargetStarts),
      "--log_to=" +
          address(static_cast<std::uint16_t>(this->Spec.BasePort + RunLogPort)),
      "--calls=" + this->formatCalls()};
  if (this->Spec.UsesNodes)
    Command.push_back("--node=" + at(M, EgressPort));
  else
    Command.push_back("--direct=" + this->formatDirectCalls());
  M.Target = std::make_unique<Process>(Command, this->Spec.WorkFolder + "/" +
                                                    M.Name + ".target.log");
}

void Fleet::startAll() {
  for (auto &M : this->Members) {
    if (this->Spec.UsesNodes)
      this->startNode(*M);
    this->startTarget(*M);
  }
}

std::unique_ptr<Process>
Fleet::startLimpetctl(const std::vector<std::string> &Args,
                      const std::string &Log) {
  std::vector<std::string> Command = {this->Spec.ProgramFolder + "/limpetctl"};
  Command.insert(Command.end(), Args.begin(), Args.end());
  Command.push_back("--platform=" + toString(this->platform()));
  return std::make_unique<Process>(Command, this->Spec.WorkFolder + "/" + Log);
}

bool Fleet::publishFirstNote(Milliseconds Limit) {
  if (!this->Spec.UsesNodes) {
    this->runFor(Milliseconds(500));
    return true;
  }
  auto Path = this->Spec.WorkFolder + "/first-note.yaml";
  std::ofstream(Path) << this->Spec.Note;
  auto Publishing =
      this->startLimpetctl({"publish", Path}, "first-publish.log");
  auto Published = [&Publishing]() { return Publishing->status() == 0; };
  if (!this->runUntil(Published, Limit))
    return false;
  auto Ready = [this]() {
    for (auto &M : this->Members) {
      auto Status = this->getJson(this->admin(*M), "/status");
      if (!Status.is_object() || Status["revision"] != 1)
        return false;
      std::size_t Count = 0;
      for (const auto &Entry : Status["members"])
        Count += Entry["target"] == "ready" ? 1 : 0;
      if (Count != this->Members.size())
        return false;
    }
    return true;
  };
  return this->runUntil(Ready, Limit);
}

void Fleet::assignEntries(LoadGenerator &Load) const {
  for (const auto &Entry : this->Calls) {
    std::vector<Endpoint> Entries;
    for (const auto &M : this->Members) {
      bool ServesPath = serviceOf(Entry.first).value() == M->Service.Name;
      if (!M->AcceptsClients)
        continue;
      if (this->Spec.UsesNodes)
        Entries.push_back(this->ingress(*M));
      else if (ServesPath)
        Entries.push_back(this->target(*M));
    }
    Load.setEntries(Entry.first, Entries);
  }
}

std::string Fleet::getText(Endpoint Server, const std::string &Path) {
  std::optional<HttpResponse> Response;
  HttpClient Client(this->Loop, Server);
  HttpCall Call;
  Call.Path = Path;
  Call.Timeout = Milliseconds(2000);
  Client.send(Call, [this, &Response](HttpResponse Answer) {
    Response = std::move(Answer);
    this->Loop.stop();
  });
  while (!Response)
    this->Loop.run();
  return Response->Outcome == HttpOutcome::Answered ? Response->Body : "";
}

nlohmann::json Fleet::getJson(Endpoint Server, const std::string &Path) {
  auto Text = this->getText(Server, Path);
  if (Text.empty())
    return nullptr;
  return nlohmann::json::parse(Text, nullptr, false);
}

void Fleet::runFor(Milliseconds Span) {
  bool Expired = false;
  auto Limit = this->Loop.after(Span, [&]() {
    Expired = true;
    this->Loop.stop();
  });
  while (!Expired)
    this->Loop.run();
}

bool Fleet::runUntil(const std::function<bool()> &Condition,
                     Milliseconds Limit) {
  auto End = this->Loop.now() + Limit;
  while (!Condition()) {
    if (this->Loop.now() >= End)
      return false;
    this->runFor(PollPause);
  }
  return true;
}

} // namespace limpetdrum::bench
