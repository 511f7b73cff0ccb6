#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wasabiwall::coordination {

/// Identifies the content of a request, so that its repeats by the caller are
/// recognized although each has an attempt identifier of its own.
/// @param parts What must be equal, such as workspace, path and body; only the
/// last one may contain line ends.
/// @return The first 32 hex digits of a SHA-256 over the parts.
std::string FingerprintOf(std::initializer_list<std::string_view> parts);

/// @return Fingerprint of one part of prompts; as long as that of a request and
/// never equal to one.
std::string FingerprintOfPromptPart(std::uint64_t part);

/// @return Fingerprints of prompt parts, separated by commas; `-` if there are
/// none.
std::string NamesOfPromptParts(const std::vector<std::uint64_t>& parts);

/// @return The part that a fingerprint names; nothing if it is that of a
/// request.
std::optional<std::uint64_t> PromptPartOf(std::string_view fingerprint);

}  // namespace wasabiwall::coordination
