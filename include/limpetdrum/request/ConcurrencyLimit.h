#ifndef LIMPETDRUM_REQUEST_CONCURRENCYLIMIT_H
#define LIMPETDRUM_REQUEST_CONCURRENCYLIMIT_H

#include "limpetdrum/process/Types.h"

#include <cstddef>
#include <optional>
#include <random>

namespace limpetdrum {

/// \brief Adaptive limit on the number of requests that a target runs at once.
///
/// It starts from the announced slots, which may be wrong, and follows
/// measurements. It falls when the target sheds. While it is fully used, it is
/// periodically raised or lowered by a small step as a trial. If the latency
/// changes in proportion to the limit, the target queues internally and the
/// lower limit is kept; otherwise the higher one is kept. Trials that confirm
/// the current limit become rarer.
class ConcurrencyLimit {
public:
  /// \param Seed seeds the random times of trials. They differ between nodes so
  ///   that the targets of a slow service do not all lower their limits at
  ///   once.
  explicit ConcurrencyLimit(Slots Announced, std::uint64_t Seed = 1);

  /// \brief Resets the limit to an announced number of slots.
  /// \param WarmUp time for which a target that has just started is slow.
  ///   Meanwhile it has the same slots, as those held back would serve nobody
  ///   if all targets of a service have started at once, and no trials are
  ///   made.
  void announce(Slots Announced, Milliseconds WarmUp, TimePoint Now);

  /// \brief Records the end of a request at the target.
  /// \param Shed true if the target refused the request for load.
  /// \param Saturated true if the limit was reached when the request ended.
  /// \param SlowDown ratio of the target's times to its usual times meanwhile,
  ///   as it states it. A slow target is not one that queues, so trials compare
  ///   latencies without it.
  void onCompletion(Microseconds Latency, bool Shed, bool Saturated,
                    TimePoint Now, double SlowDown = 1);

  /// \brief Returns the limit, at least 1.
  [[nodiscard]] std::size_t limit() const noexcept;
  /// \brief Returns the smoothed latency of requests at the target.
  [[nodiscard]] Microseconds typicalLatency() const noexcept {
    return this->TypicalLatency;
  }
  /// \brief Returns the same at the target's usual pace.
  [[nodiscard]] Microseconds usualLatency() const noexcept {
    return this->UsualLatency;
  }

private:
  struct Window {
    TimePoint Start;
    std::size_t Completions = 0;
    std::size_t Sheds = 0;
    std::size_t Saturated = 0;
    double LatencySum = 0; ///< microseconds, at the usual pace
  };
  struct Trial {
    double PreviousLimit = 0;
    double PreviousLatency = 0;
  };

  void closeWindow(TimePoint Now);
  void evaluateTrial(double Latency);
  void beginTrial(double Latency);
  /// Returns a random number from \p Windows to twice \p Windows.
  [[nodiscard]] unsigned randomizePause(unsigned Windows);

  double Limit;
  double Announced;
  TimePoint WarmUpEnd{};
  Microseconds TypicalLatency{0};
  Microseconds UsualLatency{0};
  double BestLatency = 0; ///< lowest mean of a window, in microseconds
  Window Current;
  std::optional<Trial> ActiveTrial;
  std::mt19937_64 Random;
  unsigned WindowsUntilTrial;
  unsigned FailedTrials = 0;
  /// True if the last raise of the limit showed queueing inside the target.
  bool QueueingDetected = false;
};

} // namespace limpetdrum

#endif
