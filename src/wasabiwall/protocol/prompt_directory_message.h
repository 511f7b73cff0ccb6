#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wasabiwall/state/strong_id.h"

namespace wasabiwall::protocol {

/// Message between gateways about the engines that hold a prompt part.
struct PromptDirectoryMessage {
  enum class Kind {
    /// Announces that the holders have recently read the part.
    kAnnouncement = 0,
    /// Asks for the holders of the part.
    kLookup = 1,
    /// Answers a lookup; without holders if none is known.
    kReply = 2,
  };

  Kind kind = Kind::kAnnouncement;
  /// Identifies a lookup of its sender; repeated in the reply.
  std::uint64_t lookup = 0;
  std::uint64_t part = 0;
  std::vector<state::BackendServerId> holders;
};

/// @return The message as CBOR, small enough for a datagram.
std::string EncodePromptDirectoryMessage(const PromptDirectoryMessage& message);

/// @return The message; nothing if the bytes are malformed or name more holders
/// than allowed.
std::optional<PromptDirectoryMessage> DecodePromptDirectoryMessage(
    std::string_view bytes);

}  // namespace wasabiwall::protocol
