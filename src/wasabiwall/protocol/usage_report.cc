#include "wasabiwall/protocol/usage_report.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace wasabiwall::protocol {
namespace {

constexpr std::string_view kUsageField = "\"usage\":";
constexpr std::size_t kMaxUsageBytes = 4096;

/// Returns the JSON object at the start of `text`, or nothing if it does not
/// end within kMaxUsageBytes. Counts braces, so the strings of the object must
/// not contain any.
std::string_view LeadingObject(std::string_view text) {
  int depth = 0;
  for (std::size_t i = 0; i < text.size() && i < kMaxUsageBytes; ++i) {
    if (text[i] == '{') ++depth;
    if (text[i] == '}') --depth;
    if (depth == 0) return text.substr(0, i + 1);
  }
  return {};
}

}  // namespace

std::optional<UsageReport> ParseUsage(std::string_view body) {
  const std::size_t field = body.rfind(kUsageField);
  if (field == std::string_view::npos) return {};
  std::string_view rest = body.substr(field + kUsageField.size());
  rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
  const auto json = nlohmann::json::parse(LeadingObject(rest), nullptr, false);
  if (!json.is_object()) return {};
  try {
    UsageReport usage;
    usage.prompt_tokens = json.value("prompt_tokens", std::int64_t{0});
    const auto details = json.find("prompt_tokens_details");
    if (details != json.end() && details->contains("cached_tokens")) {
      usage.cached_tokens = details->at("cached_tokens").get<std::int64_t>();
    }
    return usage;
  } catch (const nlohmann::json::exception&) {
    return {};
  }
}

}  // namespace wasabiwall::protocol
