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

/// Position of an item in the order of revisions, for paginated listing.
struct ConfigCursor {
  std::int64_t revision = 0;
  ItemKind kind = ItemKind::kWorkspace;
  std::string name;
};

/// One page of the items after a cursor, in the order of revisions.
struct ConfigPage {
  std::vector<ConfigItem> items;
  /// Whether this is the last page.
  bool last = true;
  /// Revision up to which the store was complete when the page was read.
  std::int64_t complete_revision = 0;
};

/// Stores the newest version of every configuration item; an older ticket never
/// replaces a newer version. Thread-safe.
class ConfigStore {
 public:
  ConfigStore();

  /// Merges items into the store; an item is ignored unless its ticket is newer
  /// than that of the stored version.
  /// @param items Items in any order, deleted ones included.
  /// @param complete_revision Revision up to which the store is complete after
  /// this call; 0 when `items` is only one of several pages.
  /// @return Number of items that changed.
  std::size_t Apply(const std::vector<ConfigItem>& items,
                    std::int64_t complete_revision);

  /// Merges items that include every change up to the newest of their
  /// revisions.
  /// @return Number of items that changed.
  std::size_t Apply(const std::vector<ConfigItem>& items);

  /// @return The current snapshot; never null.
  std::shared_ptr<const ConfigView> View() const;

  /// @return Highest revision up to which the store is complete; 0 initially.
  /// Individual items may be newer.
  std::int64_t Revision() const;

  /// Returns a page of the items after a cursor in the order of revisions,
  /// deleted ones included.
  /// @param after Cursor of the last item to leave out.
  /// @param max_bytes Maximum estimated size of the page; the first item is
  /// returned even if it is larger.
  ConfigPage ItemsAfter(const ConfigCursor& after, std::size_t max_bytes) const;

  /// @return All items newer than `revision`, deleted ones included.
  std::vector<ConfigItem> ItemsSince(std::int64_t revision) const;

 private:
  using Key = std::pair<ItemKind, std::string>;
  using RevisionKey = std::tuple<std::int64_t, ItemKind, std::string>;

  bool MergeItem(const ConfigItem& item);

  mutable std::mutex m_mutex;
  std::map<Key, ConfigItem> m_items;
  /// Items in the order of revisions. The pointers into m_items stay valid, as
  /// a std::map does not move its elements.
  std::map<RevisionKey, const ConfigItem*> m_by_revision;
  std::int64_t m_revision = 0;
  std::shared_ptr<const ConfigView> m_view;
};

}  // namespace wasabiwall::state
