#include "wasabiwall/protocol/failure_domain_message.h"

#include <nlohmann/json.hpp>

namespace wasabiwall::protocol {
namespace {

using nlohmann::json;

// First field of the message, which tells it from others between gateways.
constexpr const char* kReportType = "domain_report";
constexpr const char* kAnnouncementType = "domain_lost";
constexpr const char* kAnsweredType = "domain_answered";
/// Older messages say nothing about the present.
constexpr std::chrono::milliseconds kMaxAge{10000};

using Kind = FailureDomainMessage::Kind;

const char* TypeOf(Kind kind) {
  switch (kind) {
    case Kind::kReport:
      return kReportType;
    case Kind::kAnnouncement:
      return kAnnouncementType;
    case Kind::kAnswered:
      return kAnsweredType;
  }
  return "";
}

std::optional<Kind> KindOf(const json& type) {
  for (const Kind kind :
       {Kind::kReport, Kind::kAnnouncement, Kind::kAnswered}) {
    if (type == TypeOf(kind)) return kind;
  }
  return std::nullopt;
}

}  // namespace

std::string EncodeFailureDomainMessage(const FailureDomainMessage& message) {
  const json fields = {TypeOf(message.kind), message.domain.value,
                       message.server, message.age.count()};
  std::string bytes;
  json::to_cbor(fields, bytes);
  return bytes;
}

std::optional<FailureDomainMessage> DecodeFailureDomainMessage(
    std::string_view bytes) {
  try {
    const json fields = json::from_cbor(bytes);
    const auto kind = KindOf(fields.at(0));
    if (!kind) return std::nullopt;
    FailureDomainMessage message{.kind = *kind};
    message.domain = state::FailureDomainId(fields.at(1).get<std::string>());
    message.server = fields.at(2).get<std::uint64_t>();
    message.age = std::chrono::milliseconds(fields.at(3).get<std::int64_t>());
    if (message.age < std::chrono::milliseconds(0) || message.age > kMaxAge) {
      return std::nullopt;
    }
    return message;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace wasabiwall::protocol
