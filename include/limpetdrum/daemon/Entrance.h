#ifndef LIMPETDRUM_DAEMON_ENTRANCE_H
#define LIMPETDRUM_DAEMON_ENTRANCE_H

#include "limpetdrum/daemon/KeyedCalls.h"

#include <random>

namespace limpetdrum {

/// \brief Takes HTTP requests of clients and of the node's own target.
class Entrance {
public:
  struct Options {
    bool ShedAtEntry = true;
    bool BoundRetries = true;
    std::uint64_t Seed = 1;
  };

  Entrance(Options Chosen, Executor &Own, Caller &Calls, KeyedCalls &Keyed,
           const LevelTable &Levels, const InForce &Releases, Metrics &Counters,
           Clock Now);

  /// \brief A client's request, at any node.
  void onClient(std::shared_ptr<HttpExchange> Exchange);
  /// \brief A call of the node's own target.
  void onTarget(std::shared_ptr<HttpExchange> Exchange);
  /// \brief Requests that wait for their answer.
  [[nodiscard]] std::size_t openRequests() const noexcept { return this->Open; }

private:
  struct Entry;

  void enter(const std::shared_ptr<Entry> &E);
  void admit(const std::shared_ptr<Entry> &E);
  void begin(const std::shared_ptr<Entry> &E);
  void finish(const std::shared_ptr<Entry> &E, const Reply &Value);
  void reject(const std::shared_ptr<Entry> &E, int Status,
              const std::string &Problem);
  [[nodiscard]] bool bindParent(const std::shared_ptr<Entry> &E);
  [[nodiscard]] bool fillSpec(const std::shared_ptr<Entry> &E);
  [[nodiscard]] float threshold(const CompiledRoute &Route) const;

  Options Chosen;
  Executor &Own;
  Caller &Calls;
  KeyedCalls &Keyed;
  const LevelTable &Levels;
  const InForce &Releases;
  Metrics &Counters;
  Clock Now;
  std::mt19937_64 Random;
  RetryAfter ComeBack;
  std::size_t Open = 0;
  std::uint64_t LastEntry = 0;
};

} // namespace limpetdrum

#endif
