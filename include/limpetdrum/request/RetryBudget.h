#ifndef LIMPETDRUM_REQUEST_RETRYBUDGET_H
#define LIMPETDRUM_REQUEST_RETRYBUDGET_H

#include <cstdint>
#include <utility>

namespace limpetdrum {

/// \brief Retries that one part of a call chain may still make.
///
/// The budget is split when a call is passed on: the grant is deducted at once,
/// the part that the callee did not spend returns with its reply, and a lost
/// reply costs its whole grant. Thus the bound holds over the chain without
/// coordination between its hops.
/// \code
///   RetryBudget Budget(4);
///   RetryBudget CalleeBudget(Budget.grant(1)); // 2 each
///   CalleeBudget.take();                       // a retry made by the callee
///   Budget.refund(CalleeBudget.remaining());
/// \endcode
class RetryBudget {
public:
  explicit constexpr RetryBudget(std::uint16_t Retries) : Remaining(Retries) {}

  /// \brief Spends one retry.
  /// \returns false if none is left.
  [[nodiscard]] bool take() noexcept {
    if (this->Remaining == 0)
      return false;
    --this->Remaining;
    return true;
  }
  /// \brief Deducts the callee's share: an even share for each level of calls
  ///   below, rounded up.
  /// \param CallDepth depth of the callee's own calls; a callee without any
  ///   has no use for retries.
  /// \returns the number of retries granted to the callee.
  [[nodiscard]] std::uint16_t grant(unsigned CallDepth) noexcept {
    auto Levels = CallDepth + 1;
    auto Share = static_cast<std::uint16_t>(
        (this->Remaining * CallDepth + Levels - 1) / Levels);
    this->Remaining = static_cast<std::uint16_t>(this->Remaining - Share);
    return Share;
  }
  /// \brief Deducts all remaining retries and returns their number.
  [[nodiscard]] std::uint16_t grantAll() noexcept {
    return std::exchange(this->Remaining, std::uint16_t(0));
  }
  /// \brief Adds the part of a grant that the callee did not spend.
  void refund(std::uint16_t Unspent) noexcept {
    this->Remaining = static_cast<std::uint16_t>(this->Remaining + Unspent);
  }
  [[nodiscard]] std::uint16_t remaining() const noexcept {
    return this->Remaining;
  }

private:
  std::uint16_t Remaining;
};

/// \brief Bounds the retries of a node to a share of its calls.
class RetryRatio {
public:
  /// \brief Records a call, which earns a fraction of a retry.
  void onCall() noexcept;
  /// \brief Spends one retry.
  /// \param Reserve number of retries that must remain for other calls.
  /// \returns false if there are too many retries for the recent calls.
  [[nodiscard]] bool take(double Reserve = 0) noexcept;

private:
  double Tokens = 10;
};

} // namespace limpetdrum

#endif
