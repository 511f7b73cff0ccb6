#include "wasabiwall/protocol/crash_message.h"

#include <nlohmann/json.hpp>

namespace wasabiwall::protocol {
namespace {

using nlohmann::json;

/// First field of the message; those of other messages between gateways are
/// numbers.
constexpr const char* kType = "crash";

}  // namespace

std::string EncodeCrashMessage(const CrashMessage& message) {
  const json fields = {kType, message.crash, message.age.count(),
                       message.fingerprints};
  std::string bytes;
  json::to_cbor(fields, bytes);
  return bytes;
}

std::optional<CrashMessage> DecodeCrashMessage(std::string_view bytes) {
  try {
    const json fields = json::from_cbor(bytes);
    if (fields.at(0) != kType) return std::nullopt;
    CrashMessage message;
    message.crash = fields.at(1).get<std::int64_t>();
    message.age = std::chrono::milliseconds(fields.at(2).get<std::int64_t>());
    message.fingerprints = fields.at(3).get<std::vector<std::string>>();
    if (message.age < std::chrono::milliseconds(0) ||
        message.fingerprints.size() > kMaxCrashMessageRequests) {
      return std::nullopt;
    }
    return message;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace wasabiwall::protocol
