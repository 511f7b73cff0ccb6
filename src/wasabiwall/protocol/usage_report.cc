#include "wasabiwall/protocol/usage_report.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace wasabiwall::protocol {
namespace {

constexpr std::string_view kField = "\"usage\":";
constexpr std::size_t kMaxUsageBytes = 4096;

/// The JSON object at the start of a text; it holds no braces in strings.
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

std::optional<UsageReport> ParseUsage(std::string_view answer) {
  const std::size_t field = answer.rfind(kField);
  if (field == std::string_view::npos) return {};
  std::string_view rest = answer.substr(field + kField.size());
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
