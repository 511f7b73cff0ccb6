#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/coordination/hash_ring.h"
#include "wasabiwall/coordination/router.h"
#include "wasabiwall/state/config_view.h"

namespace wasabiwall::coordination {

/// Snapshot of a pool's routing candidates. Immutable.
struct CandidateTable {
  TimePoint made_at;
  state::Pool pool;
  RoutingPolicy policy;
  std::vector<Candidate> candidates;
  /// Mean over the candidates with a fresh load report, in load units.
  double reported_mean_units = 0.0;
  /// Null unless the pool's policy is consistent_hash.
  std::shared_ptr<const HashRing> ring;
};

/// Callbacks of a CandidateCache.
struct CandidateCacheHooks {
  /// Returns whether a backend server's VM is leaving by the VM list.
  std::function<bool(const state::BackendServerId& server)> is_leaving;
  /// Returns the last reported load, in load units; nothing when unknown or
  /// too old.
  std::function<std::optional<std::int64_t>(
      const state::BackendServerId& server, TimePoint now)>
      reported_load;
  /// Creates the policy with a name.
  std::function<RoutingPolicy(const std::string& name)> make_policy;
};

/// Caches each pool's candidates, so that a routing decision does not copy the
/// configuration. A table is rebuilt when the configuration changes or the
/// table is older than the refresh interval. Safe for concurrent use.
class CandidateCache {
 public:
  /// @param refresh_interval Longest time that a table is used before reported
  /// loads and leaving VMs are read again.
  CandidateCache(std::chrono::milliseconds refresh_interval,
                 CandidateCacheHooks hooks);

  /// @return The pool's table; null when no such pool is configured.
  std::shared_ptr<const CandidateTable> Get(
      const std::shared_ptr<const state::ConfigView>& view,
      const state::PoolId& pool, TimePoint now);

  /// @return Tables of pools that Get was called for after `since`.
  std::vector<std::shared_ptr<const CandidateTable>> UsedSince(TimePoint since);

 private:
  using TablePtr = std::shared_ptr<const CandidateTable>;

  /// Cached state of one pool.
  struct Members {
    /// Configuration that `allowed` was built from. Compared by identity, as
    /// two views of the same revision may differ.
    std::shared_ptr<const state::ConfigView> view;
    std::vector<Candidate> allowed;
    TablePtr table;
    TimePoint used_at;
  };

  TablePtr MakeTable(const state::Pool& pool, const Members& members,
                     TimePoint now) const;

  std::chrono::milliseconds m_refresh_interval;
  CandidateCacheHooks m_hooks;
  std::mutex m_mutex;
  std::map<state::PoolId, Members> m_pools;
};

}  // namespace wasabiwall::coordination
