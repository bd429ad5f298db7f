#ifndef LIMPETDRUM_REQUEST_TARGETIDENTITY_H
#define LIMPETDRUM_REQUEST_TARGETIDENTITY_H

#include "limpetdrum/process/NodeStatus.h"

#include <string>
#include <unordered_map>

namespace limpetdrum {

/// \brief Decides which reports about the target of a node are in force.
///
/// Reports arrive late, out of order, from earlier processes at the same
/// address, and from nodes that have not heard of a leave.
class TargetIdentity {
public:
  /// \brief What becomes of a reported record.
  enum class Verdict : std::uint8_t {
    Outdated, ///< it must not be acknowledged
    InForce,  ///< the current record already says as much
    Newer,    ///< it replaces the current record
  };

  /// \param Current the record in force; without an id if there is none.
  [[nodiscard]] Verdict judge(const TargetRecord &Reported,
                              const TargetRecord &Current) const;
  /// \brief Returns the record to put in force for a newer one.
  ///
  /// A target that is leaving stays so, whatever state it reports later.
  [[nodiscard]] static TargetRecord merge(const TargetRecord &Newer,
                                          const TargetRecord &Current);
  /// \brief Records the acknowledged leave of a target.
  ///
  /// Unknown targets are recorded as well: nodes that have not been notified of
  /// the leave may still send the target's record as ready. An id may be used
  /// again, so the latest leave counts, in whatever order they are recorded.
  /// \param At the time of day, in milliseconds since the Unix epoch.
  void onLeave(const std::string &Id, std::int64_t At);
  /// \brief Returns true if the leave of this target was acknowledged. A later
  ///   process with the same id is a different target.
  [[nodiscard]] bool hasDeparted(const TargetRecord &Value) const;

private:
  /// Times of the last leaves by target id, in milliseconds since the Unix
  /// epoch.
  std::unordered_map<std::string, std::int64_t> Departed;
};

} // namespace limpetdrum

#endif
