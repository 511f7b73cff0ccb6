#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "wasabiwall/coordination/idempotency_record.h"
#include "wasabiwall/protocol/error_kind.h"
#include "wasabiwall/state/attempt.h"
#include "wasabiwall/state/key_value.h"
#include "wasabiwall/state/strong_id.h"

namespace wasabiwall::coordination {

/// A call with an idempotency key.
struct KeyedCall {
  state::PoolId pool;
  std::int64_t shard = 0;
  /// Workspace and idempotency key.
  state::WorkspaceId workspace;
  std::string key;
  std::string body_digest;
  state::AttemptId attempt;
};

/// What the ledger decides about a call.
struct LedgerDecision {
  enum class Action {
    /// Wait for the commit of the intent.
    kAwaitCommit,
    /// Run it now.
    kRun,
    /// Give the answer of `joined_attempt`, which is on its way.
    kJoin,
    /// Give the recorded answer.
    kReplay,
    /// Refuse with `error`.
    kRefuse,
  };

  state::AttemptId attempt;
  Action action = Action::kRefuse;
  state::AttemptId joined_attempt;
  RecordedOutcome outcome;
  protocol::Error error;
};

/// Ownership of a shard as the owner record states it.
struct OwnedShard {
  std::string owner_key;
  /// Revision at which the owner record was created: the fencing number.
  std::int64_t create_revision = 0;
};

/// A transaction for the key-value service and the keys it is about.
struct LedgerBatch {
  enum class Kind { kIntents, kOutcomes, kWithdrawals };

  Kind kind = Kind::kIntents;
  state::KeyValueTxn txn;
  std::vector<std::string> keys;
  /// Ownerships that an intent batch compares, by shard.
  std::map<std::int64_t, OwnedShard> shards;
};

/// Bounds of a ledger's memory.
struct IdempotencyLedgerOptions {
  /// Most keys held; above it new keys are refused.
  std::size_t max_keys = 16384;
  /// Most finished keys held; older ones are read from the store again.
  std::size_t max_done = 4096;
  /// Most bytes of answers held for finished keys.
  std::size_t max_done_bytes = 16 << 20;
};

/// Decides which keyed calls run, so that each key runs at most once. An
/// intent is committed before the run, on condition that this process still
/// owns the shard and that the key has no record. An intent that was given up
/// without a run is withdrawn, so that "not run" stays true at later owners.
/// Does no I/O; safe for concurrent use.
class IdempotencyLedger {
 public:
  /// @param process Identifies this start of the process; never used again by
  /// any process.
  explicit IdempotencyLedger(std::string process,
                             IdempotencyLedgerOptions options = {});

  /// Starts owning a shard.
  /// @param owner_key Key of the owner record.
  /// @param create_revision Revision at which the record was created: the
  /// fencing number of this ownership.
  void OnShardOwned(std::int64_t shard, const std::string& owner_key,
                    std::int64_t create_revision);

  /// Stops owning a shard; calls that wait for a commit will be refused.
  void OnShardLost(std::int64_t shard);

  bool OwnsShard(std::int64_t shard) const;

  /// Decides about a call that has just arrived.
  LedgerDecision Begin(const KeyedCall& call);

  /// @return The next transaction to send, or nothing to do. Intents and
  /// outcomes take turns; withdrawals come when neither waits.
  /// @param max_keys Most keys in one transaction.
  std::optional<LedgerBatch> TakeBatch(std::size_t max_keys);

  /// Takes in the result of a transaction.
  /// @return What to do with each attempt that waited for it.
  std::vector<LedgerDecision> OnBatchResult(
      const LedgerBatch& batch,
      const state::KeyValueResult<state::KeyValueTxnResult>& result);

  /// Records the answer of an attempt that has run. An error that says "not
  /// run" withdraws the intent instead.
  void OnOutcome(const state::AttemptId& attempt,
                 const RecordedOutcome& outcome);

  /// @return Whether a transaction is waiting to be taken.
  bool HasWork() const;

