#ifndef LIMPETDRUM_REVIEW_KIT_H
#define LIMPETDRUM_REVIEW_KIT_H

#include "Store.h"
#include "bench/Process.h"

#include "limpetdrum/Limpetdrum.h"

#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace limpetdrum::review {

/// \brief Log of what was sent, answered and run, with times in seconds.
class Record {
public:
  explicit Record(EventLoop &Loop);
  void add(const std::string &Line);
  [[nodiscard]] double now() const;

private:
  EventLoop &Loop;
  TimePoint Started;
  std::ofstream File;
};

/// \brief Returns the addresses of a machine; each has a loopback address.
struct Machine {
  std::string Name;
  std::string Zone;
  std::string Service;
  std::string Address;

  [[nodiscard]] Endpoint at(std::uint16_t Port) const;
};

inline constexpr std::uint16_t TargetPort = 8301;
inline constexpr std::uint16_t ReadinessPort = 8302;
inline constexpr std::uint16_t OutboundPort = 8304;
inline constexpr std::uint16_t ControlPort = 8306;
inline constexpr std::uint16_t StorePort = 8309;

/// \brief Request that a target has begun to run.
struct Run {
  std::string Machine;
  std::string RequestId;
  std::string Method;
  std::string Path;
  std::string Body;
  double At;
};

/// \brief Stand-in for an upstream: one incarnation on one machine.
class Upstream {
public:
  using Exchange = std::shared_ptr<HttpExchange>;
  struct Options {
    std::string Id;
    unsigned Slots = 8;
    Milliseconds Work{20};
    Milliseconds ReportPeriod{1500};
    bool Reports = true; ///< sends status reports by itself
  };

  Upstream(EventLoop &Loop, const Machine &Place, Options Config, Record &Log,
           std::vector<Run> &Runs);

  /// \brief Returns the next status report, which raises the sequence.
  [[nodiscard]] HttpCall makeReport();
  void report();
  /// \brief Sends a call to the control address.
  /// \param Done gets the status of the answer, 0 if there is none.
  void send(const HttpCall &Call, std::function<void(int Status)> Done);
  /// \brief Withdraws its registration without draining first; it goes on to
  ///   serve.
  void withdraw(std::function<void(int Status)> Done);
  void drain(std::function<void(int Status)> Done);
  /// \brief Replaces how a request is handled after its run has been recorded.
  void setHandler(std::function<void(const Exchange &)> Action) {
    this->Handler = std::move(Action);
  }
  [[nodiscard]] static std::string receipt(const std::string &Id,
                                           const std::string &Body);
  void answer(const Exchange &Request, int Status, const std::string &Body);

private:
  void onRequest(const Exchange &Request);

  EventLoop &Loop;
  Machine Place;
  Options Config;
  Record &Log;
  std::vector<Run> &Runs;
  std::int64_t Born;
  std::uint64_t Sequence = 0;
  std::string State = "ready";
  bool Withdrawn = false;
  std::size_t Running = 0;
  HttpClient Control;
  std::unique_ptr<HttpServer> Server;
  std::function<void(const Exchange &)> Handler;
  std::vector<Timer> Timers;
};

/// \brief Route of the manifest.
struct Route {
  std::string Prefix;
  std::string Service;
  bool IsSafe;
  unsigned TimeoutMillis = 3000;
  unsigned LatencyTargetMillis = 1000;
};

/// \brief Answer as a client saw it.
struct Answer {
  std::string RequestId;
  int Status = 0; ///< 0: none
  double At = 0;
  double RetryAfter = 0; ///< seconds; 0: not stated
};

/// \brief Machines with their sidecars, the platform's store and clients.
class Fleet {
public:
  /// \param Sidecar path of the program, as in the deploy file.
  Fleet(EventLoop &Loop, Record &Log, std::string Sidecar, std::string Folder);

  void addMachine(const std::string &Service);
  [[nodiscard]] const Machine &machine(std::size_t Index) const {
    return this->Machines.at(Index);
  }
  [[nodiscard]] std::size_t size() const { return this->Machines.size(); }
  soak::Store &store() { return *this->ObjectStore; }
  void publish(const std::vector<Route> &Routes);
  void start(std::size_t Index, bool IsFirst);
  void kill(std::size_t Index);
  void signal(std::size_t Index, int Number);
  [[nodiscard]] std::optional<int> status(std::size_t Index);
  /// \brief Sends a client's request to a machine.
  /// \param IsRetry true to send it on a new connection.
  void request(std::size_t Index, const std::string &Method,
               const std::string &Path, Milliseconds TimeLeft,
               const std::string &Body,
               const std::function<void(const Answer &)> &Done,
               bool IsRetry = false);
  void after(Milliseconds Delay, std::function<void()> Action);
  void every(Milliseconds Period, std::function<void()> Action);
  std::vector<Run> Runs;
  std::vector<Answer> Answers;

private:
  EventLoop &Loop;
  Record &Log;
  std::string Sidecar;
  std::string Folder;
  std::string Network; ///< first three numbers of all addresses
  std::unique_ptr<soak::Store> ObjectStore;
  std::vector<Machine> Machines;
  std::vector<std::unique_ptr<bench::Process>> Processes;
  std::vector<std::unique_ptr<HttpClient>> Clients;
  std::vector<std::unique_ptr<HttpClient>> RetryClients;
  std::vector<Timer> Timers;
  std::uint64_t LastRequest = 0;
  std::uint64_t Version = 4;
};

/// \brief Returns false if the environment has TROUBLE=0.
[[nodiscard]] bool hasTrouble();

} // namespace limpetdrum::review

#endif
