#ifndef LIMPETDRUM_REQUEST_ADMISSION_H
#define LIMPETDRUM_REQUEST_ADMISSION_H

#include "limpetdrum/request/AdmissionLevel.h"
#include "limpetdrum/request/ConcurrencyLimit.h"
#include "limpetdrum/request/Reply.h"

#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace limpetdrum {

/// \brief A request that asks for its target.
struct Arrival {
  AttemptId Id;
  ClassRank Rank;
  float Cohort = 0;
  limpetdrum::Tenant Tenant;
  TimePoint Deadline;
  /// Whether it may be cancelled while it runs.
  bool Cancellable = false;
};

/// \brief How a dispatched request left the target.
enum class Completion : std::uint8_t {
  Served,
  Shed,      ///< the target refused it for load
  Abandoned, ///< cancelled, cut or timed out: its time says nothing
};

/// \brief Switches for comparisons; all on in production.
struct AdmissionOptions {
  bool OrderByClass = true;
  /// The queue may grow beyond its usual bound while the wait in it is
  /// shorter than this.
  Milliseconds ShortWait{0};
};

/// \brief What a step of admission decided.
struct AdmissionDecisions {
  struct Refusal {
    AttemptId Id;
    limpetdrum::Reason Reason;
  };
  std::vector<AttemptId> Dispatch; ///< hand these to the target now
  std::vector<Refusal> Refuse;     ///< these did not run and never will
  std::vector<AttemptId> Cancel;   ///< end these at the target
};

/// \brief Decides which requests a target serves, and in which order.
///
/// A concurrency limit, and a short queue ordered by class and cohort. A
/// request of a high class takes the place of the lowest queued one; a running
/// one of a lower class is cancelled before one of a higher is refused.
class Admission {
public:
  /// \param Seed of the times at which the limit is tried out.
  Admission(Slots Announced, AdmissionOptions Switches = {},
            std::uint64_t Seed = 1);

  void announce(Slots Announced, Milliseconds WarmUp, TimePoint Now);

  [[nodiscard]] AdmissionDecisions submit(const Arrival &Value, TimePoint Now);
  /// \brief A dispatched request has left the target.
  [[nodiscard]] AdmissionDecisions complete(AttemptId Id, Completion How,
                                            TimePoint Now);
  /// \brief Takes a request out of the queue.
  /// \returns false if it is not queued.
  bool withdraw(AttemptId Id);
  /// \brief Refuses what can no longer meet its deadline; moves the level on.
  [[nodiscard]] AdmissionDecisions tick(std::size_t RankCount, TimePoint Now);
  /// \brief Refuses everything queued, as the target leaves.
  [[nodiscard]] AdmissionDecisions refuseQueued(Reason Why);

  [[nodiscard]] float threshold() const noexcept {
    return this->Level.threshold();
  }
  [[nodiscard]] std::size_t running() const noexcept {
    return this->Running.size();
  }
  [[nodiscard]] std::size_t queued() const noexcept {
    return this->Queue.size();
  }
  [[nodiscard]] std::size_t limit(TimePoint Now) const noexcept {
    return this->Limit.limit(Now);
  }
  /// \brief The smoothed time a request takes at the target.
  [[nodiscard]] Microseconds typicalLatency() const noexcept {
    return this->Limit.typicalLatency();
  }
  /// \brief The longest wait that is expected of a new request now.
  [[nodiscard]] Microseconds expectedWait(TimePoint Now) const noexcept;

private:
  /// The order of service: class, fair share, cohort, then arrival.
  struct Key {
    std::uint8_t Rank = 0;
    bool OverShare = false;
    float Cohort = 0;
    std::uint64_t Order = 0;
    friend bool operator<(const Key &A, const Key &B) {
      return std::tie(A.Rank, A.OverShare, A.Cohort, A.Order) <
             std::tie(B.Rank, B.OverShare, B.Cohort, B.Order);
    }
  };
  struct Queued {
    Key Place;
    Arrival Value;
    friend bool operator<(const Queued &A, const Queued &B) {
      return A.Place < B.Place;
    }
  };
  struct Served {
    Key Place;
    TimePoint Start;
    limpetdrum::Tenant Tenant;
    bool Cancellable = false;
  };
  struct RunningPlace {
    Key Place;
    AttemptId Id;
    friend bool operator<(const RunningPlace &A, const RunningPlace &B) {
      return A.Place < B.Place;
    }
  };

  [[nodiscard]] Key placeOf(const Arrival &Value);
  [[nodiscard]] std::size_t queueCapacity(TimePoint Now) const noexcept;
  [[nodiscard]] Microseconds waitBehind(std::size_t Ahead,
                                        TimePoint Now) const noexcept;
  void dispatch(const Queued &Entry, TimePoint Now,
                AdmissionDecisions &Decisions);
  void fill(TimePoint Now, AdmissionDecisions &Decisions);
  void refuse(const Queued &Entry, Reason Why, AdmissionDecisions &Decisions);
  void erase(std::set<Queued>::iterator Entry);
  bool cancelLower(const Key &Place, AdmissionDecisions &Decisions);
  [[nodiscard]] bool isTooLate(const Queued &Entry, TimePoint Now) const;
  void makeRoom(AttemptId Newest, TimePoint Now, AdmissionDecisions &Decisions);
  void leaveTenant(const Tenant &Name);

  AdmissionOptions Switches;
  ConcurrencyLimit Limit;
  AdmissionLevel Level;
  std::set<Queued> Queue;
  std::unordered_map<AttemptId, Key> QueuedPlaces;
  std::unordered_map<AttemptId, Served> Running;
  std::set<RunningPlace> CancellableRunning;
  std::size_t Cancelling = 0;
  std::unordered_map<Tenant, std::size_t> Tenants;
  std::uint64_t LastOrder = 0;
};

} // namespace limpetdrum

#endif
