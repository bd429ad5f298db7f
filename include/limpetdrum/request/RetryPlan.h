#ifndef LIMPETDRUM_REQUEST_RETRYPLAN_H
#define LIMPETDRUM_REQUEST_RETRYPLAN_H

#include "limpetdrum/request/Reply.h"

#include <functional>

namespace limpetdrum {

/// \brief Decides the next step of a request after an attempt at a node that
///   was not answered.
///
/// An attempt that is proven not to have run may be followed by another one; an
/// attempt with an unknown outcome only if the route is idempotent. Attempts
/// that follow one that may have reached a target are repeats. The fleet's
/// budget bounds the repeats, and the route bounds the number of targets.
///
/// The class does no I/O: the owner takes repeats out of the budget and reports
/// each grant with onRepeatGranted().
class RetryPlan {
public:
  enum class Step : std::uint8_t {
    Refuse,              ///< end the request: it has not run
    Fail,                ///< end the request: it may have run
    Wait,                ///< wait for the result of the current attempt
    TryOtherNode,        ///< try another node; does not count as a repeat
    RepeatAtOtherTarget, ///< repeat at another target if the budget grants it
    RepeatAtSameTarget,  ///< repeat at the refusing target if it is granted
  };
  /// \brief State outside the plan that a step depends on.
  struct Context {
    Milliseconds TimeLeft{0};
    /// Returns true if there is a node that the request was not sent to.
    std::function<bool()> HasUntriedNode;
  };

  /// \param MaxTargets maximum number of targets to send the request to.
  RetryPlan(bool Idempotent, std::uint32_t MaxTargets) noexcept
      : Idempotent(Idempotent), MaxTargets(MaxTargets) {}

  /// \brief Counts an attempt as sent.
  void onSent() noexcept { ++this->Attempts; }
  /// \brief Returns the next step after an attempt that did not run.
  [[nodiscard]] Step onNotRun(Reason Cause, const Context &Ctx) const;
  /// \brief Returns the next step after an attempt that may have run.
  [[nodiscard]] Step onUnknown(Reason Cause, const Context &Ctx);
  /// \brief Returns the next step when the node is suspected to have failed;
  ///   the attempt may still succeed.
  [[nodiscard]] Step onSuspected(const Context &Ctx) const;
  /// \brief Records that the budget granted a repeat.
  /// \param Repeat the step that required the repeat.
  /// \param Abandons true if the previous attempt is abandoned although it may
  ///   still run.
  void onRepeatGranted(Step Repeat, bool Abandons) noexcept;
  /// \returns the step that ends the request if no further attempt is made, for
  ///   example because the budget did not grant a repeat.
  [[nodiscard]] Step terminalStep() const noexcept {
    return this->MayHaveRun ? Step::Fail : Step::Refuse;
  }
  /// \brief Returns the number of attempts sent.
  [[nodiscard]] std::uint64_t attempts() const noexcept {
    return this->Attempts;
  }

  [[nodiscard]] static bool isRepeat(Step Value) noexcept {
    return Value == Step::RepeatAtOtherTarget ||
           Value == Step::RepeatAtSameTarget;
  }
  /// \brief Returns true if an attempt that did not run for this reason reached
  ///   a target.
  [[nodiscard]] static bool reachedTarget(Reason Cause) noexcept;

private:
  [[nodiscard]] bool hasAttemptLeft(const Context &Ctx) const;
  [[nodiscard]] bool mayTryOtherTarget(const Context &Ctx) const;

  bool Idempotent;
  std::uint32_t MaxTargets;
  std::uint64_t Attempts = 0;
  /// Targets that the request may have reached before the current one.
  std::uint32_t EarlierTargets = 0;
  bool MayHaveRun = false;
};

} // namespace limpetdrum

#endif
