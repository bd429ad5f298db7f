#ifndef LIMPETDRUM_REQUEST_RETRYAFTER_H
#define LIMPETDRUM_REQUEST_RETRYAFTER_H

#include "limpetdrum/process/Types.h"

#include <random>

namespace limpetdrum {

/// \brief Calculates the delay after which refused clients should retry.
///
/// The delay grows with the overload and is randomized, so that clients do not
/// retry at the same time.
class RetryAfter {
public:
  explicit RetryAfter(std::uint64_t Seed) : Random(Seed) {}

  /// \param Threshold threshold of the overloaded service; see AdmissionLevel.
  /// \param Position position of the refused request.
  /// \returns a random delay, from 0.25 to 15 s.
  [[nodiscard]] Milliseconds next(float Threshold, float Position);

private:
  std::mt19937_64 Random;
};

} // namespace limpetdrum

#endif
