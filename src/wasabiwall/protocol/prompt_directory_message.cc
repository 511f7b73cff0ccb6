#include "wasabiwall/protocol/prompt_directory_message.h"

#include <nlohmann/json.hpp>

namespace wasabiwall::protocol {
namespace {

using nlohmann::json;

/// Most holders in a message; more than the index keeps for a part.
constexpr std::size_t kMaxHolders = 8;

}  // namespace

std::string EncodePromptDirectoryMessage(
    const PromptDirectoryMessage& message) {
  json holders = json::array();
  for (const auto& holder : message.holders) holders.push_back(holder.value);
  const json fields = {static_cast<int>(message.kind), message.lookup,
                       message.part, std::move(holders)};
  std::string bytes;
  json::to_cbor(fields, bytes);
  return bytes;
}

std::optional<PromptDirectoryMessage> DecodePromptDirectoryMessage(
    std::string_view bytes) {
  try {
    const json fields = json::from_cbor(bytes);
    const int kind = fields.at(0);
    if (kind < 0 ||
        kind > static_cast<int>(PromptDirectoryMessage::Kind::kReply)) {
      return std::nullopt;
    }
    const json& holders = fields.at(3);
    if (!holders.is_array() || holders.size() > kMaxHolders) {
      return std::nullopt;
    }
    PromptDirectoryMessage message{
        .kind = static_cast<PromptDirectoryMessage::Kind>(kind),
        .lookup = fields.at(1),
        .part = fields.at(2)};
    for (const json& holder : holders) {
      message.holders.emplace_back(holder.get<std::string>());
    }
    return message;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace wasabiwall::protocol
