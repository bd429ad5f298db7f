#ifndef LIMPETDRUM_REQUEST_LOADESTIMATE_H
#define LIMPETDRUM_REQUEST_LOADESTIMATE_H

#include "limpetdrum/process/NodeStatus.h"
#include "limpetdrum/request/EntryGate.h"

#include <map>

namespace limpetdrum {

/// \brief Estimates the load of each service from the nodes that this one is
///   linked to.
///
/// The linked nodes are a sample of each failure domain. What they report is
/// scaled to the number of members of the service there, so that the own
/// failure domain, from which more nodes are sampled, counts no more than the
/// others.
class LoadEstimate {
public:
  /// \brief Adds a node that runs a target of the service.
  void addMember(const ServiceName &Service, const FailureDomain &Domain);
  /// \brief Adds the load that a member reported.
  /// \param IsServing false if the node takes no requests: its target is not
  ///   ready, or the node is leaving or unreachable.
  void addSample(const ServiceName &Service, const FailureDomain &Domain,
                 const NodeStatus &Status, bool IsServing);
  [[nodiscard]] std::map<ServiceName, ServiceLoad> total() const;

private:
  struct DomainLoad {
    std::size_t Members = 0;
    std::size_t Samples = 0;
    ServiceLoad Sum; ///< over the samples
  };
  std::map<ServiceName, std::map<FailureDomain, DomainLoad>> Services;
};

} // namespace limpetdrum

#endif
