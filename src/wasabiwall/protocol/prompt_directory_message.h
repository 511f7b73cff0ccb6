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
    /// The holders have lately read the part.
    kHeld = 0,
    /// Asks for the holders of the part.
    kQuestion = 1,
    /// Answers a question; without holders when none is known.
    kAnswer = 2,
  };

  Kind kind = Kind::kHeld;
  /// Identifies a question of its sender; repeated in the answer.
  std::uint64_t question = 0;
  std::uint64_t part = 0;
  std::vector<state::BackendServerId> holders;
};

/// @return The message as CBOR, small enough for a datagram.
std::string EncodePromptDirectoryMessage(const PromptDirectoryMessage& news);

/// @return Nothing when the bytes are no such message or name more holders
/// than one may.
std::optional<PromptDirectoryMessage> DecodePromptDirectoryMessage(
    std::string_view bytes);

}  // namespace wasabiwall::protocol
