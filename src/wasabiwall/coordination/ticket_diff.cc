#include "wasabiwall/coordination/ticket_diff.h"

#include <set>
#include <utility>

namespace wasabiwall::coordination {
namespace {

using nlohmann::json;
using Kind = ItemChange::Kind;

std::string ValueText(const json& state, const std::string& field) {
  const auto found = state.find(field);
  return found == state.end() ? "(default)" : found->dump();
}

std::vector<std::string> DiffFields(const json& before, const json& after) {
  std::set<std::string> names;
  for (const auto& [name, value] : before.items()) names.insert(name);
  for (const auto& [name, value] : after.items()) names.insert(name);
  std::vector<std::string> fields;
  for (const std::string& name : names) {
    const std::string old_text = ValueText(before, name);
    const std::string new_text = ValueText(after, name);
    if (old_text == new_text) continue;
    std::string field = name;
    field.append(": ").append(old_text).append(" -> ").append(new_text);
    fields.push_back(std::move(field));
  }
  return fields;
}

ItemChange DiffItem(const state::ConfigItem& item,
                    const ConfigItems& current_items) {
  ItemChange change;
  change.item = item;
  const auto found = current_items.find({item.kind, item.name});
  const bool in_force = found != current_items.end() && !found->second.deleted;
  if (item.deleted) {
    change.kind = in_force ? Kind::kRemoved : Kind::kUnchanged;
    return change;
  }
  const json before = in_force ? found->second.state : json::object();
  change.fields = DiffFields(before, item.state);
  if (!in_force) {
    change.kind = Kind::kAdded;
  } else if (!change.fields.empty()) {
    change.kind = Kind::kChanged;
  }
  return change;
}

}  // namespace

std::vector<ItemChange> DiffTicket(const protocol::Ticket& ticket,
                                   const ConfigItems& current_items) {
  std::vector<ItemChange> changes;
  changes.reserve(ticket.items.size());
  for (const state::ConfigItem& item : ticket.items) {
    changes.push_back(DiffItem(item, current_items));
  }
  return changes;
}

}  // namespace wasabiwall::coordination
