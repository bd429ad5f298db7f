#ifndef LIMPETDRUM_DAEMON_MESHCODEC_H
#define LIMPETDRUM_DAEMON_MESHCODEC_H

#include "limpetdrum/connection/Http.h"
#include "limpetdrum/connection/PeerLink.h"
#include "limpetdrum/process/NodeStatus.h"
#include "limpetdrum/request/CallLearner.h"
#include "limpetdrum/request/Reply.h"

namespace limpetdrum {

/// \brief A request on its way to the node beside the target that may run it.
struct MeshAttempt {
  std::uint64_t Call = 0; ///< unique in one incarnation of the caller
  std::string RequestId;
  HttpRequest Request;
  Milliseconds TimeLeft{0};
  /// Longer in a queue, and the answer would be of little use.
  Milliseconds WaitLimit{0};
  std::string TargetId; ///< the only target that may run it
  std::int64_t TargetStarted = 0;
  ServiceName CallerService;
  ClassRank Rank;
  float Cohort = 0;
  std::string Route;
};

/// \brief What two nodes tell each other when a link comes up.
struct MeshHello {
  NodeStatus Status;
  std::vector<Contact> Known;
  /// What the sender last heard of the receiver's target.
  TargetRecord YourTarget;
};

/// \brief What a node, or all those of a failure domain, have seen of the
///   routes.
struct MeshUsage {
  NodeId Node; ///< none for a sum
  UsageSummary Usage;
  limpetdrum::FailureDomain FailureDomain; ///< of a sum, else none
  bool Relayed = false; ///< by a node of the receiver's failure domain
};

namespace codec {

[[nodiscard]] std::string encodeHello(const MeshHello &Value);
[[nodiscard]] std::string encodeStatus(const NodeStatus &Value);
/// \param Acknowledged calls whose replies need not be kept.
[[nodiscard]] std::string
encodeAttempt(const MeshAttempt &Value,
              const std::vector<std::uint64_t> &Acknowledged);
/// \param Load of the target, told along with the reply.
[[nodiscard]] std::string encodeReply(std::uint64_t Call, const Reply &Value,
                                      const NodeStatus &Load);
/// \brief What changes all the time in a status; the rest is told on a change.
[[nodiscard]] std::string encodeLoad(const NodeStatus &Value);
/// \brief Asks for a load at once.
[[nodiscard]] std::string encodeAsk();
[[nodiscard]] std::string encodeUsage(const MeshUsage &Value);
[[nodiscard]] std::string encodeCancel(std::uint64_t Call);
[[nodiscard]] std::string encodePolicy(const std::string &Text);
[[nodiscard]] std::string
encodeAcknowledged(const std::vector<std::uint64_t> &Calls);

/// \throws ValueError if a field has no meaning here.
[[nodiscard]] MeshHello decode(mesh::Hello::Reader From);
[[nodiscard]] NodeStatus decode(mesh::Status::Reader From);
/// \brief Takes over what a load tells into a status.
void decode(mesh::Load::Reader From, NodeStatus &Into);
[[nodiscard]] MeshAttempt decode(mesh::Attempt::Reader From);
[[nodiscard]] MeshUsage decode(mesh::Usage::Reader From);
[[nodiscard]] Reply decode(mesh::Reply::Reader From);

} // namespace codec

} // namespace limpetdrum

#endif
