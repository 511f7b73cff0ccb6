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

/// A reported load, with a lower bound of the time at which it was measured.
struct LoadObservation {
  state::BackendServerId server;
  std::int64_t load_units = 0;
  std::int64_t warmup_limit_units = 0;
  TimePoint observed_at;
};

/// Keeps the newest reported load of each backend server for a bounded time.
/// Safe for concurrent use.
class PoolLoadEstimate {
 public:
  /// @param max_age Loads older than this are ignored.
  explicit PoolLoadEstimate(std::chrono::milliseconds max_age);

  /// Stores the observation unless a newer one is held.
  void Observe(const LoadObservation& observation);

  /// @return Load of one backend server, 0 when unknown or too old.
  std::int64_t LoadOf(const state::BackendServerId& server,
                      TimePoint now) const;

  /// @return Load of one backend server, nothing when unknown or too old.
  std::optional<std::int64_t> ReportedLoadOf(
      const state::BackendServerId& server, TimePoint now) const;

  /// Sets the backend servers whose loads TrackedSum adds up, and removes
  /// expired loads of all others.
  void Track(const std::vector<state::BackendServerId>& servers, TimePoint now);

  /// @return Sum of the tracked backend servers' loads; unknown or expired ones
  /// count as 0. Updated incrementally rather than summed up on each call.
  std::int64_t TrackedSum(TimePoint now);

  /// @return Up to `count` loads, newest first.
  std::vector<LoadObservation> Newest(std::size_t count, TimePoint now) const;

 private:
  struct Entry {
    LoadObservation observation;
    bool tracked = false;
    /// Whether the load is included in the sum.
    bool counted = false;
  };

  bool IsFresh(const Entry& entry, TimePoint now) const;
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
