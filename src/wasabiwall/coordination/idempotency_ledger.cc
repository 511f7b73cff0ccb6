#include "wasabiwall/coordination/idempotency_ledger.h"

#include <algorithm>
#include <utility>

#include "wasabiwall/state/digest.h"

namespace wasabiwall::coordination {
namespace {

using protocol::Error;
using protocol::ErrorKind;
using state::KeyValueEntry;
using state::KeyValueFailure;
using state::KeyValueTxnResult;
using Action = LedgerDecision::Action;

/// Total size of the answers in one transaction; base64 adds a third to it.
constexpr std::size_t kMaxBatchBytes = 512 << 10;
/// Commits without a result after which an intent is abandoned.
constexpr int kMaxFailedCommits = 2;
/// Revision that no record can have.
constexpr std::int64_t kNeverRevision = -1;

LedgerDecision Refuse(const state::AttemptId& attempt, ErrorKind kind) {
  LedgerDecision decision;
  decision.attempt = attempt;
  decision.action = Action::kRefuse;
  decision.error = Error{kind, "", {}};
  return decision;
}

LedgerDecision Replay(const state::AttemptId& attempt,
                      const RecordedOutcome& outcome) {
  LedgerDecision decision;
  decision.attempt = attempt;
  decision.action = Action::kReplay;
  decision.outcome = outcome;
  return decision;
}

LedgerDecision Decide(const state::AttemptId& attempt, Action action) {
  LedgerDecision decision;
  decision.attempt = attempt;
  decision.action = action;
  return decision;
}

std::map<std::string, KeyValueEntry> ByKey(const KeyValueTxnResult& result) {
  std::map<std::string, KeyValueEntry> entries;
  for (const KeyValueEntry& entry : result.entries) entries[entry.key] = entry;
  return entries;
}

const KeyValueEntry* Find(const std::map<std::string, KeyValueEntry>& entries,
                          const std::string& key) {
  const auto found = entries.find(key);
  return found == entries.end() ? nullptr : &found->second;
}

}  // namespace

std::string LedgerKey(const KeyedCall& call) {
  return "/wasabiwall/keys/" + call.pool.value + "/" +
         std::to_string(call.shard) + "/" + call.workspace.value + "/" +
         state::Sha256Hex(call.key);
}

std::int64_t ShardOf(const state::WorkspaceId& workspace,
                     const std::string& key, std::int64_t shards) {
  const std::uint64_t hash =
      state::FastHash(key, state::FastHash(workspace.value));
  return static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(shards));
}

IdempotencyLedger::IdempotencyLedger(std::string process,
                                     IdempotencyLedgerOptions options)
    : m_process(std::move(process)), m_options(options) {}

void IdempotencyLedger::OnShardOwned(std::int64_t shard,
                                     const std::string& owner_key,
                                     std::int64_t create_revision) {
  const std::lock_guard lock(m_mutex);
  m_shards[shard] = {owner_key, create_revision};
}

void IdempotencyLedger::OnShardLost(std::int64_t shard) {
  const std::lock_guard lock(m_mutex);
  m_shards.erase(shard);
}

bool IdempotencyLedger::OwnsShard(std::int64_t shard) const {
  const std::lock_guard lock(m_mutex);
  return m_shards.count(shard) > 0;
}

LedgerDecision IdempotencyLedger::Begin(const KeyedCall& call) {
  const std::lock_guard lock(m_mutex);
  if (m_shards.count(call.shard) == 0) {
    return Refuse(call.attempt, ErrorKind::kNotOwner);
  }
  const std::string key = LedgerKey(call);
  const auto known = m_records.find(key);
  if (known == m_records.end()) {
    if (m_records.size() >= m_options.max_keys) {
      return Refuse(call.attempt, ErrorKind::kStoreUnavailable);
    }
    Record& record = m_records[key];
    record.call = call;
    record.first_number = m_last_number + 1;
    QueueIntent(key, &record);
    return Decide(call.attempt, Action::kAwaitCommit);
  }
  Record& record = known->second;
  if (record.phase == Phase::kWithdrawing) {
    return Refuse(call.attempt, ErrorKind::kStoreUnavailable);
  }
  if (record.phase == Phase::kAbandoned) {
    m_abandoned.erase(key);
    record.call = call;
    QueueIntent(key, &record);
    return Decide(call.attempt, Action::kAwaitCommit);
  }
  if (record.call.body_digest != call.body_digest) {
    return Refuse(call.attempt, ErrorKind::kKeyReused);
  }
  const bool has_outcome = record.phase == Phase::kOutcomeQueued ||
                           record.phase == Phase::kOutcomeCommitting ||
                           record.phase == Phase::kDone;
  if (has_outcome) return Replay(call.attempt, record.outcome);
  LedgerDecision decision = Decide(call.attempt, Action::kJoin);
  decision.joined_attempt = record.call.attempt;
  return decision;
}

