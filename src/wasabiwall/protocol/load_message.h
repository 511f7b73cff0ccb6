#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wasabiwall/state/strong_id.h"

namespace wasabiwall::protocol {

/// Message between gateways about backend servers that have reached their load
/// bound.
struct LoadMessage {
  struct Load {
    state::BackendServerId server;
    /// Running and waiting calls of all gateways.
    int calls = 0;
    /// Time since the backend server reported it.
    std::chrono::milliseconds age{0};
  };

  std::vector<Load> loads;
};

/// Most loads in one message; it then fits into one packet of any network.
constexpr std::size_t kMaxLoadsInMessage = 24;

/// @return The message as CBOR; loads beyond the most are left out.
std::string EncodeLoadMessage(const LoadMessage& message);

/// @return The message; nothing if the bytes are malformed.
std::optional<LoadMessage> DecodeLoadMessage(std::string_view bytes);

}  // namespace wasabiwall::protocol
