#include "Harness.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <strings.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

using Clock = std::chrono::steady_clock;

const Clock::time_point Beginning = Clock::now();
constexpr double GracePeriod = 6;
constexpr double ReportPeriod = 1.5;
constexpr std::size_t MaxMessageBytes = 128U * 1024U * 1024U;

std::mutex RecordLock;
std::ofstream RecordFile;
std::string Scratch;

/// Processes that were started and have not been waited for.
constexpr std::size_t MaxProcesses = 64;
std::atomic<pid_t> Processes[MaxProcesses];

void remember(pid_t Process) {
  for (auto &Each : Processes) {
    pid_t Free = 0;
    if (Each.compare_exchange_strong(Free, Process))
      return;
  }
}

void forget(pid_t Process) {
  for (auto &Each : Processes) {
    auto Known = Process;
    Each.compare_exchange_strong(Known, 0);
  }
}

/// Ends all processes that were started, and this one.
[[noreturn]] void abandon() {
  for (auto &Each : Processes)
    if (pid_t Process = Each; Process > 0)
      kill(Process, SIGKILL);
  _exit(CannotRun);
}

sockaddr_in socketAddress(const Address &Value) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(Value.Port);
  inet_pton(AF_INET, Value.Ip.c_str(), &Result.sin_addr);
  return Result;
}

std::mt19937_64 &random() {
  static std::mt19937_64 Engine{std::random_device{}()};
  return Engine;
}

std::uint64_t randomNumber() {
  static std::mutex Lock;
  std::lock_guard<std::mutex> Guard(Lock);
  return random()();
}

bool bindTo(int Descriptor, Address &Local) {
  int Enable = 1;
  setsockopt(Descriptor, SOL_SOCKET, SO_REUSEADDR, &Enable, sizeof(Enable));
  auto Raw = socketAddress(Local);
  if (bind(Descriptor, reinterpret_cast<sockaddr *>(&Raw), sizeof(Raw)) != 0)
    return false;
  socklen_t Size = sizeof(Raw);
  getsockname(Descriptor, reinterpret_cast<sockaddr *>(&Raw), &Size);
  Local.Port = ntohs(Raw.sin_port);
  return true;
}

/// Returns true if the port can be bound for TCP and UDP.
bool isFree(Address Local) {
  for (int Type : {SOCK_STREAM, SOCK_DGRAM}) {
    int Descriptor = socket(AF_INET, Type | SOCK_CLOEXEC, 0);
    bool Bound = bindTo(Descriptor, Local);
    ::close(Descriptor);
    if (!Bound)
      return false;
  }
  return true;
}

std::uint16_t freePort(const std::string &Ip) {
  for (int Tries = 0; Tries < 200; ++Tries) {
    auto Port = static_cast<std::uint16_t>(10000 + randomNumber() % 20000);
    if (isFree({Ip, Port}))
      return Port;
  }
  throw std::runtime_error("no free port");
}

/// Returns a loopback address on which the sidecar's metrics port is free.
std::string freeLoopback() {
  constexpr std::uint16_t MetricsPort = 9464;
  for (int Tries = 0; Tries < 200; ++Tries) {
    auto Number = randomNumber();
    auto Ip = "127." + std::to_string(10 + Number % 200) + "." +
              std::to_string(Number / 256 % 250) + "." +
              std::to_string(2 + Number / 65536 % 250);
    if (isFree({Ip, MetricsPort}))
      return Ip;
  }
  throw std::runtime_error("no free loopback address");
}

std::string respond(int Status, const Headers &Fields,
                    const std::string &Body) {
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " Status\r\n";
  for (const auto &[Name, Value] : Fields)
    Text += Name + ": " + Value + "\r\n";
  return Text + "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

std::string queryValue(const std::string &Query, const std::string &Name) {
  std::istringstream Parts(Query);
  for (std::string Part; std::getline(Parts, Part, '&');)
    if (Part.compare(0, Name.size() + 1, Name + "=") == 0)
      return Part.substr(Name.size() + 1);
  return "";
}

std::string replaceAll(std::string Text, const std::string &From,
                       const std::string &To) {
  for (auto At = Text.find(From); At != std::string::npos;
       At = Text.find(From, At + To.size()))
    Text.replace(At, From.size(), To);
  return Text;
}

long numberAfter(const std::string &Path, const std::string &Mark) {
  auto At = Path.find(Mark);
  return At == std::string::npos
             ? 0
             : std::strtol(Path.c_str() + At + Mark.size(), nullptr, 10);
}

} // namespace