std::optional<LedgerBatch> IdempotencyLedger::TakeBatch(std::size_t max_keys) {
  const std::lock_guard lock(m_mutex);
  const bool outcomes =
      !m_outcome_queue.empty() && (m_outcomes_next || m_intent_queue.empty());
  m_outcomes_next = !outcomes;
  if (outcomes) {
    return BuildOutcomeBatch(
        TakeQueued(&m_outcome_queue, Phase::kOutcomeCommitting, max_keys));
  }
  if (!m_intent_queue.empty()) {
    return BuildIntentBatch(
        TakeQueued(&m_intent_queue, Phase::kIntentCommitting, max_keys));
  }
  if (m_abandoned.empty()) return std::nullopt;
  return BuildWithdrawalBatch(TakeAbandoned(max_keys));
}

std::vector<LedgerDecision> IdempotencyLedger::OnBatchResult(
    const LedgerBatch& batch, const TxnResult& result) {
  const std::lock_guard lock(m_mutex);
  switch (batch.kind) {
    case LedgerBatch::Kind::kIntents:
      return OnIntentResult(batch, result);
    case LedgerBatch::Kind::kOutcomes:
      OnOutcomeResult(batch, result);
      return {};
    case LedgerBatch::Kind::kWithdrawals:
      OnWithdrawalResult(batch, result);
      return {};
  }
  return {};
}

void IdempotencyLedger::OnOutcome(const state::AttemptId& attempt,
                                  const RecordedOutcome& outcome) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_key_by_attempt.find(attempt);
  if (found == m_key_by_attempt.end()) return;
  Record& record = m_records.at(found->second);
  if (record.phase != Phase::kRunning) return;
  const auto kind = protocol::ParseErrorKind(outcome.end.error_kind);
  if (kind && protocol::RowOf(*kind).not_run) {
    // The call has not run, so that a repeat may run.
    Abandon(std::string(found->second), *kind);
    return;
  }
  record.outcome = LimitOutcomeSize(outcome);
  record.phase = Phase::kOutcomeQueued;
  m_outcome_queue.push_back(found->second);
}

bool IdempotencyLedger::HasWork() const {
  const std::lock_guard lock(m_mutex);
  return !m_intent_queue.empty() || !m_outcome_queue.empty() ||
         !m_abandoned.empty();
}

std::size_t IdempotencyLedger::UnfinishedCalls(std::int64_t shard) const {
  const std::lock_guard lock(m_mutex);
  return static_cast<std::size_t>(std::count_if(
      m_records.begin(), m_records.end(), [shard](const auto& item) {
        const Record& record = item.second;
        const bool settled = record.phase == Phase::kDone ||
                             record.phase == Phase::kAbandoned ||
                             record.phase == Phase::kWithdrawing;
        return record.call.shard == shard && !settled;
      }));
}

std::size_t IdempotencyLedger::Size() const {
  const std::lock_guard lock(m_mutex);
  return m_records.size();
}

void IdempotencyLedger::QueueIntent(const std::string& key, Record* record) {
  record->intent = {m_process, ++m_last_number};
  record->phase = Phase::kIntentQueued;
  record->in_doubt = false;
  record->failed_commits = 0;
  m_key_by_attempt[record->call.attempt] = key;
  m_intent_queue.push_back(key);
}

std::vector<std::string> IdempotencyLedger::TakeQueued(
    std::deque<std::string>* queue, Phase next, std::size_t max_keys) {
  std::vector<std::string> taken;
  std::size_t bytes = 0;
  while (!queue->empty() && taken.size() < max_keys) {
    Record& record = m_records.at(queue->front());
    bytes += record.outcome.body.size();
    if (!taken.empty() && bytes > kMaxBatchBytes) break;
    record.phase = next;
    taken.push_back(std::move(queue->front()));
    queue->pop_front();
  }
  return taken;
}

std::vector<std::string> IdempotencyLedger::TakeAbandoned(
    std::size_t max_keys) {
  std::vector<std::string> taken;
  while (!m_abandoned.empty() && taken.size() < max_keys) {
    taken.push_back(*m_abandoned.begin());
    m_abandoned.erase(m_abandoned.begin());
    m_records.at(taken.back()).phase = Phase::kWithdrawing;
  }
  return taken;
}

void IdempotencyLedger::AddRecord(const std::string& key,
                                  IdempotencyRecord::State state,
                                  LedgerBatch* batch) const {
  const Record& record = m_records.at(key);
  batch->keys.push_back(key);
  batch->txn.compares.push_back({key, record.mod_revision});
  batch->txn.writes.push_back(
      {key, EncodeIdempotencyRecord({record.intent, record.call.body_digest,
                                     state, record.outcome})});
  batch->txn.reads_on_failure.push_back(key);
}

