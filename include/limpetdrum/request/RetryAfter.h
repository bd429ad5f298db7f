#ifndef LIMPETDRUM_REQUEST_RETRYAFTER_H
#define LIMPETDRUM_REQUEST_RETRYAFTER_H

#include "limpetdrum/process/Types.h"

#include <random>

namespace limpetdrum {

/// \brief Tells refused clients when to come back.
///
/// The span grows with the overload and is spread at random, so that clients
/// do not return together.
class RetryAfter {
public:
  explicit RetryAfter(std::uint64_t Seed) : Random(Seed) {}

  /// \param Threshold what the overloaded service admits; see AdmissionLevel.
  /// \param Position the refused request's.
  [[nodiscard]] Milliseconds next(float Threshold, float Position);

private:
  std::mt19937_64 Random;
};

} // namespace limpetdrum

#endif
