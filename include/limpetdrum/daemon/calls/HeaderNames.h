#ifndef LIMPETDRUM_DAEMON_CALLS_HEADERNAMES_H
#define LIMPETDRUM_DAEMON_CALLS_HEADERNAMES_H

#include <string>

namespace limpetdrum {

/// \brief Names of the HTTP headers that clients, nodes and targets share.
struct HeaderNames {
  std::string RequestId = "limpetdrum-request-id";
  /// Time until the sender stops waiting, in milliseconds.
  std::string TimeLeft = "limpetdrum-time-left-ms";
  /// Id of the only target that may run a request; any other answers 421.
  std::string ExpectedTarget = "limpetdrum-expected-target";
  /// Service of the node at which a request entered the mesh.
  std::string CallerService = "limpetdrum-caller-service";
  /// Key of the organisation whose request it is; not passed on to targets.
  std::string OrganisationKey = "limpetdrum-key";
  /// Name of the organisation whose request it is, for the target.
  std::string Organisation = "limpetdrum-organisation";
  /// Marks an answer of a target that did not run the request.
  std::string NotExecuted = "limpetdrum-not-executed";
  /// Id of the answering target.
  std::string TargetId = "limpetdrum-target-id";
  /// Running requests, waiting requests and slots of a target, separated by
  /// commas; then, if the target says it, its pace as in NodeStatus.
  std::string TargetLoad = "limpetdrum-target-load";
  /// Requests per second that the answering target accepts from all nodes
  /// together, for as long as its answers say so.
  std::string RequestRate = "limpetdrum-request-rate";
  /// 1 in all answers of a target that is leaving.
  std::string TargetLeaving = "limpetdrum-target-leaving";
};

} // namespace limpetdrum

#endif
