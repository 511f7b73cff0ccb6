#include "wasabiwall/coordination/shard_ownership.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "wasabiwall/coordination/router.h"

namespace wasabiwall::coordination {
namespace {

constexpr std::chrono::milliseconds kRankDelay{1500};

}  // namespace

std::vector<state::BackendServerId> OwnerOrder(
    const state::PoolId& pool, std::int64_t shard,
    const std::vector<state::BackendServerId>& candidates) {
  RoutingQuery query;
  query.workspace = state::WorkspaceId(pool.value);
  query.chat = state::ChatId(std::to_string(shard));
  std::vector<Candidate> unweighted;
  unweighted.reserve(candidates.size());
  for (const state::BackendServerId& id : candidates) {
    unweighted.push_back({id});
  }
  query.candidates = unweighted;
  std::vector<state::BackendServerId> order;
  for (const Candidate& candidate : OrderByRendezvous(query)) {
    order.push_back(candidate.id);
  }
  return order;
}

ShardOwnership::ShardOwnership(state::PoolId pool, state::BackendServerId self)
    : m_pool(std::move(pool)), m_self(std::move(self)) {}

std::vector<ShardClaim> ShardOwnership::PlanClaims(
    std::int64_t shards, const std::vector<state::BackendServerId>& candidates,
    const std::vector<state::KeyValueEntry>& owners, std::int64_t lease,
    TimePoint now) {
  std::set<std::string> owned;
  for (const state::KeyValueEntry& entry : owners) owned.insert(entry.key);
  std::vector<ShardClaim> claims;
  for (std::int64_t shard = 0; shard < shards; ++shard) {
    const std::string key = OwnerKey(shard);
    if (owned.count(key) > 0) {
      m_absent_since.erase(shard);
      continue;
    }
    const TimePoint since =
        m_absent_since.try_emplace(shard, now).first->second;
    const auto order = OwnerOrder(m_pool, shard, candidates);
    const auto self = std::find(order.begin(), order.end(), m_self);
    if (self == order.end()) continue;
    if (now - since < kRankDelay * (self - order.begin())) continue;
    ShardClaim claim{shard, key, {}};
    claim.txn.create_compares.push_back({key, 0});
    claim.txn.writes.push_back({key, m_self.value, lease});
    claims.push_back(std::move(claim));
  }
  return claims;
}

std::string ShardOwnership::OwnerPrefix() const {
  return "/wasabiwall/owners/" + m_pool.value + "/";
}

std::string ShardOwnership::OwnerKey(std::int64_t shard) const {
  return OwnerPrefix() + std::to_string(shard);
}

}  // namespace wasabiwall::coordination