LedgerBatch IdempotencyLedger::BuildIntentBatch(
    const std::vector<std::string>& keys) {
  LedgerBatch batch;
  for (const std::string& key : keys) {
    AddRecord(key, IdempotencyRecord::State::kIntent, &batch);
    const std::int64_t shard = m_records.at(key).call.shard;
    const auto owned = m_shards.find(shard);
    // For a shard lost since the call arrived, compare with a revision that no
    // record can have, so that the transaction fails.
    batch.shards[shard] =
        owned != m_shards.end()
            ? owned->second
            : OwnedShard{"/wasabiwall/owners/lost", kNeverRevision};
  }
  for (const auto& [number, shard] : batch.shards) {
    batch.txn.create_compares.push_back(
        {shard.owner_key, shard.create_revision});
    batch.txn.reads_on_failure.push_back(shard.owner_key);
  }
  return batch;
}

LedgerBatch IdempotencyLedger::BuildOutcomeBatch(
    const std::vector<std::string>& keys) {
  LedgerBatch batch;
  batch.kind = LedgerBatch::Kind::kOutcomes;
  for (const std::string& key : keys) {
    AddRecord(key, IdempotencyRecord::State::kDone, &batch);
  }
  return batch;
}

LedgerBatch IdempotencyLedger::BuildWithdrawalBatch(
    const std::vector<std::string>& keys) {
  LedgerBatch batch;
  batch.kind = LedgerBatch::Kind::kWithdrawals;
  for (const std::string& key : keys) {
    AddRecord(key, IdempotencyRecord::State::kWithdrawn, &batch);
  }
  return batch;
}

std::vector<LedgerDecision> IdempotencyLedger::OnIntentResult(
    const LedgerBatch& batch, const TxnResult& result) {
  std::vector<LedgerDecision> decisions;
  const Entries entries = result ? ByKey(*result) : Entries{};
  for (const std::string& key : batch.keys) {
    std::optional<LedgerDecision> decision;
    if (!result) {
      decision = OnIntentWithoutResult(key, result.error());
    } else if (result->succeeded) {
      decision = Run(&m_records.at(key), result->revision);
    } else {
      decision = OnIntentConflict(key, batch, entries);
    }
    if (decision) decisions.push_back(std::move(*decision));
  }
  return decisions;
}

std::optional<LedgerDecision> IdempotencyLedger::OnIntentWithoutResult(
    const std::string& key, state::KeyValueFailure failure) {
  Record& record = m_records.at(key);
  if (failure == KeyValueFailure::kUnknown) record.in_doubt = true;
  const bool may_be_stored =
      record.in_doubt || record.intent.number != record.first_number;
  if (!may_be_stored) return Drop(key, ErrorKind::kStoreUnavailable);
  ++record.failed_commits;
  if (record.failed_commits >= kMaxFailedCommits) {
    return Abandon(key, ErrorKind::kStoreUnavailable);
  }
  // Repeating the same intent shows whether the first commit was applied.
  record.phase = Phase::kIntentQueued;
  m_intent_queue.push_back(key);
  return std::nullopt;
}

std::optional<LedgerDecision> IdempotencyLedger::OnIntentConflict(
    const std::string& key, const LedgerBatch& batch, const Entries& entries) {
  Record& record = m_records.at(key);
  const KeyValueEntry* entry = Find(entries, key);
  if (entry == nullptr) {
    record.mod_revision = 0;
    return RetryIntent(key, batch, entries);
  }
  const std::optional<IdempotencyRecord> stored =
      DecodeIdempotencyRecord(entry->value);
  if (!stored) return Drop(key, ErrorKind::kOutcomeUnknown);
  const bool intent = stored->state == IdempotencyRecord::State::kIntent;
  if (intent && stored->intent == record.intent) {
    // An earlier commit was applied although its result was lost.
    return Run(&record, entry->mod_revision);
  }
  if (stored->state == IdempotencyRecord::State::kWithdrawn ||
      IsOwnUnrunIntent(record, *stored)) {
    record.mod_revision = entry->mod_revision;
    return RetryIntent(key, batch, entries);
  }
  if (stored->body_digest != record.call.body_digest) {
    return Drop(key, ErrorKind::kKeyReused);
  }
  if (intent) return Drop(key, ErrorKind::kOutcomeUnknown);
  record.outcome = stored->outcome;
  LedgerDecision decision = Replay(record.call.attempt, record.outcome);
  OnDone(key, &record);
  return decision;
}

