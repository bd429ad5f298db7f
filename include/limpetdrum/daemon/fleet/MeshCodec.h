#ifndef LIMPETDRUM_DAEMON_FLEET_MESHCODEC_H
#define LIMPETDRUM_DAEMON_FLEET_MESHCODEC_H

#include "limpetdrum/connection/Http.h"
#include "limpetdrum/connection/PeerLink.h"
#include "limpetdrum/process/NodeStatus.h"
#include "limpetdrum/request/CallLearner.h"
#include "limpetdrum/request/CrashHistory.h"
#include "limpetdrum/request/OrganisationUse.h"
#include "limpetdrum/request/Reply.h"

namespace limpetdrum {

/// \brief Request sent to the node beside the only target that may run it.
struct MeshAttempt {
  std::uint64_t Call = 0; ///< unique within one incarnation of the caller
  std::string RequestId;
  HttpRequest Request;
  Milliseconds TimeLeft{0};
  /// Longest useful time in a queue: after it, the answer would come too late
  /// to be of much use. 0: no limit.
  Milliseconds WaitLimit{0};
  std::string TargetId; ///< the only target that may run it
  std::int64_t TargetStarted = 0;
  ServiceName CallerService;
  ClassRank Rank;
  float Cohort = 0;
  std::string Route;
  /// Targets that ended while they ran the request, as far as the caller knows.
  std::uint8_t TargetsEnded = 0;
  /// Whose request it is; empty if it is nobody's.
  limpetdrum::Organisation Organisation;
};

/// \brief First message that two nodes exchange on a new link.
struct MeshHello {
  NodeStatus Status;
  /// Record of the receiver's target that the sender last received.
  TargetRecord ReceiverTarget;
};

/// \brief What a usage report covers.
enum class UsageScope : std::uint8_t {
  Node,          ///< observed by one node
  FailureDomain, ///< summed over the nodes of a failure domain
  Fleet,         ///< summed over all nodes
};

/// \brief Route usage observed by one node, or summed over several.
struct MeshUsage {
  UsageScope Scope = UsageScope::Node;
  limpetdrum::NodeId Node;                 ///< the observer; empty for a sum
  limpetdrum::FailureDomain FailureDomain; ///< summed over; otherwise empty
  UsageSummary Usage;
};

/// \brief Requests of organisations observed by one node, or summed over
///   several.
struct MeshOrganisationUsage {
  UsageScope Scope = UsageScope::Node;
  limpetdrum::NodeId Node;                 ///< the observer; empty for a sum
  limpetdrum::FailureDomain FailureDomain; ///< summed over; otherwise empty
  std::uint32_t Nodes = 1;                 ///< number of nodes in the sum
  std::vector<OrganisationUse> Organisations;
};

/// \brief Where the body of an attempt or a reply is sent.
enum class BodyPlace : std::uint8_t {
  InMessage,
  InParts, ///< after the message, see PeerLink::sendBody()
};

namespace codec {

[[nodiscard]] std::string encodeHello(const MeshHello &Value);
[[nodiscard]] std::string encodeStatus(const NodeStatus &Value);
/// \param Acknowledged calls whose replies the receiver may discard.
[[nodiscard]] std::string
encodeAttempt(const MeshAttempt &Value,
              const std::vector<std::uint64_t> &Acknowledged,
              BodyPlace Place = BodyPlace::InMessage);
/// \param Load load of the target, sent along with the reply.
[[nodiscard]] std::string encodeReply(std::uint64_t Call, const Reply &Value,
                                      const NodeStatus &Load,
                                      BodyPlace Place = BodyPlace::InMessage);
/// \brief Encodes the frequently changing fields of a status.
///
/// The other fields are sent with the whole status, when they change.
[[nodiscard]] std::string encodeLoad(const NodeStatus &Value);
/// \brief Encodes a request for an immediate load message.
[[nodiscard]] std::string encodeLoadRequest();
[[nodiscard]] std::string encodeUsage(const MeshUsage &Value);
[[nodiscard]] std::string
encodeOrganisationUsage(const MeshOrganisationUsage &Value);
[[nodiscard]] std::string encodeCrashNews(const CrashNews &Value);
[[nodiscard]] std::string encodeCancel(std::uint64_t Call);
[[nodiscard]] std::string encodePolicy(const std::string &Text);
/// \brief Encodes a request for the policy in force at the receiver.
[[nodiscard]] std::string encodePolicyRequest();
[[nodiscard]] std::string
encodeAcknowledged(const std::vector<std::uint64_t> &Calls);

/// \throws ValueError if a field has an unknown or invalid value.
[[nodiscard]] MeshHello decode(mesh::Hello::Reader Reader);
[[nodiscard]] NodeStatus decode(mesh::Status::Reader Reader);
/// \brief Copies the fields of a load message into a status.
void decode(mesh::Load::Reader Reader, NodeStatus &Status);
/// \param Memory for its body; without the memory the attempt has no body and
///   is marked, see HttpRequest::ExceedsMemory. Null: no limit.
[[nodiscard]] MeshAttempt decode(mesh::Attempt::Reader Reader,
                                 MemoryBudget *Memory = nullptr);
[[nodiscard]] MeshUsage decode(mesh::Usage::Reader Reader);
[[nodiscard]] MeshOrganisationUsage
decode(mesh::OrganisationUsage::Reader Reader);
[[nodiscard]] CrashNews decode(mesh::Crashes::Reader Reader);
/// \param Memory for its body; without the memory, the outcome of the attempt
/// is
///   unknown. Null: no limit.
[[nodiscard]] Reply decode(mesh::Reply::Reader Reader,
                           AnswerMemory *Memory = nullptr);

} // namespace codec

} // namespace limpetdrum

#endif
