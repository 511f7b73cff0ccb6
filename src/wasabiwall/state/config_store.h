#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "wasabiwall/state/config_view.h"

namespace wasabiwall::state {

/// Holds the newest known state of every configuration item; an item never
/// goes back to an older ticket. Safe for concurrent use.
class ConfigStore {
 public:
  ConfigStore();

  /// Applies items that are newer than those held; older ones are ignored.
  /// @param items Items in any order, deletions included.
  /// @return Number of items that changed.
  std::size_t Apply(const std::vector<ConfigItem>& items);

  /// @return The current picture; never null.
  std::shared_ptr<const ConfigView> View() const;

  /// @return Highest revision applied, 0 before the first.
  std::int64_t Revision() const;

  /// @return Items accepted after `revision`, deletions included.
  std::vector<ConfigItem> ItemsSince(std::int64_t revision) const;

 private:
  using Key = std::pair<ItemKind, std::string>;

  bool ApplyOne(const ConfigItem& item);

  mutable std::mutex m_mutex;
  std::map<Key, ConfigItem> m_items;
  std::int64_t m_revision = 0;
  std::shared_ptr<const ConfigView> m_view;
};

}  // namespace wasabiwall::state
