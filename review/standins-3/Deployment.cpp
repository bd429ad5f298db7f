#include "Deployment.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using namespace std::chrono_literals;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

const std::string HeadEnd = "\r\n\r\n";

sockaddr_in loopback(std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

std::string lowered(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  return Text;
}

void replaceAll(std::string &Text, const std::string &Old,
                const std::string &New) {
  for (auto At = Text.find(Old); At != std::string::npos;
       At = Text.find(Old, At + New.size()))
    Text.replace(At, Old.size(), New);
}

std::int64_t unixMillis() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string address(std::uint16_t Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

std::string answerText(int Status, const std::string &Headers,
                       const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " Status\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + HeadEnd + Body;
}

/// Returns the value of a parameter of a query, or an empty string.
std::string parameter(const std::string &Query, const std::string &Name) {
  auto At = ("&" + Query).find("&" + Name + "=");
  if (At == std::string::npos)
    return "";
  auto Begin = At + Name.size() + 1;
  return Query.substr(Begin, Query.find('&', Begin) - Begin);
}

} // namespace

std::string Message::header(const std::string &Name) const {
  auto Found = this->Headers.find(lowered(Name));
  return Found == this->Headers.end() ? "" : Found->second;
}

Connection::~Connection() { close(this->Socket); }

std::unique_ptr<Connection> Connection::open(std::uint16_t Port) {
  auto Made = std::make_unique<Connection>(
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  auto Address = loopback(Port);
  if (connect(Made->Socket, reinterpret_cast<sockaddr *>(&Address),
              sizeof(Address)) != 0)
    return nullptr;
  int Enable = 1;
  setsockopt(Made->Socket, IPPROTO_TCP, TCP_NODELAY, &Enable, sizeof(Enable));
  return Made;
}

bool Connection::write(const std::string &Bytes) const {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    auto Size = ::send(this->Socket, Bytes.data() + Sent, Bytes.size() - Sent,
                       MSG_NOSIGNAL);
    if (Size <= 0)
      return false;
    Sent += static_cast<std::size_t>(Size);
  }
  return true;
}

void Connection::shutdown() const noexcept {
  ::shutdown(this->Socket, SHUT_RDWR);
}

bool Connection::isReadable() const noexcept {
  pollfd Entry{this->Socket, POLLIN, 0};
  return !this->Buffer.empty() || poll(&Entry, 1, 0) > 0;
}

bool Connection::fill(Clock::time_point End) {
  auto Left = std::chrono::ceil<milliseconds>(End - Clock::now());
  pollfd Entry{this->Socket, POLLIN, 0};
  if (Left <= 0ms || poll(&Entry, 1, static_cast<int>(Left.count())) <= 0)
    return false;
  char Bytes[65536];
  auto Size = recv(this->Socket, Bytes, sizeof(Bytes), 0);
  if (Size <= 0)
    return false;
  this->Buffer.append(Bytes, static_cast<std::size_t>(Size));
  return true;
}

bool Connection::readBytes(std::string &Out, std::size_t Count,
                           Clock::time_point End) {
  while (this->Buffer.size() < Count)
    if (!this->fill(End))
      return false;
  Out.append(this->Buffer, 0, Count);
  this->Buffer.erase(0, Count);
  return true;
}

std::optional<std::string> Connection::readLine(Clock::time_point End) {
  std::size_t At = 0;
  while ((At = this->Buffer.find("\r\n")) == std::string::npos)
    if (!this->fill(End))
      return std::nullopt;
  auto Line = this->Buffer.substr(0, At);
  this->Buffer.erase(0, At + 2);
  return Line;
}

bool Connection::readBody(Message &Value, Clock::time_point End) {
  auto Length = Value.header("content-length");
  if (!Length.empty())
    return this->readBytes(Value.Body, std::stoul(Length), End);
  if (lowered(Value.header("transfer-encoding")) != "chunked")
    return true;
  while (true) {
    auto Line = this->readLine(End);
    if (!Line)
      return false;
    auto Size = std::stoul(*Line, nullptr, 16);
    if (!this->readBytes(Value.Body, Size, End) || !this->readLine(End))
      return false;
    if (Size == 0)
      return true;
  }
}

std::optional<Message> Connection::read(milliseconds Limit) {
  auto End = Clock::now() + Limit;
  Message Value;
  auto Start = this->readLine(End);
  if (!Start)
    return std::nullopt;
  Value.Start = *Start;
  while (true) {
    auto Line = this->readLine(End);
    if (!Line)
      return std::nullopt;
    if (Line->empty())
      break;
    auto Colon = Line->find(':');
    auto Begin = Line->find_first_not_of(' ', Colon + 1);
    Value.Headers[lowered(Line->substr(0, Colon))] =
        Begin == std::string::npos ? "" : Line->substr(Begin);
  }
  if (!this->readBody(Value, End))
    return std::nullopt;
  return Value;
}

Server::Server(std::uint16_t Port, Handler Serve)
    : Socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)),
      Serve(std::move(Serve)) {
  int Enable = 1;
  setsockopt(this->Socket, SOL_SOCKET, SO_REUSEADDR, &Enable, sizeof(Enable));
  auto Address = loopback(Port);
  constexpr int Backlog = 256;
  if (bind(this->Socket, reinterpret_cast<sockaddr *>(&Address),
           sizeof(Address)) != 0 ||
      listen(this->Socket, Backlog) != 0)
    throw std::runtime_error("cannot listen on port " + std::to_string(Port));
  this->Accepting = std::thread([this]() { this->run(); });
}

