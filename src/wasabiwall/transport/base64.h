#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace wasabiwall::transport {

/// @return `data` in base64 with padding.
std::string EncodeBase64(std::string_view data);

/// @return The decoded data, or nothing when `text` is not base64.
std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace wasabiwall::transport
