#ifndef LIMPETDRUM_PROCESS_NODESTATUS_H
#define LIMPETDRUM_PROCESS_NODESTATUS_H

#include "limpetdrum/process/Membership.h"

#include <optional>

namespace limpetdrum {

/// \brief Address and failure domain of a node of the mesh.
struct Contact {
  NodeId Node;
  Endpoint Link;
  limpetdrum::FailureDomain FailureDomain;

  friend bool operator==(const Contact &A, const Contact &B) {
    return A.Node == B.Node && A.Link == B.Link &&
           A.FailureDomain == B.FailureDomain;
  }
};

/// \brief A target's process as described by its own report.
struct TargetRecord {
  std::string Id;             ///< empty if no target is known
  std::int64_t Started = 0;   ///< Unix time in milliseconds; 0 if unknown
  std::uint64_t Sequence = 0; ///< of the report, increasing within one process
  ServiceName Service;
  limpetdrum::Slots Slots;
  TargetState State = TargetState::Starting;
  /// Requests per second that the target takes from all nodes together, as
  /// named in its last answer; none if it names no limit.
  std::optional<double> RequestRate;

  [[nodiscard]] bool isReady() const noexcept {
    return !this->Id.empty() && this->State == TargetState::Ready;
  }
};

/// \brief Returns true if \p New was reported after \p Old, by a later process
///   or by the same one.
[[nodiscard]] bool isLater(const TargetRecord &New,
                           const TargetRecord &Old) noexcept;

/// \brief State of a node and its target, as sent to the other nodes.
struct NodeStatus {
  Contact Self;
  limpetdrum::Incarnation Incarnation;
  std::uint64_t Version = 0; ///< incremented with each change
  bool Leaving = false;      ///< accepts no new work
  /// The process ends soon and gives its target no further runs.
  bool RefusesRuns = false;
  /// Bodies may follow their messages in parts.
  bool TakesBodyParts = false;
  Revision Policy;        ///< in force at the node
  bool StoreLost = false; ///< its last call to the store failed
  TargetRecord Target;
  std::uint32_t Running = 0; ///< requests running at the target
  std::uint32_t Queued = 0;
  std::uint32_t Limit = 0;     ///< concurrent requests allowed at the target
  float Threshold = 0;         ///< positions below are admitted
  Microseconds ServiceTime{0}; ///< typical time of a request at the target
  /// Time that work takes on the target's instance now, in percent of the usual
  /// time; 0 if the target does not say it.
  std::uint16_t Pace = 0;
};

} // namespace limpetdrum

#endif
