#ifndef LIMPETDRUM_CONFIG_H
#define LIMPETDRUM_CONFIG_H

#include <chrono>
#include <cstddef>

/// \brief Namespace of the library; this header holds its compile-time limits.
namespace limpetdrum {

/// \brief Maximum size of a value in the platform's object API, in bytes.
inline constexpr std::size_t MaxPlatformValueBytes = 1024U * 1024U;

/// \brief Maximum size of a request or reply body, in bytes.
inline constexpr std::size_t MaxBodyBytes = 1024U * 1024U;

/// \brief Maximum total size of the HTTP headers of a message, in bytes.
inline constexpr std::size_t MaxHeaderBytes = 16U * 1024U;

/// \brief Maximum number of unsent bytes on a connection between nodes.
inline constexpr std::size_t MaxConnectionBacklogBytes = 8U * 1024U * 1024U;

/// \brief Maximum size of a datagram of the membership protocol, in bytes.
inline constexpr std::size_t MaxDatagramBytes = 1400;

/// \brief Retention time of replies, tombstones and idempotency keys.
inline constexpr std::chrono::minutes LedgerRetention{10};

} // namespace limpetdrum

#endif
