#include "wasabiwall/coordination/key_ledger.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "wasabiwall/state/digest.h"

namespace wasabiwall::coordination {
namespace {

using protocol::Error;
using protocol::ErrorKind;
using state::KeyValueEntry;
using state::KeyValueFailure;
using state::KeyValueTxnResult;
using Action = LedgerDecision::Action;

constexpr std::size_t kMaxDoneInMemory = 4096;

/// Record of a key as kept in the key-value service.
struct StoredRecord {
  /// Attempt that first asked for the commit.
  std::string intent;
  std::string body_digest;
  bool done = false;
  RecordedOutcome outcome;
};

std::string Encode(const StoredRecord& record) {
  nlohmann::json json = {{"attempt", record.intent},
                         {"digest", record.body_digest},
                         {"done", record.done}};
  if (record.done) {
    const state::AttemptEnd& end = record.outcome.end;
    json["kind"] = end.error_kind;
    json["detail"] = end.detail;
    json["status"] = end.http_status;
    json["type"] = end.content_type;
    const std::string& body = record.outcome.body;
    json["body"] = nlohmann::json::binary(
        std::vector<std::uint8_t>(body.begin(), body.end()));
  }
  const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(json);
  return {bytes.begin(), bytes.end()};
}

std::optional<StoredRecord> Decode(const std::string& text) {
  const nlohmann::json json = nlohmann::json::from_cbor(text, true, false);
  if (!json.is_object()) return std::nullopt;
  StoredRecord record;
  try {
    record.intent = json.at("attempt");
    record.body_digest = json.at("digest");
    record.done = json.at("done");
    if (!record.done) return record;
    state::AttemptEnd& end = record.outcome.end;
    end.error_kind = json.at("kind");
    end.detail = json.at("detail");
    end.http_status = json.at("status");
    end.content_type = json.at("type");
    const auto& bytes = json.at("body").get_binary();
    record.outcome.body.assign(bytes.begin(), bytes.end());
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
  record.outcome.end.total_bytes =
      static_cast<std::int64_t>(record.outcome.body.size());
  record.outcome.end.digest = state::Sha256Hex(record.outcome.body);
  return record;
}

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

void KeyLedger::OnShardOwned(std::int64_t shard, const std::string& owner_key,
                             std::int64_t create_revision) {
  const std::lock_guard lock(m_mutex);
  m_shards[shard] = {owner_key, create_revision};
}

void KeyLedger::OnShardLost(std::int64_t shard) {
  const std::lock_guard lock(m_mutex);
  m_shards.erase(shard);
}

bool KeyLedger::Owns(std::int64_t shard) const {
  const std::lock_guard lock(m_mutex);
  return m_shards.count(shard) > 0;
}

LedgerDecision KeyLedger::Begin(const KeyedCall& call) {
  const std::lock_guard lock(m_mutex);
  if (m_shards.count(call.shard) == 0) {
    return Refuse(call.attempt, ErrorKind::kNotOwner);
  }
  const std::string key = LedgerKey(call);
  const auto [entry, inserted] = m_records.try_emplace(key);
  Record& record = entry->second;
  if (inserted) {
    record.call = call;
    record.intent = call.attempt.value;
    m_key_by_attempt[call.attempt] = key;
    m_intent_queue.push_back(key);
    return Decide(call.attempt, Action::kCommit);
  }
  if (record.call.body_digest != call.body_digest) {
    return Refuse(call.attempt, ErrorKind::kKeyReused);
  }
  if (record.phase == Phase::kAbandoned) {
    // The intent stays the first one, so that a late effect of the first
    // transaction is recognised as this process's own.
    record.phase = Phase::kQueued;
    m_key_by_attempt.erase(record.call.attempt);
    record.call.attempt = call.attempt;
    m_key_by_attempt[call.attempt] = key;
    m_intent_queue.push_back(key);
    return Decide(call.attempt, Action::kCommit);
  }
  const bool answered = record.phase == Phase::kOutcomeQueued ||
                        record.phase == Phase::kOutcomeCommitting ||
                        record.phase == Phase::kDone;
  if (answered) return Replay(call.attempt, record.outcome);
  LedgerDecision decision = Decide(call.attempt, Action::kJoin);
  decision.join = record.call.attempt;
  return decision;
}

std::optional<LedgerBatch> KeyLedger::TakeBatch(std::size_t max_keys) {
  const std::lock_guard lock(m_mutex);
  const std::vector<std::string> intents =
      TakeQueued(Phase::kQueued, Phase::kCommitting, max_keys);
  if (!intents.empty()) return BuildIntentBatch(intents);
  const std::vector<std::string> outcomes =
      TakeQueued(Phase::kOutcomeQueued, Phase::kOutcomeCommitting, max_keys);
  if (!outcomes.empty()) return BuildOutcomeBatch(outcomes);
  return std::nullopt;
}

std::vector<LedgerDecision> KeyLedger::OnBatchResult(
    const LedgerBatch& batch,
    const state::KeyValueResult<KeyValueTxnResult>& result) {
  const std::lock_guard lock(m_mutex);
  if (!batch.outcomes) return OnIntentResult(batch, result);
  OnOutcomeResult(batch, result);
  return {};
}

void KeyLedger::OnOutcome(const state::AttemptId& attempt,
                          const RecordedOutcome& outcome) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_key_by_attempt.find(attempt);
  if (found == m_key_by_attempt.end()) return;
  Record& record = m_records.at(found->second);
  if (record.phase != Phase::kRunning) return;
  record.outcome = outcome;
  record.phase = Phase::kOutcomeQueued;
  m_outcome_queue.push_back(found->second);
}

bool KeyLedger::HasWork() const {
  const std::lock_guard lock(m_mutex);
  return !m_intent_queue.empty() || !m_outcome_queue.empty();
}

std::size_t KeyLedger::Size() const {
  const std::lock_guard lock(m_mutex);
  return m_records.size();
}

std::vector<std::string> KeyLedger::TakeQueued(Phase phase, Phase next,
                                               std::size_t max_keys) {
  std::vector<std::string>& queue =
      phase == Phase::kQueued ? m_intent_queue : m_outcome_queue;
  const std::size_t count = std::min(max_keys, queue.size());
  std::vector<std::string> taken(
      queue.begin(), queue.begin() + static_cast<std::ptrdiff_t>(count));
  queue.erase(queue.begin(),
              queue.begin() + static_cast<std::ptrdiff_t>(count));
  for (const std::string& key : taken) m_records.at(key).phase = next;
  return taken;
}

LedgerBatch KeyLedger::BuildIntentBatch(const std::vector<std::string>& keys) {
  LedgerBatch batch;
  batch.keys = keys;
  std::map<std::int64_t, Shard> shards;
  for (const std::string& key : keys) {
    const Record& record = m_records.at(key);
    // A shard lost since the call arrived compares with a revision that no
    // record can have.
    const auto owned = m_shards.find(record.call.shard);
    const Shard shard = owned != m_shards.end()
                            ? owned->second
                            : Shard{"/wasabiwall/owners/lost", -1};
    shards[record.call.shard] = shard;
    batch.txn.create_compares.push_back({key, 0});
    batch.txn.writes.push_back(
        {key, Encode({record.intent, record.call.body_digest})});
    batch.txn.reads_on_failure.push_back(key);
  }
  for (const auto& [number, shard] : shards) {
    batch.txn.create_compares.push_back(
        {shard.owner_key, shard.create_revision});
    batch.txn.reads_on_failure.push_back(shard.owner_key);
  }
  return batch;
}

LedgerBatch KeyLedger::BuildOutcomeBatch(const std::vector<std::string>& keys) {
  LedgerBatch batch;
  batch.keys = keys;
  batch.outcomes = true;
  for (const std::string& key : keys) {
    const Record& record = m_records.at(key);
    batch.txn.compares.push_back({key, record.mod_revision});
    batch.txn.writes.push_back(
        {key, Encode({record.intent, record.call.body_digest, true,
                      record.outcome})});
    batch.txn.reads_on_failure.push_back(key);
  }
  return batch;
}

std::vector<LedgerDecision> KeyLedger::OnIntentResult(
    const LedgerBatch& batch,
    const state::KeyValueResult<KeyValueTxnResult>& result) {
  std::vector<LedgerDecision> decisions;
  if (!result) {
    for (const std::string& key : batch.keys) {
      Record& record = m_records.at(key);
      record.phase = Phase::kAbandoned;
      decisions.push_back(
          Refuse(record.call.attempt, ErrorKind::kStoreUnavailable));
    }
    return decisions;
  }
  if (result->succeeded) {
    for (const std::string& key : batch.keys) {
      Record& record = m_records.at(key);
      record.phase = Phase::kRunning;
      record.mod_revision = result->revision;
      decisions.push_back(Decide(record.call.attempt, Action::kRun));
    }
    return decisions;
  }
  std::map<std::string, KeyValueEntry> entries;
  for (const KeyValueEntry& entry : result->entries) entries[entry.key] = entry;
  for (const std::string& key : batch.keys) {
    Record& record = m_records.at(key);
    const auto owned = m_shards.find(record.call.shard);
    const auto owner = owned == m_shards.end()
                           ? entries.end()
                           : entries.find(owned->second.owner_key);
    const bool owner_changed =
        owner == entries.end() ||
        owner->second.create_revision != owned->second.create_revision;
    const LedgerDecision decision =
        DecideFailedIntent(key, &record, entries, owner_changed);
    if (decision.action != Action::kCommit) decisions.push_back(decision);
    const bool forget = decision.action == Action::kRefuse;
    if (!forget) continue;
    m_key_by_attempt.erase(record.call.attempt);
    m_records.erase(key);
  }
  return decisions;
}

LedgerDecision KeyLedger::DecideFailedIntent(
    const std::string& key, Record* record,
    const std::map<std::string, KeyValueEntry>& entries, bool owner_changed) {
  const state::AttemptId attempt = record->call.attempt;
  const auto found = entries.find(key);
  if (found == entries.end()) {
    if (owner_changed) {
      m_shards.erase(record->call.shard);
      return Refuse(attempt, ErrorKind::kNotOwner);
    }
    // Another key of the batch failed; this one is tried again.
    record->phase = Phase::kQueued;
    m_intent_queue.push_back(key);
    return Decide(attempt, Action::kCommit);
  }
  const std::optional<StoredRecord> stored = Decode(found->second.value);
  if (!stored) return Refuse(attempt, ErrorKind::kOutcomeUnknown);
  if (stored->body_digest != record->call.body_digest) {
    return Refuse(attempt, ErrorKind::kKeyReused);
  }
  if (stored->done) {
    record->phase = Phase::kDone;
    record->outcome = stored->outcome;
    return Replay(attempt, stored->outcome);
  }
  if (stored->intent != record->intent) {
    return Refuse(attempt, ErrorKind::kOutcomeUnknown);
  }
  // An earlier transaction of this process took effect without an answer.
  record->phase = Phase::kRunning;
  record->mod_revision = found->second.mod_revision;
  return Decide(attempt, Action::kRun);
}

void KeyLedger::OnOutcomeResult(
    const LedgerBatch& batch,
    const state::KeyValueResult<KeyValueTxnResult>& result) {
  for (const std::string& key : batch.keys) {
    Record& record = m_records.at(key);
    if (!result) {
      record.phase = Phase::kOutcomeQueued;
      m_outcome_queue.push_back(key);
      continue;
    }
    record.phase = Phase::kDone;
    m_done_order.push_back(key);
  }
  if (result && !result->succeeded && batch.keys.size() > 1) {
    // One changed record must not keep the others from being recorded.
    for (const std::string& key : batch.keys) {
      m_records.at(key).phase = Phase::kOutcomeQueued;
      m_outcome_queue.push_back(key);
    }
  }
  Forget();
}

void KeyLedger::Forget() {
  while (m_done_order.size() > kMaxDoneInMemory) {
    const auto found = m_records.find(m_done_order.front());
    m_done_order.erase(m_done_order.begin());
    if (found == m_records.end() || found->second.phase != Phase::kDone)
      continue;
    m_key_by_attempt.erase(found->second.call.attempt);
    m_records.erase(found);
  }
}

}  // namespace wasabiwall::coordination
