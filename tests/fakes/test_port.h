#pragma once

#include <unistd.h>

#include <cstdint>
#include <string>

namespace wasabiwall::fakes {

/// A loopback port that other runs of the tests on this machine are unlikely
/// to use.
/// @param offset Tells the ports of one process apart, 0 to 15.
inline std::uint16_t TestPort(int offset) {
  constexpr int first_port = 10000;
  constexpr int ports = 6000;
  return static_cast<std::uint16_t>(first_port +
                                    (getpid() * 16 + offset) % ports);
}

/// @return `ip:port` of a test port.
inline std::string TestAddress(int offset) {
  return "127.0.0.1:" + std::to_string(TestPort(offset));
}

}  // namespace wasabiwall::fakes
