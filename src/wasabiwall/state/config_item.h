#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace wasabiwall::state {

/// Kinds of configuration items.
enum class ItemKind {
  kWorkspace,
  kFailureDomain,
  kPool,
  kBackendServer,
  kService
};

/// @return Name of the kind as written in tickets and keys.
const char* ItemKindName(ItemKind kind);

/// Parses a kind's name.
/// @param name Name as written in tickets.
/// @param kind Receives the kind.
/// @return False when no kind has this name.
bool ParseItemKind(const std::string& name, ItemKind* kind);

/// One configuration item in the state that a ticket gave it.
struct ConfigItem {
  ItemKind kind = ItemKind::kWorkspace;
  std::string name;
  std::int64_t ticket = 0;
  /// Revision of the key-value service at which the item was accepted.
  std::int64_t revision = 0;
  bool deleted = false;
  nlohmann::json state;
};

}  // namespace wasabiwall::state
