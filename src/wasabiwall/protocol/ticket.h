#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "wasabiwall/protocol/toml_schema.h"
#include "wasabiwall/state/config_item.h"

namespace wasabiwall::protocol {

/// A change ticket: the complete new state of each configuration item that it
/// changes.
struct Ticket {
  std::int64_t number = 0;
  std::string author;
  std::vector<state::ConfigItem> items;
  /// Hex SHA-256 of the canonical content; distinguishes a resubmitted ticket
  /// from another one with the same number.
  std::string digest;
};

/// Parses a ticket and validates it without the current configuration.
/// @param text TOML text.
/// @param file File name for messages.
/// @return The ticket, or every problem with file, line, key and reason.
tl::expected<Ticket, std::vector<TomlProblem>> ParseTicket(
    std::string_view text, const std::string& file);

/// @return JSON text of an item as stored in the key-value service.
std::string EncodeItem(const state::ConfigItem& item);

/// Decodes an item from the key-value service.
/// @param text JSON text written by EncodeItem.
/// @param revision Revision of the key-value service at which it was written.
/// @param item Receives the item.
/// @return False when the text is not a valid item.
bool DecodeItem(const std::string& text, std::int64_t revision,
                state::ConfigItem* item);

}  // namespace wasabiwall::protocol
