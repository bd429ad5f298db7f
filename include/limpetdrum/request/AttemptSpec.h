#ifndef LIMPETDRUM_REQUEST_ATTEMPTSPEC_H
#define LIMPETDRUM_REQUEST_ATTEMPTSPEC_H

#include "limpetdrum/request/Position.h"

#include <string>

namespace limpetdrum {

/// \brief Role of the receiving node in an attempt.
enum class AttemptRole : std::uint8_t {
  Execute, ///< run the attempt at the local target
  Witness, ///< record its key, and forward it to the key's home
};

/// \brief One attempt of a request, as it travels between nodes.
struct AttemptSpec {
  AttemptId Id;
  RootId Root;
  Incarnation Executor; ///< the only node incarnation that may execute it
  std::string Path;
  std::string Method;
  std::string ContentType;
  std::string Body;
  ClassRank Rank;
  float Cohort = 0;
  limpetdrum::Organisation Organisation;
  Microseconds TimeLeft{0};
  std::uint16_t Retries = 0;
  IdempotencyKey Key; ///< empty if the client sent none
  AttemptRole Role = AttemptRole::Execute;
};

} // namespace limpetdrum

#endif
