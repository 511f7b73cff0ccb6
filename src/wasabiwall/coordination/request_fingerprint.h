#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace wasabiwall::coordination {

/// Identifies the content of a request, so that its repeats by the caller are
/// recognized although each has an attempt identifier of its own.
/// @param parts What must be equal, such as workspace, path and body; only the
/// last one may contain line ends.
/// @return The first 32 hex digits of a SHA-256 over the parts.
std::string FingerprintOf(std::initializer_list<std::string_view> parts);

}  // namespace wasabiwall::coordination
