#pragma once

#include <cstdint>
#include <string>

#include "wasabiwall/protocol/error_kind.h"

namespace wasabiwall::protocol {

/// Fields of a chat completion request that routing uses.
struct ChatRequest {
  std::string model;
  /// Chat that this request continues; empty for a single-shot request.
  std::string chat_id;
  bool streaming = false;
  /// Estimated from the size of the messages.
  std::int64_t prompt_tokens = 0;
  std::int64_t max_tokens = 0;

  /// @return Estimated cost of the request in load units (tokens).
  std::int64_t CostUnits() const { return prompt_tokens + max_tokens; }
};

/// Parses an OpenAI-style chat completion request. Takes the chat identifier
/// from the field `user`; the header X-Chat-Id overrides it in the entry
/// process.
/// @param body JSON text.
/// @return The request, or kBadRequest with the invalid field as its detail.
Result<ChatRequest> ParseChatRequest(const std::string& body);

}  // namespace wasabiwall::protocol