  /// @return Number of calls of a shard that wait, run or have an outcome to
  /// be recorded.
  std::size_t Unfinished(std::int64_t shard) const;

  /// @return Number of keys held in memory.
  std::size_t Size() const;

 private:
  enum class Phase {
    kQueued,
    kCommitting,
    kRunning,
    kOutcomeQueued,
    kOutcomeCommitting,
    kDone,
    /// Refused as not run while a transaction may still take effect.
    kAbandoned,
    kWithdrawing
  };

  struct Record {
    KeyedCall call;
    IntentId intent;
    /// Number of the record's first intent; none before the current one ran.
    std::int64_t first_number = 0;
    Phase phase = Phase::kQueued;
    /// Whether a transaction with the current intent may have taken effect.
    bool in_doubt = false;
    int unknown_results = 0;
    /// Revision that the next transaction expects the key at; 0 when absent.
    std::int64_t mod_revision = 0;
    RecordedOutcome outcome;
  };

  using TxnResult = state::KeyValueResult<state::KeyValueTxnResult>;
  using Entries = std::map<std::string, state::KeyValueEntry>;

  void QueueIntent(const std::string& key, Record* record);
  LedgerBatch BuildIntentBatch(const std::vector<std::string>& keys);
  LedgerBatch BuildOutcomeBatch(const std::vector<std::string>& keys);
  LedgerBatch BuildWithdrawalBatch(const std::vector<std::string>& keys);
  void AddRecord(const std::string& key, IdempotencyRecord::State state,
                 LedgerBatch* batch) const;
  std::vector<std::string> TakeQueued(std::deque<std::string>* queue,
                                      Phase next, std::size_t max_keys);
  std::vector<std::string> TakeAbandoned(std::size_t max_keys);
  std::vector<LedgerDecision> OnIntentResult(const LedgerBatch& batch,
                                             const TxnResult& result);
  std::optional<LedgerDecision> OnIntentWithoutResult(
      const std::string& key, state::KeyValueFailure failure);
  std::optional<LedgerDecision> OnIntentRefused(const std::string& key,
                                                const LedgerBatch& batch,
                                                const Entries& entries);
  std::optional<LedgerDecision> RetryIntent(const std::string& key,
                                            const LedgerBatch& batch,
                                            const Entries& entries);
  void OnOutcomeResult(const LedgerBatch& batch, const TxnResult& result);
  void OnWithdrawalResult(const LedgerBatch& batch, const TxnResult& result);
  bool WithdrawalNeeded(Record* record, const state::KeyValueEntry* entry);
  bool OwnNeverRan(const Record& record, const IdempotencyRecord& stored) const;
  LedgerDecision Run(Record* record, std::int64_t mod_revision);
  LedgerDecision Abandon(const std::string& key, protocol::ErrorKind kind);
  LedgerDecision Drop(const std::string& key, protocol::ErrorKind kind);
  void Erase(const std::string& key);
  void OnDone(const std::string& key, Record* record);

  const std::string m_process;
  const IdempotencyLedgerOptions m_options;
  mutable std::mutex m_mutex;
  std::map<std::int64_t, OwnedShard> m_shards;
  std::unordered_map<std::string, Record> m_records;
  std::unordered_map<state::AttemptId, std::string> m_key_by_attempt;
  std::deque<std::string> m_intent_queue;
  std::deque<std::string> m_outcome_queue;
  std::set<std::string> m_abandoned;
  std::deque<std::string> m_done_order;
  std::size_t m_done_bytes = 0;
  std::int64_t m_last_number = 0;
  bool m_outcomes_next = false;
};

/// @return Key of the record of a keyed call in the key-value service.
std::string LedgerKey(const KeyedCall& call);

/// @return Shard of an idempotency key.
std::int64_t ShardOf(const state::WorkspaceId& workspace,
                     const std::string& key, std::int64_t shards);

}  // namespace wasabiwall::coordination
