// A stand-in for a target: it waits instead of computing, calls other
// services through its node, and keeps a log of what it ran.
#include "limpetdrum/Limpetdrum.h"
#include "limpetdrum/connection/Datagram.h"
#include "limpetdrum/daemon/Executor.h"

#include <deque>
#include <easylogging++.h>
#include <gflags/gflags.h>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

INITIALIZE_EASYLOGGINGPP

DEFINE_string(listen, "127.0.0.1:7500", "address of the target");
DEFINE_string(node, "", "egress address of its node; empty: no node");
DEFINE_string(service, "", "its service");
DEFINE_int32(slots, 10, "requests served at once");
DEFINE_int32(announced_slots, 0, "slots announced; 0: the real ones");
DEFINE_int32(queue, 1000, "requests that wait inside, beyond the slots");
DEFINE_double(service_ms, 10, "mean time a request takes");
DEFINE_int32(warm_up_ms, 0, "announced time to warm up");
DEFINE_string(calls, "", "path=callee+callee;path=callee");
DEFINE_string(direct, "", "without a node: callee=address+address;...");
DEFINE_int32(direct_retries, 3, "without a node: retries of each call");
DEFINE_int32(direct_timeout_ms, 1000, "without a node: limit of each call");
DEFINE_int32(answer_bytes, 200, "length of an answer");
DEFINE_string(log_to, "", "UDP address that hears of each keyed run");
DEFINE_uint64(seed, 1, "for service times");

namespace {

using namespace limpetdrum;
using ExchangePtr = std::shared_ptr<HttpExchange>;
using PathMap = std::map<std::string, std::vector<std::string>>;

std::vector<std::string> split(const std::string &Text, char At) {
  std::vector<std::string> Parts;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, At);)
    Parts.push_back(Part);
  return Parts;
}

PathMap parsePaths(const std::string &Text) {
  PathMap Result;
  for (const auto &Entry : split(Text, ';')) {
    auto Equals = Entry.find('=');
    Result[Entry.substr(0, Equals)] = split(Entry.substr(Equals + 1), '+');
  }
  return Result;
}

class Target {
public:
  explicit Target(EventLoop &Loop)
      : Loop(Loop), Calls(parsePaths(FLAGS_calls)),
        Direct(parsePaths(FLAGS_direct)), Random(FLAGS_seed) {
    if (!FLAGS_log_to.empty())
      this->RunLog = std::make_unique<DatagramSocket>(
          Loop, Endpoint{0x7f000001, 0}, [](const std::string &) {});
    if (!FLAGS_node.empty())
      this->Node =
          std::make_unique<HttpClient>(Loop, parseEndpoint(FLAGS_node));
    for (const auto &Entry : this->Direct)
      for (const auto &Address : Entry.second)
        if (this->Peers.count(Address) == 0)
          this->Peers[Address] =
              std::make_unique<HttpClient>(Loop, parseEndpoint(Address));
  }

  void announce() {
    HttpCall Call;
    Call.Method = "POST";
    Call.Path = "/limpetdrum/v1/announce";
    auto Slots =
        FLAGS_announced_slots > 0 ? FLAGS_announced_slots : FLAGS_slots;
    nlohmann::json Body = {{"service", FLAGS_service},
                           {"slots", Slots},
                           {"warm-up-ms", FLAGS_warm_up_ms},
                           {"address", FLAGS_listen}};
    Call.Body = Body.dump();
    this->Node->send(Call, [this](const HttpResponse &Answer) {
      if (Answer.Status == 200)
        return;
      this->Retry =
          this->Loop.after(Milliseconds(100), [this]() { this->announce(); });
    });
  }

  void onRequest(const ExchangePtr &Exchange) {
    if (Exchange->path() == "/control") {
      this->control(Exchange);
      return;
    }
    if (this->Running >= FLAGS_slots &&
        this->Waiting.size() >= static_cast<std::size_t>(FLAGS_queue)) {
      ++this->Shed;
      Exchange->reply(503, {{header::Outcome, "not-run"}}, "");
      return;
    }
    auto Job = std::make_shared<Work>();
    Job->Exchange = Exchange;
    Exchange->onClientDisconnect([this, Weak = std::weak_ptr<Work>(Job)]() {
      if (auto Left = Weak.lock())
        this->abandon(Left);
    });
    this->Waiting.push_back(Job);
    this->fill();
  }

private:
  struct Work {
    ExchangePtr Exchange;
    Timer Wait;
    std::size_t NextCall = 0;
    int TriesLeft = 0;
    std::size_t Address = 0;
    std::uint64_t Ticket = 0;
    HttpClient *Through = nullptr;
    bool Running = false;
    bool Done = false;
  };
  using WorkPtr = std::shared_ptr<Work>;

  void fill() {
    while (this->Running < FLAGS_slots && !this->Waiting.empty()) {
      auto Job = this->Waiting.front();
      this->Waiting.pop_front();
      if (!Job->Done)
        this->run(Job);
    }
  }

  void run(const WorkPtr &Job) {
    Job->Running = true;
    ++this->Running;
    ++this->Started;
    auto Key = Job->Exchange->header(header::IdempotencyKey);
    if (!Key.empty())
      this->logRun(Job->Exchange->path() + " " + Key);
    std::uniform_real_distribution<double> Spread(0.5, 1.5);
    auto Span = FLAGS_service_ms * this->SlowFactor * Spread(this->Random);
    this->BusyMillis += Span;
    Job->TriesLeft = FLAGS_direct_retries;
    Job->Wait =
        this->Loop.after(Microseconds(static_cast<std::int64_t>(Span * 1000)),
                         [this, Weak = std::weak_ptr<Work>(Job)]() {
                           if (auto Again = Weak.lock())
                             this->callNext(Again);
                         });
    this->Jobs[Job.get()] = Job;
  }

