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
  state::WorkspaceId workspace;
  /// Idempotency key; unique within the workspace.
  std::string key;
  std::string body_digest;
  state::AttemptId attempt;
};

/// Decision of the ledger about one attempt of a call.
struct LedgerDecision {
  enum class Action {
    /// Wait until the intent is committed.
    kAwaitCommit,
    /// Run the call now.
    kRun,
    /// Wait for `joined_attempt`, which is in progress, and return its answer.
    kJoin,
    /// Return the recorded answer in `outcome`.
    kReplay,
    /// Refuse the call with `error`.
    kRefuse,
  };

  state::AttemptId attempt;
  Action action = Action::kRefuse;
  state::AttemptId joined_attempt;
  RecordedOutcome outcome;
  protocol::Error error;
};

/// An owned shard and the owner record that fences writes to it.
struct OwnedShard {
  std::string owner_key;
  /// Creation revision of the owner record; serves as the fencing token.
  std::int64_t create_revision = 0;
};

/// A transaction for the key-value service that covers several ledger keys.
struct LedgerBatch {
  enum class Kind { kIntents, kOutcomes, kWithdrawals };

  Kind kind = Kind::kIntents;
  state::KeyValueTxn txn;
  std::vector<std::string> keys;
  /// Owner records that an intent batch compares, by shard.
  std::map<std::int64_t, OwnedShard> shards;
};

/// Memory limits of a ledger.
struct IdempotencyLedgerOptions {
  /// Largest number of keys held; new keys beyond it are refused.
  std::size_t max_keys = 16384;
  /// Largest number of finished keys held. The oldest ones are evicted and read
  /// from the store again when needed.
  std::size_t max_done = 4096;
  /// Largest total size of the answers of finished keys, in bytes.
  std::size_t max_done_bytes = 16 << 20;
};

/// Runs each idempotency key at most once. Before a call runs, an intent is
/// committed on condition that this process still owns the shard and that the
/// key has no record. An intent abandoned without a run is withdrawn, so that
/// the key can run under a later owner and a "not run" error stays true. Does
/// no I/O; thread-safe.
class IdempotencyLedger {
 public:
  /// @param process Identifier of this process start; no other process start
  /// may use the same one.
  explicit IdempotencyLedger(std::string process,
                             IdempotencyLedgerOptions options = {});

  /// Marks a shard as owned.
  /// @param owner_key Key of the owner record.
  /// @param create_revision Creation revision of the owner record; the fencing
  /// token of this ownership.
  void OnShardOwned(std::int64_t shard, const std::string& owner_key,
                    std::int64_t create_revision);

  /// Marks a shard as lost; calls that wait for a commit will be refused.
  void OnShardLost(std::int64_t shard);

  bool OwnsShard(std::int64_t shard) const;

  /// Registers an arriving call and decides how to handle it.
  LedgerDecision Begin(const KeyedCall& call);

  /// Takes the next transaction to send. Intents and outcomes alternate;
  /// withdrawals are sent only when neither is pending.
  /// @param max_keys Largest number of keys in the transaction.
  /// @return The transaction, or nothing when none is pending.
  std::optional<LedgerBatch> TakeBatch(std::size_t max_keys);

  /// Processes the result of a transaction.
  /// @return A decision for each waiting attempt that is now settled.
  std::vector<LedgerDecision> OnBatchResult(
      const LedgerBatch& batch,
      const state::KeyValueResult<state::KeyValueTxnResult>& result);

  /// Queues the outcome of a running attempt to be recorded. An error that
  /// means "not run" withdraws the intent instead.
  void OnOutcome(const state::AttemptId& attempt,
                 const RecordedOutcome& outcome);

  /// @return Whether a transaction is pending.
  bool HasWork() const;

  /// @return Number of calls of a shard that wait for a commit, run, or have an
  /// outcome that isn't recorded yet.
  std::size_t UnfinishedCalls(std::int64_t shard) const;

  /// @return Number of keys held in memory.
  std::size_t Size() const;

 private:
  enum class Phase {
    kIntentQueued,
    kIntentCommitting,
    kRunning,
    kOutcomeQueued,
    kOutcomeCommitting,
    kDone,
    /// Refused as not run; a transaction may still take effect, so that a
    /// withdrawal is pending.
    kAbandoned,
    kWithdrawing
  };

  struct Record {
    KeyedCall call;
    IntentId intent;
    /// Number of the first intent; no intent from it up to the one before the
    /// current one ran.
    std::int64_t first_number = 0;
    Phase phase = Phase::kIntentQueued;
    /// Whether a transaction with the current intent may have been applied
    /// although its result is unknown.
    bool in_doubt = false;
    int failed_commits = 0;
    /// Modification revision that the next transaction compares; 0 when the key
    /// must be absent.
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
  std::optional<LedgerDecision> OnIntentConflict(const std::string& key,
                                                 const LedgerBatch& batch,
                                                 const Entries& entries);
  std::optional<LedgerDecision> RetryIntent(const std::string& key,
                                            const LedgerBatch& batch,
                                            const Entries& entries);
  void OnOutcomeResult(const LedgerBatch& batch, const TxnResult& result);
  void OnWithdrawalResult(const LedgerBatch& batch, const TxnResult& result);
  bool WithdrawalNeeded(Record* record, const state::KeyValueEntry* entry);
  bool IsOwnUnrunIntent(const Record& record,
                        const IdempotencyRecord& stored) const;
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

/// @return Key of the idempotency record of a call in the key-value service.
std::string LedgerKey(const KeyedCall& call);

/// @return Shard of an idempotency key, from 0 to `shards` - 1.
std::int64_t ShardOf(const state::WorkspaceId& workspace,
                     const std::string& key, std::int64_t shards);

}  // namespace wasabiwall::coordination
