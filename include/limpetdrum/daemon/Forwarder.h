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

/// \brief Takes requests of local clients and of the own target, and brings
///   each to a target and its answer back.
class Forwarder {
public:
  struct Options {
    limpetdrum::NodeId Node;
    limpetdrum::FailureDomain FailureDomain;
    limpetdrum::Region Region;
    limpetdrum::Incarnation Incarnation;
    ServiceName OwnService;
    std::uint64_t Seed = 1;
    /// The request whose run makes a call, as far as the call's id tells.
    std::function<std::optional<std::string>(const std::string &RequestId)>
        ParentRequestId;
  };
  using PolicyInForce = std::function<std::shared_ptr<const TrafficPolicy>()>;

  Forwarder(Options Chosen, HeaderNames Names, EventLoop &Loop, Mesh &Others,
            LocalTarget &Own, RepeatBudget &Repeats, OverloadControl &Overload,
            const LeavePlan &Leaving, PolicyInForce Policy, EventLog &Log,
            Metrics &Counters);

  void onRequest(std::shared_ptr<HttpExchange> Exchange);
  /// \brief Another node has told of its state.
  void onPeerStatus(const NodeId &Node);

private:
  struct Forwarding;
  using Shared = std::shared_ptr<Forwarding>;

  /// Takes over rank and cohort from the request whose run makes this call.
  void inherit(const Shared &Of);
  void admit(const Shared &Of);
  void send(const Shared &Of);
  /// To the node that it was sent to last.
  void sendAgain(const Shared &Of);
  void sendTo(const Shared &Of, const NodeId &Node);
  void onResult(const Shared &Of, std::uint64_t Turn, const MeshResult &Result);
  void onReply(const Shared &Of, const Reply &Value);
  void onUnknown(const Shared &Of, Reason Why);
  void onNotRun(const Shared &Of, const Reply &Value);
  [[nodiscard]] RepeatBudget::RouteKind kindOf(const Forwarding &Of) const;
  /// Whether there is a node that the request has not been sent to.
  [[nodiscard]] bool hasOther(const Forwarding &Of) const;
  [[nodiscard]] RetryPlan::Context around(const Shared &Of) const;
  /// Takes a repeat out of the budget, and logs whether it was granted.
  /// \param Why the last turn brought no answer.
  [[nodiscard]] bool takeRepeat(const Shared &Of, RetryPlan::Step Which,
                                Reason Why);
  /// \param Why what the last turn came to.
  void follow(const Shared &Of, RetryPlan::Step Which, const Reply &Why);
  void endTurn(const Shared &Of, CallResult How);
  /// Notes a call that failed at the run that made it, if that is known.
  void tellParent(const Forwarding &Of);
  /// The client has gone.
  void abandon(const Shared &Of);
  void cancelTurn(const Shared &Of);
  void onDeadline(const Shared &Of);
  void refuse(const Shared &Of, Reason Why, Milliseconds RetryAfter);
  void fail(const Shared &Of, int Status, Reason Why);
  void answer(const Shared &Of, int Status, const HttpHeaders &Headers,
              const std::string &Body, const char *Outcome);
  [[nodiscard]] std::vector<PlacementCandidate>
  candidates(const ServiceName &Service) const;
  [[nodiscard]] const TargetRecord *targetAt(const NodeId &Node) const;
  [[nodiscard]] MeshAttempt makeAttempt(const Forwarding &Of,
                                        const TargetRecord &Target) const;

  Options Chosen;
  HeaderNames Names;
  EventLoop &Loop;
  Mesh &Others;
  LocalTarget &Own;
  RepeatBudget &Repeats;
  OverloadControl &Overload;
  const LeavePlan &Leaving;
  PolicyInForce Policy;
  EventLog &Log;
  Metrics &Counters;
  Placement Places;
  SplitChooser Splits;
  std::mt19937_64 Random;
  std::uint64_t LastLocalCall = 0;
};

} // namespace limpetdrum

#endif
