#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "wasabiwall/coordination/clock.h"

namespace wasabiwall::quarantine {

/// The latest time of each of the keys seen lately. Not safe for concurrent
/// use.
class RecentTimes {
 public:
  /// @param min_keys Number of keys that are remembered at least.
  explicit RecentTimes(std::size_t min_keys) : m_min_keys(min_keys) {}

  /// Records a time of a key; an earlier one than the latest changes nothing.
  void Set(std::uint64_t key, coordination::TimePoint time);

  /// @return The latest time of the key; nothing if none is remembered.
  std::optional<coordination::TimePoint> Find(std::uint64_t key) const;

 private:
  using Table = std::unordered_map<std::uint64_t, coordination::TimePoint>;

  std::size_t m_min_keys;
  Table m_latest;
  /// Those of the keys seen before.
  Table m_before;
};

}  // namespace wasabiwall::quarantine
