#ifndef LIMPETDRUM_VERSION_POLICYREQUESTS_H
#define LIMPETDRUM_VERSION_POLICYREQUESTS_H

#include "limpetdrum/process/Types.h"

namespace limpetdrum {

/// \brief Decides which of the nodes that have a newer policy is asked for it.
///
/// One is asked at a time, so that a new policy is received about once however
/// many nodes announce it.
class PolicyRequests {
public:
  /// \brief Handles the version that another node has in force.
  /// \param Local version in force at this node; 0 if none.
  /// \returns true if that node is to be asked for its policy now.
  [[nodiscard]] bool isDue(Revision Announced, Revision Local,
                           TimePoint Now) noexcept;

private:
  Revision Requested;
  TimePoint RequestedAt{};
};

} // namespace limpetdrum

#endif