std::optional<LedgerDecision> IdempotencyLedger::RetryIntent(
    const std::string& key, const LedgerBatch& batch, const Entries& entries) {
  Record& record = m_records.at(key);
  const std::int64_t shard = record.call.shard;
  const OwnedShard& compared = batch.shards.at(shard);
  const auto owned = m_shards.find(shard);
  const bool owned_again =
      owned != m_shards.end() &&
      owned->second.create_revision != compared.create_revision;
  const KeyValueEntry* owner = Find(entries, compared.owner_key);
  const bool owner_unchanged =
      owner != nullptr && owner->create_revision == compared.create_revision;
  if (owned_again || owner_unchanged) {
    record.phase = Phase::kIntentQueued;
    m_intent_queue.push_back(key);
    return std::nullopt;
  }
  m_shards.erase(shard);
  // The fencing token keeps every transaction in flight from being applied, but
  // an earlier intent of this process may be in the store.
  if (record.mod_revision != 0) return Abandon(key, ErrorKind::kNotOwner);
  return Drop(key, ErrorKind::kNotOwner);
}

void IdempotencyLedger::OnOutcomeResult(const LedgerBatch& batch,
                                        const TxnResult& result) {
  const Entries entries = result ? ByKey(*result) : Entries{};
  for (const std::string& key : batch.keys) {
    Record& record = m_records.at(key);
    const KeyValueEntry* entry = Find(entries, key);
    // A changed record already holds the outcome, from a transaction whose
    // result was lost; only unchanged records are written again.
    const bool unchanged =
        entry != nullptr && entry->mod_revision == record.mod_revision;
    if (result && (result->succeeded || !unchanged)) {
      OnDone(key, &record);
      continue;
    }
    record.phase = Phase::kOutcomeQueued;
    m_outcome_queue.push_back(key);
  }
}

void IdempotencyLedger::OnWithdrawalResult(const LedgerBatch& batch,
                                           const TxnResult& result) {
  const Entries entries = result ? ByKey(*result) : Entries{};
  for (const std::string& key : batch.keys) {
    Record& record = m_records.at(key);
    const bool withdrawn =
        result &&
        (result->succeeded || !WithdrawalNeeded(&record, Find(entries, key)));
    if (withdrawn) {
      Erase(key);
      continue;
    }
    record.phase = Phase::kAbandoned;
    m_abandoned.insert(key);
  }
}

bool IdempotencyLedger::WithdrawalNeeded(Record* record,
                                         const KeyValueEntry* entry) {
  if (entry == nullptr) {
    record->mod_revision = 0;
    return true;
  }
  if (entry->mod_revision == record->mod_revision) return true;
  const std::optional<IdempotencyRecord> stored =
      DecodeIdempotencyRecord(entry->value);
  if (!stored || !IsOwnUnrunIntent(*record, *stored)) return false;
  record->mod_revision = entry->mod_revision;
  return true;
}

bool IdempotencyLedger::IsOwnUnrunIntent(
    const Record& record, const IdempotencyRecord& stored) const {
  return stored.state == IdempotencyRecord::State::kIntent &&
         stored.intent.process == m_process &&
         stored.intent.number >= record.first_number;
}

LedgerDecision IdempotencyLedger::Run(Record* record,
                                      std::int64_t mod_revision) {
  record->phase = Phase::kRunning;
  record->mod_revision = mod_revision;
  return Decide(record->call.attempt, Action::kRun);
}

LedgerDecision IdempotencyLedger::Abandon(const std::string& key,
                                          ErrorKind kind) {
  Record& record = m_records.at(key);
  record.phase = Phase::kAbandoned;
  m_key_by_attempt.erase(record.call.attempt);
  m_abandoned.insert(key);
  return Refuse(record.call.attempt, kind);
}

LedgerDecision IdempotencyLedger::Drop(const std::string& key, ErrorKind kind) {
  LedgerDecision decision = Refuse(m_records.at(key).call.attempt, kind);
  Erase(key);
  return decision;
}

void IdempotencyLedger::Erase(const std::string& key) {
  const auto found = m_records.find(key);
  m_key_by_attempt.erase(found->second.call.attempt);
  m_records.erase(found);
}

void IdempotencyLedger::OnDone(const std::string& key, Record* record) {
  record->phase = Phase::kDone;
  m_done_order.push_back(key);
  m_done_bytes += record->outcome.body.size();
  while (m_done_order.size() > m_options.max_done ||
         m_done_bytes > m_options.max_done_bytes) {
    const std::string oldest = std::move(m_done_order.front());
    m_done_order.pop_front();
    m_done_bytes -= m_records.at(oldest).outcome.body.size();
    Erase(oldest);
  }
}

}  // namespace wasabiwall::coordination
