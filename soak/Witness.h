#ifndef LIMPETDRUM_SOAK_WITNESS_H
#define LIMPETDRUM_SOAK_WITNESS_H

#include "limpetdrum/process/Types.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace limpetdrum::soak {

/// \brief A request as recorded by its client.
struct RequestRecord {
  std::string Id;
  std::string Content; ///< what it asks for; equal for repetitions
  std::string Route;
  std::size_t Entry = 0; ///< index of the node that it was sent to
  bool Idempotent = true;
  bool IsCall = false; ///< made by a target
  std::string Parent;  ///< ID of the request whose run makes a call
  std::string Key;     ///< sent with it; empty: none
  bool IsOpen = false; ///< its route needs no key
  TimePoint Sent{};
  TimePoint Deadline{}; ///< by the route's timeout or the client's
  std::optional<TimePoint> Abandoned; ///< when the client disconnected
  std::optional<TimePoint> Ended;     ///< when it was answered or disconnected
  int Status = 0;                     ///< 0: no complete answer
  bool ConnectionLost = false; ///< the connection ended without an answer
  bool AnswerMatches = true;   ///< the receipt matches the ID and the body
  bool CrashesTargets = false; ///< each target that begins to run it ends
  /// True if it was refused because it is held to crash targets.
  bool RefusedAsCrashing = false;
};

/// \brief The arrival of a request at a target, as recorded by the target.
struct RunRecord {
  std::string Id;
  std::size_t Node = 0;
  std::string Target;
  std::string Service;
  std::string CallerService;
  std::string Organisation; ///< as told to the target
  bool HasKey = false;      ///< the target was sent a key
  std::string Route;
  bool Executed = true; ///< false: the target answered that it did not run it
  bool Intact = true;   ///< path and body are those that the client sent
  TimePoint Started{};
  TimePoint ExpectedEnd{}; ///< when it ends unless it is cancelled
  std::optional<TimePoint> Ended;
  std::optional<TimePoint> CrashedAt; ///< when it ended its target
};

/// \brief What a target said about itself in all its answers for a while.
struct Notice {
  std::string Target;
  /// Requests per second that it takes; none if it said that it leaves.
  std::optional<double> RequestRate;
  TimePoint Started{};
  std::optional<TimePoint> Ended;
  /// When the first answer that said so was made, by entry node of the request.
  std::map<std::size_t, TimePoint> Told;
};

/// \brief A key of an organisation, as the operator wrote it.
struct KeyRecord {
  std::string Organisation;
  /// When the store acknowledged the first version with it; none if all
  /// versions have had it so far.
  std::optional<TimePoint> Added;
  /// When the store acknowledged the first version without it.
  std::optional<TimePoint> Removed;
};

/// \brief A span of time in which a fault or a planned stop affected nodes.
struct Disturbance {
  enum class Kind : std::uint8_t { Unplanned, Store, Target, Planned };
  std::optional<std::size_t> Node; ///< all nodes if empty
  Disturbance::Kind Cause = Kind::Unplanned;
  TimePoint Start{};
  TimePoint End{};
};

/// \brief A span of time in which targets of a service sent answers without
///   end.
struct EndlessSpan {
  std::string Service;
  TimePoint Start{};
  TimePoint End{};
};

/// \brief The bounds that the promises are checked against.
struct Bounds {
  Milliseconds ContactWindow{3000};
  Milliseconds DrainTimeout{2000};
  Milliseconds ConfigApply{2000};
  Milliseconds RollbackSlack{250};
  Milliseconds GracePeriod{6000};
  double RepeatRatio = 0.2;
  unsigned RepeatSlack = 20;
  Milliseconds RepeatWindow{10'000};
  std::size_t MemoryBytes = SIZE_MAX; ///< of each node's machine
};

/// \brief Records the observations of clients and targets, and checks them
///   against the promises.
///
/// It has no access to the state of the processes that it checks.
class Witness {
public:
  explicit Witness(soak::Bounds Bounds, std::vector<std::string> ServiceOfNode)
      : Bounds(Bounds), ServiceOfNode(std::move(ServiceOfNode)) {}