const std::string Host = "review.example";

double now() {
  return std::chrono::duration<double>(Clock::now() - Beginning).count();
}

std::int64_t unixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void sleepFor(double Seconds) {
  if (Seconds > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}

void Record::open(const std::string &Path) { RecordFile.open(Path); }

void Record::line(const std::string &Text) {
  char Time[32];
  std::snprintf(Time, sizeof(Time), "%9.3f  ", now());
  std::lock_guard<std::mutex> Guard(RecordLock);
  RecordFile << Time << Text << std::endl;
}

std::string text(const Address &Value) {
  return Value.Ip + ":" + std::to_string(Value.Port);
}

std::string Message::field(const std::string &Name) const {
  for (const auto &[Key, Value] : this->Fields)
    if (strcasecmp(Key.c_str(), Name.c_str()) == 0)
      return Value;
  return "";
}

std::string Message::method() const {
  return this->Start.substr(0, this->Start.find(' '));
}

std::string Message::target() const {
  auto First = this->Start.find(' ');
  return this->Start.substr(First + 1,
                            this->Start.find(' ', First + 1) - First - 1);
}

int Message::status() const {
  return std::atoi(this->Start.c_str() + this->Start.find(' ') + 1);
}

Connection::~Connection() { this->close(); }

void Connection::close() {
  if (this->Descriptor >= 0)
    ::close(this->Descriptor);
  this->Descriptor = -1;
}

long Connection::readSome(char *Bytes, std::size_t Most, double Until) {
  while (true) {
    auto Left = Until - now();
    if (Left <= 0)
      return -2;
    pollfd Poll{this->Descriptor, POLLIN, 0};
    if (poll(&Poll, 1, static_cast<int>(Left * 1000) + 1) <= 0)
      continue;
    auto Count = recv(this->Descriptor, Bytes, Most, 0);
    if (Count < 0 && (errno == EINTR || errno == EAGAIN))
      continue;
    return Count < 0 ? -1 : Count;
  }
}

bool Connection::fill(double Until) {
  std::vector<char> Bytes(65536);
  auto Count = this->readSome(Bytes.data(), Bytes.size(), Until);
  if (Count <= 0)
    return false;
  this->Ahead.append(Bytes.data(), static_cast<std::size_t>(Count));
  return true;
}

bool Connection::read(Message &Result, double Until) {
  Result = {};
  std::size_t End = 0;
  while ((End = this->Ahead.find("\r\n\r\n")) == std::string::npos)
    if (!this->fill(Until))
      return false;
  std::istringstream Lines(this->Ahead.substr(0, End + 2));
  this->Ahead.erase(0, End + 4);
  std::string Line;
  while (std::getline(Lines, Line)) {
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    if (Result.Start.empty()) {
      Result.Start = Line;
      continue;
    }
    auto Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    auto First = Line.find_first_not_of(' ', Colon + 1);
    Result.Fields.emplace_back(Line.substr(0, Colon), First == std::string::npos
                                                          ? ""
                                                          : Line.substr(First));
  }
  auto Length =
      std::strtoull(Result.field("Content-Length").c_str(), nullptr, 10);
  if (Length > MaxMessageBytes)
    return false;
  while (this->Ahead.size() < Length)
    if (!this->fill(Until))
      return false;
  Result.Body = this->Ahead.substr(0, Length);
  this->Ahead.erase(0, Length);
  return true;
}

bool Connection::write(const std::string &Bytes, double Until) {
  std::size_t Done = 0;
  while (Done < Bytes.size()) {
    auto Left = Until - now();
    if (Left <= 0)
      return false;
    pollfd Poll{this->Descriptor, POLLOUT, 0};
    if (poll(&Poll, 1, static_cast<int>(Left * 1000) + 1) <= 0)
      continue;
    auto Count = send(this->Descriptor, Bytes.data() + Done,
                      Bytes.size() - Done, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Count < 0 && errno != EINTR && errno != EAGAIN)
      return false;
    if (Count > 0)
      Done += static_cast<std::size_t>(Count);
  }
  return true;
}

bool Connection::hasEnded() {
  char Byte = 0;
  auto Count =
      recv(this->Descriptor, &Byte, 1, MSG_PEEK | MSG_DONTWAIT | MSG_NOSIGNAL);
  return Count == 0 || (Count < 0 && errno != EAGAIN && errno != EINTR);
}

bool Connection::waitForEnd(double Until) {
  std::vector<char> Bytes(4096);
  while (true) {
    auto Count = this->readSome(Bytes.data(), Bytes.size(), Until);
    if (Count == -2)
      return false;
    if (Count <= 0)
      return true;
  }
}

std::unique_ptr<Connection> connectTo(const Address &Peer, double Until,
                                      ConnectOptions Options) {
  int Descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  auto Set = [&](int Level, int Name, int Value) {
    if (Value > 0)
      setsockopt(Descriptor, Level, Name, &Value, sizeof(Value));
  };
  Set(SOL_SOCKET, SO_RCVBUF, Options.ReceiveBuffer);
  Set(IPPROTO_TCP, TCP_MAXSEG, Options.MaxSegment);
  Set(IPPROTO_TCP, TCP_NODELAY, 1);
  auto Result = std::make_unique<Connection>(Descriptor);
  auto Raw = socketAddress(Peer);
  if (connect(Descriptor, reinterpret_cast<sockaddr *>(&Raw), sizeof(Raw)) !=
          0 &&
      errno != EINPROGRESS)
    return nullptr;
  pollfd Poll{Descriptor, POLLOUT, 0};
  auto Left = std::max(0.0, Until - now());
  if (poll(&Poll, 1, static_cast<int>(Left * 1000) + 1) <= 0)
    return nullptr;
  int Error = 0;
  socklen_t Size = sizeof(Error);
  getsockopt(Descriptor, SOL_SOCKET, SO_ERROR, &Error, &Size);
  return Error == 0 ? std::move(Result) : nullptr;
}

Server::Server(Address Listen, Handler Serve)
    : Local(std::move(Listen)), Serve(std::move(Serve)) {
  this->Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (!bindTo(this->Listener, this->Local) || listen(this->Listener, 512) != 0)
    throw std::runtime_error("cannot listen on " + text(this->Local));
  this->Acceptor = std::thread([this]() {
    while (!this->Stopped) {
      pollfd Poll{this->Listener, POLLIN, 0};
      if (poll(&Poll, 1, 50) <= 0)
        continue;
      int Descriptor = accept4(this->Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Descriptor < 0)
        continue;
      int Enable = 1;
      setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &Enable, sizeof(Enable));
      ++this->Open;
      std::thread([this, Descriptor]() {
        {
          Connection Peer(Descriptor);
          this->Serve(Peer);
        }
        --this->Open;
      }).detach();
    }
  });
}

