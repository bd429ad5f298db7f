#ifndef LIMPETDRUM_REQUEST_LEVELTABLE_H
#define LIMPETDRUM_REQUEST_LEVELTABLE_H

#include "limpetdrum/request/Reply.h"

#include <unordered_map>
#include <vector>

namespace limpetdrum {

/// \brief Thresholds of other services, as reported by their nodes.
///
/// The fresh reports of a service are averaged. If none is fresh, the threshold
/// of the latest report rises with its age, so that a service that is no longer
/// called is tried again.
class LevelTable {
public:
  /// \brief Records the latest report of a node on a service, and removes
  ///   expired reports on that service.
  void record(NodeId Reporter, const LevelReport &Report, TimePoint Now);

  /// \returns the threshold of a service, or MaxRanks if it has no report.
  [[nodiscard]] float threshold(const ServiceName &Service,
                                TimePoint Now) const;
  /// \brief Returns the lowest threshold of several services.
  [[nodiscard]] float threshold(const std::vector<ServiceName> &Services,
                                TimePoint Now) const;
  /// \brief Returns the reports for callers on the services that a route
  ///   reaches. Services that admit all requests are left out.
  [[nodiscard]] std::vector<LevelReport>
  reports(const std::vector<ServiceName> &Services, TimePoint Now) const;

private:
  struct TimedThreshold {
    float Threshold = 0;
    TimePoint ReceivedAt;
  };
  std::unordered_map<ServiceName, std::unordered_map<NodeId, TimedThreshold>>
      Reports;
};

} // namespace limpetdrum

#endif
