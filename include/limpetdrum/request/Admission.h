#ifndef LIMPETDRUM_REQUEST_ADMISSION_H
#define LIMPETDRUM_REQUEST_ADMISSION_H

#include "limpetdrum/request/AdmissionLevel.h"
#include "limpetdrum/request/ConcurrencyLimit.h"
#include "limpetdrum/request/RateLimit.h"
#include "limpetdrum/request/Reply.h"
#include "limpetdrum/request/TargetLoad.h"

#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace limpetdrum {

/// \brief Request submitted for admission to a target.
struct Arrival {
  AttemptId Id;
  ClassRank Rank;
  float Cohort = 0;
  limpetdrum::Organisation Organisation;
  TimePoint Deadline;
  /// Time from which its answer would come too late to be of much use; none if
  /// it is useful until the deadline.
  std::optional<TimePoint> LatestStart;
  /// True if the request may be cancelled while it runs.
  bool Cancellable = false;
};

/// \brief Outcome of a dispatched request at the target.
enum class Completion : std::uint8_t {
  Served,
  Shed,      ///< refused by the target for load
  Abandoned, ///< cancelled, cut or timed out; its latency is no valid sample
};

/// \brief Options of an Admission; comparisons switch mechanisms off with them,
///   production leaves them on.
struct AdmissionOptions {
  bool OrderByClass = true;
  /// The queue may grow beyond its usual capacity while the expected wait in it
  /// is shorter than this.
  Milliseconds ShortWait{0};
};

/// \brief Decisions of one admission step.
struct AdmissionDecisions {
  struct Refusal {
    AttemptId Id;
    limpetdrum::Reason Reason;
  };
  std::vector<AttemptId> Dispatch; ///< requests to hand to the target now
  std::vector<Refusal> Refuse;     ///< requests that did not and will not run
  std::vector<AttemptId> Cancel;   ///< running requests to cancel
};

/// \brief Admission control of one target: a concurrency limit, a request rate
///   if the target asked for one, and a short queue by class and cohort.
///
/// When the queue is full, a request of a higher class displaces the lowest
/// queued one. A running request of a lower class is cancelled before a request
/// of a higher class is refused.
class Admission {
public:
  /// \param Seed seeds the random times of the limit's trials; see
  ///   ConcurrencyLimit.
  Admission(Slots Announced, AdmissionOptions Options = {},
            std::uint64_t Seed = 1);

  /// \brief Resets the limit to an announced number of slots.
  /// \param WarmUp time for which a target that has just started is slow.
  void announce(Slots Announced, Milliseconds WarmUp, TimePoint Now);

  /// \brief Sets the rate that the target asked for, in requests per second;
  ///   none removes the limit.
  void setRequestRate(std::optional<double> PerSecond, TimePoint Now) noexcept {
    this->Rate.set(PerSecond, Now);
  }

  /// \brief Records the pace that the target stated in an answer.
  ///
  /// The limit stays as it is, since a slow instance has the same slots. What
  /// is queued waits longer for them, so requests that would miss their
  /// deadlines are refused at once, while another target can still serve them.
  /// \param Percent time that work takes now, in percent of the usual time.
  void setPace(std::uint16_t Percent, TimePoint Now) noexcept {
    this->Pace.onReading(Percent, this->typicalLatency(), Now);
  }
  /// \brief Returns the mean pace over the time of a request in percent; 0 if
  ///   the target has not stated it recently.
  [[nodiscard]] std::uint16_t pace(TimePoint Now) const noexcept {
    return this->Pace.percent(Now);
  }

  /// \brief Queues a request, then dispatches and refuses as capacity requires.
  [[nodiscard]] AdmissionDecisions submit(const Arrival &Request,
                                          TimePoint Now);
  /// \brief Records the end of a dispatched request and dispatches queued ones.
  ///
  /// Has no effect if no request \p Id is running.
  [[nodiscard]] AdmissionDecisions complete(AttemptId Id, Completion Result,
                                            TimePoint Now);
  /// \brief Removes a request from the queue.
  /// \returns false if the request is not queued.
  bool withdraw(AttemptId Id);
  /// \brief Refuses queued requests that can no longer meet their deadlines and
  ///   updates the level.
  /// \param RankCount number of ranks in the release in force.
  [[nodiscard]] AdmissionDecisions tick(std::size_t RankCount, TimePoint Now);
  /// \brief Refuses all queued requests; used when the target leaves.
  [[nodiscard]] AdmissionDecisions refuseQueued(limpetdrum::Reason Reason);

