#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/state/strong_id.h"

namespace wasabiwall::coordination {

/// A load figure with the time at which it was true.
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

  /// Mean load over a pool's other members; unknown members count as idle,
  /// which keeps the mean a lower bound.
  /// @param others Members without the one that asks.
  /// @param own_load Load of the one that asks, counted in.
  double MeanWith(const std::vector<state::BackendServerId>& others,
                  std::int64_t own_load, TimePoint now) const;

  /// @return Up to `count` figures, newest first.
  std::vector<LoadObservation> Newest(std::size_t count, TimePoint now) const;

 private:
  std::chrono::milliseconds m_max_age;
  mutable std::mutex m_mutex;
  std::unordered_map<state::BackendServerId, LoadObservation> m_observations;
};

}  // namespace wasabiwall::coordination
