#include "wasabiwall/state/config_store.h"

#include <algorithm>

namespace wasabiwall::state {

ConfigStore::ConfigStore() : m_view(BuildConfigView({}, 0)) {}

std::size_t ConfigStore::Apply(const std::vector<ConfigItem>& items) {
  const std::lock_guard lock(m_mutex);
  std::size_t changed = 0;
  for (const ConfigItem& item : items) {
    if (ApplyOne(item)) ++changed;
  }
  if (changed == 0) return 0;
  std::vector<ConfigItem> all;
  all.reserve(m_items.size());
  for (const auto& [key, item] : m_items) all.push_back(item);
  m_view = BuildConfigView(all, m_revision);
  return changed;
}

std::shared_ptr<const ConfigView> ConfigStore::View() const {
  const std::lock_guard lock(m_mutex);
  return m_view;
}

std::int64_t ConfigStore::Revision() const {
  const std::lock_guard lock(m_mutex);
  return m_revision;
}

std::vector<ConfigItem> ConfigStore::ItemsSince(std::int64_t revision) const {
  const std::lock_guard lock(m_mutex);
  std::vector<ConfigItem> newer;
  for (const auto& [key, item] : m_items) {
    if (item.revision > revision) newer.push_back(item);
  }
  std::sort(newer.begin(), newer.end(), [](const auto& a, const auto& b) {
    return a.revision < b.revision;
  });
  return newer;
}

bool ConfigStore::ApplyOne(const ConfigItem& item) {
  ConfigItem& held = m_items[{item.kind, item.name}];
  if (item.ticket <= held.ticket) return false;
  held = item;
  m_revision = std::max(m_revision, item.revision);
  return true;
}

}  // namespace wasabiwall::state