  [[nodiscard]] float threshold() const noexcept {
    return this->Level.threshold();
  }
  [[nodiscard]] std::size_t running() const noexcept {
    return this->Running.size();
  }
  [[nodiscard]] std::size_t queued() const noexcept {
    return this->Queue.size();
  }
  /// \brief Returns the number of concurrent requests that the target takes: by
  ///   its slots, or by its request rate if that allows fewer.
  [[nodiscard]] std::size_t limit() const noexcept;
  /// \brief Returns the smoothed latency of requests at the target.
  [[nodiscard]] Microseconds typicalLatency() const noexcept {
    return this->Limit.typicalLatency();
  }
  /// \brief Returns the expected latency of a request that starts at \p Now, by
  ///   the latency of those before and the pace of the target.
  [[nodiscard]] Microseconds expectedLatency(TimePoint Now) const noexcept;
  /// \brief Returns the expected wait of a request that joins the end of the
  ///   queue now.
  [[nodiscard]] Microseconds expectedWait(TimePoint Now) const noexcept;

private:
  /// Service order: by class, fair share, cohort, then arrival.
  struct OrderKey {
    std::uint8_t Rank = 0;
    bool OverShare = false;
    float Cohort = 0;
    std::uint64_t Sequence = 0;
    friend bool operator<(const OrderKey &A, const OrderKey &B) {
      return std::tie(A.Rank, A.OverShare, A.Cohort, A.Sequence) <
             std::tie(B.Rank, B.OverShare, B.Cohort, B.Sequence);
    }
  };
  struct QueuedRequest {
    OrderKey Key;
    Arrival Request;
    friend bool operator<(const QueuedRequest &A, const QueuedRequest &B) {
      return A.Key < B.Key;
    }
  };
  struct RunningRequest {
    OrderKey Key;
    TimePoint Start;
    limpetdrum::Organisation Organisation;
    bool Cancellable = false;
  };
  struct RunningEntry {
    OrderKey Key;
    AttemptId Id;
    friend bool operator<(const RunningEntry &A, const RunningEntry &B) {
      return A.Key < B.Key;
    }
  };

  [[nodiscard]] OrderKey orderKeyFor(const Arrival &Request);
  [[nodiscard]] std::size_t queueCapacity() const noexcept;
  [[nodiscard]] Microseconds expectedWaitBehind(std::size_t Ahead,
                                                TimePoint Now) const noexcept;
  void dispatch(const QueuedRequest &Entry, TimePoint Now,
                AdmissionDecisions &Decisions);
  void dispatchQueued(TimePoint Now, AdmissionDecisions &Decisions);
  void refuse(const QueuedRequest &Entry, limpetdrum::Reason Reason,
              AdmissionDecisions &Decisions);
  void erase(std::set<QueuedRequest>::iterator Entry);
  bool cancelLowerClass(const OrderKey &Key, AdmissionDecisions &Decisions);
  /// Returns true if the request rate, not the slots, holds requests back.
  [[nodiscard]] bool isRateReached(TimePoint Now) const noexcept;
  /// Returns true if a request that starts at \p Start is of no use.
  [[nodiscard]] bool isTooLate(const Arrival &Request, TimePoint Start,
                               TimePoint Now) const noexcept;
  [[nodiscard]] bool wouldMissDeadline(const QueuedRequest &Entry,
                                       TimePoint Now) const;
  void enforceCapacity(AttemptId NewestId, TimePoint Now,
                       AdmissionDecisions &Decisions);
  void releaseOrganisation(const Organisation &Name);

  AdmissionOptions Options;
  ConcurrencyLimit Limit;
  RateLimit Rate;
  TargetPace Pace;
  AdmissionLevel Level;
  std::set<QueuedRequest> Queue;
  std::unordered_map<AttemptId, OrderKey> QueuedKeys;
  std::unordered_map<AttemptId, RunningRequest> Running;
  std::set<RunningEntry> CancellableRunning;
  /// Cancelled requests that have not completed yet.
  std::size_t Cancelling = 0;
  /// Queued and running requests by organisation.
  std::unordered_map<Organisation, std::size_t> OrganisationRequests;
  std::uint64_t LastSequence = 0;
};

} // namespace limpetdrum

#endif
