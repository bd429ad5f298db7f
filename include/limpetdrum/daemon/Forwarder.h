#ifndef LIMPETDRUM_DAEMON_FORWARDER_H
#define LIMPETDRUM_DAEMON_FORWARDER_H

#include "limpetdrum/daemon/LocalTarget.h"
#include "limpetdrum/daemon/Mesh.h"
#include "limpetdrum/request/LeavePlan.h"
#include "limpetdrum/request/OverloadControl.h"
#include "limpetdrum/request/Placement.h"
#include "limpetdrum/request/RepeatBudget.h"
#include "limpetdrum/request/RetryPlan.h"
#include "limpetdrum/request/SplitChooser.h"
#include "limpetdrum/version/TrafficPolicy.h"

#include <random>

namespace limpetdrum {

/// \brief Forwards requests from local clients and the local target to a node
///   whose target serves them, and returns the answers.
class Forwarder {
public:
  struct Options {
    limpetdrum::NodeId Node;
    limpetdrum::FailureDomain FailureDomain;
    limpetdrum::Region Region;
    limpetdrum::Incarnation Incarnation;
    ServiceName LocalService; ///< of the local target
    std::uint64_t Seed = 1;
    /// Returns the id of the request whose run makes a call, if it can be
    /// derived from the id of the call.
    std::function<std::optional<std::string>(const std::string &RequestId)>
        ParentRequestId;
    /// Returns a node of a service that this one is not linked to, except the
    /// given ones.
    std::function<std::optional<Contact>(const ServiceName &,
                                         const std::vector<NodeId> &)>
        FindUnlinkedNode;
  };
  using PolicyInForce = std::function<std::shared_ptr<const TrafficPolicy>()>;

  Forwarder(Options Config, HeaderNames Names, EventLoop &Loop, Mesh &Peers,
            limpetdrum::LocalTarget &LocalTarget, RepeatBudget &Repeats,
            const CrashHistory &Crashes, OverloadControl &Overload,
            const LeavePlan &Leaving, PolicyInForce Policy, EventLog &Log,
            Metrics &Counters);

  void onRequest(std::shared_ptr<HttpExchange> Exchange);
  /// \brief Handles a new status of another node.
  void onPeerStatus(const NodeId &Node);
  /// \brief Discards what was observed of a node that is no longer linked.
  void onPeerRemoved(const NodeId &Node);

private:
  struct ForwardedRequest;
  using RequestPtr = std::shared_ptr<ForwardedRequest>;

  /// Assigns rank and cohort: those of the request whose run makes this call,
  /// or else the rank of the route and a random cohort.
  void assignRankAndCohort(const RequestPtr &Request);
  void admit(const RequestPtr &Request);
  void send(const RequestPtr &Request);
  /// Ends a request that is proven to crash targets.
  /// \returns false if it is not.
  [[nodiscard]] bool endIfCrashing(const RequestPtr &Request);
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
  /// Returns true if a candidate node has not been sent the request yet.
  [[nodiscard]] bool hasUntriedNode(const ForwardedRequest &Request) const;
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
              const std::string &Body, const char *Outcome);
  /// Nodes of a service that this one is linked to.
  struct Candidates {
    std::vector<PlacementCandidate> Ready;
    /// Used only if no other node is ready: nodes that do not respond, or else
    /// targets that are leaving but still serve requests for a short time.
    std::vector<PlacementCandidate> Fallback;
    [[nodiscard]] const std::vector<PlacementCandidate> &best() const noexcept {
      return this->Ready.empty() ? this->Fallback : this->Ready;
    }
  };
  [[nodiscard]] Candidates candidates(const ServiceName &Service) const;
  /// Selects the node for the next attempt, and links to it if need be.
  [[nodiscard]] std::optional<NodeId> selectNode(const RequestPtr &Request);
  [[nodiscard]] const TargetRecord *targetAt(const NodeId &Node) const;
  [[nodiscard]] MeshAttempt makeAttempt(const ForwardedRequest &Request,
                                        const TargetRecord &Target) const;

  Options Config;
  HeaderNames Names;
  EventLoop &Loop;
  Mesh &Peers;
  limpetdrum::LocalTarget &LocalTarget;
  RepeatBudget &Repeats;
  const CrashHistory &Crashes;
  OverloadControl &Overload;
  const LeavePlan &Leaving;
  PolicyInForce Policy;
  EventLog &Log;
  Metrics &Counters;
  Placement NodePlacement;
  SplitChooser Splits;
  std::mt19937_64 Random;
  std::uint64_t LastLocalCall = 0;
};

} // namespace limpetdrum

#endif
