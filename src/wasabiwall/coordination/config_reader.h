#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "wasabiwall/state/config_item.h"
#include "wasabiwall/state/key_value.h"

namespace wasabiwall::coordination {

/// Configuration items accepted since a revision.
struct ConfigChanges {
  std::vector<state::ConfigItem> items;
  /// Configuration revision up to which `items` is complete.
  std::int64_t complete_revision = 0;
  /// Revision of the key-value service at the time of the read.
  std::int64_t service_revision = 0;
};

/// Reads the configuration items accepted after a revision, including
/// deletions.
/// @param store Calls to the key-value service.
/// @param since_revision Configuration revision that the caller already has.
/// @return The changes or the failure; also kNotDone when a part of a ticket
/// is missing or malformed.
state::KeyValueResult<ConfigChanges> ReadConfigChanges(
    const state::KeyValueStore& store, std::int64_t since_revision);

/// @return Key of an item in the key-value service.
std::string ItemKey(const state::ConfigItem& item);

/// @return Key of a ticket in the key-value service.
std::string TicketKey(std::int64_t number);

/// @return Key of the commit record of a ticket stored in parts.
std::string MultipartTicketKey(std::int64_t number);

/// @return Prefix of the parts of all tickets with this number.
std::string PartsPrefix(std::int64_t number);

/// @return Prefix of the parts of the ticket with this number and digest.
std::string PartsPrefix(std::int64_t number, const std::string& digest);

/// Prefix of all keys that configuration readers watch.
inline constexpr char kConfigPrefix[] = "/wasabiwall/configuration/";
inline constexpr char kItemPrefix[] = "/wasabiwall/configuration/items/";
inline constexpr char kMultipartPrefix[] = "/wasabiwall/configuration/parted/";
/// Written by every accepted ticket; the modification revision of this key is
/// the configuration revision.
inline constexpr char kHeadKey[] = "/wasabiwall/configuration/head";
inline constexpr char kTicketPrefix[] = "/wasabiwall/tickets/";

}  // namespace wasabiwall::coordination
