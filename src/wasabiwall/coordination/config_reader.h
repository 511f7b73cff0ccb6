#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "wasabiwall/state/config_item.h"
#include "wasabiwall/state/key_value.h"

namespace wasabiwall::coordination {

/// Items accepted since a revision.
struct ConfigChanges {
  std::vector<state::ConfigItem> items;
  /// Configuration revision up to which `items` leaves nothing out.
  std::int64_t complete_revision = 0;
  /// Revision of the service at the time of reading.
  std::int64_t service_revision = 0;
};

/// Reads the items accepted after a revision, deletions included.
/// @param store Calls to the key-value service.
/// @param since_revision Configuration revision that the caller has.
/// @return The changes, or why there are none; kNotDone also when a part of a
/// ticket cannot be read.
state::KeyValueResult<ConfigChanges> ReadConfigChanges(
    const state::KeyValueStore& store, std::int64_t since_revision);

/// @return Key of an item in the key-value service.
std::string ItemKey(const state::ConfigItem& item);

/// @return Key of a ticket in the key-value service.
std::string TicketKey(std::int64_t number);

/// @return Key of the commit record of a ticket kept in parts.
std::string PartedTicketKey(std::int64_t number);

/// @return Prefix of the parts of all tickets with this number.
std::string PartsPrefix(std::int64_t number);

/// @return Prefix of the parts of a ticket.
std::string PartsPrefix(std::int64_t number, const std::string& digest);

/// Prefix of all keys that a reader of the configuration watches.
inline constexpr char kConfigPrefix[] = "/wasabiwall/configuration/";
inline constexpr char kItemPrefix[] = "/wasabiwall/configuration/items/";
inline constexpr char kPartedPrefix[] = "/wasabiwall/configuration/parted/";
/// Written by every accepted ticket; its revision is the configuration's.
inline constexpr char kHeadKey[] = "/wasabiwall/configuration/head";
inline constexpr char kTicketPrefix[] = "/wasabiwall/tickets/";

}  // namespace wasabiwall::coordination
