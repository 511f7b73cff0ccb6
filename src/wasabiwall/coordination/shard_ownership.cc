#include "wasabiwall/coordination/shard_ownership.h"

#include <algorithm>
#include <set>
#include <utility>

#include "wasabiwall/coordination/router.h"

namespace wasabiwall::coordination {
namespace {

using std::chrono::milliseconds;

/// Delay before a claim for each better ranked candidate.
constexpr milliseconds kRankDelay{1500};
/// How long the previous owner is left out of the ranking after its record was
/// removed.
constexpr milliseconds kSuspectTimeout{10000};
/// How long the preferred owner waits before it requests a shard from another
/// owner.
constexpr milliseconds kRequestDelay{5000};
/// Longest wait for unfinished calls before a shard is released.
constexpr milliseconds kMaxReleaseDelay{2000};
constexpr milliseconds kRetryInterval{500};
/// Renewals within one lease lifetime.
constexpr int kRenewalsPerTtl = 3;
constexpr char kRequestSuffix[] = "/request";

/// Parsed key of an owner record or of a request for ownership.
struct OwnerRecordKey {
  std::int64_t shard = 0;
  bool is_request = false;
};

std::optional<OwnerRecordKey> ParseOwnerKey(const std::string& prefix,
                                            const std::string& key) {
  if (key.compare(0, prefix.size(), prefix) != 0) return std::nullopt;
  char* end = nullptr;
  const char* begin = key.c_str() + prefix.size();
  const std::int64_t shard = std::strtoll(begin, &end, 10);
  if (end == begin) return std::nullopt;
  const std::string suffix(end);
  if (suffix.empty()) return OwnerRecordKey{shard, false};
  if (suffix == kRequestSuffix) return OwnerRecordKey{shard, true};
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
  m_has_snapshot = true;
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
  if (now < m_next_lease_action) return LeaseAction::kNone;
  if (NeedsLease(now)) {
    return m_lease == 0 ? LeaseAction::kGrant : LeaseAction::kRenew;
  }
  // No record is bound to the lease, so that it may lapse.
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
  m_next_lease_action =
      JitteredDeadline(now, m_options.lease_ttl / kRenewalsPerTtl);
}

void ShardOwnership::OnLeaseRenewed(std::chrono::seconds left, TimePoint now) {
  const std::lock_guard lock(m_mutex);
  m_next_lease_action =
      JitteredDeadline(now, m_options.lease_ttl / kRenewalsPerTtl);
  if (left.count() > 0) return;
  for (auto& [number, shard] : m_shards) {
    if (!IsOwner(shard)) continue;
    m_ledger->OnShardLost(number);
    shard.releasing_since.reset();
  }
  m_lease = 0;
  m_next_lease_action = now;
}

void ShardOwnership::OnLeaseFailed(TimePoint now) {
  const std::lock_guard lock(m_mutex);
  m_next_lease_action = JitteredDeadline(now, kRetryInterval);
}

std::vector<ShardTransition> ShardOwnership::PlanTransitions(TimePoint now) {
  const std::lock_guard lock(m_mutex);
  std::vector<ShardTransition> transitions;
  if (!m_has_snapshot || m_lease == 0) return transitions;
  for (auto& [number, shard] : m_shards) {
    if (now < shard.next_attempt_time) continue;
    auto transition = PlanTransition(number, &shard, now);
    if (!transition) continue;
    shard.next_attempt_time = JitteredDeadline(now, kRetryInterval);
    transitions.push_back(std::move(*transition));
  }
  return transitions;
}

void ShardOwnership::OnTransitionResult(const ShardTransition& transition,
                                        const state::KeyValueTxnResult& result,
                                        TimePoint now) {
  if (!result.succeeded) return;
  const std::lock_guard lock(m_mutex);
  const std::string key = OwnerKey(transition.shard);
  if (transition.kind == ShardTransition::Kind::kRelease) {
    OnRecord(key, nullptr, result.revision, now);
  }
  if (transition.kind != ShardTransition::Kind::kClaim) return;
  const state::KeyValueWrite& write = transition.txn.writes.front();
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

bool ShardOwnership::IsCandidate(const Shard& shard) const {
  return std::find(shard.order.begin(), shard.order.end(), m_options.self) !=
         shard.order.end();
}

bool ShardOwnership::IsPreferred(const Shard& shard) const {
  return !shard.order.empty() && shard.order.front() == m_options.self;
}

bool ShardOwnership::IsOwner(const Shard& shard) const {
  return m_lease != 0 && shard.owner && shard.owner->server == m_options.self &&
         shard.owner->lease == m_lease;
}

bool ShardOwnership::HasRequested(const Shard& shard) const {
  return shard.requested_by && *shard.requested_by == m_options.self;
}

bool ShardOwnership::MustRelease(const Shard& shard) const {
  if (!IsCandidate(shard)) return true;
  return shard.requested_by && *shard.requested_by != m_options.self &&
         *shard.requested_by == shard.order.front();
}

bool ShardOwnership::MayClaim(const Shard& shard, TimePoint now) const {
  if (shard.owner || !IsCandidate(shard)) return false;
  const bool suspect = now - shard.owner_since < kSuspectTimeout;
  int rank = 0;
  for (const state::BackendServerId& server : shard.order) {
    if (server == m_options.self) break;
    if (!suspect || server != shard.previous) ++rank;
  }
  return now - shard.owner_since >= kRankDelay * rank;
}

bool ShardOwnership::MayRequest(const Shard& shard, TimePoint now) const {
  return shard.owner && shard.owner->server != m_options.self &&
         IsPreferred(shard) && !HasRequested(shard) &&
         now - shard.owner_since >= kRequestDelay;
}

bool ShardOwnership::NeedsLease(TimePoint now) const {
  return m_has_snapshot &&
         std::any_of(m_shards.begin(), m_shards.end(), [&](const auto& item) {
           const Shard& shard = item.second;
           return IsOwner(shard) || HasRequested(shard) ||
                  MayClaim(shard, now) || MayRequest(shard, now);
         });
}

std::optional<ShardTransition> ShardOwnership::PlanTransition(
    std::int64_t number, Shard* shard, TimePoint now) {
  if (IsOwner(*shard)) return PlanRelease(number, shard, now);
  ShardTransition transition{ShardTransition::Kind::kCancelRequest, number, {}};
  const std::string request = RequestKey(number);
  if (HasRequested(*shard) && !IsPreferred(*shard)) {
    transition.txn.compares.push_back({request, shard->request_revision});
    transition.txn.writes.push_back({request, "", 0, true});
    return transition;
  }
  if (MayClaim(*shard, now)) return MakeClaim(number, *shard);
  if (!MayRequest(*shard, now)) return std::nullopt;
  transition.kind = ShardTransition::Kind::kRequest;
  transition.txn.writes.push_back({request, m_options.self.value, m_lease});
  return transition;
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
  const bool idle = m_ledger->UnfinishedCalls(number) == 0;
  if (!idle && now - *shard->releasing_since < kMaxReleaseDelay) {
    return std::nullopt;
  }
  ShardTransition transition{ShardTransition::Kind::kRelease, number, {}};
  transition.txn.create_compares.push_back({key, revision});
  transition.txn.writes.push_back({key, "", 0, true});
  return transition;
}

ShardTransition ShardOwnership::MakeClaim(std::int64_t number,
                                          const Shard& shard) const {
  ShardTransition transition{ShardTransition::Kind::kClaim, number, {}};
  const std::string key = OwnerKey(number);
  transition.txn.create_compares.push_back({key, 0});
  transition.txn.writes.push_back({key, m_options.self.value, m_lease});
  if (HasRequested(shard)) {
    transition.txn.writes.push_back({RequestKey(number), "", 0, true});
  }
  return transition;
}

void ShardOwnership::OnRecord(const std::string& key,
                              const state::KeyValueEntry* entry,
                              std::int64_t revision, TimePoint now) {
  const auto parsed = ParseOwnerKey(OwnerPrefix(), key);
  if (!parsed) return;
  const auto found = m_shards.find(parsed->shard);
  if (found == m_shards.end()) return;
  Shard& shard = found->second;
  std::int64_t& seen =
      parsed->is_request ? shard.request_revision : shard.owner_revision;
  if (revision < seen) return;
  seen = revision;
  if (parsed->is_request) {
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
  SetOwner(parsed->shard, &shard, std::move(owner), now);
}

void ShardOwnership::SetOwner(std::int64_t number, Shard* shard,
                              std::optional<Owner> owner, TimePoint now) {
  const std::int64_t before = shard->owner ? shard->owner->create_revision : 0;
  const std::int64_t after = owner ? owner->create_revision : 0;
  const bool first = shard->owner_since == TimePoint{};
  if (before == after && !first) return;
  if (shard->owner) shard->previous = shard->owner->server;
  shard->owner = std::move(owner);
  shard->owner_since = now;
  shard->next_attempt_time = now;
  shard->releasing_since.reset();
  if (IsOwner(*shard)) {
    m_ledger->OnShardOwned(number, OwnerKey(number), after);
  } else {
    m_ledger->OnShardLost(number);
  }
}

TimePoint ShardOwnership::JitteredDeadline(TimePoint now, milliseconds wait) {
  // Up to a fifth earlier, so that processes don't act at the same time.
  const std::int64_t span = std::max<std::int64_t>(1, wait.count() / 5);
  const auto early =
      static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(span));
  return now + wait - milliseconds(early);
}

}  // namespace wasabiwall::coordination
