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

/// What has to be done about this process's lease.
enum class LeaseAction { kNone, kGrant, kRenew };

/// A transaction that changes who owns a shard.
struct ShardTransition {
  enum class Kind {
    /// Become the owner of a shard without one.
    kClaim,
    /// Stop being the owner.
    kRelease,
    /// Ask the present owner to release.
    kRequest,
    /// Take a request back.
    kCancelRequest,
  };

  Kind kind = Kind::kClaim;
  std::int64_t shard = 0;
  state::KeyValueTxn txn;
};

/// Where one side process stands among the owners of a pool's shards.
struct ShardOwnershipOptions {
  state::PoolId pool;
  state::BackendServerId self;
  std::chrono::milliseconds lease_ttl{5000};
};

/// Decides which shards of a pool's idempotency keys one side process owns and
/// tells its ledger. Owner records are bound to a lease; the revision at which
/// a record was created is the fencing number, so that a mistaken belief in
/// ownership delays calls and runs none. A process that wants nothing holds no
/// lease. Does no I/O; safe for concurrent use.
class ShardOwnership {
 public:
  /// @param ledger Told of shards won and lost; must outlive this object.
  ShardOwnership(ShardOwnershipOptions options, IdempotencyLedger* ledger,
                 RandomHook random);

  /// Sets what the configuration says.
  /// @param shards Number of shards of the pool.
  /// @param candidates Backend servers that may own shards; without this
  /// process while it is draining.
  void Configure(std::int64_t shards,
                 const std::vector<state::BackendServerId>& candidates);

  /// Takes in all records under OwnerPrefix.
  void OnSnapshot(const state::KeyValueRangeResult& records, TimePoint now);

  /// Takes in changes under OwnerPrefix; old ones are ignored.
  void OnEvents(const std::vector<state::KeyValueEvent>& events, TimePoint now);

  /// @return What to do about the lease now.
  LeaseAction NextLeaseAction(TimePoint now);

  /// @return The lease held; 0 for none.
  std::int64_t Lease() const;

  /// @return Lifetime to ask for.
  std::chrono::seconds LeaseTtl() const;

  void OnLeaseGranted(std::int64_t lease, TimePoint now);

  /// Takes in the answer of a renewal.
  /// @param left Time left; zero when the lease has lapsed.
  void OnLeaseRenewed(std::chrono::seconds left, TimePoint now);

  /// A grant or renewal had no answer.
  void OnLeaseFailed(TimePoint now);

  /// @return Transactions to send now; each is repeated later unless its
  /// result or its effect is seen.
  std::vector<ShardTransition> PlanTransitions(TimePoint now);

  /// Takes in the answer of a transaction.
  void OnTransitionResult(const ShardTransition& step,
                          const state::KeyValueTxnResult& result,
                          TimePoint now);

  /// @return Owner of each shard that has one, as last seen.
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
    /// Owner before the record went away.
    state::BackendServerId previous;
    /// Newest revision seen of the owner record and of the request.
    std::int64_t owner_revision = 0;
    std::int64_t request_revision = 0;
    /// When owner or absence was first seen.
    TimePoint since;
    std::optional<TimePoint> releasing_since;
    TimePoint next_step;
  };

  std::string RequestKey(std::int64_t shard) const;
  bool Candidate(const Shard& shard) const;
  bool Preferred(const Shard& shard) const;
  bool Mine(const Shard& shard) const;
  bool MustRelease(const Shard& shard) const;
  bool MayClaim(const Shard& shard, TimePoint now) const;
  bool MayRequest(const Shard& shard, TimePoint now) const;
  bool Requested(const Shard& shard) const;
  bool WantsLease(TimePoint now) const;
  std::optional<ShardTransition> PlanStep(std::int64_t number, Shard* shard,
                                          TimePoint now);
  std::optional<ShardTransition> PlanRelease(std::int64_t number, Shard* shard,
                                             TimePoint now);
  ShardTransition MakeClaim(std::int64_t number, const Shard& shard) const;
  void OnRecord(const std::string& key, const state::KeyValueEntry* entry,
                std::int64_t revision, TimePoint now);
  void SetOwner(std::int64_t number, Shard* shard, std::optional<Owner> owner,
                TimePoint now);
  TimePoint After(TimePoint now, std::chrono::milliseconds wait);

  const ShardOwnershipOptions m_options;
  IdempotencyLedger* m_ledger;
  RandomHook m_random;
  mutable std::mutex m_mutex;
  std::map<std::int64_t, Shard> m_shards;
  std::vector<state::BackendServerId> m_candidates;
  std::int64_t m_lease = 0;
  TimePoint m_next_lease_step;
  bool m_synchronised = false;
};

/// @return Candidates of a shard, preferred owner first.
std::vector<state::BackendServerId> RankOwners(
    const state::PoolId& pool, std::int64_t shard,
    const std::vector<state::BackendServerId>& candidates);

}  // namespace wasabiwall::coordination
