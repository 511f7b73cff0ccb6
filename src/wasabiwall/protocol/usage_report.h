#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace wasabiwall::protocol {

/// Token counts that a model engine reports in its response.
struct UsageReport {
  std::int64_t prompt_tokens = 0;
  /// Prompt tokens served from the engine's cache, if reported.
  std::optional<std::int64_t> cached_tokens;
};

/// Extracts the token counts from a complete response, streamed or not.
/// @param body Body of the response.
/// @return The counts, or nothing when the engine reported none.
std::optional<UsageReport> ParseUsage(std::string_view body);

}  // namespace wasabiwall::protocol
