#ifndef LIMPETDRUM_UNITTESTS_OWNADDRESS_H
#define LIMPETDRUM_UNITTESTS_OWNADDRESS_H

#include <cstdint>
#include <unistd.h>

namespace limpetdrum::test {

/// \brief Returns a loopback address that no other process of the tests uses,
///   so that tests of several build folders may run at the same time.
[[nodiscard]] inline std::uint32_t ownAddress() noexcept {
  constexpr std::uint32_t FirstUsed = 0x7f000002; // 127.0.0.2
  // Numbers of processes are below 2^22, so the sum is a loopback address.
  return FirstUsed + static_cast<std::uint32_t>(getpid());
}

} // namespace limpetdrum::test

#endif
