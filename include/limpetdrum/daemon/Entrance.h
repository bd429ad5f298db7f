#ifndef LIMPETDRUM_DAEMON_ENTRANCE_H
#define LIMPETDRUM_DAEMON_ENTRANCE_H

#include "limpetdrum/daemon/KeyedCalls.h"

#include <random>

namespace limpetdrum {

/// \brief Accepts HTTP requests from clients and from the local target.
class Entrance {
public:
  struct Options {
    bool ShedAtEntry = true;
    bool BoundRetries = true;
    std::uint64_t Seed = 1;
  };

  Entrance(Options Config, Executor &LocalExecutor, Caller &Calls,
           KeyedCalls &Keyed, const LevelTable &Levels, const InForce &Releases,
           Metrics &Counters, Clock Now);

  /// \brief Handles a request from a client, which may use any node.
  void onClientRequest(std::shared_ptr<HttpExchange> Exchange);
  /// \brief Handles a call from the local target.
  void onTargetCall(std::shared_ptr<HttpExchange> Exchange);
  /// \brief Refuses all further requests: the process is about to end.
  void close() noexcept { this->IsClosed = true; }
  /// \brief Returns the number of requests without a reply.
  [[nodiscard]] std::size_t openRequests() const noexcept {
    return this->OpenCount;
  }

private:
  struct Entry;

  void enter(const std::shared_ptr<Entry> &E);
  void admit(const std::shared_ptr<Entry> &E);
  void begin(const std::shared_ptr<Entry> &E);
  void finish(const std::shared_ptr<Entry> &E, const Reply &Value);
  void reject(const std::shared_ptr<Entry> &E, int Status,
              const std::string &Problem);
  /// Finds the attempt that a call of the target belongs to.
  /// \returns false if the request was replied to instead.
  [[nodiscard]] bool bindParent(const std::shared_ptr<Entry> &E);
  /// Fills the attempt specification from the request, route and parent.
  /// \returns false if the request was replied to instead.
  [[nodiscard]] bool fillSpec(const std::shared_ptr<Entry> &E);
  /// \returns the lowest threshold of the services that the route reaches.
  [[nodiscard]] float threshold(const CompiledRoute &Route) const;

  Options Config;
  Executor &LocalExecutor;
  Caller &Calls;
  KeyedCalls &Keyed;
  const LevelTable &Levels;
  const InForce &Releases;
  Metrics &Counters;
  Clock Now;
  std::mt19937_64 Random;
  RetryAfter RetryDelays;
  std::size_t OpenCount = 0;
  bool IsClosed = false;
  std::uint64_t LastEntry = 0;
};

} // namespace limpetdrum

#endif
