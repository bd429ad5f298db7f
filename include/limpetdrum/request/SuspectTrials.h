#ifndef LIMPETDRUM_REQUEST_SUSPECTTRIALS_H
#define LIMPETDRUM_REQUEST_SUSPECTTRIALS_H

#include "limpetdrum/request/RequestFingerprint.h"

#include <optional>
#include <vector>

namespace limpetdrum {

/// \brief Returns the node at whose target a suspected request is tried.
///
/// Addresses requests that crash targets and come often, through many nodes at
/// once: tried wherever they arrive, they would end all targets of a service
/// before the first proof. Nodes that know the same candidates choose the same
/// one, and other requests are tried elsewhere.
/// \param Candidates nodes with a ready target; nothing is chosen if empty.
[[nodiscard]] std::optional<NodeId> trialNode(RequestFingerprint Request,
                                              std::vector<NodeId> Candidates);

/// \brief Lets suspected attempts run one at a time at a target.
class SuspectTrials {
public:
  /// \brief Starts the trial of an attempt, or else lets it wait for its turn.
  /// \returns true if the attempt may run now.
  [[nodiscard]] bool begin(AttemptId Id);
  /// \brief Handles the end of an attempt, whether it was on trial or waited.
  /// \returns an attempt that no longer has to wait; none while one is on
  ///   trial.
  [[nodiscard]] std::optional<AttemptId> end(AttemptId Id);
  [[nodiscard]] std::optional<AttemptId> running() const noexcept {
    return this->Running;
  }
  /// \brief Returns the attempts that wait, in the order of their arrival.
  [[nodiscard]] const std::vector<AttemptId> &waiting() const noexcept {
    return this->Waiting;
  }

private:
  std::optional<AttemptId> Running;
  std::vector<AttemptId> Waiting;
};

} // namespace limpetdrum

#endif
