#ifndef LIMPETDRUM_REQUEST_CONCURRENCYLIMIT_H
#define LIMPETDRUM_REQUEST_CONCURRENCYLIMIT_H

#include "limpetdrum/process/Types.h"

#include <cstddef>
#include <optional>
#include <random>

namespace limpetdrum {

/// \brief How many requests a target is given at once.
///
/// Starts from the announced slots, which may mislead, and follows what is
/// measured: it falls when the target sheds, and now and then tries a little
/// less or more while it is fully used. If the latency follows the limit, the
/// target queues inside and the lower one is kept; if not, the higher one.
/// Trials that change nothing become rarer.
class ConcurrencyLimit {
public:
  /// \param Seed of the times of trials: the targets of a service that slows
  ///   must not all try less at once.
  explicit ConcurrencyLimit(Slots Announced, std::uint64_t Seed = 1);

  /// \brief Begins anew from an announcement.
  /// \param WarmUp how long a cold target takes to reach its full limit.
  void announce(Slots Announced, Milliseconds WarmUp, TimePoint Now);

  /// \brief One request ended at the target.
  /// \param Shed whether the target refused it for load.
  /// \param Saturated whether the limit was reached when it ended.
  void onCompletion(Microseconds Latency, bool Shed, bool Saturated,
                    TimePoint Now);

  [[nodiscard]] std::size_t limit(TimePoint Now) const noexcept;
  /// \brief The smoothed time a request takes at the target.
  [[nodiscard]] Microseconds typicalLatency() const noexcept {
    return this->TypicalLatency;
  }

private:
  struct Window {
    TimePoint Start;
    std::size_t Completions = 0;
    std::size_t Sheds = 0;
    std::size_t Saturated = 0;
    double LatencySum = 0;
  };
  struct Trial {
    double OldLimit = 0;
    double OldLatency = 0;
  };

  void closeWindow(TimePoint Now);
  void judgeTrial(double Latency);
  void beginTrial(double Latency);
  [[nodiscard]] unsigned spread(unsigned Windows);

  double Limit;
  double Announced;
  TimePoint WarmFrom{};
  Milliseconds WarmUp{0};
  Microseconds TypicalLatency{0};
  double BestLatency = 0;
  Window Current;
  std::optional<Trial> Running;
  std::mt19937_64 Random;
  unsigned WindowsUntilTrial;
  unsigned FailedTrials = 0;
  bool SeenQueueing = false; ///< by the last raise
};

} // namespace limpetdrum

#endif
