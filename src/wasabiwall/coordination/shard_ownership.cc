#include "wasabiwall/coordination/shard_ownership.h"

#include <algorithm>
#include <set>
#include <utility>

#include "wasabiwall/coordination/router.h"

namespace wasabiwall::coordination {
namespace {

using std::chrono::milliseconds;

/// Head start of each candidate before the next in order.
constexpr milliseconds kRankDelay{1500};
/// How long an owner that went away is passed over.
constexpr milliseconds kSuspectTime{10000};
/// How long the preferred owner lets another one be before it asks.
constexpr milliseconds kRequestDelay{5000};
/// Longest wait for running calls before a shard is released.
constexpr milliseconds kMaxReleaseWait{2000};
constexpr milliseconds kStepRetryWait{500};
/// Renewals within one lifetime of the lease.
constexpr int kRenewalsPerTtl = 3;
constexpr char kRequestSuffix[] = "/request";

/// A record under the prefix of a pool.
struct RecordName {
  std::int64_t shard = 0;
  bool request = false;
};

std::optional<RecordName> ParseName(const std::string& prefix,
                                    const std::string& key) {
  if (key.compare(0, prefix.size(), prefix) != 0) return std::nullopt;
  char* end = nullptr;
  const char* begin = key.c_str() + prefix.size();
  const std::int64_t shard = std::strtoll(begin, &end, 10);
  if (end == begin) return std::nullopt;
  const std::string suffix(end);
  if (suffix.empty()) return RecordName{shard, false};
  if (suffix == kRequestSuffix) return RecordName{shard, true};
  return std::nullopt;
}

}  // namespace

std::vector<state::BackendServerId> RankOwners(
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
  for (const auto& candidate : OrderByRendezvous(query)) {
    order.push_back(candidate.id);
  }
  return order;
}

ShardOwnership::ShardOwnership(ShardOwnershipOptions options,
                               IdempotencyLedger* ledger, RandomHook random)
    : m_options(std::move(options)),
      m_ledger(ledger),
      m_random(std::move(random)) {}

void ShardOwnership::Configure(
    std::int64_t shards,
    const std::vector<state::BackendServerId>& candidates) {
  const std::lock_guard lock(m_mutex);
  const bool unchanged = static_cast<std::int64_t>(m_shards.size()) == shards &&
                         m_candidates == candidates;
  if (unchanged) return;
  m_candidates = candidates;
  m_shards.erase(m_shards.lower_bound(shards), m_shards.end());
  for (std::int64_t number = 0; number < shards; ++number) {
    m_shards[number].order = RankOwners(m_options.pool, number, candidates);
  }
}

void ShardOwnership::OnSnapshot(const state::KeyValueRangeResult& records,
                                TimePoint now) {
  const std::lock_guard lock(m_mutex);
  std::set<std::string> present;
  for (const state::KeyValueEntry& entry : records.entries) {
    present.insert(entry.key);
    OnRecord(entry.key, &entry, entry.mod_revision, now);
  }
  for (const auto& [number, shard] : m_shards) {
    for (const std::string& key : {OwnerKey(number), RequestKey(number)}) {
      if (present.count(key) > 0) continue;
      OnRecord(key, nullptr, records.revision, now);
    }
  }
  m_synchronised = true;
}

void ShardOwnership::OnEvents(const std::vector<state::KeyValueEvent>& events,
                              TimePoint now) {
  const std::lock_guard lock(m_mutex);
  for (const state::KeyValueEvent& event : events) {
    OnRecord(event.entry.key, event.removed ? nullptr : &event.entry,
             event.entry.mod_revision, now);
  }
}

LeaseAction ShardOwnership::NextLeaseAction(TimePoint now) {
  const std::lock_guard lock(m_mutex);
  if (now < m_next_lease_step) return LeaseAction::kNone;
  if (WantsLease(now)) {
    return m_lease == 0 ? LeaseAction::kGrant : LeaseAction::kRenew;
  }
  // Nothing is bound to the lease; it may lapse.
  m_lease = 0;
  return LeaseAction::kNone;
}

std::int64_t ShardOwnership::Lease() const {
  const std::lock_guard lock(m_mutex);
  return m_lease;
}

std::chrono::seconds ShardOwnership::LeaseTtl() const {
  return std::chrono::ceil<std::chrono::seconds>(m_options.lease_ttl);
}

void ShardOwnership::OnLeaseGranted(std::int64_t lease, TimePoint now) {
  const std::lock_guard lock(m_mutex);
  m_lease = lease;
  m_next_lease_step = After(now, m_options.lease_ttl / kRenewalsPerTtl);
}

void ShardOwnership::OnLeaseRenewed(std::chrono::seconds left, TimePoint now) {
  const std::lock_guard lock(m_mutex);
  m_next_lease_step = After(now, m_options.lease_ttl / kRenewalsPerTtl);
  if (left.count() > 0) return;
  for (auto& [number, shard] : m_shards) {
    if (!Mine(shard)) continue;
    m_ledger->OnShardLost(number);
    shard.releasing_since.reset();
  }
  m_lease = 0;
  m_next_lease_step = now;
}

void ShardOwnership::OnLeaseFailed(TimePoint now) {
  const std::lock_guard lock(m_mutex);
  m_next_lease_step = After(now, kStepRetryWait);
}

std::vector<ShardTransition> ShardOwnership::PlanTransitions(TimePoint now) {
  const std::lock_guard lock(m_mutex);
  std::vector<ShardTransition> steps;
  if (!m_synchronised || m_lease == 0) return steps;
  for (auto& [number, shard] : m_shards) {
    if (now < shard.next_step) continue;
    auto step = PlanStep(number, &shard, now);
    if (!step) continue;
    shard.next_step = After(now, kStepRetryWait);
    steps.push_back(std::move(*step));
  }
  return steps;
}

void ShardOwnership::OnTransitionResult(const ShardTransition& step,
                                        const state::KeyValueTxnResult& result,
                                        TimePoint now) {
  if (!result.succeeded) return;
  const std::lock_guard lock(m_mutex);
  const std::string key = OwnerKey(step.shard);
  if (step.kind == ShardTransition::Kind::kRelease) {
    OnRecord(key, nullptr, result.revision, now);
  }
  if (step.kind != ShardTransition::Kind::kClaim) return;
  const state::KeyValueWrite& write = step.txn.writes.front();
  const state::KeyValueEntry entry{key, write.value, result.revision,
                                   result.revision, write.lease};
  OnRecord(key, &entry, result.revision, now);
}

std::unordered_map<std::int64_t, state::BackendServerId>
ShardOwnership::Owners() const {
  const std::lock_guard lock(m_mutex);
  std::unordered_map<std::int64_t, state::BackendServerId> owners;
  for (const auto& [number, shard] : m_shards) {
    if (shard.owner) owners[number] = shard.owner->server;
  }
  return owners;
}

std::string ShardOwnership::OwnerPrefix() const {
  return "/wasabiwall/owners/" + m_options.pool.value + "/";
}

std::string ShardOwnership::OwnerKey(std::int64_t shard) const {
  return OwnerPrefix() + std::to_string(shard);
}

std::string ShardOwnership::RequestKey(std::int64_t shard) const {
  return OwnerKey(shard) + kRequestSuffix;
}

bool ShardOwnership::Candidate(const Shard& shard) const {
  return std::find(shard.order.begin(), shard.order.end(), m_options.self) !=
         shard.order.end();
}

bool ShardOwnership::Preferred(const Shard& shard) const {
  return !shard.order.empty() && shard.order.front() == m_options.self;
}

bool ShardOwnership::Mine(const Shard& shard) const {
  return m_lease != 0 && shard.owner && shard.owner->server == m_options.self &&
         shard.owner->lease == m_lease;
}

bool ShardOwnership::Requested(const Shard& shard) const {
  return shard.requested_by && *shard.requested_by == m_options.self;
}

bool ShardOwnership::MustRelease(const Shard& shard) const {
  if (!Candidate(shard)) return true;
  return shard.requested_by && *shard.requested_by != m_options.self &&
         *shard.requested_by == shard.order.front();
}

bool ShardOwnership::MayClaim(const Shard& shard, TimePoint now) const {
  if (shard.owner || !Candidate(shard)) return false;
  const bool suspect = now - shard.since < kSuspectTime;
  int rank = 0;
  for (const state::BackendServerId& server : shard.order) {
    if (server == m_options.self) break;
    if (!suspect || server != shard.previous) ++rank;
  }
  return now - shard.since >= kRankDelay * rank;
}

bool ShardOwnership::MayRequest(const Shard& shard, TimePoint now) const {
  return shard.owner && shard.owner->server != m_options.self &&
         Preferred(shard) && !Requested(shard) &&
         now - shard.since >= kRequestDelay;
}

bool ShardOwnership::WantsLease(TimePoint now) const {
  return m_synchronised &&
         std::any_of(m_shards.begin(), m_shards.end(), [&](const auto& item) {
           const Shard& shard = item.second;
           return Mine(shard) || Requested(shard) || MayClaim(shard, now) ||
                  MayRequest(shard, now);
         });
}

std::optional<ShardTransition> ShardOwnership::PlanStep(std::int64_t number,
                                                        Shard* shard,
                                                        TimePoint now) {
  if (Mine(*shard)) return PlanRelease(number, shard, now);
  ShardTransition step{ShardTransition::Kind::kCancelRequest, number, {}};
  const std::string request = RequestKey(number);
  if (Requested(*shard) && !Preferred(*shard)) {
    step.txn.compares.push_back({request, shard->request_revision});
    step.txn.writes.push_back({request, "", 0, true});
    return step;
  }
  if (MayClaim(*shard, now)) return MakeClaim(number, *shard);
  if (!MayRequest(*shard, now)) return std::nullopt;
  step.kind = ShardTransition::Kind::kRequest;
  step.txn.writes.push_back({request, m_options.self.value, m_lease});
  return step;
}

std::optional<ShardTransition> ShardOwnership::PlanRelease(std::int64_t number,
                                                           Shard* shard,
                                                           TimePoint now) {
  const std::string key = OwnerKey(number);
  const std::int64_t revision = shard->owner->create_revision;
  if (!MustRelease(*shard)) {
    if (!shard->releasing_since) return std::nullopt;
    shard->releasing_since.reset();
    m_ledger->OnShardOwned(number, key, revision);
    return std::nullopt;
  }
  if (!shard->releasing_since) {
    shard->releasing_since = now;
    m_ledger->OnShardLost(number);
  }
  const bool idle = m_ledger->Unfinished(number) == 0;
  if (!idle && now - *shard->releasing_since < kMaxReleaseWait) {
    return std::nullopt;
  }
  ShardTransition step{ShardTransition::Kind::kRelease, number, {}};
  step.txn.create_compares.push_back({key, revision});
  step.txn.writes.push_back({key, "", 0, true});
  return step;
}

ShardTransition ShardOwnership::MakeClaim(std::int64_t number,
                                          const Shard& shard) const {
  ShardTransition step{ShardTransition::Kind::kClaim, number, {}};
  const std::string key = OwnerKey(number);
  step.txn.create_compares.push_back({key, 0});
  step.txn.writes.push_back({key, m_options.self.value, m_lease});
  if (Requested(shard)) {
    step.txn.writes.push_back({RequestKey(number), "", 0, true});
  }
  return step;
}

void ShardOwnership::OnRecord(const std::string& key,
                              const state::KeyValueEntry* entry,
                              std::int64_t revision, TimePoint now) {
  const auto name = ParseName(OwnerPrefix(), key);
  if (!name) return;
  const auto found = m_shards.find(name->shard);
  if (found == m_shards.end()) return;
  Shard& shard = found->second;
  std::int64_t& seen =
      name->request ? shard.request_revision : shard.owner_revision;
  if (revision < seen) return;
  seen = revision;
  if (name->request) {
    shard.requested_by.reset();
    if (entry != nullptr) {
      shard.requested_by = state::BackendServerId(entry->value);
    }
    return;
  }
  std::optional<Owner> owner;
  if (entry != nullptr) {
    owner = {state::BackendServerId(entry->value), entry->lease,
             entry->create_revision};
  }
  SetOwner(name->shard, &shard, std::move(owner), now);
}

void ShardOwnership::SetOwner(std::int64_t number, Shard* shard,
                              std::optional<Owner> owner, TimePoint now) {
  const std::int64_t before = shard->owner ? shard->owner->create_revision : 0;
  const std::int64_t after = owner ? owner->create_revision : 0;
  const bool first = shard->since == TimePoint{};
  if (before == after && !first) return;
  if (shard->owner) shard->previous = shard->owner->server;
  shard->owner = std::move(owner);
  shard->since = now;
  shard->next_step = now;
  shard->releasing_since.reset();
  if (Mine(*shard)) {
    m_ledger->OnShardOwned(number, OwnerKey(number), after);
  } else {
    m_ledger->OnShardLost(number);
  }
}

TimePoint ShardOwnership::After(TimePoint now, milliseconds wait) {
  // Up to a fifth earlier, so that processes do not come at the same time.
  const std::int64_t span = std::max<std::int64_t>(1, wait.count() / 5);
  const auto early =
      static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(span));
  return now + wait - milliseconds(early);
}

}  // namespace wasabiwall::coordination