Server::~Server() {
  this->Stopped = true;
  ::shutdown(this->Socket, SHUT_RDWR);
  this->Accepting.join();
  close(this->Socket);
  for (const auto &Each : this->Open)
    Each->shutdown();
  for (auto &Each : this->Threads)
    Each.join();
}

void Server::run() {
  while (!this->Stopped) {
    int Accepted = accept4(this->Socket, nullptr, nullptr, SOCK_CLOEXEC);
    if (Accepted < 0)
      continue;
    auto Made = std::make_shared<Connection>(Accepted);
    std::lock_guard Guard(this->Lock);
    this->Open.push_back(Made);
    this->Threads.emplace_back([this, Made]() {
      this->Serve(*Made);
      Made->shutdown();
    });
  }
}

Store::Store(std::uint16_t Port) {
  this->addEntrance(Port, []() { return false; });
}

void Store::addEntrance(std::uint16_t Port,
                        std::function<bool()> IsTurnedAway) {
  this->Listening.push_back(std::make_unique<Server>(
      Port, [this, IsTurnedAway = std::move(IsTurnedAway)](Connection &Client) {
        this->serve(Client, IsTurnedAway);
      }));
}

Store::~Store() {
  {
    std::lock_guard Guard(this->Lock);
    this->Stopped = true;
  }
  this->Changed.notify_all();
  this->Listening.clear();
}

void Store::write(const std::string &Kind, const std::string &Name,
                  const json &Specification) {
  std::lock_guard Guard(this->Lock);
  (void)this->put(Kind, Name, Specification);
}

json Store::put(const std::string &Kind, const std::string &Name,
                const json &Specification) {
  auto &Object = this->Kinds[Kind][Name];
  ++this->Revision;
  Object = {{"metadata",
             {{"name", Name},
              {"revision", this->Revision},
              {"created", this->Revision},
              {"finalizers", json::array()},
              {"deleting", false}}},
            {"specification", Specification},
            {"status", nullptr}};
  this->Changed.notify_all();
  return Object;
}

void Store::serve(Connection &Client,
                  const std::function<bool()> &IsTurnedAway) {
  while (auto Call = Client.read(100s)) {
    std::istringstream Start(Call->Start);
    std::string Method;
    std::string Target;
    Start >> Method >> Target;
    auto Reply = IsTurnedAway() ? Answer{503, ""}
                                : this->handle(Method, Target, Call->Body);
    if (!Client.write(answerText(
            Reply.Status, "Content-Type: application/json\r\n", Reply.Body)))
      return;
  }
}

Store::Answer Store::list(const std::string &Kind) {
  auto Items = json::array();
  for (const auto &[Name, Object] : this->Kinds[Kind])
    Items.push_back(Object);
  return {
      200,
      json({{"items", Items}, {"more", false}, {"at", this->Revision}}).dump()};
}