Server::~Server() { this->stop(); }

void Server::stop() {
  if (this->Stopped.exchange(true))
    return;
  this->Acceptor.join();
  ::close(this->Listener);
  // The threads end soon after their handlers have been told to stop.
  for (int Tries = 0; this->Open > 0 && Tries < 400; ++Tries)
    sleepFor(0.01);
}

Store::Store(const std::string &Ip) {
  this->Listener = std::make_unique<Server>(
      Address{Ip, 0}, [this](Connection &Peer) { this->serve(Peer); });
}

void Store::stop() {
  {
    std::lock_guard<std::mutex> Guard(this->Lock);
    this->Stopped = true;
  }
  this->Changed.notify_all();
  this->Listener->stop();
}

void Store::serve(Connection &Peer) {
  while (true) {
    {
      std::lock_guard<std::mutex> Guard(this->Lock);
      if (this->Stopped)
        return;
    }
    if (Peer.Ahead.empty()) {
      pollfd Poll{Peer.descriptor(), POLLIN, 0};
      if (poll(&Poll, 1, 100) <= 0)
        continue;
    }
    Message Request;
    if (!Peer.read(Request, now() + 5))
      return;
    auto [Status, Body] = this->answer(Request);
    sleepFor(0.004);
    if (!Peer.write(respond(Status, {{"Content-Type", "application/json"}},
                            Body.dump()),
                    now() + 5))
      return;
  }
}

json Store::object(const std::string &Name, const Entry &Value) const {
  return {{"metadata",
           {{"name", Name},
            {"revision", Value.Revision},
            {"created", Value.Created},
            {"finalizers", json::array()},
            {"deleting", false}}},
          {"specification", Value.Specification},
          {"status", Value.Status}};
}

void Store::write(const std::string &Kind, const std::string &Name,
                  const json &Specification) {
  std::lock_guard<std::mutex> Guard(this->Lock);
  auto &Value = this->Kinds[Kind][Name];
  if (Value.Revision != 0 && Value.Specification == Specification)
    return;
  Value.Specification = Specification;
  Value.Revision = ++this->Revision;
  if (Value.Created == 0)
    Value.Created = Value.Revision;
  this->History.push_back(
      {this->Revision, Kind, this->object(Name, Value), false});
  this->Changed.notify_all();
}

