// A stand-in for a target. It waits for a service time instead of computing,
// calls other services through its node, and logs the keyed requests that it
// executes.
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
DEFINE_string(node, "", "egress address of the target's node; empty: no node");
DEFINE_string(service, "", "name of the target's service");
DEFINE_int32(slots, 10, "number of requests executed concurrently");
DEFINE_int32(announced_slots, 0,
             "number of slots announced; 0: the value of --slots");
DEFINE_int32(queue, 1000, "requests queued when all slots are in use");
DEFINE_double(service_ms, 10, "mean service time of a request, in ms");
DEFINE_int32(warm_up_ms, 0, "announced warm-up time, in ms");
DEFINE_string(calls, "", "calls made per path: path=callee+callee;path=callee");
DEFINE_string(
    direct, "",
    "without a node: addresses of callees, callee=address+address;...");
DEFINE_int32(direct_retries, 3, "without a node: retries of each call");
DEFINE_int32(direct_timeout_ms, 1000,
             "without a node: timeout of each call, in ms");
DEFINE_int32(answer_bytes, 200, "minimum length of an answer, in bytes");
DEFINE_string(log_to, "", "UDP address that each keyed run is reported to");
DEFINE_uint64(seed, 1, "seed of the random service times");

namespace {

using namespace limpetdrum;
using ExchangePtr = std::shared_ptr<HttpExchange>;
using PathMap = std::map<std::string, std::vector<std::string>>;

std::vector<std::string> split(const std::string &Text, char Separator) {
  std::vector<std::string> Parts;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, Separator);)
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
      this->AnnounceRetry =
          this->Loop.after(Milliseconds(100), [this]() { this->announce(); });
    });
  }

  void onRequest(const ExchangePtr &Exchange) {
    if (Exchange->path() == "/control") {
      this->control(Exchange);
      return;
    }
    if (this->Running >= FLAGS_slots &&
        this->Queue.size() >= static_cast<std::size_t>(FLAGS_queue)) {
      ++this->Shed;
      Exchange->reply(503, {{header::Outcome, "not-run"}}, "");
      return;
    }
    auto Job = std::make_shared<Work>();
    Job->Exchange = Exchange;
    Exchange->onClientDisconnect([this, Weak = std::weak_ptr<Work>(Job)]() {
      if (auto Work = Weak.lock())
        this->abandon(Work);
    });
    this->Queue.push_back(Job);
    this->startQueued();
  }

private:
  struct Work {
    ExchangePtr Exchange;
    Timer ServiceTimer;
    std::size_t NextCall = 0;
    int TriesLeft = 0;
    std::size_t Address = 0;
    std::uint64_t Ticket = 0;
    HttpClient *Client = nullptr;
    bool Running = false;
    bool Done = false;
  };
  using WorkPtr = std::shared_ptr<Work>;

  void startQueued() {
    while (this->Running < FLAGS_slots && !this->Queue.empty()) {
      auto Job = this->Queue.front();
      this->Queue.pop_front();
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
    Job->ServiceTimer =
        this->Loop.after(Microseconds(static_cast<std::int64_t>(Span * 1000)),
                         [this, Weak = std::weak_ptr<Work>(Job)]() {
                           if (auto Work = Weak.lock())
                             this->callNext(Work);
                         });
    this->Jobs[Job.get()] = Job;
  }

  /// Reports a run to the harness, because a log in this process would be lost
  /// when the process is killed.
  void logRun(const std::string &Run) {
    ++this->RunsOfKey[Run];
    if (this->RunLog)
      this->RunLog->send(parseEndpoint(FLAGS_log_to),
                         FLAGS_listen + " " +
                             std::to_string(++this->LastLogNumber) + " " + Run);
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
    Job->Client = this->Node.get();
    if (this->Node) {
      Call.Headers.emplace_back(header::Attempt,
                                Job->Exchange->header(header::Attempt));
      Call.Timeout = std::chrono::seconds(60);
    } else {
      const auto &Addresses = this->Direct[Callee];
      Job->Client =
          this->Peers[Addresses[this->Random() % Addresses.size()]].get();
      Call.Timeout = Milliseconds(FLAGS_direct_timeout_ms);
    }
    std::weak_ptr<Work> Weak = Job;
    Job->Ticket =
        Job->Client->send(Call, [this, Weak](const HttpResponse &Answer) {
          if (auto Work = Weak.lock())
            this->onAnswer(Work, Answer);
        });
  }

  void onAnswer(const WorkPtr &Job, const HttpResponse &Answer) {
    Job->Client = nullptr;
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
    this->startQueued();
  }

  void abandon(const WorkPtr &Job) {
    if (Job->Done)
      return;
    ++this->Abandoned;
    if (Job->Client != nullptr)
      Job->Client->cancel(Job->Ticket);
    this->release(Job);
    this->startQueued();
  }

  void release(const WorkPtr &Job) {
    Job->Done = true;
    Job->ServiceTimer.cancel();
    if (Job->Running)
      --this->Running;
    this->Jobs.erase(Job.get());
  }

  void control(const ExchangePtr &Exchange) {
    const std::string Prefix = "slow=";
    if (Exchange->query().compare(0, Prefix.size(), Prefix) == 0)
      this->SlowFactor = std::stod(Exchange->query().substr(Prefix.size()));
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
  std::deque<WorkPtr> Queue;
  std::map<Work *, WorkPtr> Jobs;
  std::map<std::string, std::uint64_t> RunsOfKey;
  std::unique_ptr<DatagramSocket> RunLog;
  std::uint64_t LastLogNumber = 0;
  int Running = 0;
  double SlowFactor = 1;
  double BusyMillis = 0;
  std::uint64_t Started = 0;
  std::uint64_t Completed = 0;
  std::uint64_t Failed = 0;
  std::uint64_t Abandoned = 0;
  std::uint64_t Shed = 0;
  Timer AnnounceRetry;
};

} // namespace

int main(int ArgCount, char **Args) {
  gflags::SetUsageMessage("a stand-in for a target");
  gflags::ParseCommandLineFlags(&ArgCount, &Args, true);
  try {
    EventLoop Loop;
    Target StandIn(Loop);
    HttpServer Server(Loop, parseEndpoint(FLAGS_listen),
                      [&StandIn](const ExchangePtr &Exchange) {
                        StandIn.onRequest(Exchange);
                      });
    if (!FLAGS_node.empty())
      StandIn.announce();
    Loop.run();
  } catch (const Error &E) {
    std::cerr << E.what() << "\n";
    return 1;
  }
}
