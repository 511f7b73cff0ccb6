#include "wasabiwall/protocol/load_message.h"

#include <nlohmann/json.hpp>

namespace wasabiwall::protocol {
namespace {

using nlohmann::json;

// First field of the message, which tells it from others between gateways.
constexpr const char* kType = "loads";
/// Older loads say nothing about the present.
constexpr std::chrono::milliseconds kMaxAge{10000};
/// More calls than any backend server takes.
constexpr std::int64_t kMaxCalls = 1000000;

}  // namespace

std::string EncodeLoadMessage(const LoadMessage& message) {
  json fields = {kType};
  for (const LoadMessage::Load& load : message.loads) {
    if (fields.size() > kMaxLoadsInMessage) break;
    fields.push_back({load.server.value, load.calls, load.age.count()});
  }
  std::string bytes;
  json::to_cbor(fields, bytes);
  return bytes;
}

std::optional<LoadMessage> DecodeLoadMessage(std::string_view bytes) {
  try {
    const json fields = json::from_cbor(bytes);
    if (fields.at(0) != kType || fields.size() > kMaxLoadsInMessage + 1) {
      return std::nullopt;
    }
    LoadMessage message;
    message.loads.reserve(fields.size() - 1);
    for (std::size_t i = 1; i < fields.size(); ++i) {
      const auto calls = fields[i].at(1).get<std::int64_t>();
      const std::chrono::milliseconds age(fields[i].at(2).get<std::int64_t>());
      if (calls < 0 || calls > kMaxCalls || age.count() < 0 || age > kMaxAge) {
        return std::nullopt;
      }
      message.loads.push_back(
          {state::BackendServerId(fields[i].at(0).get<std::string>()),
           static_cast<int>(calls), age});
    }
    return message;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace wasabiwall::protocol
