#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wasabiwall::protocol {

/// Most requests in a CrashMessage, so that it fits into a datagram.
inline constexpr std::size_t kMaxCrashMessageRequests = 24;

/// Message between gateways about requests that were running when a backend
/// server ended.
struct CrashMessage {
  enum class Kind {
    /// Names the requests.
    kCrash,
    /// Answers it with those of them that were answered lately, so that they
    /// are not the cause.
    kAnswered,
  };

  Kind kind = Kind::kCrash;
  /// Identifies the end of the backend server, the same at all gateways.
  std::int64_t crash = 0;
  /// Time since then.
  std::chrono::milliseconds age{0};
  /// Fingerprints of the requests.
  std::vector<std::string> fingerprints;
};

/// @return The message as CBOR.
std::string EncodeCrashMessage(const CrashMessage& message);

/// @return The message; nothing if the bytes are malformed or name more
/// requests than allowed.
std::optional<CrashMessage> DecodeCrashMessage(std::string_view bytes);

}  // namespace wasabiwall::protocol
