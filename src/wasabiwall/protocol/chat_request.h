#pragma once

#include <cstdint>
#include <string>

#include "wasabiwall/protocol/error_kind.h"

namespace wasabiwall::protocol {

/// What routing needs to know of a chat completion request.
struct ChatRequest {
  std::string model;
  /// Chat that this request continues; empty for a single-shot request.
  std::string chat_id;
  bool streaming = false;
  std::int64_t prompt_tokens = 0;
  std::int64_t max_tokens = 0;

  /// @return Work asked of the engine, in load units (tokens).
  std::int64_t CostUnits() const { return prompt_tokens + max_tokens; }
};

/// Parses an OpenAI-style chat completion request. The chat identifier is
/// taken from the field `user` when no header states it.
/// @param body JSON text.
/// @return The request, or kBadRequest with the field at fault.
Result<ChatRequest> ParseChatRequest(const std::string& body);

}  // namespace wasabiwall::protocol
