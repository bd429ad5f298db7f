#ifndef LIMPETDRUM_REQUEST_RATELIMIT_H
#define LIMPETDRUM_REQUEST_RATELIMIT_H

#include "limpetdrum/process/Types.h"

#include <cstddef>
#include <optional>

namespace limpetdrum {

/// \brief Keeps the requests to a target to a rate that the target asked for.
///
/// A token bucket whose capacity is a quarter of a second's tokens, at least
/// one. Without a rate it limits nothing.
class RateLimit {
public:
  /// \brief Sets the rate, in requests per second; none removes the limit.
  ///
  /// A very low rate is raised to one request in two seconds: only an answer of
  /// the target shows that it takes more again.
  void set(std::optional<double> PerSecond, TimePoint Now) noexcept;

  [[nodiscard]] bool isSet() const noexcept {
    return this->PerSecond.has_value();
  }
  /// \brief Returns true if a request may be sent now.
  [[nodiscard]] bool allows(TimePoint Now) const noexcept;
  /// \brief Counts a request that is sent now.
  void onSent(TimePoint Now) noexcept;
  /// \brief Returns the time until a request may be sent, with \p Ahead others
  ///   before it.
  [[nodiscard]] Microseconds wait(std::size_t Ahead,
                                  TimePoint Now) const noexcept;
  /// \brief Returns the concurrency that uses up the rate.
  /// \param Latency typical latency of a request at the target.
  [[nodiscard]] std::optional<std::size_t>
  concurrency(Microseconds Latency) const noexcept;

private:
  [[nodiscard]] double capacity() const noexcept;
  [[nodiscard]] double tokensAt(TimePoint Now) const noexcept;

  std::optional<double> PerSecond;
  double Tokens = 0; ///< at UpdatedAt
  TimePoint UpdatedAt{};
};

} // namespace limpetdrum

#endif
