#ifndef LIMPETDRUM_REVIEW_STANDINS_3_DEPLOYMENT_H
#define LIMPETDRUM_REVIEW_STANDINS_3_DEPLOYMENT_H

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

/// Small deployment on loopback addresses: the users' store, targets that
/// report to their node, clients, and real sidecar processes.
namespace review {

using Clock = std::chrono::steady_clock;

/// \brief Message read from a connection.
struct Message {
  std::string Start;                          ///< request line or status line
  std::map<std::string, std::string> Headers; ///< names in lower case
  std::string Body;

  [[nodiscard]] std::string header(const std::string &Name) const;
};

/// \brief Blocking connection that this process accepted or made.
class Connection {
public:
  explicit Connection(int Socket) noexcept : Socket(Socket) {}
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  /// \returns nullptr if the connection is not accepted.
  [[nodiscard]] static std::unique_ptr<Connection> open(std::uint16_t Port);
  [[nodiscard]] bool write(const std::string &Bytes) const;
  /// \brief Reads a message with a length, in chunks or without a body.
  /// \returns nothing if the connection ends before it, or after the time.
  [[nodiscard]] std::optional<Message> read(std::chrono::milliseconds Limit);
  /// \brief Returns true if bytes of an answer wait to be read.
  [[nodiscard]] bool isReadable() const noexcept;
  /// \brief Ends reads and writes, also those of other threads.
  void shutdown() const noexcept;

private:
  [[nodiscard]] bool fill(Clock::time_point End);
  [[nodiscard]] bool readBody(Message &Value, Clock::time_point End);
  [[nodiscard]] bool readBytes(std::string &Out, std::size_t Count,
                               Clock::time_point End);
  [[nodiscard]] std::optional<std::string> readLine(Clock::time_point End);

  int Socket;
  std::string Buffer;
};

/// \brief Accepts connections, each handled by a thread of its own.
class Server {
public:
  using Handler = std::function<void(Connection &)>;

  /// \throws std::runtime_error if the port is in use.
  Server(std::uint16_t Port, Handler Serve);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

private:
  void run();

  int Socket = -1;
  Handler Serve;
  std::atomic<bool> Stopped{false};
  std::mutex Lock;
  std::vector<std::shared_ptr<Connection>> Open;
  std::vector<std::thread> Threads;
  std::thread Accepting;
};

/// \brief The users' store: lists, watches and changes of objects.
class Store {
public:
  explicit Store(std::uint16_t Port);
  ~Store();
  Store(const Store &) = delete;
  Store &operator=(const Store &) = delete;

  /// \brief Serves the store at one more port.
  /// \param IsTurnedAway returns true while calls there are answered 503.
  void addEntrance(std::uint16_t Port, std::function<bool()> IsTurnedAway);
  /// \brief Writes an object as the operator does.
  void write(const std::string &Kind, const std::string &Name,
             const nlohmann::json &Specification);

private:
  struct Answer {
    int Status;
    std::string Body;
  };
  void serve(Connection &Client, const std::function<bool()> &IsTurnedAway);
  Answer handle(const std::string &Method, const std::string &Target,
                const std::string &Body);
  Answer list(const std::string &Kind);
  Answer watch(const std::string &Kind, std::uint64_t After,
               std::chrono::milliseconds Wait);
  nlohmann::json put(const std::string &Kind, const std::string &Name,
                     const nlohmann::json &Specification);

  std::mutex Lock;
  std::condition_variable Changed;
  bool Stopped = false; ///< watches end at once
  std::uint64_t Revision = 1;
  std::map<std::string, std::map<std::string, nlohmann::json>> Kinds;
  std::vector<std::unique_ptr<Server>> Listening;
};

/// \brief Lines of record.txt, with the time since the start.
class Record {
public:
  explicit Record(const std::string &File);
  ~Record();
  void add(const std::string &Line);

private:
  struct State;
  std::unique_ptr<State> Impl;
};

/// \brief Addresses and place of a node and of the target beside it.
struct Place {
  std::string Name;
  std::string Zone;
  std::string Service;
  std::uint16_t FirstPort = 0;