std::pair<int, json> Store::list(const std::string &Kind,
                                 const std::string &Query) {
  std::lock_guard<std::mutex> Guard(this->Lock);
  auto After = queryValue(Query, "after");
  auto Items = json::array();
  for (const auto &[Name, Value] : this->Kinds[Kind])
    if (Name > After)
      Items.push_back(this->object(Name, Value));
  return {200, {{"items", Items}, {"more", false}, {"at", this->Revision}}};
}

std::pair<int, json> Store::watch(const std::string &Kind, std::uint64_t After,
                                  int WaitMillis) {
  std::unique_lock<std::mutex> Guard(this->Lock);
  auto Until = Clock::now() + std::chrono::milliseconds(WaitMillis);
  while (true) {
    auto Events = json::array();
    for (const auto &Each : this->History)
      if (Each.Kind == Kind && Each.Revision > After)
        Events.push_back({{"object", Each.Object}, {"deleted", Each.Deleted}});
    bool IsOver = this->Stopped || Clock::now() >= Until;
    if (!Events.empty() || IsOver)
      return {200, {{"events", Events}, {"at", this->Revision}}};
    this->Changed.wait_until(Guard, Until);
  }
}

std::pair<int, json> Store::answer(const Message &Request) {
  const std::string Prefix = "/-/objects/";
  auto Target = Request.target();
  auto Mark = Target.find('?');
  auto Path = Target.substr(0, Mark);
  auto Query = Mark == std::string::npos ? "" : Target.substr(Mark + 1);
  if (Path.compare(0, Prefix.size(), Prefix) != 0)
    return {404, json::object()};
  auto Rest = Path.substr(Prefix.size());
  auto Slash = Rest.find('/');
  auto Kind = Rest.substr(0, Slash);
  auto Name = Slash == std::string::npos ? "" : Rest.substr(Slash + 1);
  if (Request.method() == "GET" && Name.empty()) {
    auto Watch = queryValue(Query, "watch");
    if (Watch.empty())
      return this->list(Kind, Query);
    auto Wait = std::atoi(queryValue(Query, "wait-ms").c_str());
    return this->watch(Kind, std::strtoull(Watch.c_str(), nullptr, 10),
                       std::min(Wait, 30000));
  }
  std::unique_lock<std::mutex> Guard(this->Lock);
  auto &Objects = this->Kinds[Kind];
  if (Request.method() == "GET") {
    auto Found = Objects.find(Name);
    if (Found == Objects.end())
      return {404, json::object()};
    return {200, this->object(Name, Found->second)};
  }
  if (Request.method() == "DELETE") {
    auto Found = Objects.find(Name);
    if (Found == Objects.end())
      return {404, json::object()};
    auto Old = this->object(Name, Found->second);
    Objects.erase(Found);
    this->History.push_back({++this->Revision, Kind, Old, true});
    this->Changed.notify_all();
    return {200, Old};
  }
  auto Body = json::parse(Request.Body, nullptr, false);
  if (Body.is_discarded() || !Body.contains("specification"))
    return {400, json::object()};
  if (Request.method() == "POST")
    Name = Body["metadata"].value("name", "");
  auto Found = Objects.find(Name);
  bool Exists = Found != Objects.end();
  if (Request.method() == "POST" ? Exists : !Exists)
    return Exists ? std::pair<int, json>{409, this->object(Name, Found->second)}
                  : std::pair<int, json>{404, json::object()};
  if (Exists && Body["metadata"].contains("revision") &&
      Body["metadata"]["revision"] != Found->second.Revision)
    return {409, this->object(Name, Found->second)};
  Guard.unlock();
  this->write(Kind, Name, Body["specification"]);
  Guard.lock();
  return {200, this->object(Name, this->Kinds[Kind][Name])};
}

Machine::Machine(std::string Name, std::string Zone, std::string Service,
                 const Address &StoreAddress)
    : Name(std::move(Name)), Zone(std::move(Zone)), Service(std::move(Service)),
      Ip(freeLoopback()), StoreAddress(StoreAddress) {
  std::vector<std::uint16_t> Ports;
  while (Ports.size() < 6) {
    auto Port = freePort(this->Ip);
    if (std::find(Ports.begin(), Ports.end(), Port) == Ports.end())
      Ports.push_back(Port);
  }
  this->Inbound = {this->Ip, Ports[0]};
  this->Application = {this->Ip, Ports[1]};
  this->Readiness = {this->Ip, Ports[2]};
  this->Outbound = {this->Ip, Ports[3]};
  this->Control = {this->Ip, Ports[4]};
  this->FirstInternalPort = Ports[5];
}

