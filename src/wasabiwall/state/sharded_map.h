#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <unordered_map>
#include <utility>

namespace wasabiwall::state {

/// A hash map split into shards, each under its own lock.
/// @tparam Key Hashable key.
/// @tparam Value Stored value; access is through callbacks under the lock.
template <typename Key, typename Value, std::size_t kShards = 16>
class ShardedMap {
 public:
  using Table = std::unordered_map<Key, Value>;

  /// Runs `use` with the shard's table that holds `key`, under its lock.
  /// @param key Key that selects the shard.
  /// @param use Callable taking `Table&`; its result is returned.
  template <typename Use>
  auto WithShard(const Key& key, Use&& use) {
    Shard& shard = m_shards[std::hash<Key>()(key) % kShards];
    const std::lock_guard lock(shard.mutex);
    return std::forward<Use>(use)(shard.table);
  }

  /// Runs `use` on every shard's table in turn, one lock at a time.
  template <typename Use>
  void ForEachShard(Use&& use) {
    for (Shard& shard : m_shards) {
      const std::lock_guard lock(shard.mutex);
      use(shard.table);
    }
  }

 private:
  struct Shard {
    std::mutex mutex;
    Table table;
  };

  std::array<Shard, kShards> m_shards;
};

}  // namespace wasabiwall::state
