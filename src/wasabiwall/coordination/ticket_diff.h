#pragma once

#include <string>
#include <vector>

#include "wasabiwall/coordination/config_references.h"
#include "wasabiwall/protocol/ticket.h"

namespace wasabiwall::coordination {

/// Change that a ticket would make to one item.
struct ItemChange {
  enum class Kind { kAdded, kChanged, kRemoved, kUnchanged };

  Kind kind = Kind::kUnchanged;
  state::ConfigItem item;
  /// `field: old -> new` for each field that differs.
  std::vector<std::string> fields;
};

/// Compares a ticket with the configuration in force.
/// @param current_items All items in force.
/// @return One change for each item of the ticket, in the order of the ticket.
std::vector<ItemChange> DiffTicket(const protocol::Ticket& ticket,
                                   const ConfigItems& current_items);

}  // namespace wasabiwall::coordination
