#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace wasabiwall::state {

/// Kind of a configuration item.
enum class ItemKind {
  kWorkspace,
  kFailureDomain,
  kPool,
  kBackendServer,
  kService
};

/// @return Name of the kind as written in tickets and keys.
const char* ItemKindName(ItemKind kind);

/// Parses the name of a kind.
/// @param name Name as written in tickets.
/// @param kind Receives the kind.
/// @return False when no kind has this name.
bool ParseItemKind(const std::string& name, ItemKind* kind);

/// A configuration item as last written by a ticket.
struct ConfigItem {
  ItemKind kind = ItemKind::kWorkspace;
  std::string name;
  /// Number of that ticket; the item with the higher number wins.
  std::int64_t ticket = 0;
  /// Revision of the key-value service at which the item was written.
  std::int64_t revision = 0;
  bool deleted = false;
  nlohmann::json state;
};

}  // namespace wasabiwall::state
