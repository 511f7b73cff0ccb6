#include "wasabiwall/state/config_store.h"

#include <algorithm>
#include <limits>

namespace wasabiwall::state {
namespace {

/// Size of an item's fixed fields in a message.
constexpr std::size_t kItemOverheadBytes = 64;

std::size_t SizeOf(const ConfigItem& item) {
  return kItemOverheadBytes + item.name.size() + item.state.dump().size();
}

}  // namespace

ConfigStore::ConfigStore() : m_view(BuildConfigView({}, 0)) {}

std::size_t ConfigStore::Apply(const std::vector<ConfigItem>& items,
                               std::int64_t complete_revision) {
  const std::lock_guard lock(m_mutex);
  std::vector<Key> keys;
  for (const ConfigItem& item : items) {
    if (ApplyOne(item)) keys.emplace_back(item.kind, item.name);
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
  ConfigPage part;
  part.complete_revision = m_revision;
  std::size_t bytes = 0;
  const Place place{after.revision, after.kind, after.name};
  for (auto item = m_by_revision.upper_bound(place);
       item != m_by_revision.end(); ++item) {
    bytes += SizeOf(*item->second);
    if (bytes > max_bytes && !part.items.empty()) {
      part.last = false;
      return part;
    }
    part.items.push_back(*item->second);
  }
  return part;
}

std::vector<ConfigItem> ConfigStore::ItemsSince(std::int64_t revision) const {
  return ItemsAfter({.revision = revision + 1},
                    std::numeric_limits<std::size_t>::max())
      .items;
}

bool ConfigStore::ApplyOne(const ConfigItem& item) {
  ConfigItem& held = m_items[{item.kind, item.name}];
  if (item.ticket <= held.ticket) return false;
  m_by_revision.erase({held.revision, item.kind, item.name});
  held = item;
  m_by_revision[{item.revision, item.kind, item.name}] = &held;
  return true;
}

}  // namespace wasabiwall::state
