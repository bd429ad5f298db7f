#ifndef LIMPETDRUM_REQUEST_RETRYBUDGET_H
#define LIMPETDRUM_REQUEST_RETRYBUDGET_H

#include <cstdint>
#include <utility>

namespace limpetdrum {

/// \brief The retries that one part of a chain may still make.
///
/// The budget is split when a call is passed on: what is granted leaves at
/// once, what the callee left over returns with its reply, and a lost reply
/// costs its grant. So the bound over the chain needs no agreement.
/// \code
///   RetryBudget Mine(4);
///   RetryBudget Theirs(Mine.grant(1)); // 2 each
///   Theirs.take();                    // a retry down there
///   Mine.refund(Theirs.remaining());
/// \endcode
class RetryBudget {
public:
  explicit constexpr RetryBudget(std::uint16_t Retries) : Left(Retries) {}

  /// \brief Spends one retry.
  /// \returns false if none is left.
  [[nodiscard]] bool take() noexcept {
    if (this->Left == 0)
      return false;
    --this->Left;
    return true;
  }
  /// \brief Parts with an even share for each level of calls below, rounded
  ///   up.
  /// \param LevelsBelow how deep the callee's own calls go; a callee without
  ///   any has no use for retries.
  [[nodiscard]] std::uint16_t grant(unsigned LevelsBelow) noexcept {
    auto Levels = LevelsBelow + 1;
    auto Share = static_cast<std::uint16_t>(
        (this->Left * LevelsBelow + Levels - 1) / Levels);
    this->Left = static_cast<std::uint16_t>(this->Left - Share);
    return Share;
  }
  /// \brief Parts with all that is left.
  [[nodiscard]] std::uint16_t grantAll() noexcept {
    return std::exchange(this->Left, std::uint16_t(0));
  }
  /// \brief Takes back what a callee left of its grant.
  void refund(std::uint16_t Unspent) noexcept {
    this->Left = static_cast<std::uint16_t>(this->Left + Unspent);
  }
  [[nodiscard]] std::uint16_t remaining() const noexcept { return this->Left; }

private:
  std::uint16_t Left;
};

/// \brief Bounds the retries of a node to a share of its calls.
class RetryRatio {
public:
  void onCall() noexcept;
  /// \returns false if retries are too many for the calls made lately.
  [[nodiscard]] bool take() noexcept;

private:
  double Tokens = 10;
};

} // namespace limpetdrum

#endif
