#ifndef LIMPETDRUM_DAEMON_CALLS_FORWARDER_H
#define LIMPETDRUM_DAEMON_CALLS_FORWARDER_H

#include "limpetdrum/daemon/calls/RequestIdentifier.h"
#include "limpetdrum/daemon/calls/TargetSelector.h"
#include "limpetdrum/request/Allowances.h"
#include "limpetdrum/request/LeavePlan.h"
#include "limpetdrum/request/OverloadControl.h"
#include "limpetdrum/request/RepeatBudget.h"
#include "limpetdrum/request/RetryPlan.h"
#include "limpetdrum/request/SplitChooser.h"
#include "limpetdrum/version/TrafficPolicy.h"

#include <random>
#include <unordered_set>

namespace limpetdrum {

/// \brief Forwards requests from local clients and the local target to a node
///   whose target serves them, and returns the answers.
class Forwarder {
public:
  struct Options {
    limpetdrum::NodeId Node;
    limpetdrum::Incarnation Incarnation;
    ServiceName LocalService; ///< of the local target
    std::uint64_t Seed = 1;
    RequestIdentifier::FindParentId ParentRequestId;
  };
  using PolicyInForce = std::function<std::shared_ptr<const TrafficPolicy>()>;

  Forwarder(Options Config, HeaderNames Names, EventLoop &Loop, Mesh &Peers,
            limpetdrum::LocalTarget &LocalTarget, TargetSelector &Targets,
            RepeatBudget &Repeats, const CrashHistory &Crashes,
            OverloadControl &Overload, Allowances &AllowanceParts,
            const LeavePlan &Leaving, PolicyInForce Policy, EventLog &Log,
            Metrics &Counters);

  void onRequest(std::shared_ptr<HttpExchange> Exchange);
  /// \brief Ends each open request by the time at which a leaving node has to
  ///   have answered it.
  void limitOpenRequests();

private:
  struct ForwardedRequest;
  using RequestPtr = std::shared_ptr<ForwardedRequest>;

  /// Finds the organisation of the request, and removes its key and the name
  /// that it was sent with. Answers the request if its key is unknown.
  /// \returns false if it was answered.
  [[nodiscard]] bool identify(const RequestPtr &Request);
  /// Logs a call whose run is unknown, and answers it if it isn't accepted.
  void onUnknownRun(const RequestPtr &Request, bool IsAccepted);
  /// Assigns rank and cohort: those of the request whose run makes this call,
  /// or else the rank of the organisation and the route, and a random cohort.
  /// \param Run the run, if it is known.
  void assignRankAndCohort(const RequestPtr &Request,
                           const std::optional<CallContext> &Run);
  /// Takes a client's request out of the allowance of its organisation. Answers
  /// it if the allowance has no room.
  /// \returns false if it was answered.
  [[nodiscard]] bool takeAllowance(const RequestPtr &Request);
  /// Gives back what takeAllowance() took, for a request that has not run.
  void giveAllowanceBack(ForwardedRequest &Request);
  /// Ends the request at its deadline, and by the time at which a leaving node
  /// has to have answered it.
  void setDeadline(const RequestPtr &Request, TimePoint Deadline);
  void admit(const RequestPtr &Request);
  void send(const RequestPtr &Request);
  [[nodiscard]] static RequestFingerprint
  fingerprintOf(ForwardedRequest &Request);
  [[nodiscard]] CrashHistory::Verdict
  crashVerdict(ForwardedRequest &Request) const;
  /// Ends a request that is proven to crash targets.
  void endCrashing(const RequestPtr &Request);
  /// Selects the node for the next attempt; for a suspected request, the one at
  /// which it is tried.
  [[nodiscard]] std::optional<NodeId> selectNode(ForwardedRequest &Request,
                                                 CrashHistory::Verdict Verdict);
  /// Sends the request to the node of the last attempt again, or to another one
  /// if that node is no longer a candidate.
  void resendToSameNode(const RequestPtr &Request);
  void sendTo(const RequestPtr &Request, const NodeId &Node);
  /// \param AttemptNumber of the attempt; results of earlier ones are ignored.
  void onResult(const RequestPtr &Request, std::uint64_t AttemptNumber,
                const MeshResult &Result);
  void onReply(const RequestPtr &Request, const Reply &Value);
  void onUnknown(const RequestPtr &Request, Reason Cause);
  void onNotRun(const RequestPtr &Request, const Reply &Value);
  [[nodiscard]] RepeatBudget::RouteKind
  routeKind(const ForwardedRequest &Request) const;
  [[nodiscard]] RetryPlan::Context
  retryContext(const RequestPtr &Request) const;
  /// Takes a repeat out of the budget, and logs whether it was granted.
  /// \param Cause reason for which the last attempt brought no answer.
  [[nodiscard]] bool takeRepeat(const RequestPtr &Request, RetryPlan::Step Step,
                                Reason Cause);
  /// Carries out a step; a repeat becomes the terminal step if the budget does
  /// not grant it.
  /// \param LastReply outcome of the last attempt.
  void applyStep(const RequestPtr &Request, RetryPlan::Step Step,
                 const Reply &LastReply);
  void endAttempt(const RequestPtr &Request, CallResult Result);
  /// Records the failure of a call at the run that made it, if that is known.
  void reportCallFailure(const ForwardedRequest &Request);
  void onClientDisconnect(const RequestPtr &Request);
  void cancelAttempt(const RequestPtr &Request);
  void onDeadline(const RequestPtr &Request);
  void refuse(const RequestPtr &Request, Reason Cause, Milliseconds RetryAfter);
  void fail(const RequestPtr &Request, int Status, Reason Cause);
  void answer(const RequestPtr &Request, int Status, const HttpHeaders &Headers,
              const limpetdrum::Body &Body, const char *Outcome);
  [[nodiscard]] MeshAttempt makeAttempt(const ForwardedRequest &Request,
                                        const TargetRecord &Target) const;

  Options Config;
  HeaderNames Names;
  EventLoop &Loop;
  Mesh &Peers;
  limpetdrum::LocalTarget &LocalTarget;
  TargetSelector &Targets;
  RepeatBudget &Repeats;
  const CrashHistory &Crashes;
  OverloadControl &Overload;
  Allowances &AllowanceParts;
  const LeavePlan &Leaving;
  PolicyInForce Policy;
  EventLog &Log;
  Metrics &Counters;
  RequestIdentifier Identifier;
  SplitChooser Splits;
  std::mt19937_64 Random;
  std::uint64_t LastLocalCall = 0;
  std::unordered_set<RequestPtr> Open;
};

} // namespace limpetdrum

#endif
