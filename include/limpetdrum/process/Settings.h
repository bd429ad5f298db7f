#ifndef LIMPETDRUM_PROCESS_SETTINGS_H
#define LIMPETDRUM_PROCESS_SETTINGS_H

#include "limpetdrum/process/Types.h"

#include <string>
#include <vector>

namespace limpetdrum {

/// \brief What a node is told when it starts.
struct Settings {
  NodeId Node;
  limpetdrum::Region Region;
  limpetdrum::FailureDomain FailureDomain;
  Endpoint Ingress;       ///< HTTP, where clients send requests
  Endpoint Egress;        ///< HTTP, where the node's own target calls out
  Endpoint Rpc;           ///< Cap'n Proto, where other nodes call
  Endpoint Gossip;        ///< UDP, the membership protocol
  Endpoint Admin;         ///< HTTP, metrics and status
  Endpoint AdvertisedRpc; ///< where others reach Rpc, if not there
  Endpoint Platform;
  std::vector<Endpoint> Contacts; ///< RPC endpoints of other nodes
  Milliseconds LeaveGrace{3000};  ///< from leaving to refusing new work
  Milliseconds DrainLimit{30000}; ///< from leaving to the end of the process
  Milliseconds GossipPeriod{1000};
  bool ShedAtEntry = true;  ///< refuse at the entry what would fail deeper
  bool ShedByClass = true;  ///< order queues by class and cohort
  bool BoundRetries = true; ///< one retry budget for a whole chain
};

/// \brief Reads and checks settings as a whole.
///
/// \code
///   node: ordering-1
///   region: trondelag
///   failure-domain: a
///   listen:
///     ingress: 10.0.0.7:7400
///     egress: 127.0.0.1:7401
///     rpc: 10.0.0.7:7402
///     gossip: 10.0.0.7:7403
///     admin: 10.0.0.7:7404
///   platform: 10.0.0.2:7300
///   contacts: ["10.0.0.8:7402"]
/// \endcode
/// \param Text the YAML document.
/// \param File the name that errors give.
/// \throws SourceError with file, line, column and the remedy.
[[nodiscard]] Settings parseSettings(const std::string &Text,
                                     const std::string &File);

} // namespace limpetdrum

#endif
