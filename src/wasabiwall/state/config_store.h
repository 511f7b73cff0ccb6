#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "wasabiwall/state/config_view.h"

namespace wasabiwall::state {

/// Place of an item in the order of revisions.
struct ConfigCursor {
  std::int64_t revision = 0;
  ItemKind kind = ItemKind::kWorkspace;
  std::string name;
};

/// Part of the items newer than a revision.
struct ConfigPage {
  std::vector<ConfigItem> items;
  /// Whether no newer item is held after the last of `items`.
  bool last = true;
  /// Configuration revision up to which this process leaves nothing out.
  std::int64_t complete_revision = 0;
};

/// Holds the newest known state of every configuration item; an item never
/// goes back to an older ticket. Safe for concurrent use.
class ConfigStore {
 public:
  ConfigStore();

  /// Applies items that are newer than those held; older ones are ignored.
  /// @param items Items in any order, deletions included.
  /// @param complete_revision Revision up to which the items held now leave
  /// nothing out; 0 when the items are only a part of what was asked for.
  /// @return Number of items that changed.
  std::size_t Apply(const std::vector<ConfigItem>& items,
                    std::int64_t complete_revision);

  /// Applies changes that leave nothing out up to the newest of them.
  std::size_t Apply(const std::vector<ConfigItem>& items);

  /// @return The current picture; never null.
  std::shared_ptr<const ConfigView> View() const;

  /// @return Highest revision up to which nothing is missing, 0 before the
  /// first. Single items may be newer.
  std::int64_t Revision() const;

  /// Lists items after a place in the order of revisions, deletions included.
  /// @param after Place of the last item that is not wanted.
  /// @param max_bytes Bound of the items' size; one item is always given.
  ConfigPage ItemsAfter(const ConfigCursor& after, std::size_t max_bytes) const;

  /// @return All items newer than `revision`, deletions included.
  std::vector<ConfigItem> ItemsSince(std::int64_t revision) const;

 private:
  using Key = std::pair<ItemKind, std::string>;
  using Place = std::tuple<std::int64_t, ItemKind, std::string>;

  bool ApplyOne(const ConfigItem& item);

  mutable std::mutex m_mutex;
  std::map<Key, ConfigItem> m_items;
  /// Items in the order of revisions; the entries of m_items do not move.
  std::map<Place, const ConfigItem*> m_by_revision;
  std::int64_t m_revision = 0;
  std::shared_ptr<const ConfigView> m_view;
};

}  // namespace wasabiwall::state
