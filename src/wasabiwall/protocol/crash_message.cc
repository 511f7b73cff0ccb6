#include "wasabiwall/protocol/crash_message.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace wasabiwall::protocol {
namespace {

using nlohmann::json;

// First field of the message; those of other messages between gateways are
// numbers.
constexpr const char* kCrashType = "crash";
constexpr const char* kCrashEstablishedType = "crash_established";
constexpr const char* kEstablishedType = "established";
constexpr const char* kAttributedType = "attributed";
constexpr const char* kAnsweredType = "answered";
constexpr const char* kQuarantinedType = "quarantined";

const char* NameOf(CrashMessage::Kind kind) {
  switch (kind) {
    case CrashMessage::Kind::kCrash:
      return kCrashType;
    case CrashMessage::Kind::kCrashEstablished:
      return kCrashEstablishedType;
    case CrashMessage::Kind::kEstablished:
      return kEstablishedType;
    case CrashMessage::Kind::kAttributed:
      return kAttributedType;
    case CrashMessage::Kind::kAnswered:
      return kAnsweredType;
    case CrashMessage::Kind::kQuarantined:
      return kQuarantinedType;
  }
  return "";
}

}  // namespace

std::string EncodeCrashMessage(const CrashMessage& message) {
  std::vector<std::int64_t> sent_ages;
  for (const auto age : message.sent_ages) sent_ages.push_back(age.count());
  const json fields = {NameOf(message.kind),   message.crash,
                       message.age.count(),    message.fingerprints,
                       message.caused_crashes, sent_ages};
  std::string bytes;
  json::to_cbor(fields, bytes);
  return bytes;
}

std::optional<CrashMessage> DecodeCrashMessage(std::string_view bytes) {
  try {
    const json fields = json::from_cbor(bytes);
    CrashMessage message;
    bool is_known = false;
    for (const auto kind :
         {CrashMessage::Kind::kCrash, CrashMessage::Kind::kCrashEstablished,
          CrashMessage::Kind::kEstablished, CrashMessage::Kind::kAttributed,
          CrashMessage::Kind::kAnswered, CrashMessage::Kind::kQuarantined}) {
      if (fields.at(0) != NameOf(kind)) continue;
      message.kind = kind;
      is_known = true;
    }
    if (!is_known) return std::nullopt;
    message.crash = fields.at(1).get<std::int64_t>();
    message.age = std::chrono::milliseconds(fields.at(2).get<std::int64_t>());
    message.fingerprints = fields.at(3).get<std::vector<std::string>>();
    // Earlier releases do not send all of the rest.
    if (fields.size() > 4) {
      message.caused_crashes = fields.at(4).get<std::vector<std::int64_t>>();
    }
    if (fields.size() > 5) {
      for (const auto age : fields.at(5).get<std::vector<std::int64_t>>()) {
        message.sent_ages.emplace_back(age);
      }
    }
    const auto count = message.sent_ages.size();
    const bool has_future = std::ranges::any_of(
        message.sent_ages, [](auto age) { return age.count() < 0; });
    if (has_future || (count > 0 && count != message.fingerprints.size())) {
      return std::nullopt;
    }
    if (message.age < std::chrono::milliseconds(0) ||
        message.fingerprints.size() > kMaxCrashMessageRequests ||
        message.caused_crashes.size() > kMaxCausedCrashes) {
      return std::nullopt;
    }
    return message;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace wasabiwall::protocol
