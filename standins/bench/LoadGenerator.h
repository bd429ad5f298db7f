#ifndef LIMPETDRUM_STANDINS_BENCH_LOADGENERATOR_H
#define LIMPETDRUM_STANDINS_BENCH_LOADGENERATOR_H

#include "limpetdrum/connection/EventLoop.h"
#include "limpetdrum/connection/Http.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace limpetdrum::bench {

/// \brief Latency beyond which an answer is no longer useful to its client.
inline constexpr Milliseconds MaxUsefulLatency{2000};

/// \brief Requests of one kind, and the behaviour of their clients.
struct StreamSpec {
  std::string Name;
  std::string Path;
  std::string Organisation;
  double Rate = 10; ///< new requests per second
  bool Keyed = false;
  unsigned Tries = 4;
  Milliseconds Timeout{2000};    ///< of one try
  Milliseconds RetryPause{50};   ///< mean pause between two tries
  bool HonorsRetryAfter = false; ///< false: clients retry after RetryPause
};

/// \brief Number of failed requests of a stream whose tries are kept.
inline constexpr std::size_t MaxFailedRequests = 1000;

/// \brief Results of the requests of one stream.
struct StreamResult {
  std::uint64_t Started = 0;
  std::uint64_t Completed = 0; ///< requests with a complete, correct answer
  std::uint64_t Failed = 0;    ///< requests without such an answer
  std::uint64_t Tries = 0;
  std::uint64_t WrongAnswers = 0; ///< truncated, or of another request
  /// Number of failed tries by outcome and reason.
  std::map<std::string, std::uint64_t> Refusals;
  /// The keys of the first MaxFailedRequests failed requests, with the time and
  /// result of each try.
  std::vector<std::string> FailedRequests;
  std::vector<double> LatencyMillis; ///< of completed requests
  /// Number of requests completed within MaxUsefulLatency of their first try,
  /// by the tenth of a second of their completion, counted from the generator's
  /// start.
  std::map<std::int64_t, std::uint64_t> OnTimeByTenth;
  /// Number of requests started, by the tenth of a second.
  std::map<std::int64_t, std::uint64_t> StartedByTenth;
};

/// \brief Sends requests in an open loop (the rate does not depend on answers),
///   and checks every answer.
class LoadGenerator {
public:
  LoadGenerator(EventLoop &Loop, std::uint64_t Seed);

  /// \brief Sets the HTTP addresses that requests for a path are sent to.
  ///
  /// With limpetdrum, every ingress accepts every path.
  void setEntries(const std::string &Path, std::vector<Endpoint> Entries);
  void start(const StreamSpec &Spec);
  /// \brief Sets the factor by which the rates of all streams are multiplied.
  void setSurge(double Factor) { this->Surge = Factor; }
  /// \brief Sends every answered keyed request of a stream again with the same
  ///   key, like a client that lost the answer.
  /// \param NewName the stream that the repeated requests are counted under.
  void repeat(const std::string &Stream, const std::string &NewName);
  /// \brief Stops starting requests; open ones continue, with their retries.
  void stop();
  /// \brief Returns the number of requests without a final result.
  [[nodiscard]] std::size_t openRequests() const noexcept {
    return this->OpenRequests;
  }
  [[nodiscard]] std::map<std::string, StreamResult> &results() {
    return this->Results;
  }
  /// \brief Failed keyed requests, as `path key`, whose every try had the
  ///   outcome `not-run`.
  [[nodiscard]] const std::set<std::string> &reportedNotRun() const noexcept {
    return this->ReportedNotRun;
  }
  /// \brief Completed keyed requests, as `path key`.
  [[nodiscard]] const std::set<std::string> &answered() const noexcept {
    return this->Answered;
  }

private:
  struct Request {
    const StreamSpec *Spec;
    std::uint64_t Number;
    TimePoint Start;
    unsigned TriesLeft;
    bool AllNotRun = true;
    std::string FailedTries;
    Timer Pause;
  };
  using RequestPtr = std::shared_ptr<Request>;

  void scheduleNext(const StreamSpec &Spec);
  void startRequest(const StreamSpec &Spec);
  void startRequest(const StreamSpec &Spec, std::uint64_t Number);
  void attempt(const RequestPtr &R);
  void onAnswer(const RequestPtr &R, const HttpResponse &Answer);
  void finish(const RequestPtr &R, bool Completed);
  [[nodiscard]] std::string keyOf(const Request &R) const;
  [[nodiscard]] std::int64_t currentTenth() const;
  HttpClient &client(Endpoint Server);

  EventLoop &Loop;
  std::mt19937_64 Random;
  std::uint64_t Seed;
  TimePoint StartTime;
  double Surge = 1;
  bool Stopped = false;
  std::size_t OpenRequests = 0;
  std::uint64_t LastNumber = 0;
  std::vector<std::unique_ptr<StreamSpec>> Streams;
  std::map<const StreamSpec *, Timer> Arrivals;
  std::map<const StreamSpec *, TimePoint> NextArrival;
  std::map<std::string, std::vector<Endpoint>> Entries;
  std::map<std::string, std::unique_ptr<HttpClient>> Clients;
  std::map<std::string, StreamResult> Results;
  std::set<std::string> ReportedNotRun;
  std::set<std::string> Answered;
  std::map<std::string, std::vector<std::uint64_t>> AnsweredNumbers;
};

} // namespace limpetdrum::bench

#endif
