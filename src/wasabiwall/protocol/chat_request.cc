#include "wasabiwall/protocol/chat_request.h"

#include <nlohmann/json.hpp>

namespace wasabiwall::protocol {
namespace {

constexpr std::int64_t kDefaultMaxTokens = 256;
constexpr std::int64_t kMaxTokensLimit = 131072;
constexpr std::int64_t kBytesPerToken = 4;

Result<std::int64_t> EstimatePromptTokens(const nlohmann::json& messages) {
  std::int64_t bytes = 0;
  for (const nlohmann::json& message : messages) {
    if (!message.is_object() || !message.contains("role") ||
        !message.contains("content") || !message["role"].is_string()) {
      return Fail(ErrorKind::kBadRequest,
                  "messages: each needs a role and a content");
    }
    const nlohmann::json& content = message["content"];
    bytes += static_cast<std::int64_t>(
        content.is_string() ? content.get_ref<const std::string&>().size()
                            : content.dump().size());
  }
  return bytes / kBytesPerToken + 1;
}

}  // namespace

Result<ChatRequest> ParseChatRequest(const std::string& body) {
  const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object()) {
    return Fail(ErrorKind::kBadRequest, "the body is not a JSON object");
  }
  ChatRequest request;
  if (!json.contains("model") || !json["model"].is_string()) {
    return Fail(ErrorKind::kBadRequest, "model: a string is required");
  }
  request.model = json["model"];
  if (!json.contains("messages") || !json["messages"].is_array() ||
      json["messages"].empty()) {
    return Fail(ErrorKind::kBadRequest,
                "messages: a non-empty array is required");
  }
  const auto prompt_tokens = EstimatePromptTokens(json["messages"]);
  if (!prompt_tokens) return tl::make_unexpected(prompt_tokens.error());
  request.prompt_tokens = *prompt_tokens;
  const nlohmann::json max_tokens =
      json.value("max_tokens", nlohmann::json(kDefaultMaxTokens));
  if (!max_tokens.is_number_integer() || max_tokens < 1 ||
      max_tokens > kMaxTokensLimit) {
    return Fail(ErrorKind::kBadRequest,
                "max_tokens: an integer from 1 to 131072");
  }
  request.max_tokens = max_tokens;
  const nlohmann::json stream = json.value("stream", nlohmann::json(false));
  if (!stream.is_boolean()) {
    return Fail(ErrorKind::kBadRequest, "stream: true or false");
  }
  request.streaming = stream;
  const nlohmann::json user = json.value("user", nlohmann::json(""));
  if (!user.is_string()) return Fail(ErrorKind::kBadRequest, "user: a string");
  request.chat_id = user;
  return request;
}

}  // namespace wasabiwall::protocol
