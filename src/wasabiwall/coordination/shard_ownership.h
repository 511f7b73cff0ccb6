#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/state/key_value.h"
#include "wasabiwall/state/strong_id.h"

namespace wasabiwall::coordination {

/// A shard that should be claimed.
struct ShardClaim {
  std::int64_t shard = 0;
  std::string owner_key;
  state::KeyValueTxn txn;
};

/// Decides which shards of a pool's idempotency keys one side process should
/// own. Does no I/O; for use by one thread.
class ShardOwnership {
 public:
  ShardOwnership(state::PoolId pool, state::BackendServerId self);

  /// Plans the claims for shards without an owner. The first candidate in
  /// rendezvous order claims at once, each later one after a longer absence.
  /// @param shards Number of shards of the pool.
  /// @param candidates Backend servers that may own shards.
  /// @param owners Owner records that exist.
  /// @param lease Lease that the claims are bound to.
  std::vector<ShardClaim> PlanClaims(
      std::int64_t shards,
      const std::vector<state::BackendServerId>& candidates,
      const std::vector<state::KeyValueEntry>& owners, std::int64_t lease,
      TimePoint now);

  /// @return Prefix of the owner records of the pool.
  std::string OwnerPrefix() const;

  std::string OwnerKey(std::int64_t shard) const;

 private:
  state::PoolId m_pool;
  state::BackendServerId m_self;
  std::map<std::int64_t, TimePoint> m_absent_since;
};

/// @return Candidates of a shard, preferred owner first.
std::vector<state::BackendServerId> OwnerOrder(
    const state::PoolId& pool, std::int64_t shard,
    const std::vector<state::BackendServerId>& candidates);

}  // namespace wasabiwall::coordination
