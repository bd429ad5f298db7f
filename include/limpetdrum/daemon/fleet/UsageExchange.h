#ifndef LIMPETDRUM_DAEMON_FLEET_USAGEEXCHANGE_H
#define LIMPETDRUM_DAEMON_FLEET_USAGEEXCHANGE_H

#include "limpetdrum/daemon/fleet/LinkKeeper.h"
#include "limpetdrum/daemon/fleet/Mesh.h"
#include "limpetdrum/request/OverloadControl.h"

namespace limpetdrum {

/// \brief Exchanges the observed usage of routes with the other nodes.
///
/// Each node reports to the duty holders of its failure domain. These exchange
/// the sums of their domains, and hand out the sum over the fleet.
class UsageExchange {
public:
  struct Options {
    NodeId Node;
    limpetdrum::FailureDomain FailureDomain;
    ServiceName Service; ///< of the local target
  };
  UsageExchange(Options Self, OverloadControl &Overload,
                const LinkKeeper &Links, Mesh &Peers);

  /// \brief Sends what this node has observed, and the sums that it makes as a
  ///   duty holder; to be called every 500 ms.
  void share(TimePoint Now);
  /// \brief Records a report or a sum of another node.
  void onUsage(MeshUsage Report, TimePoint Now);

private:
  void shareSums(TimePoint Now);

  Options Self;
  OverloadControl &Overload;
  const LinkKeeper &Links;
  Mesh &Peers;
};

} // namespace limpetdrum

#endif
