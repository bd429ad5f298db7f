#ifndef LIMPETDRUM_REQUEST_SUSPECTTRIALS_H
#define LIMPETDRUM_REQUEST_SUSPECTTRIALS_H

#include "limpetdrum/process/Types.h"

#include <optional>
#include <vector>

namespace limpetdrum {

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
