#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "wasabiwall/state/config_item.h"

namespace wasabiwall::coordination {

/// Configuration items by kind and name, deletions included.
using ConfigItems =
    std::map<std::pair<state::ItemKind, std::string>, state::ConfigItem>;

/// Adds an item unless one of the same or a newer ticket is held.
void MergeItem(const state::ConfigItem& item, ConfigItems* items);

/// Checks the references between items: pools and failure domains exist, token
/// digests, models and side addresses are unique.
/// @param items All items that would be in force.
/// @return A reason for each broken reference, naming the item.
std::vector<std::string> CheckReferences(const ConfigItems& items);

}  // namespace wasabiwall::coordination
