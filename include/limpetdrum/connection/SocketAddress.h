#ifndef LIMPETDRUM_CONNECTION_SOCKETADDRESS_H
#define LIMPETDRUM_CONNECTION_SOCKETADDRESS_H

#include "limpetdrum/process/Types.h"

#include <arpa/inet.h>
#include <netinet/in.h>

namespace limpetdrum {

/// \brief Converts an endpoint to the form that socket calls take.
[[nodiscard]] inline sockaddr_in toSocketAddress(Endpoint Value) noexcept {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(Value.Address);
  Address.sin_port = htons(Value.Port);
  return Address;
}

} // namespace limpetdrum

#endif
