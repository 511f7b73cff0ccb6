#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/state/strong_id.h"

namespace wasabiwall::coordination {

/// A load figure and a time not later than the one at which it was true.
struct LoadObservation {
  state::BackendServerId server;
  std::int64_t load_units = 0;
  std::int64_t warmup_limit_units = 0;
  TimePoint observed_at;
};

/// Remembers the newest load figure of each backend server for a bounded
/// time. Safe for concurrent use.
class PoolLoadEstimate {
 public:
  /// @param max_age Figures older than this are not used.
  explicit PoolLoadEstimate(std::chrono::milliseconds max_age);

  /// Keeps the observation unless a newer one is held.
  void Observe(const LoadObservation& observation);

  /// @return Load of one backend server, 0 when unknown or too old.
  std::int64_t LoadOf(const state::BackendServerId& server,
                      TimePoint now) const;

  /// @return Load of one backend server, nothing when unknown or too old.
  std::optional<std::int64_t> HeardLoadOf(const state::BackendServerId& server,
                                          TimePoint now) const;

  /// Chooses the backend servers whose load TrackedSum adds up, and forgets
  /// figures of others that are too old.
  void Track(const std::vector<state::BackendServerId>& servers, TimePoint now);

  /// @return Sum of the tracked backend servers' loads; those unknown or too
  /// old count as idle. Its cost does not depend on their number.
  std::int64_t TrackedSum(TimePoint now);

  /// @return Up to `count` figures, newest first.
  std::vector<LoadObservation> Newest(std::size_t count, TimePoint now) const;

 private:
  struct Entry {
    LoadObservation observation;
    bool tracked = false;
    /// Whether the load is part of the sum.
    bool counted = false;
  };

  bool Fresh(const Entry& entry, TimePoint now) const;
  void Count(Entry* entry);
  void Discount(Entry* entry);

  std::chrono::milliseconds m_max_age;
  mutable std::mutex m_mutex;
  std::unordered_map<state::BackendServerId, Entry> m_entries;
  /// Counted entries, oldest first.
  std::set<std::pair<TimePoint, Entry*>> m_counted;
  std::int64_t m_sum = 0;
};

}  // namespace wasabiwall::coordination
