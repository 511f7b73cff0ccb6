#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace wasabiwall::transport {

/// An IP address and port.
struct Address {
  std::string host;
  std::uint16_t port = 0;
};

/// Parses `ip:port`.
/// @return Nothing when the text has no port from 1 to 65535.
std::optional<Address> ParseAddress(const std::string& text);

}  // namespace wasabiwall::transport
