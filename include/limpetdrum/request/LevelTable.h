#ifndef LIMPETDRUM_REQUEST_LEVELTABLE_H
#define LIMPETDRUM_REQUEST_LEVELTABLE_H

#include "limpetdrum/request/Reply.h"

#include <unordered_map>
#include <vector>

namespace limpetdrum {

/// \brief What this node knows of the thresholds of other services.
///
/// Each node that answers reports thresholds; those of one service are
/// averaged. Where no report is fresh, the last one rises with its age, so
/// that a service that nobody calls any more is tried again.
class LevelTable {
public:
  void record(NodeId Reporter, const LevelReport &Report, TimePoint Now);

  /// \returns MaxRanks if nothing is known.
  [[nodiscard]] float threshold(const ServiceName &Service,
                                TimePoint Now) const;
  /// \brief The least threshold of several services.
  [[nodiscard]] float threshold(const std::vector<ServiceName> &Services,
                                TimePoint Now) const;
  /// \brief What to tell callers of the services below a route.
  [[nodiscard]] std::vector<LevelReport>
  reports(const std::vector<ServiceName> &Services, TimePoint Now) const;

private:
  struct Report {
    float Threshold = 0;
    TimePoint At;
  };
  std::unordered_map<ServiceName, std::unordered_map<NodeId, Report>> Known;
};

} // namespace limpetdrum

#endif