Machine::~Machine() {
  this->signal(SIGKILL);
  if (this->Process <= 0)
    return;
  waitpid(this->Process, nullptr, 0);
  forget(this->Process);
}

std::string Machine::logPath() const {
  return Scratch + "/" + this->Name + ".log";
}

void Machine::start(bool Bootstrap) {
  std::ifstream Template("platform/settings.yaml.template");
  std::stringstream Read;
  Read << Template.rdbuf();
  auto Text = Read.str();
  const std::map<std::string, std::string> Values = {
      {"node-name", this->Name},
      {"region", "trondelag"},
      {"zone", this->Zone},
      {"service", this->Service},
      {"application-address", text(this->Application)},
      {"bootstrap", Bootstrap ? "true" : "false"},
      {"listen-addresses.outbound", text(this->Outbound)},
      {"listen-addresses.inbound", text(this->Inbound)},
      {"listen-addresses.readiness-address", text(this->Readiness)},
      {"listen-addresses.control", text(this->Control)},
      {"ip-address", this->Ip},
      {"internal-port-range.0", std::to_string(this->FirstInternalPort)},
      {"platform.address", text(this->StoreAddress)},
      {"bounds.drain-timeout", "2000ms"},
      {"bounds.grace-period", "6s"},
      {"bounds.retry-budget-ratio", "0.2"},
      {"bounds.retry-budget-slack", "48"},
      {"bounds.budget-window", "10s"}};
  for (const auto &[Key, Value] : Values)
    Text = replaceAll(Text, "{{" + Key + "}}", Value);
  auto File = Scratch + "/" + this->Name + ".yaml";
  std::ofstream(File) << Text;
  auto Setting = "LIMPETDRUM_CONFIG=" + File;
  auto Log = this->logPath();
  std::vector<std::string> Environment = {Setting, "PATH=/usr/bin:/bin",
                                          "LANG=C"};
  std::vector<char *> Pointers;
  for (auto &Each : Environment)
    Pointers.push_back(Each.data());
  Pointers.push_back(nullptr);
  const char *Args[] = {"target/limpetdrum-sidecar", nullptr};
  auto Child = fork();
  if (Child == 0) {
    int Output = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(Output, STDOUT_FILENO);
    dup2(Output, STDERR_FILENO);
    execve(Args[0], const_cast<char **>(Args), Pointers.data());
    _exit(127);
  }
  this->Process = Child;
  remember(Child);
  Record::line("platform: " + this->Name + " (" + this->Service +
               ") is started, bootstrap = " + (Bootstrap ? "true" : "false"));
}

void Machine::signal(int Number) {
  if (this->Process > 0 && !this->hasEnded())
    kill(this->Process, Number);
}

void Machine::freeze(double Seconds) {
  auto Folder = "/proc/" + std::to_string(this->Process);
  auto State = [&]() {
    std::ifstream Stat(Folder + "/stat");
    std::string Line;
    std::getline(Stat, Line);
    auto End = Line.rfind(") ");
    return End == std::string::npos ? ' ' : Line[End + 2];
  };
  auto IsInCall = [&]() {
    std::ifstream Call(Folder + "/syscall");
    std::string Number;
    return static_cast<bool>(Call >> Number) && Number != "-1" &&
           Number != "running";
  };
  auto Until = now() + 1;
  while (true) {
    while (now() < Until && State() != 'R') {
    }
    this->signal(SIGSTOP);
    while (now() < Until && State() != 'T') {
    }
    if (now() >= Until || !IsInCall())
      break;
    this->signal(SIGCONT);
    sleepFor(0.001);
  }
  Record::line("platform: " + this->Name + " stands still");
  sleepFor(Seconds);
  this->signal(SIGCONT);
  Record::line("platform: " + this->Name + " goes on");
}

bool Machine::hasEnded() {
  if (this->Process <= 0)
    return true;
  int Status = 0;
  if (waitpid(this->Process, &Status, WNOHANG) != this->Process)
    return false;
  forget(this->Process);
  Record::line("platform: the process on " + this->Name + " has ended, " +
               (WIFEXITED(Status)
                    ? "exit status " + std::to_string(WEXITSTATUS(Status))
                    : "signal " + std::to_string(WTERMSIG(Status))));
  this->Process = -1;
  return true;
}

