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

/// \brief A later answer is of no use to who waits for it.
inline constexpr Milliseconds LateAfter{2000};

/// \brief One kind of client.
struct StreamSpec {
  std::string Name;
  std::string Path;
  std::string Tenant;
  double Rate = 10; ///< new requests a second
  bool Keyed = false;
  unsigned Tries = 4;
  Milliseconds Timeout{2000};   ///< of one try
  Milliseconds RetryPause{50};  ///< mean, between two tries
  bool HeedsRetryAfter = false; ///< hard clients do not
};

/// \brief What became of the requests of one stream.
struct StreamResult {
  std::uint64_t Started = 0;
  std::uint64_t Completed = 0; ///< whole, own answers
  std::uint64_t GaveUp = 0;
  std::uint64_t Tries = 0;
  std::uint64_t WrongAnswers = 0;                ///< cut, or another request's
  std::map<std::string, std::uint64_t> Refusals; ///< tries, by outcome
  std::vector<double> LatencyMillis;             ///< of completed requests
  /// Requests completed within LateAfter of their first try, in each tenth
  /// of a second since the start.
  std::map<std::int64_t, std::uint64_t> OnTimeAt;
  std::map<std::int64_t, std::uint64_t> StartedAt;
};

/// \brief Sends requests at an open rate, and checks every answer.
class LoadGenerator {
public:
  LoadGenerator(EventLoop &Loop, std::uint64_t Seed);

  /// \brief The HTTP addresses that requests go to, for a path each.
  ///
  /// With limpetdrum every ingress takes every path.
  void setEntries(const std::string &Path, std::vector<Endpoint> Entries);
  void start(const StreamSpec &Spec);
  /// \brief Multiplies all rates.
  void setSurge(double Factor) { this->Surge = Factor; }
  /// \brief Sends every answered keyed request of a stream once more under its
  ///   key, as a client would that lost the answer.
  void repeat(const std::string &Stream, const std::string &As);
  /// \brief Begins no more requests; open ones go on.
  void stop();
  [[nodiscard]] std::size_t open() const noexcept { return this->Open; }
  [[nodiscard]] std::map<std::string, StreamResult> &results() {
    return this->Results;
  }
  /// \brief Requests by `path key` whose every try was told "not run".
  [[nodiscard]] const std::set<std::string> &neverRun() const noexcept {
    return this->NeverRun;
  }
  /// \brief Keyed requests that were answered.
  [[nodiscard]] const std::set<std::string> &answered() const noexcept {
    return this->Answered;
  }

private:
  struct Request {
    const StreamSpec *Spec;
    std::uint64_t Number;
    TimePoint Start;
    unsigned TriesLeft;
    bool OnlyNotRun = true;
    Timer Pause;
  };
  using RequestPtr = std::shared_ptr<Request>;

  void scheduleNext(const StreamSpec &Spec);
  void begin(const StreamSpec &Spec);
  void begin(const StreamSpec &Spec, std::uint64_t Number);
  void attempt(const RequestPtr &R);
  void onAnswer(const RequestPtr &R, const HttpResponse &Answer);
  void finish(const RequestPtr &R, bool Completed);
  [[nodiscard]] std::string keyOf(const Request &R) const;
  [[nodiscard]] std::int64_t tenth() const;
  HttpClient &client(Endpoint Where);

  EventLoop &Loop;
  std::mt19937_64 Random;
  std::uint64_t Seed;
  TimePoint Began;
  double Surge = 1;
  bool Stopped = false;
  std::size_t Open = 0;
  std::uint64_t LastNumber = 0;
  std::vector<std::unique_ptr<StreamSpec>> Streams;
  std::map<const StreamSpec *, Timer> Arrivals;
  std::map<const StreamSpec *, TimePoint> NextArrival;
  std::map<std::string, std::vector<Endpoint>> Entries;
  std::map<std::string, std::unique_ptr<HttpClient>> Clients;
  std::map<std::string, StreamResult> Results;
  std::set<std::string> NeverRun;
  std::set<std::string> Answered;
  std::map<std::string, std::vector<std::uint64_t>> AnsweredNumbers;
};

} // namespace limpetdrum::bench

#endif
