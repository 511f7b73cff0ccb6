#include "wasabiwall/protocol/prompt_directory_message.h"

#include <nlohmann/json.hpp>

namespace wasabiwall::protocol {
namespace {

using nlohmann::json;

/// Holders that a message may name; more than are ever remembered of a part.
constexpr std::size_t kMostHolders = 8;

}  // namespace

std::string EncodePromptDirectoryMessage(const PromptDirectoryMessage& news) {
  json holders = json::array();
  for (const auto& holder : news.holders) holders.push_back(holder.value);
  const json message = {static_cast<int>(news.kind), news.question, news.part,
                        std::move(holders)};
  std::string bytes;
  json::to_cbor(message, bytes);
  return bytes;
}

std::optional<PromptDirectoryMessage> DecodePromptDirectoryMessage(
    std::string_view bytes) {
  try {
    const json message = json::from_cbor(bytes);
    const int kind = message.at(0);
    if (kind < 0 ||
        kind > static_cast<int>(PromptDirectoryMessage::Kind::kAnswer)) {
      return std::nullopt;
    }
    const json& holders = message.at(3);
    if (!holders.is_array() || holders.size() > kMostHolders) {
      return std::nullopt;
    }
    PromptDirectoryMessage news{
        .kind = static_cast<PromptDirectoryMessage::Kind>(kind),
        .question = message.at(1),
        .part = message.at(2)};
    for (const json& holder : holders) {
      news.holders.emplace_back(holder.get<std::string>());
    }
    return news;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace wasabiwall::protocol
