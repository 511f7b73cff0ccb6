#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "wasabiwall/state/strong_id.h"

namespace wasabiwall::protocol {

/// Message between gateways about a failure domain that may have been lost.
struct FailureDomainMessage {
  enum class Kind {
    /// A backend server of the domain did not reply to a connection attempt.
    kReport,
    /// The domain is taken for lost.
    kAnnouncement,
    /// A backend server of the domain has answered since it was taken for lost.
    kAnswered,
  };

  Kind kind = Kind::kReport;
  state::FailureDomainId domain;
  /// Hash of the identifier of the backend server that a report is about.
  std::uint64_t server = 0;
  /// Time since the attempt failed or the answer arrived; in an announcement,
  /// since the first of the attempts failed.
  std::chrono::milliseconds age{0};
};

/// @return The message as CBOR.
std::string EncodeFailureDomainMessage(const FailureDomainMessage& message);

/// @return The message; nothing if the bytes are malformed.
std::optional<FailureDomainMessage> DecodeFailureDomainMessage(
    std::string_view bytes);

}  // namespace wasabiwall::protocol
