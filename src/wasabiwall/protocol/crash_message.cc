#include "wasabiwall/protocol/crash_message.h"

#include <nlohmann/json.hpp>

namespace wasabiwall::protocol {
namespace {

using nlohmann::json;

// First field of the message; those of other messages between gateways are
// numbers.
constexpr const char* kCrashType = "crash";
constexpr const char* kAnsweredType = "answered";

}  // namespace

std::string EncodeCrashMessage(const CrashMessage& message) {
  const bool is_crash = message.kind == CrashMessage::Kind::kCrash;
  const json fields = {is_crash ? kCrashType : kAnsweredType, message.crash,
                       message.age.count(), message.fingerprints};
  std::string bytes;
  json::to_cbor(fields, bytes);
  return bytes;
}

std::optional<CrashMessage> DecodeCrashMessage(std::string_view bytes) {
  try {
    const json fields = json::from_cbor(bytes);
    const bool is_crash = fields.at(0) == kCrashType;
    if (!is_crash && fields.at(0) != kAnsweredType) return std::nullopt;
    CrashMessage message;
    if (!is_crash) message.kind = CrashMessage::Kind::kAnswered;
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
