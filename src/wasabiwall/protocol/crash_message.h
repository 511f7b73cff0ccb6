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

/// Times that a CrashMessage names one prompt part.
inline constexpr int kMaxCallsPerPart = 4;

/// Most crashes that a CrashMessage attributes to a prompt part.
inline constexpr std::size_t kMaxCausedCrashes = 32;

/// Message between gateways about contents, which are requests or parts of
/// prompts, that were running when a backend server ended.
struct CrashMessage {
  enum class Kind {
    /// Names the contents.
    kCrash,
    /// Names contents that were only in calls whose answers were established.
    kCrashEstablished,
    /// Names prompt parts of a request whose answer is established.
    kEstablished,
    /// Names prompt parts that are taken for the causes of crashes.
    kAttributed,
    /// Names contents that were answered.
    kAnswered,
    /// Names contents that the sender has quarantined.
    kQuarantined,
  };

  Kind kind = Kind::kCrash;
  /// Identifies the end of the backend server, the same at all gateways; 0 if
  /// the message is about none.
  std::int64_t crash = 0;
  /// Time since then; of an answer, since the request was sent; of a
  /// quarantine, since the first crash.
  std::chrono::milliseconds age{0};
  /// Fingerprints of the contents. A prompt part of several broken calls is
  /// named as often, up to kMaxCallsPerPart times.
  std::vector<std::string> fingerprints;
  /// Crashes that the prompt parts have caused.
  std::vector<std::int64_t> caused_crashes;
  /// Of a crash: time since the latest call with the content was sent, in the
  /// order of the fingerprints; empty if it is not known.
  std::vector<std::chrono::milliseconds> sent_ages;
};

/// @return The message as CBOR.
std::string EncodeCrashMessage(const CrashMessage& message);

/// @return The message; nothing if the bytes are malformed or name more
/// requests than allowed.
std::optional<CrashMessage> DecodeCrashMessage(std::string_view bytes);

}  // namespace wasabiwall::protocol
