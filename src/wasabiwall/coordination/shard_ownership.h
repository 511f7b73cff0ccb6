#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/coordination/idempotency_ledger.h"
#include "wasabiwall/state/key_value.h"
#include "wasabiwall/state/strong_id.h"

namespace wasabiwall::coordination {

/// Lease call that is due.
enum class LeaseAction { kNone, kGrant, kRenew };

/// A transaction that changes or requests the ownership of a shard.
struct ShardTransition {
  enum class Kind {
    /// Become the owner of a shard that has none.
    kClaim,
    /// Give up the ownership.
    kRelease,
    /// Ask the current owner to release the shard.
    kRequest,
    /// Withdraw the own request.
    kCancelRequest,
  };

  Kind kind = Kind::kClaim;
  std::int64_t shard = 0;
  state::KeyValueTxn txn;
};

/// Pool and identity of a side process that owns shards.
struct ShardOwnershipOptions {
  state::PoolId pool;
  state::BackendServerId self;
  std::chrono::milliseconds lease_ttl{5000};
};

/// Decides which shards of a pool's idempotency keys one side process owns and
/// updates its ledger. Owner records are bound to a lease, and the creation
/// revision of a record is the fencing token, so that a process that wrongly
/// believes it is the owner delays calls but runs none. A process holds a lease
/// only while it owns, has requested, or may claim or request a shard. Does no
/// I/O; thread-safe.
class ShardOwnership {
 public:
  /// @param ledger Receives OnShardOwned and OnShardLost; must outlive this
  /// object.
  ShardOwnership(ShardOwnershipOptions options, IdempotencyLedger* ledger,
                 RandomHook random);

  /// Sets the shards and candidates from the configuration.
  /// @param shards Number of shards of the pool.
  /// @param candidates Backend servers that may own shards; excludes this one
  /// while it is draining.
  void Configure(std::int64_t shards,
                 const std::vector<state::BackendServerId>& candidates);

  /// Processes a read of all records under OwnerPrefix.
  void OnSnapshot(const state::KeyValueRangeResult& records, TimePoint now);

  /// Processes watch events under OwnerPrefix; ignores those older than the
  /// state seen.
  void OnEvents(const std::vector<state::KeyValueEvent>& events, TimePoint now);

  /// Forgets the lease when it is no longer needed, so that it lapses.
  /// @return The lease call due now.
  LeaseAction NextLeaseAction(TimePoint now);

  /// @return Identifier of the lease held; 0 for none.
  std::int64_t Lease() const;

  /// @return Lease lifetime to request.
  std::chrono::seconds LeaseTtl() const;

  void OnLeaseGranted(std::int64_t lease, TimePoint now);

  /// Processes the result of a renewal.
  /// @param left Remaining lifetime; zero when the lease has lapsed.
  void OnLeaseRenewed(std::chrono::seconds left, TimePoint now);

  /// Schedules a retry after a grant or renewal without a result.
  void OnLeaseFailed(TimePoint now);

  /// @return Transactions to send now; each is sent again later until its
  /// result or its effect is seen.
  std::vector<ShardTransition> PlanTransitions(TimePoint now);

  /// Processes the result of a transaction.
  void OnTransitionResult(const ShardTransition& transition,
                          const state::KeyValueTxnResult& result,
                          TimePoint now);

  /// @return Last known owner of each shard that has one.
  std::unordered_map<std::int64_t, state::BackendServerId> Owners() const;

  /// @return Prefix of the owner records and requests of the pool.
  std::string OwnerPrefix() const;

  std::string OwnerKey(std::int64_t shard) const;

 private:
  struct Owner {
    state::BackendServerId server;
    std::int64_t lease = 0;
    std::int64_t create_revision = 0;
  };

  struct Shard {
    std::vector<state::BackendServerId> order;
    std::optional<Owner> owner;
    std::optional<state::BackendServerId> requested_by;
    /// Owner before the last change of the owner record.
    state::BackendServerId previous;
    /// Newest revisions seen of the owner record and of the request record.
    std::int64_t owner_revision = 0;
    std::int64_t request_revision = 0;
    /// When the current owner, or its absence, was first seen.
    TimePoint owner_since;
    std::optional<TimePoint> releasing_since;
    TimePoint next_attempt_time;
  };

  std::string RequestKey(std::int64_t shard) const;
  bool IsCandidate(const Shard& shard) const;
  bool IsPreferred(const Shard& shard) const;
  bool IsOwner(const Shard& shard) const;
  bool MustRelease(const Shard& shard) const;
  bool MayClaim(const Shard& shard, TimePoint now) const;
  bool MayRequest(const Shard& shard, TimePoint now) const;
  bool HasRequested(const Shard& shard) const;
  bool NeedsLease(TimePoint now) const;
  std::optional<ShardTransition> PlanTransition(std::int64_t number,
                                                Shard* shard, TimePoint now);
  std::optional<ShardTransition> PlanRelease(std::int64_t number, Shard* shard,
                                             TimePoint now);
  ShardTransition MakeClaim(std::int64_t number, const Shard& shard) const;
  void OnRecord(const std::string& key, const state::KeyValueEntry* entry,
                std::int64_t revision, TimePoint now);
  void SetOwner(std::int64_t number, Shard* shard, std::optional<Owner> owner,
                TimePoint now);
  TimePoint JitteredDeadline(TimePoint now, std::chrono::milliseconds wait);

  const ShardOwnershipOptions m_options;
  IdempotencyLedger* m_ledger;
  RandomHook m_random;
  mutable std::mutex m_mutex;
  std::map<std::int64_t, Shard> m_shards;
  std::vector<state::BackendServerId> m_candidates;
  std::int64_t m_lease = 0;
  TimePoint m_next_lease_action;
  bool m_has_snapshot = false;
};

/// Ranks the candidates for a shard by rendezvous hashing.
/// @return The candidates, preferred owner first.
std::vector<state::BackendServerId> RankOwners(
    const state::PoolId& pool, std::int64_t shard,
    const std::vector<state::BackendServerId>& candidates);

}  // namespace wasabiwall::coordination
