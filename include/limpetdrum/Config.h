#ifndef LIMPETDRUM_CONFIG_H
#define LIMPETDRUM_CONFIG_H

#include <chrono>
#include <cstddef>

/// \brief The bounds that are fixed when the library is built.
namespace limpetdrum {

/// \brief The largest value the platform's object API holds, in bytes.
inline constexpr std::size_t MaxPlatformValueBytes = 1024U * 1024U;

/// \brief The largest request or reply body a node carries, in bytes.
inline constexpr std::size_t MaxBodyBytes = 1024U * 1024U;

/// \brief The largest set of HTTP headers a node reads, in bytes.
inline constexpr std::size_t MaxHeaderBytes = 16U * 1024U;

/// \brief The most bytes that wait unsent on one connection between nodes.
inline constexpr std::size_t MaxConnectionBacklogBytes = 8U * 1024U * 1024U;

/// \brief The largest datagram of the membership protocol, in bytes.
inline constexpr std::size_t MaxDatagramBytes = 1400;

/// \brief How long replies, tombstones and idempotency keys are kept.
inline constexpr std::chrono::minutes LedgerRetention{10};

} // namespace limpetdrum

#endif
