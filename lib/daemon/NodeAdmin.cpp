#include "NodeState.h"

#include "limpetdrum/request/Position.h"

#include <fstream>

namespace limpetdrum {

namespace {

/// How long a round of confirmations may take.
constexpr Milliseconds ConfirmTime{700};

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
  this->Counters.gauge("running", static_cast<double>(this->Own.running()));
  this->Counters.gauge("queued", static_cast<double>(this->Own.queued()));
  this->Counters.gauge("concurrency_limit",
                       static_cast<double>(this->Own.limit()));
  this->Counters.gauge("admission_threshold", this->Own.threshold());
  this->Counters.gauge("members",
                       static_cast<double>(this->Members.others().size() + 1));
  this->Counters.gauge("revision",
                       static_cast<double>(this->Releases.revision().value()));
  this->Counters.gauge("attempts_remembered",
                       static_cast<double>(this->Own.remembered()));
  this->Counters.gauge("level_watchers",
                       static_cast<double>(this->Board.watchers()));
  this->Counters.gauge("keys_remembered",
                       static_cast<double>(this->Keyed.size()));
  this->Counters.gauge("peer_connections_open",
                       static_cast<double>(this->Peers.size()));
  this->Counters.gauge("platform_calls",
                       static_cast<double>(this->Platform.calls()));
  this->Counters.gauge("release_watcher", this->Feed.isWatcher() ? 1 : 0);
  this->Counters.gauge("resident_bytes", static_cast<double>(residentBytes()));
}

nlohmann::json Node::State::status() const {
  nlohmann::json Result = {{"node", this->Chosen.Node.value()},
                           {"revision", this->Releases.revision().value()},
                           {"running", this->Own.running()},
                           {"queued", this->Own.queued()},
                           {"limit", this->Own.limit()},
                           {"threshold", this->Own.threshold()},
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
  auto Time = this->Now();
  nlohmann::json Result = {{"revision", this->Releases.revision().value()},
                           {"release", Current ? Current->text() : ""},
                           {"lagging", nlohmann::json::array()},
                           {"silent", nlohmann::json::array()}};
  std::size_t Confirmed = 1;
  for (const auto &[Node, M] : this->Members.others()) {
    if (M.Health == Health::Dead || M.Target == TargetState::Left)
      continue;
    auto Seen = this->Sightings.find(Node);
    bool Fresh =
        Seen != this->Sightings.end() && Time - Seen->second.At <= ConfirmTime;
    if (!Fresh) {
      Result["silent"].push_back(Node.value());
    } else if (Seen->second.Revision < this->Releases.revision()) {
      auto Since =
          std::chrono::duration_cast<Milliseconds>(Time - this->InForceSince);
      Result["lagging"].push_back({{"node", Node.value()},
                                   {"revision", Seen->second.Revision.value()},
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
    auto Answer = [this, Exchange, Json]() {
      Exchange->reply(200, Json, this->inForce().dump(2) + "\n");
    };
    // The timer keeps itself until it has run.
    auto Holder = std::make_shared<Timer>();
    *Holder = this->Loop.after(ConfirmTime, [Answer, Holder]() { Answer(); });
  } else {
    Exchange->reply(404, {}, "GET /metrics, /status or /in-force\n");
  }
}

} // namespace limpetdrum
