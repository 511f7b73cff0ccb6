#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cstdint>

namespace wasabiwall::fakes {

/// @param port 0 for any that is free.
/// @return The address of a port on the loopback interface.
inline sockaddr_in LoopbackAddress(int port = 0) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

}  // namespace wasabiwall::fakes