Store::Answer Store::watch(const std::string &Kind, std::uint64_t After,
                           milliseconds Wait) {
  std::unique_lock Guard(this->Lock);
  auto Events = json::array();
  this->Changed.wait_for(Guard, Wait, [&]() {
    for (const auto &[Name, Object] : this->Kinds[Kind])
      if (Object["metadata"]["revision"].get<std::uint64_t>() > After)
        Events.push_back({{"object", Object}, {"deleted", false}});
    return this->Stopped || !Events.empty();
  });
  return {200, json({{"events", Events}, {"at", this->Revision}}).dump()};
}

Store::Answer Store::handle(const std::string &Method,
                            const std::string &Target,
                            const std::string &Body) {
  const std::string Prefix = "/-/objects/";
  auto Mark = Target.find('?');
  auto Path = Target.substr(Prefix.size(), Mark - Prefix.size());
  auto Query = Mark == std::string::npos ? "" : Target.substr(Mark + 1);
  auto Kind = Path.substr(0, Path.find('/'));
  auto Name = Path.size() > Kind.size() ? Path.substr(Kind.size() + 1) : "";
  auto Watched = parameter(Query, "watch");
  if (!Watched.empty())
    return this->watch(Kind, std::stoull(Watched),
                       milliseconds(std::stoul(parameter(Query, "wait-ms"))));
  std::lock_guard Guard(this->Lock);
  if (Method == "GET" && Name.empty())
    return this->list(Kind);
  if (Method == "POST") {
    auto Object = json::parse(Body);
    Name = Object["metadata"]["name"].get<std::string>();
    if (this->Kinds[Kind].count(Name) != 0)
      return {409, this->Kinds[Kind][Name].dump()};
    return {200, this->put(Kind, Name, Object["specification"]).dump()};
  }
  if (this->Kinds[Kind].count(Name) == 0)
    return {404, "{}"};
  if (Method == "PUT")
    return {200,
            this->put(Kind, Name, json::parse(Body)["specification"]).dump()};
  if (Method == "DELETE") {
    this->Kinds[Kind].erase(Name);
    ++this->Revision;
    return {200, "{}"};
  }
  return {200, this->Kinds[Kind][Name].dump()};
}

struct Record::State {
  std::mutex Lock;
  std::ofstream Out;
  Clock::time_point Began = Clock::now();
};

Record::Record(const std::string &File) : Impl(std::make_unique<State>()) {
  this->Impl->Out.open(File);
}

Record::~Record() = default;

void Record::add(const std::string &Line) {
  std::lock_guard Guard(this->Impl->Lock);
  auto At = std::chrono::duration_cast<milliseconds>(Clock::now() -
                                                     this->Impl->Began);
  this->Impl->Out << At.count() << " ms  " << Line << std::endl;
}

Target::Target(Place Where, Work Serve, Record &Lines)
    : Where(std::move(Where)), Serve(std::move(Serve)), Lines(Lines),
      Born(unixMillis()),
      Listening(std::make_unique<Server>(
          this->Where.target(),
          [this](Connection &Client) { this->serve(Client); })),
      Reports([this]() { this->report(); }) {}

Target::~Target() {
  {
    std::lock_guard Guard(this->Lock);
    this->Stopped = true;
  }
  this->Stopping.notify_all();
  this->Reports.join();
}

unsigned Target::runs(const std::string &Id) {
  std::lock_guard Guard(this->Lock);
  return this->Runs[Id];
}

void Target::report() {
  const auto &Id = this->Where.Name;
  std::unique_lock Guard(this->Lock);
  for (unsigned Sequence = 1; !this->Stopped; ++Sequence) {
    json Body = {{"address", address(this->Where.target())},
                 {"born", this->Born},
                 {"server-info",
                  {{"service", this->Where.Service},
                   {"version", "v1"},
                   {"zone", this->Where.Zone},
                   {"slots", 90}}},
                 {"status",
                  {{"state", "ready"},
                   {"sequence", Sequence},
                   {"cold-remaining", "0ms"}}}};
    Guard.unlock();
    auto Text = Body.dump();
    auto Link = Connection::open(this->Where.control());
    bool IsAcknowledged =
        Link &&
        Link->write("PUT /-/instances/i-" + Id +
                    " HTTP/1.1\r\nHost: node\r\n"
                    "Content-Type: application/json\r\nContent-Length: " +
                    std::to_string(Text.size()) + HeadEnd + Text) &&
        Link->read(1s);
    Guard.lock();
    this->Stopping.wait_for(Guard, IsAcknowledged ? 1500ms : 300ms,
                            [this]() { return this->Stopped; });
  }
}

