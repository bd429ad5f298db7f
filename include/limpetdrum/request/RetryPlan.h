#ifndef LIMPETDRUM_REQUEST_RETRYPLAN_H
#define LIMPETDRUM_REQUEST_RETRYPLAN_H

#include "limpetdrum/request/Reply.h"

#include <functional>

namespace limpetdrum {

/// \brief Decides what becomes of a request whose turn at a node brought no
///   answer.
///
/// A turn that is proven not to have run may be followed by another one; one
/// whose outcome is unknown only if the route is idempotent. Turns after one
/// that may have reached a target are repeats, which the fleet's budget bounds,
/// and the route bounds the targets. No I/O: the owner takes repeats out of the
/// budget and tells what came of it.
class RetryPlan {
public:
  enum class Step : std::uint8_t {
    Refuse,              ///< it has not run
    Fail,                ///< it may have run
    Wait,                ///< for the result of this turn
    TryOtherNode,        ///< to another node, without a repeat
    RepeatAtOtherTarget, ///< at another target, if the budget grants it
    RepeatAtSameTarget,  ///< at the target that refused it, likewise
  };
  /// \brief What a step depends on besides.
  struct Context {
    Milliseconds TimeLeft{0};
    /// Whether there is a node that the request has not been sent to.
    std::function<bool()> HasUntriedNode;
  };

  /// \param MaxTargets that the request may be sent to.
  RetryPlan(bool Idempotent, std::uint32_t MaxTargets) noexcept
      : Idempotent(Idempotent), MaxTargets(MaxTargets) {}

  void onSent() noexcept { ++this->Attempts; }
  /// \brief The turn did not run.
  [[nodiscard]] Step onNotRun(Reason Why, const Context &Now) const;
  /// \brief The turn may have run.
  [[nodiscard]] Step onUnknown(Reason Why, const Context &Now);
  /// \brief The node gives no sign of life; the turn may still end well.
  [[nodiscard]] Step onSuspected(const Context &Now) const;
  /// \brief The budget granted the repeat that a step asked for.
  /// \param Abandons whether the turn before it was given up while it may run.
  void onRepeatGranted(Step Which, bool Abandons) noexcept;
  /// \returns the step that ends the request where no further attempt is made,
  ///   as when the budget did not grant a repeat.
  [[nodiscard]] Step terminalStep() const noexcept {
    return this->MayHaveRun ? Step::Fail : Step::Refuse;
  }
  /// \brief Turns so far.
  [[nodiscard]] std::uint64_t attempts() const noexcept {
    return this->Attempts;
  }

  [[nodiscard]] static bool isRepeat(Step Which) noexcept {
    return Which == Step::RepeatAtOtherTarget ||
           Which == Step::RepeatAtSameTarget;
  }
  /// \brief Whether a turn that did not run for this reason has reached a
  ///   target.
  [[nodiscard]] static bool reachedTarget(Reason Why) noexcept;

private:
  [[nodiscard]] bool hasAttemptLeft(const Context &Now) const;
  [[nodiscard]] bool mayMove(const Context &Now) const;

  bool Idempotent;
  std::uint32_t MaxTargets;
  std::uint64_t Attempts = 0;
  std::uint32_t Left = 0; ///< targets that it may have reached, but the last
  bool MayHaveRun = false;
};

} // namespace limpetdrum

#endif
