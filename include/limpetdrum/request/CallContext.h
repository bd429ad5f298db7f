#ifndef LIMPETDRUM_REQUEST_CALLCONTEXT_H
#define LIMPETDRUM_REQUEST_CALLCONTEXT_H

#include "limpetdrum/process/Types.h"

#include <string>

namespace limpetdrum {

/// \brief Context that calls inherit from the request on whose behalf they are
///   made.
///
/// Addresses overload of a service that many routes reach through calls. The
/// service admits or sheds all calls of one request alike, by its rank and
/// cohort, and an order's calls take precedence over a lookup's. Calls have no
/// preference over requests of the same rank that clients send to that service
/// directly, because those would starve.
struct CallContext {
  std::string Route; ///< of the request that makes the call
  ClassRank Rank;
  float Cohort = 0;
  limpetdrum::Organisation Organisation; ///< empty if it is nobody's
};

} // namespace limpetdrum

#endif
