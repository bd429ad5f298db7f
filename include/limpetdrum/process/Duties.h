#ifndef LIMPETDRUM_PROCESS_DUTIES_H
#define LIMPETDRUM_PROCESS_DUTIES_H

#include "limpetdrum/process/Membership.h"

namespace limpetdrum {

/// \brief Number of nodes in each failure domain that work for all of it: they
///   watch the platform and exchange sums with other failure domains.
///
/// With two, the failure of one interrupts nothing.
inline constexpr std::size_t DutyHolders = 2;

/// \brief Returns the nodes of a failure domain in the order in which they take
///   over its duties.
///
/// The order follows from the members alone, without a lease: where the views
/// of two nodes differ, a duty is done twice for a moment or by one node less.
/// \param Count maximum number of nodes to return.
[[nodiscard]] std::vector<NodeId> dutyOrder(const Membership &Members,
                                            const FailureDomain &Domain,
                                            std::size_t Count);

/// \brief Returns true if the node itself holds the duties of its failure
///   domain, judged by the members alone.
/// \param Count number of nodes that hold them.
[[nodiscard]] bool holdsDuties(const Membership &Members,
                               std::size_t Count = DutyHolders);

} // namespace limpetdrum

#endif
