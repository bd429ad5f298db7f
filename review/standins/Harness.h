/// \file
/// Stand-ins for the platform, the targets and the clients of a small
/// deployment, for the cases of this folder. They speak what the users' pages
/// say, over loopback addresses, and use no code of the project.
#ifndef REVIEW_STANDINS_HARNESS_H
#define REVIEW_STANDINS_HARNESS_H

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using nlohmann::json;

/// \brief Returns the seconds since the start of the program.
double now();
/// \brief Returns the time of day in Unix milliseconds.
std::int64_t unixMillis();
void sleepFor(double Seconds);

/// \brief The file `record.txt`: what was sent, answered and run.
class Record {
public:
  static void open(const std::string &Path);
  static void line(const std::string &Text);
};

struct Address {
  std::string Ip;
  std::uint16_t Port = 0;
};
std::string text(const Address &Value);

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Message {
  std::string Start; ///< request line or status line
  Headers Fields;
  std::string Body;

  [[nodiscard]] std::string field(const std::string &Name) const;
  [[nodiscard]] std::string method() const;
  [[nodiscard]] std::string target() const;
  [[nodiscard]] int status() const;
};

/// \brief A TCP connection with the bytes that were read ahead.
class Connection {
public:
  explicit Connection(int Descriptor) : Descriptor(Descriptor) {}
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  /// Reads a message. \returns false if the connection ended or \p Until has
  /// passed before the message was complete.
  bool read(Message &Result, double Until);
  bool write(const std::string &Bytes, double Until);
  /// \returns true if the peer has closed or reset the connection.
  bool hasEnded();
  /// Reads at most \p Most bytes. \returns the number read, 0 at an orderly
  /// end, -1 after a reset, -2 if \p Until has passed.
  long readSome(char *Bytes, std::size_t Most, double Until);
  /// Waits for the peer's end. \returns true if it came before \p Until.
  bool waitForEnd(double Until);
  void close();
  [[nodiscard]] int descriptor() const { return this->Descriptor; }
  std::string Ahead;

private:
  bool fill(double Until);
  int Descriptor;
};

struct ConnectOptions {
  int ReceiveBuffer = 0; ///< bytes; 0: the system's own choice
  int MaxSegment = 0;    ///< of an Ethernet, 1460; 0: that of the loopback
};
std::unique_ptr<Connection> connectTo(const Address &Peer, double Until,
                                      ConnectOptions Options = {});

/// \brief Server with a thread for each connection.
class Server {
public:
  using Handler = std::function<void(Connection &)>;
  Server(Address Listen, Handler Serve);
  ~Server();
  [[nodiscard]] const Address &address() const { return this->Local; }
  void stop();

private:
  Address Local;
  Handler Serve;
  int Listener = -1;
  std::atomic<bool> Stopped{false};
  std::atomic<int> Open{0};
  std::thread Acceptor;
};

/// \brief The platform's store of objects.
class Store {
public:
  explicit Store(const std::string &Ip);
  [[nodiscard]] Address address() const { return this->Listener->address(); }
  /// Writes an object as the operator does.
  void write(const std::string &Kind, const std::string &Name,
             const json &Specification);
  void stop();

private:
  struct Entry {
    std::uint64_t Revision = 0;
    std::uint64_t Created = 0;
    json Specification;
    json Status;
  };
  struct Change {
    std::uint64_t Revision;
    std::string Kind;
    json Object;
    bool Deleted;
  };
  void serve(Connection &Peer);
  std::pair<int, json> answer(const Message &Request);
  std::pair<int, json> list(const std::string &Kind, const std::string &Query);
  std::pair<int, json> watch(const std::string &Kind, std::uint64_t After,
                             int WaitMillis);
  json object(const std::string &Name, const Entry &Value) const;

  std::mutex Lock;
  std::condition_variable Changed;
  std::map<std::string, std::map<std::string, Entry>> Kinds;
  std::vector<Change> History;
  std::uint64_t Revision = 1;
  bool Stopped = false;
  std::unique_ptr<Server> Listener;
};

