#ifndef LIMPETDRUM_DAEMON_SERVICEDIRECTORY_H
#define LIMPETDRUM_DAEMON_SERVICEDIRECTORY_H

#include "limpetdrum/process/Membership.h"
#include "limpetdrum/request/KeyHome.h"
#include "limpetdrum/request/Router.h"

#include <unordered_map>
#include <vector>

namespace limpetdrum {

/// \brief Index of the ready targets by service, read by every request.
///
/// The membership is scanned only after it has changed, so that the cost of a
/// lookup does not depend on the size of the fleet.
/// \code
///   ServiceDirectory Directory(Members);
///   for (const auto &C : Directory.routeCandidates(ServiceName("planning")))
///     use(C.Node);
/// \endcode
class ServiceDirectory {
public:
  /// \param Members must outlive the directory.
  explicit ServiceDirectory(const Membership &Members) : Members(Members) {}

  /// \brief Returns the nodes of a service that this node calls: a bounded
  ///   subset.
  /// \returns a reference that is valid until the membership changes.
  [[nodiscard]] const std::vector<RouteCandidate> &
  routeCandidates(const ServiceName &Service);
  /// \brief Returns all nodes of a service that may hold keys.
  /// \returns a reference that is valid until the membership changes.
  [[nodiscard]] const std::vector<KeyCandidate> &
  keyCandidates(const ServiceName &Service);

private:
  struct Entry {
    std::vector<RouteCandidate> Routes;
    std::vector<KeyCandidate> KeyCandidates;
  };

  [[nodiscard]] const Entry &entry(const ServiceName &Service);
  [[nodiscard]] Entry build(const ServiceName &Service) const;

  const Membership &Members;
  std::uint64_t IndexedChanges = 0;
  std::unordered_map<ServiceName, Entry> Entries;
};

/// \brief Returns true if requests may be sent to a member: its target is ready
///   and it is not dead.
[[nodiscard]] bool takesRequests(const Member &Value) noexcept;

} // namespace limpetdrum

#endif
