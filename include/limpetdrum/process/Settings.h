#ifndef LIMPETDRUM_PROCESS_SETTINGS_H
#define LIMPETDRUM_PROCESS_SETTINGS_H

#include "limpetdrum/process/Types.h"

#include <string>
#include <vector>

namespace limpetdrum {

/// \brief Start-up settings of a node.
struct Settings {
  NodeId Node;
  limpetdrum::Region Region;
  limpetdrum::FailureDomain FailureDomain;
  Endpoint Ingress;       ///< HTTP, requests from clients
  Endpoint Egress;        ///< HTTP, outgoing calls of the node's own target
  Endpoint Rpc;           ///< Cap'n Proto, calls from other nodes
  Endpoint Gossip;        ///< UDP, the membership protocol
  Endpoint Admin;         ///< HTTP, metrics and status
  Endpoint AdvertisedRpc; ///< Rpc as reached by other nodes; default: Rpc
  Endpoint Platform;
  std::vector<Endpoint> Contacts; ///< RPC endpoints of other nodes
  Milliseconds LeaveGrace{3000};  ///< from leaving until new work is refused
  Milliseconds DrainLimit{30000}; ///< from leaving to the end of the process
  Milliseconds GossipPeriod{1000};
  bool ShedAtEntry = true;  ///< refuse requests that would fail downstream
  bool ShedByClass = true;  ///< order queues by class and cohort
  bool BoundRetries = true; ///< share a retry budget over a whole chain
};

/// \brief Parses and validates the settings of a node.
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
/// \param File the file name for errors.
/// \throws SourceError if a setting is invalid, with file, line, column and
///   remedy.
[[nodiscard]] Settings parseSettings(const std::string &Text,
                                     const std::string &File);

} // namespace limpetdrum

#endif