void Target::serve(Connection &Client) {
  while (auto Request = Client.read(100s)) {
    auto Id = Request->header("X-Limpetdrum-Attempt-Id");
    if (Request->Start.find(" /health ") != std::string::npos) {
      if (!Client.write(answerText(
              200, "X-Limpetdrum-Instance-Id: i-" + this->Where.Name + "\r\n",
              "")))
        return;
      continue;
    }
    if (Request->header("X-Limpetdrum-Expected-Instance") !=
        "i-" + this->Where.Name) {
      if (!Client.write(answerText(421, "", "")))
        return;
      continue;
    }
    {
      std::lock_guard Guard(this->Lock);
      ++this->Runs[Id];
    }
    this->Lines.add("target " + this->Where.Name + " runs " + Id + " (" +
                    std::to_string(Request->Body.size()) + " bytes)");
    auto Body = this->Serve(*Request);
    if (!Client.write(answerText(200,
                                 "X-Limpetdrum-Attempt-Id: " + Id +
                                     "\r\nX-Limpetdrum-Response-Signature: s-" +
                                     Id + "\r\n",
                                 Body)))
      return;
  }
}

Sidecar::Sidecar(Place Where, std::string Root, std::string Folder,
                 std::uint16_t StorePort)
    : Where(std::move(Where)), Root(std::move(Root)), Folder(std::move(Folder)),
      StorePort(StorePort) {}

Sidecar::~Sidecar() { this->kill(); }

std::string Sidecar::settings(bool IsFirst) const {
  std::ifstream File(this->Root + "/platform/settings.yaml.template");
  std::ostringstream Copy;
  Copy << File.rdbuf();
  auto Text = Copy.str();
  const std::map<std::string, std::string> Values = {
      {"node-name", this->Where.Name},
      {"region", "trondelag"},
      {"zone", this->Where.Zone},
      {"service", this->Where.Service},
      {"application-address", address(this->Where.target())},
      {"bootstrap", IsFirst ? "true" : "false"},
      {"listen-addresses.outbound", address(this->Where.outbound())},
      {"listen-addresses.readiness-address", address(this->Where.readiness())},
      {"listen-addresses.control", address(this->Where.control())},
      {"ip-address}}:{{internal-port-range.0", address(this->Where.link())},
      {"platform.address", address(this->StorePort)},
      {"bounds.drain-timeout", "2000ms"},
      {"bounds.grace-period", "6s"},
      {"bounds.retry-budget-ratio", "0.2"},
      {"bounds.retry-budget-slack", "48"},
      {"bounds.budget-window", "10s"}};
  for (const auto &[Name, Value] : Values)
    replaceAll(Text, "{{" + Name + "}}", Value);
  // On loopback, each node needs its own port for metrics.
  replaceAll(Text, "{{ip-address}}:9464", address(this->Where.metrics()));
  return Text;
}

void Sidecar::start(bool IsFirst) {
  auto Settings = this->Folder + "/" + this->Where.Name + ".yaml";
  std::ofstream(Settings) << this->settings(IsFirst);
  auto Log = this->Folder + "/" + this->Where.Name + ".log";
  auto Config = "LIMPETDRUM_CONFIG=" + Settings;
  this->Id = fork();
  if (this->Id != 0)
    return;
  // Ends with the trial, however that ends.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  int Output = ::open(Log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
  dup2(Output, STDOUT_FILENO);
  dup2(Output, STDERR_FILENO);
  std::string Program = "target/limpetdrum-sidecar";
  std::string Memory = "LIMPETDRUM_MEMORY_MB=260";
  char *const Arguments[] = {Program.data(), nullptr};
  char *const Environment[] = {Config.data(), Memory.data(), nullptr};
  if (chdir(this->Root.c_str()) == 0)
    execve(Program.c_str(), Arguments, Environment);
  _exit(127);
}

void Sidecar::signal(int Number) const {
  if (this->Id > 0)
    ::kill(this->Id, Number);
}

void Sidecar::kill() {
  if (this->Id <= 0)
    return;
  ::kill(this->Id, SIGKILL);
  waitpid(this->Id, nullptr, 0);
  this->Id = -1;
}

bool Sidecar::isRunning() {
  if (this->Id <= 0)
    return false;
  if (waitpid(this->Id, nullptr, WNOHANG) == 0)
    return true;
  this->Id = -1;
  return false;
}

