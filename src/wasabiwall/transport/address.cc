#include "wasabiwall/transport/address.h"

#include <charconv>

namespace wasabiwall::transport {

std::optional<Address> ParseAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) return std::nullopt;
  Address address;
  address.host = text.substr(0, colon);
  const char* const first = text.data() + colon + 1;
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(first, last, address.port);
  if (error != std::errc() || end != last || address.port == 0) {
    return std::nullopt;
  }
  return address;
}

}  // namespace wasabiwall::transport