void Machine::stop() {
  this->signal(SIGTERM);
  Record::line("platform: SIGTERM to " + this->Name);
  auto Until = now() + GracePeriod;
  while (!this->hasEnded() && now() < Until)
    sleepFor(0.005);
  if (this->Process > 0) {
    Record::line("platform: SIGKILL to " + this->Name);
    this->signal(SIGKILL);
    while (!this->hasEnded())
      sleepFor(0.005);
  }
}

bool Machine::isReady() const {
  auto Peer = connectTo(this->Readiness, now() + 0.5);
  if (!Peer)
    return false;
  Message Answer;
  return Peer->write("GET /-/readiness HTTP/1.1\r\nHost: " +
                         text(this->Readiness) + "\r\n\r\n",
                     now() + 0.5) &&
         Peer->read(Answer, now() + 0.5) && Answer.status() == 200;
}

std::size_t Machine::peakMemory() const {
  if (this->Process <= 0)
    return 0;
  std::ifstream Status("/proc/" + std::to_string(this->Process) + "/status");
  for (std::string Line; std::getline(Status, Line);)
    if (Line.compare(0, 6, "VmHWM:") == 0)
      return std::strtoull(Line.c_str() + 6, nullptr, 10) * 1024;
  return 0;
}

Upstream::Upstream(Machine &Host, std::string Id, unsigned Slots)
    : Host(Host), Id(std::move(Id)), Slots(Slots), Born(unixMillis()) {
  this->Listener = std::make_unique<Server>(
      Host.Application, [this](Connection &Peer) { this->serve(Peer); });
}

Upstream::~Upstream() { this->stop(); }

void Upstream::stop() {
  if (this->Stopped.exchange(true))
    return;
  if (this->Reporter.joinable())
    this->Reporter.join();
  this->Listener->stop();
}

bool Upstream::send(const std::string &Method, const std::string &Body) {
  auto Until = now() + 1;
  auto Peer = connectTo(this->Host.Control, Until);
  Message Answer;
  return Peer &&
         Peer->write(Method + " /-/instances/" + this->Id +
                         " HTTP/1.1\r\nHost: " + text(this->Host.Control) +
                         "\r\nContent-Type: application/json\r\n"
                         "Content-Length: " +
                         std::to_string(Body.size()) + "\r\n\r\n" + Body,
                     Until) &&
         Peer->read(Answer, Until) && Answer.status() / 100 == 2;
}

bool Upstream::report(const std::string &State, std::uint64_t ReportSequence) {
  json Body = {{"address", text(this->Host.Application)},
               {"born", this->Born},
               {"server-info",
                {{"service", this->Host.Service},
                 {"version", "v1"},
                 {"zone", this->Host.Zone},
                 {"slots", this->Slots}}},
               {"status",
                {{"state", State},
                 {"sequence", ReportSequence},
                 {"cold-remaining", "0ms"}}}};
  return this->send("PUT", Body.dump());
}

bool Upstream::withdraw() { return this->send("DELETE", ""); }

void Upstream::startReports() {
  this->Reporter = std::thread([this]() {
    double Next = now();
    while (!this->Stopped) {
      if (now() >= Next && !this->ReportsStopped) {
        bool Acked = this->report(this->Leaving ? "draining" : "ready",
                                  ++this->Sequence);
        Next = now() + (Acked ? ReportPeriod : 0.3);
      }
      sleepFor(0.02);
    }
  });
}

std::vector<Run> Upstream::runs() {
  std::lock_guard<std::mutex> Guard(this->Lock);
  return this->Runs;
}

void Upstream::serve(Connection &Peer) {
  double IdleSince = now();
  while (!this->Stopped) {
    if (Peer.Ahead.empty()) {
      pollfd Poll{Peer.descriptor(), POLLIN, 0};
      if (poll(&Poll, 1, 50) <= 0) {
        constexpr double IdleLimit = 10;
        if (now() - IdleSince > IdleLimit)
          return;
        continue;
      }
    }
    Message Request;
    if (!Peer.read(Request, now() + 10))
      return;
    this->serveOne(Peer, Request);
    IdleSince = now();
  }
}