  std::map<std::string, RequestRecord> Requests; ///< by ID
  std::vector<RunRecord> Runs;
  std::vector<Disturbance> Disturbances;
  std::vector<Notice> Notices;
  /// When a node acknowledged that a target leaves, by target ID.
  std::map<std::string, TimePoint> LeaveAcks;
  /// Service of the reassigned route in each policy version, and when the
  /// store acknowledged the version.
  std::vector<std::pair<std::string, TimePoint>> PolicyVersions;
  /// Start times of each node's processes.
  std::map<std::size_t, std::vector<TimePoint>> Starts;
  std::map<std::string, std::set<std::string>> AllowedServices; ///< by route
  /// Routes whose runs make calls, which may time out by themselves.
  std::set<std::string> CallingRoutes;
  std::vector<EndlessSpan> EndlessAnswers;
  std::vector<TimePoint> OtherFaults; ///< when each other fault began
  /// Highest resident memory of each node's processes, in bytes.
  std::map<std::size_t, std::size_t> PeakMemory;
  std::map<std::string, KeyRecord> Keys; ///< all that there have been
  std::string ReassignedRoute; ///< its service changes with the policy

  struct Finding {
    std::string Promise;
    std::string Detail;
  };
  /// \brief Returns all broken promises.
  /// \param Now the end of the run.
  [[nodiscard]] std::vector<Finding> check(TimePoint Now) const;
  /// \brief Returns the requests of clients that were sent while targets of
  ///   other services answered without end, and while nothing else disturbed
  ///   them.
  [[nodiscard]] std::vector<const RequestRecord *>
  soundBesideEndless(TimePoint Now) const;

private:
  using Findings = std::vector<Finding>;

  /// \brief Returns true if no disturbance affected a node in a span, nor in
  ///   the contact window and \p Recovery before it.
  ///
  /// Disturbances of targets don't count.
  /// \param CountPlanned counts planned disturbances too.
  [[nodiscard]] bool
  isUndisturbed(std::size_t Node, TimePoint Start, TimePoint End,
                bool CountPlanned = true,
                Milliseconds Recovery = Milliseconds(0)) const;
  /// \brief Returns true if a fault or stop of the node itself, or of its
  ///   connections, falls into a span.
  [[nodiscard]] bool wasInterrupted(std::size_t Node, TimePoint Start,
                                    TimePoint End) const;
  void checkMemory(Findings &Broken) const;
  /// Checks that targets which answer without end cost no requests to others.
  void checkBesideEndless(Findings &Broken, TimePoint Now) const;
  void checkRuns(Findings &Broken) const;
  void checkAnswers(Findings &Broken, TimePoint Now) const;
  void checkDrains(Findings &Broken) const;
  void checkRates(Findings &Broken) const;
  void checkLeavingNotices(Findings &Broken) const;
  void checkLostConnections(Findings &Broken) const;
  void checkPolicyDelay(Findings &Broken) const;
  void checkPolicyRegressions(Findings &Broken) const;
  void checkRepeats(Findings &Broken) const;
  void checkAbandonedRequests(Findings &Broken) const;
  /// Checks that a request which crashes targets soon reaches no more of them,
  /// and that no other request is taken for such a one.
  void checkCrashes(Findings &Broken) const;
  /// \brief Returns the organisation that a request belongs to.
  [[nodiscard]] std::string organisationOf(const RequestRecord &Request) const;
  /// \brief Returns true if a target may be told no organisation although the
  ///   request belongs to one.
  [[nodiscard]] bool mayBeNobodys(const RequestRecord &Request) const;
  void checkOrganisations(Findings &Broken) const;
  /// \brief Checks which keys run requests and which get 401.
  void checkKeys(Findings &Broken) const;

  soak::Bounds Bounds;
  std::vector<std::string> ServiceOfNode;
};

} // namespace limpetdrum::soak

#endif
