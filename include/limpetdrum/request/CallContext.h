#ifndef LIMPETDRUM_REQUEST_CALLCONTEXT_H
#define LIMPETDRUM_REQUEST_CALLCONTEXT_H

#include "limpetdrum/process/Types.h"

#include <string>

namespace limpetdrum {

/// \brief What calls inherit from the request whose run makes them.
///
/// Answers overload of a service that many routes reach by calls: there the
/// calls of a request stand or fall together, as its rank and cohort say, and
/// those of an order go before those of a lookup. Calls have no preference over
/// requests of the same rank that clients make for that service, which would
/// starve.
struct CallContext {
  std::string Route; ///< of the request that makes the call
  ClassRank Rank;
  float Cohort = 0;
};

} // namespace limpetdrum

#endif
