#include "wasabiwall/state/config_store.h"

#include <algorithm>
#include <limits>

namespace wasabiwall::state {
namespace {

/// Estimated encoded size of an item's fixed fields.
constexpr std::size_t kItemOverheadBytes = 64;

std::size_t EstimateSize(const ConfigItem& item) {
  return kItemOverheadBytes + item.name.size() + item.state.dump().size();
}

}  // namespace

ConfigStore::ConfigStore() : m_view(BuildConfigView({}, 0)) {}

std::size_t ConfigStore::Apply(const std::vector<ConfigItem>& items,
                               std::int64_t complete_revision) {
  const std::lock_guard lock(m_mutex);
  std::vector<Key> keys;
  for (const ConfigItem& item : items) {
    if (MergeItem(item)) keys.emplace_back(item.kind, item.name);
  }
  const bool advanced = complete_revision > m_revision;
  if (keys.empty() && !advanced) return 0;
  m_revision = std::max(m_revision, complete_revision);
  std::vector<ConfigItem> changed;
  changed.reserve(keys.size());
  for (const Key& key : keys) changed.push_back(m_items.at(key));
  m_view = UpdateConfigView(*m_view, changed, m_revision);
  return changed.size();
}

std::size_t ConfigStore::Apply(const std::vector<ConfigItem>& items) {
  std::int64_t newest = 0;
  for (const ConfigItem& item : items) {
    newest = std::max(newest, item.revision);
  }
  return Apply(items, newest);
}

std::shared_ptr<const ConfigView> ConfigStore::View() const {
  const std::lock_guard lock(m_mutex);
  return m_view;
}

std::int64_t ConfigStore::Revision() const {
  const std::lock_guard lock(m_mutex);
  return m_revision;
}

ConfigPage ConfigStore::ItemsAfter(const ConfigCursor& after,
                                   std::size_t max_bytes) const {
  const std::lock_guard lock(m_mutex);
  ConfigPage page;
  page.complete_revision = m_revision;
  std::size_t bytes = 0;
  const RevisionKey position{after.revision, after.kind, after.name};
  for (auto item = m_by_revision.upper_bound(position);
       item != m_by_revision.end(); ++item) {
    bytes += EstimateSize(*item->second);
    if (bytes > max_bytes && !page.items.empty()) {
      page.last = false;
      return page;
    }
    page.items.push_back(*item->second);
  }
  return page;
}

std::vector<ConfigItem> ConfigStore::ItemsSince(std::int64_t revision) const {
  return ItemsAfter({.revision = revision + 1},
                    std::numeric_limits<std::size_t>::max())
      .items;
}

bool ConfigStore::MergeItem(const ConfigItem& item) {
  ConfigItem& stored = m_items[{item.kind, item.name}];
  if (item.ticket <= stored.ticket) return false;
  m_by_revision.erase({stored.revision, item.kind, item.name});
  stored = item;
  m_by_revision[{item.revision, item.kind, item.name}] = &stored;
  return true;
}

}  // namespace wasabiwall::state
