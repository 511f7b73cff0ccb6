#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "wasabiwall/state/config_item.h"

namespace wasabiwall::coordination {

/// Configuration items by kind and name, including deletions.
using ConfigItems =
    std::map<std::pair<state::ItemKind, std::string>, state::ConfigItem>;

/// Adds an item unless `items` has it from the same or a newer ticket.
void MergeItem(const state::ConfigItem& item, ConfigItems* items);

/// Checks that referenced pools and failure domains exist, that services refer
/// to pools of kind service, and that token digests, models and side addresses
/// are unique.
/// @param items All items that would be in force.
/// @return One message for each violation, naming the item.
std::vector<std::string> CheckReferences(const ConfigItems& items);

}  // namespace wasabiwall::coordination
