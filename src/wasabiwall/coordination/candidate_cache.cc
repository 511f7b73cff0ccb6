#include "wasabiwall/coordination/candidate_cache.h"

#include <algorithm>
#include <utility>

#include "wasabiwall/coordination/routing_policies.h"
#include "wasabiwall/state/digest.h"

namespace wasabiwall::coordination {
namespace {

std::vector<Candidate> AllowedMembers(const state::ConfigView& view,
                                      const state::PoolId& pool) {
  std::vector<Candidate> allowed;
  for (const auto& [name, server] : view.backend_servers) {
    if (server.pool != pool || !view.TakesNewWork(server.id)) continue;
    Candidate candidate{server.id, server.weight};
    candidate.id_hash = state::FastHash(name);
    allowed.push_back(std::move(candidate));
  }
  return allowed;
}

bool SameRing(const CandidateTable& a, const CandidateTable& b) {
  return std::equal(a.candidates.begin(), a.candidates.end(),
                    b.candidates.begin(), b.candidates.end(),
                    [](const Candidate& left, const Candidate& right) {
                      return left.id == right.id && left.weight == right.weight;
                    });
}

}  // namespace

CandidateCache::CandidateCache(std::chrono::milliseconds refresh_interval,
                               CandidateCacheHooks hooks)
    : m_refresh_interval(refresh_interval), m_hooks(std::move(hooks)) {}

std::shared_ptr<const CandidateTable> CandidateCache::Get(
    const std::shared_ptr<const state::ConfigView>& view,
    const state::PoolId& pool, TimePoint now) {
  const auto configured = view->pools.find(pool.value);
  if (configured == view->pools.end()) return nullptr;
  const std::lock_guard lock(m_mutex);
  Members& members = m_pools[pool];
  members.used_at = now;
  if (members.view != view) {
    members.allowed = AllowedMembers(*view, pool);
    members.view = view;
    std::erase_if(m_pools, [&](const auto& entry) {
      return view->pools.count(entry.first.value) == 0;
    });
  } else if (now - members.table->made_at < m_refresh_interval) {
    return members.table;
  }
  members.table = MakeTable(configured->second, members, now);
  return members.table;
}

std::vector<std::shared_ptr<const CandidateTable>> CandidateCache::UsedSince(
    TimePoint since) {
  const std::lock_guard lock(m_mutex);
  std::vector<TablePtr> tables;
  for (const auto& [pool, members] : m_pools) {
    if (members.used_at > since) tables.push_back(members.table);
  }
  return tables;
}

CandidateCache::TablePtr CandidateCache::MakeTable(const state::Pool& pool,
                                                   const Members& members,
                                                   TimePoint now) const {
  auto table = std::make_shared<CandidateTable>();
  table->made_at = now;
  table->pool = pool;
  table->policy = m_hooks.make_policy(pool.policy);
  std::int64_t sum = 0;
  std::int64_t reported = 0;
  table->candidates.reserve(members.allowed.size());
  for (const Candidate& member : members.allowed) {
    if (m_hooks.is_leaving(member.id)) continue;
    Candidate& candidate = table->candidates.emplace_back(member);
    const auto load = m_hooks.reported_load(member.id, now);
    if (!load) continue;
    candidate.reported = true;
    candidate.load_units = *load;
    sum += *load;
    ++reported;
  }
  if (reported > 0) {
    table->reported_mean_units =
        static_cast<double>(sum) / static_cast<double>(reported);
  }
  if (pool.policy != kConsistentHash) return table;
  const bool same_ring =
      members.table && members.table->ring && SameRing(*table, *members.table);
  table->ring = same_ring ? members.table->ring
                          : std::make_shared<HashRing>(table->candidates);
  return table;
}

}  // namespace wasabiwall::coordination