void Upstream::serveOne(Connection &Peer, const Message &Request) {
  auto Id = Request.field("X-Limpetdrum-Attempt-Id");
  auto Path = Request.target();
  Headers Fields = {
      {"X-Limpetdrum-Attempt-Id", Id},
      {"Keep-Alive", "timeout=10"},
      {"X-Limpetdrum-Server-Load",
       std::to_string(this->Running) + ",0," + std::to_string(this->Slots)}};
  if (Path == "/health") {
    Fields.emplace_back("X-Limpetdrum-Instance-Id", this->Id);
    Peer.write(respond(this->Leaving ? 503 : 200, Fields, ""), now() + 2);
    return;
  }
  auto Expected = Request.field("X-Limpetdrum-Expected-Instance");
  if (!Expected.empty() && Expected != this->Id) {
    Fields.emplace_back("X-Limpetdrum-Instance-Id", this->Id);
    Peer.write(respond(421, Fields, ""), now() + 2);
    return;
  }
  if (this->Running >= static_cast<int>(this->Slots)) {
    Fields.emplace_back("X-Limpetdrum-Not-Executed", "1");
    Peer.write(respond(503, Fields, ""), now() + 2);
    return;
  }
  ++this->Running;
  std::size_t Index = 0;
  {
    std::lock_guard<std::mutex> Guard(this->Lock);
    Index = this->Runs.size();
    this->Runs.push_back({Id, this->Id, now(), 0, false});
  }
  Record::line("upstream " + this->Id + " runs " + Id + " (" +
               Request.method() + " " + Path + ", " +
               std::to_string(Request.Body.size()) + " bytes)");
  auto Until = now() + static_cast<double>(numberAfter(Path, "/w")) / 1000;
  bool Dropped = false;
  while (now() < Until && !Dropped && !this->Stopped) {
    sleepFor(std::min(0.005, std::max(0.0, Until - now())));
    Dropped = Peer.hasEnded();
  }
  bool IsGood = Dropped || !this->Work || this->Work(Request);
  Dropped = Dropped || Peer.hasEnded();
  bool IsAnswered = false;
  if (!Dropped && !this->Stopped) {
    auto Length = static_cast<std::size_t>(numberAfter(Path, "/b"));
    auto Body = Id + " " + this->Id + " ";
    if (this->SendsPictures)
      Body += picture(Length);
    while (Body.size() < Length)
      Body += Id + "\n";
    Body.resize(std::max(Length, Id.size()));
    Fields.emplace_back("X-Limpetdrum-Response-Signature",
                        std::to_string(Body.size()) + "." + Id);
    IsAnswered =
        Peer.write(respond(IsGood ? 200 : 500, Fields, Body), now() + 5);
  }
  --this->Running;
  {
    std::lock_guard<std::mutex> Guard(this->Lock);
    this->Runs[Index].Ended = now();
    this->Runs[Index].IsAnswered = IsAnswered;
  }
  Record::line("upstream " + this->Id + " has " +
               (IsAnswered ? "answered " : "dropped ") + Id +
               (IsAnswered ? "" : ", as its connection was closed"));
}

std::string picture(std::size_t Size) {
  std::string Bytes(Size, ' ');
  std::uint64_t State = 88172645463325252ULL;
  for (auto &Each : Bytes) {
    State ^= State << 13U;
    State ^= State >> 7U;
    State ^= State << 17U;
    Each = static_cast<char>(State);
  }
  return Bytes;
}

std::string newId() {
  char Text[17];
  std::snprintf(Text, sizeof(Text), "%016llx",
                static_cast<unsigned long long>(randomNumber()));
  return Text;
}

