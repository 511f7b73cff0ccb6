#include "wasabiwall/coordination/request_fingerprint.h"

#include <array>
#include <charconv>

#include "wasabiwall/state/digest.h"

namespace wasabiwall::coordination {
namespace {

constexpr std::size_t kFingerprintDigits = 32;
/// Begins the fingerprint of a prompt part; the rest is the part in hex.
constexpr std::string_view kPromptPartPrefix = "prompt-part-0000";
constexpr int kHexBase = 16;

}  // namespace

std::string FingerprintOf(std::initializer_list<std::string_view> parts) {
  state::Sha256Hasher hasher;
  bool is_first = true;
  for (const std::string_view part : parts) {
    if (!is_first) hasher.Add("\n");
    hasher.Add(part);
    is_first = false;
  }
  return hasher.Finish().substr(0, kFingerprintDigits);
}

std::string FingerprintOfPromptPart(std::uint64_t part) {
  std::array<char, kFingerprintDigits - kPromptPartPrefix.size()> digits{};
  const auto end = std::to_chars(digits.begin(), digits.end(), part, kHexBase);
  const auto count = static_cast<std::size_t>(end.ptr - digits.begin());
  return std::string(kPromptPartPrefix)
      .append(digits.size() - count, '0')
      .append(digits.begin(), count);
}

std::string NamesOfPromptParts(const std::vector<std::uint64_t>& parts) {
  std::string names;
  for (const std::uint64_t part : parts) {
    if (!names.empty()) names += ',';
    names += FingerprintOfPromptPart(part);
  }
  return names.empty() ? "-" : names;
}

std::optional<std::uint64_t> PromptPartOf(std::string_view fingerprint) {
  if (fingerprint.size() != kFingerprintDigits ||
      !fingerprint.starts_with(kPromptPartPrefix)) {
    return std::nullopt;
  }
  std::uint64_t part = 0;
  const char* end = fingerprint.data() + fingerprint.size();
  const auto result = std::from_chars(
      fingerprint.data() + kPromptPartPrefix.size(), end, part, kHexBase);
  if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
  return part;
}

}  // namespace wasabiwall::coordination
