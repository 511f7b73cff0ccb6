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

/// Candidates of one pool at one moment. Immutable.
struct CandidateTable {
  TimePoint made_at;
  state::Pool pool;
  RoutingPolicy policy;
  std::vector<Candidate> candidates;
  /// Mean over the candidates whose load was heard, in load units.
  double reported_mean_units = 0.0;
  /// Null unless the pool's policy needs it.
  std::shared_ptr<const HashRing> ring;
};

/// Hooks of a candidate cache.
struct CandidateCacheHooks {
  /// Whether the VM list says that a backend server's VM is leaving.
  std::function<bool(const state::BackendServerId& server)> leaving;
  /// Load last heard of, in load units; nothing when unknown or too old.
  std::function<std::optional<std::int64_t>(
      const state::BackendServerId& server, TimePoint now)>
      heard_load;
  /// Makes the policy with a name.
  std::function<RoutingPolicy(const std::string& name)> make_policy;
};

/// Keeps each pool's candidates, so that a decision copies no configuration.
/// A table is made again when the configuration changes or the table is older
/// than the refresh interval. Safe for concurrent use.
class CandidateCache {
 public:
  /// @param refresh_interval Longest age of heard loads and leaving VMs.
  CandidateCache(std::chrono::milliseconds refresh_interval,
                 CandidateCacheHooks hooks);

  /// @return The pool's table, null when no such pool is configured.
  std::shared_ptr<const CandidateTable> Get(
      const std::shared_ptr<const state::ConfigView>& view,
      const state::PoolId& pool, TimePoint now);

  /// @return Tables asked for after `since`.
  std::vector<std::shared_ptr<const CandidateTable>> UsedSince(TimePoint since);

 private:
  using TablePtr = std::shared_ptr<const CandidateTable>;

  /// Members that the configuration allows new work.
  struct Members {
    /// Configuration that `allowed` was made from. Two of the same revision
    /// may differ, so that the pictures themselves are compared.
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