  /// Tells the outside, where the log survives this process.
  void logRun(const std::string &Run) {
    ++this->RunsOfKey[Run];
    if (this->RunLog)
      this->RunLog->send(parseEndpoint(FLAGS_log_to),
                         FLAGS_listen + " " + std::to_string(++this->Logged) +
                             " " + Run);
  }

  void callNext(const WorkPtr &Job) {
    if (Job->Done)
      return;
    auto Found = this->Calls.find(Job->Exchange->path());
    if (Found == this->Calls.end() || Job->NextCall == Found->second.size()) {
      this->finish(Job, 200);
      return;
    }
    const auto &Callee = Found->second[Job->NextCall];
    HttpCall Call;
    Call.Method = "POST";
    Call.Path = Callee;
    Call.Body = Job->Exchange->body();
    auto Key = Job->Exchange->header(header::IdempotencyKey);
    if (!Key.empty())
      Call.Headers.emplace_back(header::IdempotencyKey, Key);
    Job->Through = this->Node.get();
    if (this->Node) {
      Call.Headers.emplace_back(header::Attempt,
                                Job->Exchange->header(header::Attempt));
      Call.Timeout = std::chrono::seconds(60);
    } else {
      const auto &Addresses = this->Direct[Callee];
      Job->Through =
          this->Peers[Addresses[this->Random() % Addresses.size()]].get();
      Call.Timeout = Milliseconds(FLAGS_direct_timeout_ms);
    }
    std::weak_ptr<Work> Weak = Job;
    Job->Ticket =
        Job->Through->send(Call, [this, Weak](const HttpResponse &Answer) {
          if (auto Caller = Weak.lock())
            this->onAnswer(Caller, Answer);
        });
  }

  void onAnswer(const WorkPtr &Job, const HttpResponse &Answer) {
    Job->Through = nullptr;
    if (Job->Done)
      return;
    if (Answer.Outcome == HttpOutcome::Answered && Answer.Status == 200) {
      ++Job->NextCall;
      Job->TriesLeft = FLAGS_direct_retries;
      this->callNext(Job);
      return;
    }
    if (!this->Node && Job->TriesLeft-- > 0) {
      this->callNext(Job);
      return;
    }
    this->finish(Job, 502);
  }

  void finish(const WorkPtr &Job, int Status) {
    this->release(Job);
    ++(Status == 200 ? this->Completed : this->Failed);
    auto Body = Job->Exchange->body();
    Body.resize(std::max<std::size_t>(
                    Body.size(), static_cast<std::size_t>(FLAGS_answer_bytes)),
                '.');
    Job->Exchange->reply(Status, {{header::ContentType, "text/plain"}}, Body);
    this->fill();
  }

  void abandon(const WorkPtr &Job) {
    if (Job->Done)
      return;
    ++this->Abandoned;
    if (Job->Through != nullptr)
      Job->Through->cancel(Job->Ticket);
    this->release(Job);
    this->fill();
  }

  void release(const WorkPtr &Job) {
    Job->Done = true;
    Job->Wait.cancel();
    if (Job->Running)
      --this->Running;
    this->Jobs.erase(Job.get());
  }

  void control(const ExchangePtr &Exchange) {
    const std::string Slow = "slow=";
    if (Exchange->query().compare(0, Slow.size(), Slow) == 0)
      this->SlowFactor = std::stod(Exchange->query().substr(Slow.size()));
    nlohmann::json Body = {
        {"started", this->Started}, {"completed", this->Completed},
        {"failed", this->Failed},   {"abandoned", this->Abandoned},
        {"shed", this->Shed},       {"busy-ms", this->BusyMillis},
        {"running", this->Running}};
    if (Exchange->query() == "keys=1")
      Body["runs-of-key"] = this->RunsOfKey;
    Exchange->reply(200, {}, Body.dump() + "\n");
  }

  EventLoop &Loop;
  PathMap Calls;
  PathMap Direct;
  std::mt19937_64 Random;
  std::unique_ptr<HttpClient> Node;
  std::map<std::string, std::unique_ptr<HttpClient>> Peers;
  std::deque<WorkPtr> Waiting;
  std::map<Work *, WorkPtr> Jobs;
  std::map<std::string, std::uint64_t> RunsOfKey;
  std::unique_ptr<DatagramSocket> RunLog;
  std::uint64_t Logged = 0;
  int Running = 0;
  double SlowFactor = 1;
  double BusyMillis = 0;
  std::uint64_t Started = 0;
  std::uint64_t Completed = 0;
  std::uint64_t Failed = 0;
  std::uint64_t Abandoned = 0;
  std::uint64_t Shed = 0;
  Timer Retry;
};

} // namespace

int main(int ArgCount, char **Args) {
  gflags::SetUsageMessage("a stand-in for a target");
  gflags::ParseCommandLineFlags(&ArgCount, &Args, true);
  try {
    EventLoop Loop;
    Target Stand(Loop);
    HttpServer Server(
        Loop, parseEndpoint(FLAGS_listen),
        [&Stand](const ExchangePtr &Exchange) { Stand.onRequest(Exchange); });
    if (!FLAGS_node.empty())
      Stand.announce();
    Loop.run();
  } catch (const Error &E) {
    std::cerr << E.what() << "\n";
    return 1;
  }
}
