#ifndef LIMPETDRUM_SOAK_SOAK_H
#define LIMPETDRUM_SOAK_SOAK_H

#include "Process.h"
#include "Relay.h"
#include "Store.h"
#include "Target.h"
#include "Witness.h"

#include <deque>

namespace limpetdrum::soak {

/// \brief One soak run: real sidecar processes under client load and random
///   faults that are drawn from a seed.
class Soak {
public:
  struct Options {
    std::uint64_t Seed = 1;
    unsigned Nodes = 9;
    std::chrono::seconds FaultDuration{20}; ///< time in which faults start
    double RequestsPerNode = 12;            ///< per second
    std::string Program;                    ///< path of the sidecar
    std::string Folder;                     ///< for settings and logs
    std::uint16_t FirstPort = 26000;
    unsigned MaxAttempts = 3;  ///< targets for one request, by the policy
    unsigned RepeatSlack = 20; ///< repeats that the whole fleet may make
    /// Names of the only faults to inject; empty: all.
    std::vector<std::string> OnlyFaults;
  };

  /// \throws ValueError if a fault in \p Config does not exist.
  Soak(EventLoop &Loop, Options Config);
  ~Soak();
  Soak(const Soak &) = delete;
  Soak &operator=(const Soak &) = delete;

  /// \brief Starts all nodes and their targets, then the load and the faults.
  void start();
  /// \brief Returns the broken promises, those found by the harness included.
  [[nodiscard]] std::vector<Witness::Finding> check() const;
  /// \brief Returns a readable log of events, faults and request outcomes.
  [[nodiscard]] std::string summary() const;
  /// \brief Returns true if the recovery period after the last fault is over.
  [[nodiscard]] bool isOver() const;

private:
  struct Node;
  using Fault = void (Soak::*)(Node &);
  struct FaultKind {
    const char *Name;
    Fault Inject;
    unsigned Weight;
  };
  static const std::vector<FaultKind> FaultKinds;
  /// \throws ValueError if there is no fault with this name.
  static void checkFault(const std::string &Name);

  [[nodiscard]] Endpoint address(const Node &N, std::uint16_t Offset) const;
  [[nodiscard]] std::uint64_t randomBelow(std::uint64_t Bound);
  /// \brief Returns a random time from \p Min to \p Max milliseconds, both
  ///   included.
  [[nodiscard]] Milliseconds randomSpan(unsigned Min, unsigned Max);
  void runAfter(Milliseconds Delay, std::function<void()> Action);
  void logEvent(const std::string &Message);
  void startProcess(Node &N, bool FirstStart);
  void startTarget(Node &N);
  /// \brief Ends a target as a crash does; its address refuses connections.
  void endTarget(Node &N);
  /// \brief Restarts ended processes and replaces targets that have exited.
  void restartEndedProcesses();
  /// \brief Records the memory of all processes.
  void measureMemory();
  /// \brief Records stalls of the harness, and stops the loop at the end.
  void checkLag();
  /// \brief Publishes a new policy version; if \p Reassigns is set, it moves
  ///   the reassigned route to the next service.
  void publishPolicy(bool Reassigns);
  void sendRequests();
  void send(Node &Entry);
  /// \param Content what is asked for; empty: something new.
  /// \param Repeats number of times that the client may repeat it.
  void send(Node &Entry, std::size_t Route, std::string Content,
            unsigned Repeats);
  /// \param Added when it is written; none if the first policy has it.
  void addKey(const std::string &Organisation, std::optional<TimePoint> Added);
  /// \brief Gives an organisation a new key in place of one that it has; the
  ///   next policy says so.
  void replaceKey(const std::string &Organisation);
  /// \brief Returns a key to send: mostly a valid one, else one that was
  ///   removed or never existed, or none.
  [[nodiscard]] std::string chooseKey();
  /// \brief Sends a request that crashes targets, again and again.
  void sendCrashing(std::size_t Route, const std::string &Content);
  /// \brief Returns true while new requests are sent.
  [[nodiscard]] bool acceptsRequests() const;
  /// \brief Injects one random fault and schedules the next, or ends all
  ///   faults once their time is over.
  void injectFault();
  /// \param Node the disturbed node; all nodes if empty.
  void recordDisturbance(std::optional<std::size_t> Node,
                         Disturbance::Kind Cause, Milliseconds Span);
  /// \brief Returns a random relay of \p N, and records a disturbance of
  ///   the nodes that use it.
  bench::Relay &selectRelay(Node &N, Milliseconds Span);

  void spoilAnswers(Node &N, AnswerStyle Style);
  /// \brief Returns \p N or, in every other case, all nodes of its service.
  [[nodiscard]] std::vector<Node *> selectNodes(Node &N);
  /// \brief Returns a random share from a tenth to all.
  [[nodiscard]] double randomShare();

  void kill(Node &N);
  void killMany(Node &N);
  void pause(Node &N);
  void terminate(Node &N);
  void reload(Node &N);
  void crashTarget(Node &N);
  void crashByRequest(Node &N);
  void drainTarget(Node &N);
  void withdrawTarget(Node &N);
  void drainAfterNotice(Node &N);
  void nameRate(Node &N);
  void drainService(Node &N);
  void stallTarget(Node &N);
  void copyAnswers(Node &N);
  void delayAnswers(Node &N);
  void breakAnswers(Node &N);
  void sendEndlessly(Node &N);
  void shedRequests(Node &N);
  void failUnmarked(Node &N);
  void burst(Node &N);
  void reassignRoute(Node &N);
  void publishPolicyBurst(Node &N);
  void changeKeys(Node &N);
  void failStore(Node &N);
  void discardHistory(Node &N);
  void restoreStore(Node &N);
  void silenceLinks(Node &N);
  void blockLinks(Node &N);
  void resetLinks(Node &N);
  void delayLinks(Node &N);

  EventLoop &Loop;
  Options Config;
  std::mt19937_64 Random;
  TimePoint Started;
  TimePoint LastLagCheck;
  TimePoint BurstUntil{};               ///< clients send more often until then
  std::optional<TimePoint> FaultsEnded; ///< start of the recovery period
  Witness Observations;
  std::unique_ptr<Store> ObjectStore;
  std::vector<std::unique_ptr<Node>> Nodes;
  std::list<Timer> PeriodicTimers;
  std::list<Timer> OneShotTimers;
  std::map<std::string, unsigned> FaultCounts; ///< by fault name
  std::vector<std::string> Events;
  std::vector<Witness::Finding> HarnessFindings; ///< not from the witness
  std::uint64_t LastRequest = 0;
  std::uint64_t LastCrashingContent = 0;
  std::uint64_t PolicyVersion = 0;
  std::uint64_t LastKey = 0;
  /// Keys in the next policy, by organisation, the oldest first.
  std::map<std::string, std::vector<std::string>> Keys;
  nlohmann::json LastPolicy;         ///< as the operator wrote it
  std::size_t ReassignedService = 0; ///< index in the list of services
};

} // namespace limpetdrum::soak

#endif
