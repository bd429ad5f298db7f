#ifndef LIMPETDRUM_REQUEST_CALLCONTEXT_H
#define LIMPETDRUM_REQUEST_CALLCONTEXT_H

#include "limpetdrum/request/Position.h"

#include <string>

namespace limpetdrum {

/// \brief What calls inherit from the request whose run makes them.
///
/// Answers overload of a service that many routes reach by calls: there the
/// calls of a request stand or fall together, as its rank and cohort say, and
/// those of an order go before those of a lookup.
struct CallContext {
  std::string Route; ///< of the request that makes the call
  ClassRank Rank;
  float Cohort = 0;
};

/// \brief The rank of a request that a client makes.
/// \param Priority of its route; 0 is the most important.
///
/// Each priority has two ranks: calls of requests that are being served go
/// before requests of the same priority that have not been served yet.
[[nodiscard]] ClassRank rootRank(ClassRank Priority) noexcept;
/// \brief The rank of a call that a run of a request with \p Parent makes.
[[nodiscard]] ClassRank callRank(ClassRank Parent) noexcept;

} // namespace limpetdrum

#endif
