#include "wasabiwall/coordination/config_references.h"

namespace wasabiwall::coordination {
namespace {

using state::ConfigItem;
using state::ItemKind;

std::string Label(const ConfigItem& item) {
  return std::string(state::ItemKindName(item.kind)) + " " + item.name;
}

/// Collects the broken references and duplicate values of a configuration.
class ReferenceChecker {
 public:
  explicit ReferenceChecker(const ConfigItems& items) : m_items(items) {}

  std::vector<std::string> Check() {
    for (const auto& [key, item] : m_items) {
      if (!item.deleted) CheckItem(item);
    }
    return std::move(m_reasons);
  }

 private:
  void CheckItem(const ConfigItem& item) {
    switch (item.kind) {
      case ItemKind::kWorkspace:
        RequireUnique("token_digest", item.state.value("token_digest", ""),
                      item);
        return;
      case ItemKind::kFailureDomain:
        return;
      case ItemKind::kPool:
        for (const auto& model :
             item.state.value("models", std::vector<std::string>())) {
          RequireUnique("model", model, item);
        }
        return;
      case ItemKind::kBackendServer:
        Find(item, ItemKind::kPool, "pool");
        Find(item, ItemKind::kFailureDomain, "failure_domain");
        RequireUnique("side", item.state.value("side", ""), item);
        return;
      case ItemKind::kService:
        CheckService(item);
        return;
    }
  }

  void CheckService(const ConfigItem& item) {
    const ConfigItem* const pool = Find(item, ItemKind::kPool, "pool");
    if (pool == nullptr || pool->state.value("kind", "") == "service") return;
    m_reasons.push_back(Label(item) + ": " + Label(*pool) +
                        " is not of kind service");
  }

  const ConfigItem* Find(const ConfigItem& item, ItemKind kind,
                         const char* field) {
    const std::string name = item.state.value(field, "");
    const auto found = m_items.find({kind, name});
    if (found != m_items.end() && !found->second.deleted) {
      return &found->second;
    }
    m_reasons.push_back(Label(item) + ": there is no " +
                        state::ItemKindName(kind) + " " + name);
    return nullptr;
  }

  void RequireUnique(const std::string& field, const std::string& value,
                     const ConfigItem& item) {
    const auto [held, added] =
        m_first_holders.try_emplace({field, value}, &item);
    if (added) return;
    m_reasons.push_back(Label(item) + ": " + field + " " + value +
                        " is already used by " + Label(*held->second));
  }

  const ConfigItems& m_items;
  std::map<std::pair<std::string, std::string>, const ConfigItem*>
      m_first_holders;
  std::vector<std::string> m_reasons;
};

}  // namespace

void MergeItem(const ConfigItem& item, ConfigItems* items) {
  ConfigItem& held = (*items)[{item.kind, item.name}];
  if (item.ticket > held.ticket) held = item;
}

std::vector<std::string> CheckReferences(const ConfigItems& items) {
  return ReferenceChecker(items).Check();
}

}  // namespace wasabiwall::coordination