/// \brief A machine: its addresses, its sidecar process and its settings.
class Machine {
public:
  Machine(std::string Name, std::string Zone, std::string Service,
          const Address &StoreAddress);
  ~Machine();
  /// Starts the program of the deploy file with its filled-in template.
  void start(bool Bootstrap);
  void signal(int Number);
  /// Lets the process stand still, as on a machine that does. It is stopped
  /// while it runs: the wait of a process that is stopped in it ends early when
  /// it goes on, which that of a machine doesn't.
  void freeze(double Seconds);
  /// Sends SIGTERM, and SIGKILL after the grace period.
  void stop();
  /// \returns true if the process has ended.
  bool hasEnded();
  [[nodiscard]] bool isReady() const;
  /// \returns the peak of the process's resident memory in bytes.
  [[nodiscard]] std::size_t peakMemory() const;
  [[nodiscard]] std::string logPath() const;

  std::string Name;
  std::string Zone;
  std::string Service;
  std::string Ip;
  Address Outbound;
  Address Inbound;
  Address Readiness;
  Address Control;
  Address Application;
  std::uint16_t FirstInternalPort = 0;

private:
  Address StoreAddress;
  pid_t Process = -1;
};

/// \brief What an upstream did with a request.
struct Run {
  std::string Id;
  std::string Upstream;
  double Arrived = 0;
  double Ended = 0;
  bool IsAnswered = false; ///< the whole answer was written
};

/// \brief An application upstream beside a machine's sidecar.
///
/// The path of a request says what it does: `.../w<ms>/b<bytes>` works for that
/// time and answers with that many bytes.
class Upstream {
public:
  Upstream(Machine &Host, std::string Id, unsigned Slots);
  ~Upstream();
  /// Called for each run, before its work; may take time of its own and make
  /// calls. \returns false to answer 500.
  std::function<bool(const Message &)> Work;
  void stop();
  /// Starts to report; the server itself runs from the constructor on.
  void startReports();
  /// Sends DELETE, as an upstream that never reports `draining`.
  bool withdraw();
  bool report(const std::string &State, std::uint64_t ReportSequence);
  std::vector<Run> runs();
  [[nodiscard]] std::uint64_t sequence() const { return this->Sequence; }
  std::atomic<bool> Leaving{false};
  /// True to answer with bytes that don't compress, as those of a picture.
  std::atomic<bool> SendsPictures{false};
  std::atomic<bool> ReportsStopped{false};

private:
  void serve(Connection &Peer);
  void serveOne(Connection &Peer, const Message &Request);
  bool send(const std::string &Method, const std::string &Body);

  Machine &Host;
  std::string Id;
  unsigned Slots;
  std::int64_t Born;
  std::atomic<std::uint64_t> Sequence{0};
  std::atomic<int> Running{0};
  std::mutex Lock;
  std::vector<Run> Runs;
  std::unique_ptr<Server> Listener;
  std::atomic<bool> Stopped{false};
  std::thread Reporter;
};

/// \brief How a request of a client ended.
struct Outcome {
  std::string Id;
  double Sent = 0;
  double Ended = 0;
  int Status = 0;          ///< 0: no status line
  bool IsComplete = false; ///< the whole answer has come
  bool HasReceipt = false;
  bool IsClosedByNode = false; ///< the connection ended before that
  std::size_t BodyBytes = 0;
  std::size_t Length = 0; ///< that the answer states
  std::string Body;       ///< the first bytes
};

struct RequestOptions {
  std::string Method = "GET";
  std::string Path;
  std::string Body;
  int BudgetMillis = 5000;
  double BytesPerSecond = 0; ///< at which the answer is read; 0: at once
  bool MayKeep = true;       ///< false: `Connection: close`
};

std::string newId();
/// Returns bytes that don't compress, the same each time.
std::string picture(std::size_t Size);
extern const std::string Host;
/// Sends a request over a connection and reads its answer.
Outcome ask(Connection &Peer, const RequestOptions &Options,
            const std::string &Id);
std::string describe(const Outcome &Value);

/// \brief Returns the route of a manifest.
json route(const std::string &Prefix, const std::string &Kind,
           const std::string &Service, int TimeoutMillis, int MaxAttempts = 2);
/// \brief Returns a manifest with the limits of the users' examples.
json manifest(unsigned Version, const std::map<std::string, json> &Routes,
              const std::vector<std::string> &Services);
/// \brief Waits until all machines are ready. \returns false after a time.
bool waitUntilReady(const std::vector<Machine *> &Machines, double Seconds);
/// \brief True unless the environment has TROUBLE=0.
bool hasTrouble();
/// \brief Reads the command line (folder of the case) and opens its record.
void begin(int Count, char **Args);
/// \brief Exit statuses of a case.
enum Verdict : int { Held = 0, Broken = 1, CannotRun = 2 };

} // namespace review

#endif
