#include "NodeState.h"

#include "limpetdrum/process/Duties.h"
#include "limpetdrum/request/Position.h"

#include <fstream>

namespace limpetdrum {

namespace {

/// Time within which members confirm their revision.
constexpr Milliseconds ConfirmationTimeout{700};

std::size_t residentBytes() {
  std::ifstream Statm("/proc/self/statm");
  std::size_t Pages = 0;
  std::size_t Resident = 0;
  Statm >> Pages >> Resident;
  constexpr std::size_t PageBytes = 4096;
  return Resident * PageBytes;
}

nlohmann::json describe(const Member &M) {
  return {{"node", M.Node.value()},
          {"service", M.Service.value()},
          {"failure-domain", M.FailureDomain.value()},
          {"region", M.Region.value()},
          {"slots", M.Slots.value()},
          {"target", toString(M.Target)},
          {"health", toString(M.Health)}};
}

} // namespace

void Node::State::refreshGauges() {
  this->Counters.gauge("running",
                       static_cast<double>(this->LocalExecutor.running()));
  this->Counters.gauge("queued",
                       static_cast<double>(this->LocalExecutor.queued()));
  this->Counters.gauge("concurrency_limit",
                       static_cast<double>(this->LocalExecutor.limit()));
  this->Counters.gauge("admission_threshold", this->LocalExecutor.threshold());
  this->Counters.gauge("members",
                       static_cast<double>(this->Members.others().size() + 1));
  this->Counters.gauge("revision",
                       static_cast<double>(this->Releases.revision().value()));
  this->Counters.gauge("attempts_remembered",
                       static_cast<double>(this->LocalExecutor.ledgerSize()));
  this->Counters.gauge("level_watchers",
                       static_cast<double>(this->Notifier.watchers()));
  this->Counters.gauge("keys_remembered",
                       static_cast<double>(this->Keyed.size()));
  this->Counters.gauge("peer_connections_open",
                       static_cast<double>(this->Peers.size()));
  this->Counters.gauge("platform_calls",
                       static_cast<double>(this->Platform.calls()));
  this->Counters.gauge("release_watcher", holdsDuties(this->Members) ? 1 : 0);
  this->Counters.gauge("loop_delay_max_microseconds",
                       static_cast<double>(this->LongestLoopDelay.count()));
  this->Counters.gauge("resident_bytes", static_cast<double>(residentBytes()));
}

nlohmann::json Node::State::status() const {
  nlohmann::json Result = {{"node", this->Config.Node.value()},
                           {"revision", this->Releases.revision().value()},
                           {"running", this->LocalExecutor.running()},
                           {"queued", this->LocalExecutor.queued()},
                           {"limit", this->LocalExecutor.limit()},
                           {"threshold", this->LocalExecutor.threshold()},
                           {"platform-reached", this->Feed.platformReached()}};
  for (const auto &M : this->Members.list())
    Result["members"].push_back(describe(M));
  Result["levels"] = this->knownLevels();
  Result["p50-ms"] = this->Counters.quantiles(0.5);
  Result["p99-ms"] = this->Counters.quantiles(0.99);
  return Result;
}

nlohmann::json Node::State::knownLevels() const {
  auto Result = nlohmann::json::object();
  auto Current = this->Releases.current();
  if (!Current)
    return Result;
  for (const auto &Entry : Current->release().Services) {
    auto Level = this->Levels.threshold(Entry.second.Name, this->Now());
    if (Level < MaxRanks)
      Result[Entry.first] = Level;
  }
  return Result;
}

nlohmann::json Node::State::inForce() const {
  auto Current = this->Releases.current();
  auto CurrentTime = this->Now();
  nlohmann::json Result = {{"revision", this->Releases.revision().value()},
                           {"release", Current ? Current->text() : ""},
                           {"lagging", nlohmann::json::array()},
                           {"silent", nlohmann::json::array()}};
  std::size_t Confirmed = 1;
  for (const auto &[Node, M] : this->Members.others()) {
    if (M.Health == Health::Dead || M.Target == TargetState::Left)
      continue;
    auto Report = this->RevisionReports.find(Node);
    bool Fresh = Report != this->RevisionReports.end() &&
                 CurrentTime - Report->second.ReceivedAt <= ConfirmationTimeout;
    if (!Fresh) {
      Result["silent"].push_back(Node.value());
    } else if (Report->second.Revision < this->Releases.revision()) {
      auto Since = std::chrono::duration_cast<Milliseconds>(CurrentTime -
                                                            this->InForceSince);
      Result["lagging"].push_back(
          {{"node", Node.value()},
           {"revision", Report->second.Revision.value()},
           {"for-ms", Since.count()}});
    } else {
      ++Confirmed;
    }
  }
  Result["confirmed"] = Confirmed;
  return Result;
}

void Node::State::onAdmin(const std::shared_ptr<HttpExchange> &Exchange) {
  const HttpHeaders Json = {{header::ContentType, "application/json"}};
  if (Exchange->path() == "/metrics") {
    this->refreshGauges();
    Exchange->reply(200, {{header::ContentType, "text/plain; version=0.0.4"}},
                    this->Counters.text());
  } else if (Exchange->path() == "/status") {
    Exchange->reply(200, Json, this->status().dump(2) + "\n");
  } else if (Exchange->path() == "/in-force") {
    this->perform(this->Members.pingAll());
    auto SendReply = [this, Exchange, Json]() {
      Exchange->reply(200, Json, this->inForce().dump(2) + "\n");
    };
    // The callback owns its timer until it has run.
    auto Holder = std::make_shared<Timer>();
    *Holder = this->Loop.after(ConfirmationTimeout,
                               [SendReply, Holder]() { SendReply(); });
  } else {
    Exchange->reply(404, {}, "GET /metrics, /status or /in-force\n");
  }
}

} // namespace limpetdrum