Outcome ask(Connection &Peer, const RequestOptions &Options,
            const std::string &Id) {
  Outcome Result;
  Result.Id = Id;
  Result.Sent = now();
  auto Until = Result.Sent + Options.BudgetMillis / 1000.0;
  std::string Text = Options.Method + " " + Options.Path +
                     " HTTP/1.1\r\nHost: " + Host +
                     "\r\nX-Limpetdrum-Attempt-Id: " + Id +
                     "\r\nX-Limpetdrum-Deadline-Remaining-Ms: " +
                     std::to_string(Options.BudgetMillis) + "\r\n";
  if (!Options.MayKeep)
    Text += "Connection: close\r\n";
  if (!Options.Body.empty() || Options.Method != "GET")
    Text += "Content-Length: " + std::to_string(Options.Body.size()) + "\r\n";
  Text += "\r\n";
  bool IsWritten = Peer.write(Text, Until) && Peer.write(Options.Body, Until);
  Result.Sent = now();
  if (!IsWritten) {
    Result.IsClosedByNode = now() < Until;
    Result.Ended = now();
    return Result;
  }
  std::string Head;
  std::vector<char> Bytes(16384);
  bool IsOpen = true;
  auto Start = now();
  std::size_t Received = 0;
  std::size_t HeadEnd = std::string::npos;
  while (IsOpen && now() < Until) {
    // A slow reader takes no more than its rate allows.
    if (Options.BytesPerSecond > 0 && HeadEnd != std::string::npos) {
      auto Due = Start + static_cast<double>(Received) / Options.BytesPerSecond;
      sleepFor(std::min(Due, Until) - now());
    }
    auto Count = Peer.readSome(Bytes.data(), Bytes.size(), Until);
    if (Count <= 0) {
      Result.IsClosedByNode = Count != -2;
      IsOpen = false;
      break;
    }
    Received += static_cast<std::size_t>(Count);
    if (HeadEnd == std::string::npos) {
      Head.append(Bytes.data(), static_cast<std::size_t>(Count));
      HeadEnd = Head.find("\r\n\r\n");
      if (HeadEnd == std::string::npos)
        continue;
      Start = now();
      Message Parsed;
      Connection Reader(-1);
      Reader.Ahead = Head.substr(0, HeadEnd + 4);
      std::istringstream Lines(Reader.Ahead);
      std::string Line;
      std::getline(Lines, Parsed.Start);
      while (std::getline(Lines, Line)) {
        auto Colon = Line.find(": ");
        if (Colon != std::string::npos)
          Parsed.Fields.emplace_back(
              Line.substr(0, Colon),
              Line.substr(Colon + 2, Line.find('\r') - Colon - 2));
      }
      Result.Status = Parsed.status();
      Result.Length =
          std::strtoull(Parsed.field("Content-Length").c_str(), nullptr, 10);
      Result.HasReceipt =
          !Parsed.field("X-Limpetdrum-Response-Signature").empty();
      Result.BodyBytes = Head.size() - HeadEnd - 4;
      Result.Body = Head.substr(HeadEnd + 4, 64);
    } else {
      Result.BodyBytes += static_cast<std::size_t>(Count);
    }
    if (Result.BodyBytes >= Result.Length) {
      Result.IsComplete = true;
      break;
    }
  }
  Result.Ended = now();
  return Result;
}

std::string describe(const Outcome &Value) {
  std::ostringstream Text;
  Text.precision(3);
  Text << std::fixed << "client: " << Value.Id << " sent at " << Value.Sent
       << " ends at " << Value.Ended << ": status " << Value.Status << ", "
       << Value.BodyBytes << " of " << Value.Length << " bytes, "
       << (Value.IsComplete       ? "complete"
           : Value.IsClosedByNode ? "cut by the node"
                                  : "not complete at the time budget");
  return Text.str();
}

json route(const std::string &Prefix, const std::string &Kind,
           const std::string &Service, int TimeoutMillis, int MaxAttempts) {
  return {{"host", Host},
          {"path-prefix", Prefix},
          {"route-kind", Kind},
          {"timeout", std::to_string(TimeoutMillis) + "ms"},
          {"target-latency", "1500ms"},
          {"priority", Kind == "safe" ? 2 : 0},
          {"service", Service},
          {"max-attempts", MaxAttempts}};
}

json manifest(unsigned Version, const std::map<std::string, json> &Routes,
              const std::vector<std::string> &Services) {
  char Text[9];
  std::snprintf(Text, sizeof(Text), "%08x", Version);
  json Result = {{"version", Text},
                 {"routes", json::object()},
                 {"services", json::object()},
                 {"limits",
                  {{"max-header-bytes", 16384},
                   {"max-body-bytes", 67108864},
                   {"header-timeout", "3000ms"},
                   {"idle-timeout", "15000ms"}}}};
  for (const auto &[Name, Value] : Routes)
    Result["routes"][Name] = Value;
  for (const auto &Name : Services)
    Result["services"][Name] = {{"health-check-path", "/health"},
                                {"max-connections", 640},
                                {"protocol", "h1"},
                                {"tls", false}};
  return Result;
}

bool waitUntilReady(const std::vector<Machine *> &Machines, double Seconds) {
  auto Until = now() + Seconds;
  while (now() < Until) {
    if (std::all_of(Machines.begin(), Machines.end(),
                    [](const Machine *Each) { return Each->isReady(); }))
      return true;
    sleepFor(0.1);
  }
  return false;
}

bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

void begin(int Count, char **Args) {
  std::signal(SIGPIPE, SIG_IGN);
  for (int Number : {SIGTERM, SIGINT})
    std::signal(Number, [](int /*Number*/) { abandon(); });
  std::set_terminate(abandon);
  if (Count != 3) {
    std::cerr << "usage: " << Args[0] << " FOLDER-OF-THE-CASE SCRATCH-FOLDER\n";
    std::exit(CannotRun);
  }
  Scratch = Args[2];
  Record::open(std::string(Args[1]) + "/record.txt");
}

} // namespace review
