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

/// \brief Number and properties of the targets of one service.
struct ServiceSpec {
  std::string Name;
  unsigned Targets = 1;
  unsigned Slots = 10;
  unsigned AnnouncedSlots = 0; ///< 0: the value of Slots
  double ServiceMillis = 10;   ///< mean service time
  unsigned Queue = 1000;       ///< requests queued when all slots are in use
  unsigned WarmUpMillis = 0;
};

/// \brief Processes that a test harness starts, and their configuration.
struct FleetSpec {
  std::vector<std::string> Domains = {"a"};
  std::vector<ServiceSpec> Services;
  std::string Note;          ///< the first release note
  std::string ProgramFolder; ///< folder of the built programs
  std::string WorkFolder;    ///< folder for settings and logs
  std::uint16_t BasePort = 21000;
  bool UsesRelays =
      false; ///< places a relay in front of each node's RPC endpoint
  bool UsesNodes = true; ///< false: targets call each other directly
  bool RegionPerDomain = false;
  /// Mechanisms disabled in all nodes: shed-at-entry, shed-by-class or
  /// bound-retries.
  std::vector<std::string> DisabledMechanisms;
};

/// \brief Parses the fleet file of a scenario.
/// \param File the file name used in error messages.
/// \throws SourceError if a key is missing, unknown or has an invalid value.
[[nodiscard]] FleetSpec parseFleet(YamlMap Map, const std::string &File);

/// \brief Runs the platform stand-in, the nodes and the targets as processes on
///   loopback.
class Fleet {
public:
  struct Member {
    std::string Name;
    ServiceSpec Service;
    std::string Domain;
    std::uint16_t Port = 0; ///< first of ten consecutive ports
    std::unique_ptr<Process> Node;
    std::unique_ptr<Process> Target;
    std::unique_ptr<bench::Relay> Relay;
    unsigned TargetStarts = 0; ///< number of times the target was started
    bool AcceptsClients = true;
  };

  Fleet(EventLoop &Loop, FleetSpec Spec);

  void startPlatform();
  void startAll();
  void startNode(Member &M);
  void startTarget(Member &M);
  /// \brief Publishes the first release note, and waits until every node has it
  ///   in force and reports all targets as ready.
  /// \param Limit the time limit for each of the two steps.
  /// \returns false if a time limit was exceeded.
  [[nodiscard]] bool publishFirstNote(Milliseconds Limit);
  /// \brief Starts limpetctl.
  /// \param Log the name of its log file in the work folder.
  [[nodiscard]] std::unique_ptr<Process>
  startLimpetctl(const std::vector<std::string> &Args, const std::string &Log);

  /// \throws ValueError if no member has the name.
  [[nodiscard]] Member &member(const std::string &Name);
  [[nodiscard]] std::vector<std::unique_ptr<Member>> &members() {
    return this->Members;
  }
  [[nodiscard]] Endpoint ingress(const Member &M) const;
  [[nodiscard]] Endpoint admin(const Member &M) const;
  [[nodiscard]] Endpoint target(const Member &M) const;
  [[nodiscard]] Endpoint platform() const;

  /// \brief Sets the entry addresses of all paths in a load generator.
  void assignEntries(LoadGenerator &Load) const;
  /// \brief Addresses of the targets that executed each `path key`, one entry
  ///   per run, including runs before a restart of the target.
  [[nodiscard]] const std::map<std::string, std::vector<std::string>> &
  runs() const noexcept {
    return this->Runs;
  }
  /// \brief Returns true if no log entry of a target was lost in transit.
  [[nodiscard]] bool isRunLogComplete() const noexcept {
    return this->RunLogComplete;
  }

  /// \brief Sends a GET, and runs the loop until its answer has arrived.
  /// \returns a null value if there was no answer.
  nlohmann::json getJson(Endpoint Server, const std::string &Path);
  /// \brief Sends a GET, and runs the loop until its answer has arrived.
  /// \returns the body, or an empty string if there was no answer.
  std::string getText(Endpoint Server, const std::string &Path);
  void runFor(Milliseconds Span);
  /// \brief Runs the loop until a condition holds.
  /// \returns false if the condition did not hold within \p Limit.
  [[nodiscard]] bool runUntil(const std::function<bool()> &Condition,
                              Milliseconds Limit);
  [[nodiscard]] const FleetSpec &spec() const noexcept { return this->Spec; }

private:
  [[nodiscard]] std::string buildSettings(const Member &M) const;
  [[nodiscard]] std::string formatCalls() const;
  [[nodiscard]] std::string formatDirectCalls() const;
  void onRunLogEntry(const std::string &Bytes);

  EventLoop &Loop;
  FleetSpec Spec;
  std::vector<std::unique_ptr<Member>> Members;
  std::unique_ptr<Process> Platform;
  std::unique_ptr<DatagramSocket> RunLog;
  std::map<std::string, std::vector<std::string>> Runs;
  std::map<std::string, std::uint64_t> LastLogNumbers;
  std::map<std::string, std::vector<std::string>> Calls; ///< callees by path
  bool RunLogComplete = true;
};

} // namespace limpetdrum::bench

#endif