  [[nodiscard]] std::uint16_t outbound() const { return this->FirstPort; }
  [[nodiscard]] std::uint16_t readiness() const { return this->FirstPort + 1; }
  [[nodiscard]] std::uint16_t control() const { return this->FirstPort + 2; }
  [[nodiscard]] std::uint16_t link() const { return this->FirstPort + 3; }
  [[nodiscard]] std::uint16_t metrics() const { return this->FirstPort + 4; }
  [[nodiscard]] std::uint16_t target() const { return this->FirstPort + 5; }
};

/// \brief Sound target: reports to its node every 1.5 s and serves requests.
class Target {
public:
  /// \brief Serves one request after it was read.
  /// \returns the body of the answer with status 200.
  using Work = std::function<std::string(const Message &)>;

  Target(Place Where, Work Serve, Record &Lines);
  ~Target();
  Target(const Target &) = delete;
  Target &operator=(const Target &) = delete;

  /// \brief Returns how often a request has run.
  [[nodiscard]] unsigned runs(const std::string &Id);

private:
  void serve(Connection &Client);
  void report();

  Place Where;
  Work Serve;
  Record &Lines;
  std::int64_t Born;
  std::mutex Lock;
  std::condition_variable Stopping;
  bool Stopped = false;
  std::map<std::string, unsigned> Runs;
  std::unique_ptr<Server> Listening;
  std::thread Reports;
};

/// \brief Sidecar process, started with the command of the deploy file.
class Sidecar {
public:
  /// \param Root folder of the repository, in which the process starts.
  /// \param Folder for the settings and the log.
  Sidecar(Place Where, std::string Root, std::string Folder,
          std::uint16_t StorePort);
  ~Sidecar();
  Sidecar(const Sidecar &) = delete;
  Sidecar &operator=(const Sidecar &) = delete;

  /// \param IsFirst true if the whole system starts for the first time.
  void start(bool IsFirst);
  void signal(int Number) const;
  /// \brief Kills the process and waits for its end.
  void kill();
  [[nodiscard]] bool isRunning();
  [[nodiscard]] bool isReady() const;
  /// \brief Returns the resident memory of the process; 0 if it has ended.
  [[nodiscard]] std::size_t residentBytes() const;
  [[nodiscard]] const Place &place() const noexcept { return this->Where; }

private:
  [[nodiscard]] std::string settings(bool IsFirst) const;

  Place Where;
  std::string Root;
  std::string Folder;
  std::uint16_t StorePort;
  pid_t Id = -1;
};

/// \brief Returns a route of a manifest.
[[nodiscard]] nlohmann::json makeRoute(const std::string &Service,
                                       const std::string &Kind,
                                       const std::string &Prefix,
                                       const std::string &Timeout);
/// \brief Returns a manifest with the limits that the users' pages show.
[[nodiscard]] nlohmann::json
makeManifest(unsigned Version, const nlohmann::json &Routes,
             const std::vector<std::string> &Services);

/// \brief Sends a request and reads its answer.
/// \returns the status; 0 if the connection ended without an answer.
[[nodiscard]] int send(Connection &Link, const std::string &Method,
                       const std::string &Path, const std::string &Id,
                       const std::string &Body,
                       std::chrono::milliseconds TimeLeft,
                       Message *Answer = nullptr);

/// \brief Returns \p Count consecutive free ports below the ephemeral ones.
[[nodiscard]] std::uint16_t findFreePorts(std::uint16_t Count);
/// \brief Returns false for TROUBLE=0: the disruption is left out.
[[nodiscard]] bool hasTrouble();
/// \brief Waits until all nodes are ready.
/// \returns false if that takes longer than \p Limit.
[[nodiscard]] bool
waitUntilReady(const std::vector<std::unique_ptr<Sidecar>> &Nodes,
               std::chrono::milliseconds Limit);
void sleepFor(std::chrono::milliseconds Span);

} // namespace review

#endif
