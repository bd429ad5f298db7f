#ifndef LIMPETDRUM_STANDINS_BENCH_FLEET_H
#define LIMPETDRUM_STANDINS_BENCH_FLEET_H

#include "LoadGenerator.h"
#include "Process.h"
#include "Relay.h"
#include "limpetdrum/connection/Datagram.h"
#include "limpetdrum/process/YamlMap.h"

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>

namespace limpetdrum::bench {

/// \brief The targets of one service.
struct ServiceSpec {
  std::string Name;
  unsigned Targets = 1;
  unsigned Slots = 10;
  unsigned AnnouncedSlots = 0; ///< 0: the real ones
  double ServiceMillis = 10;
  unsigned Queue = 1000; ///< what a target holds beyond its slots
  unsigned WarmUpMillis = 0;
};

/// \brief What a harness starts.
struct FleetSpec {
  std::vector<std::string> Domains = {"a"};
  std::vector<ServiceSpec> Services;
  std::string Note;          ///< the first release note
  std::string ProgramFolder; ///< where the programs were built
  std::string WorkFolder;    ///< for settings and logs
  std::uint16_t BasePort = 21000;
  bool Relays = false; ///< put a relay before each node's RPC endpoint
  bool Nodes = true;   ///< false: targets call each other directly
  bool RegionPerDomain = false;
  /// Switched off in all nodes: shed-at-entry, shed-by-class, bound-retries.
  std::vector<std::string> Off;
};

/// \brief Reads the `fleet` block of a scenario.
[[nodiscard]] FleetSpec parseFleet(YamlMap Map, const std::string &File);

/// \brief Real processes on loopback: platform, nodes and targets.
class Fleet {
public:
  struct Member {
    std::string Name;
    ServiceSpec Service;
    std::string Domain;
    std::uint16_t Port = 0; ///< the first of ten
    std::unique_ptr<Process> Node;
    std::unique_ptr<Process> Target;
    std::unique_ptr<bench::Relay> Relay;
    unsigned Lives = 0;
    bool TakesClients = true;
  };

  Fleet(EventLoop &Loop, FleetSpec Spec);

  void startPlatform();
  void startAll();
  void startNode(Member &M);
  void startTarget(Member &M);
  /// \brief Publishes the first note, and waits until all confirm it.
  /// \returns false if they did not within \p Limit.
  [[nodiscard]] bool publishFirst(Milliseconds Limit);
  /// \brief Starts limpetctl.
  [[nodiscard]] std::unique_ptr<Process>
  control(const std::vector<std::string> &Args, const std::string &Log);

  [[nodiscard]] Member &member(const std::string &Name);
  [[nodiscard]] std::vector<std::unique_ptr<Member>> &members() {
    return this->Members;
  }
  [[nodiscard]] Endpoint ingress(const Member &M) const;
  [[nodiscard]] Endpoint admin(const Member &M) const;
  [[nodiscard]] Endpoint target(const Member &M) const;
  [[nodiscard]] Endpoint platform() const;

  /// \brief Points a load generator at the entries of all paths.
  void aim(LoadGenerator &Load) const;
  /// \brief Where each `path key` ran, over all lives of targets.
  [[nodiscard]] const std::map<std::string, std::vector<std::string>> &
  runs() const noexcept {
    return this->Runs;
  }
  /// \brief Whether a log entry of a target was lost on the way here.
  [[nodiscard]] bool logIsWhole() const noexcept { return this->LogWhole; }

  /// \brief A GET that waits for its answer, running the loop.
  /// \returns a null value if none came.
  nlohmann::json ask(Endpoint Where, const std::string &Path);
  /// \returns an empty text if no answer came.
  std::string askText(Endpoint Where, const std::string &Path);
  void runFor(Milliseconds Span);
  /// \brief Runs the loop until a condition holds.
  /// \returns false if it did not within \p Limit.
  [[nodiscard]] bool runUntil(const std::function<bool()> &Holds,
                              Milliseconds Limit);
  [[nodiscard]] const FleetSpec &spec() const noexcept { return this->Spec; }

private:
  [[nodiscard]] std::string settingsOf(const Member &M) const;
  [[nodiscard]] std::string callsText() const;
  [[nodiscard]] std::string directText() const;
  void onRun(const std::string &Bytes);

  EventLoop &Loop;
  FleetSpec Spec;
  std::vector<std::unique_ptr<Member>> Members;
  std::unique_ptr<Process> Platform;
  std::unique_ptr<DatagramSocket> RunLog;
  std::map<std::string, std::vector<std::string>> Runs;
  std::map<std::string, std::uint64_t> LastLogged;
  std::map<std::string, std::vector<std::string>> Calls; ///< by path
  bool LogWhole = true;
};

} // namespace limpetdrum::bench

#endif
