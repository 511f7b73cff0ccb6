#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace wasabiwall::protocol {

/// Token counts that a model engine reports with an answer.
struct UsageReport {
  std::int64_t prompt_tokens = 0;
  /// Prompt tokens found in the engine's cache, when it tells.
  std::optional<std::int64_t> cached_tokens;
};

/// Finds the token counts in a whole answer, streamed or not.
/// @param answer Body of the answer.
/// @return The counts, or nothing when the engine gave none.
std::optional<UsageReport> ParseUsage(std::string_view answer);

}  // namespace wasabiwall::protocol