bool Sidecar::isReady() const {
  auto Link = Connection::open(this->Where.readiness());
  if (!Link ||
      !Link->write("GET /-/readiness HTTP/1.1\r\nHost: node" + HeadEnd))
    return false;
  auto Answer = Link->read(1s);
  return Answer && Answer->Start.find(" 200") != std::string::npos;
}

std::size_t Sidecar::residentBytes() const {
  std::ifstream File("/proc/" + std::to_string(this->Id) + "/statm");
  std::size_t Total = 0;
  std::size_t Resident = 0;
  if (!(File >> Total >> Resident))
    return 0;
  return Resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

json makeRoute(const std::string &Service, const std::string &Kind,
               const std::string &Prefix, const std::string &Timeout) {
  return {{"host", "orders.example"}, {"path-prefix", Prefix},
          {"route-kind", Kind},       {"timeout", Timeout},
          {"target-latency", "1s"},   {"priority", 0},
          {"service", Service},       {"max-attempts", 2}};
}

json makeManifest(unsigned Version, const json &Routes,
                  const std::vector<std::string> &Services) {
  char Digits[16];
  std::snprintf(Digits, sizeof(Digits), "%08x", Version);
  json Table = json::object();
  for (const auto &Name : Services)
    Table[Name] = {{"health-check-path", "/health"},
                   {"max-connections", 640},
                   {"protocol", "h1"},
                   {"tls", false}};
  return {{"version", Digits},
          {"routes", Routes},
          {"services", Table},
          {"limits",
           {{"max-header-bytes", 16384},
            {"max-body-bytes", 67108864},
            {"header-timeout", "3000ms"},
            {"idle-timeout", "15000ms"}}}};
}

int send(Connection &Link, const std::string &Method, const std::string &Path,
         const std::string &Id, const std::string &Body, milliseconds TimeLeft,
         Message *Answer) {
  auto Head = Method + " " + Path +
              " HTTP/1.1\r\nHost: orders.example\r\n"
              "X-Limpetdrum-Attempt-Id: " +
              Id + "\r\nX-Limpetdrum-Deadline-Remaining-Ms: " +
              std::to_string(TimeLeft.count()) + "\r\n";
  if (Method != "GET")
    Head += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  // The node may answer before it has read the body, and close then.
  (void)Link.write(Head + "\r\n" + Body);
  auto Read = Link.read(TimeLeft + 500ms);
  if (!Read)
    return 0;
  if (Answer != nullptr)
    *Answer = *Read;
  std::istringstream Start(Read->Start);
  std::string Version;
  int Status = 0;
  Start >> Version >> Status;
  return Status;
}

std::uint16_t findFreePorts(std::uint16_t Count) {
  auto IsFree = [](std::uint16_t Port) {
    int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int Enable = 1;
    setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Enable, sizeof(Enable));
    auto Address = loopback(Port);
    bool Result = bind(Socket, reinterpret_cast<sockaddr *>(&Address),
                       sizeof(Address)) == 0;
    close(Socket);
    return Result;
  };
  constexpr std::uint16_t Lowest = 20000;
  constexpr std::uint16_t Highest = 31000;
  auto Span = static_cast<unsigned>(Highest - Lowest);
  auto First = Lowest + static_cast<unsigned>(getpid()) * 61U % Span;
  unsigned Found = 0;
  for (unsigned Tried = 0; Tried < Span; ++Tried) {
    auto Port = Lowest + (First - Lowest + Tried) % Span;
    if (Port == Lowest)
      Found = 0;
    Found = IsFree(static_cast<std::uint16_t>(Port)) ? Found + 1 : 0;
    if (Found == Count)
      return static_cast<std::uint16_t>(Port + 1 - Count);
  }
  throw std::runtime_error("no free ports");
}

bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

bool waitUntilReady(const std::vector<std::unique_ptr<Sidecar>> &Nodes,
                    milliseconds Limit) {
  auto End = Clock::now() + Limit;
  while (Clock::now() < End) {
    if (std::all_of(Nodes.begin(), Nodes.end(),
                    [](const auto &Each) { return Each->isReady(); }))
      return true;
    sleepFor(50ms);
  }
  return false;
}

void sleepFor(milliseconds Span) { std::this_thread::sleep_for(Span); }

} // namespace review
