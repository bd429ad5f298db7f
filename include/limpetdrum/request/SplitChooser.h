#ifndef LIMPETDRUM_REQUEST_SPLITCHOOSER_H
#define LIMPETDRUM_REQUEST_SPLITCHOOSER_H

#include "limpetdrum/version/TrafficPolicy.h"

namespace limpetdrum {

/// \brief Chooses among the services of a route by smooth weighted round robin:
///   any short run of requests is split in proportion to the weights.
class SplitChooser {
public:
  [[nodiscard]] const ServiceName &choose(const TrafficRoute &Route);

private:
  /// By route, then by service: how far the service is behind its share.
  std::unordered_map<std::string, std::unordered_map<ServiceName, std::int64_t>>
      Credits;
};

} // namespace limpetdrum

#endif
