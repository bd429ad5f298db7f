#ifndef LIMPETDRUM_DAEMON_SERVICEDIRECTORY_H
#define LIMPETDRUM_DAEMON_SERVICEDIRECTORY_H

#include "limpetdrum/process/Membership.h"
#include "limpetdrum/request/KeyHome.h"
#include "limpetdrum/request/Router.h"

#include <unordered_map>
#include <vector>

namespace limpetdrum {

/// \brief The ready targets of each service, looked up by every request.
///
/// The whole membership is read only after it has changed, so that a request
/// costs the same in a fleet of any size.
/// \code
///   ServiceDirectory Directory(Members);
///   for (const auto &C : Directory.routes(ServiceName("planning")))
///     use(C.Node);
/// \endcode
class ServiceDirectory {
public:
  /// \param Members outlives the directory.
  explicit ServiceDirectory(const Membership &Members) : Members(Members) {}

  /// \brief The nodes of a service that this node calls: a bounded subset.
  /// \returns a reference that is good until the membership changes.
  [[nodiscard]] const std::vector<RouteCandidate> &
  routeCandidates(const ServiceName &Service);
  /// \brief All nodes of a service that may hold keys.
  /// \returns a reference that is good until the membership changes.
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
  std::uint64_t SeenChanges = 0;
  std::unordered_map<ServiceName, Entry> Entries;
};

/// \brief Whether requests may be sent to a member at all.
[[nodiscard]] bool takesRequests(const Member &Value) noexcept;

} // namespace limpetdrum

#endif
