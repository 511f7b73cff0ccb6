#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

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

/// Answer of a keyed call as recorded.
struct RecordedOutcome {
  std::string body;
  state::AttemptEnd end;
};

/// What the ledger decides about a call.
struct LedgerDecision {
  enum class Action {
    /// Wait for the commit of the intent.
    kCommit,
    /// Run it now.
    kRun,
    /// Give the answer of `join`, which is on its way.
    kJoin,
    /// Give the recorded answer.
    kReplay,
    /// Refuse with `error`.
    kRefuse,
  };

  state::AttemptId attempt;
  Action action = Action::kRefuse;
  state::AttemptId join;
  RecordedOutcome outcome;
  protocol::Error error;
};

/// A transaction for the key-value service and the keys it is about.
struct LedgerBatch {
  state::KeyValueTxn txn;
  std::vector<std::string> keys;
  bool outcomes = false;
};

/// Decides which keyed calls run, so that each key runs at most once. An
/// intent is committed before the run, on condition that this process still
/// owns the shard and that the key has no record. Does no I/O; safe for
/// concurrent use.
class KeyLedger {
 public:
  /// Starts owning a shard.
  /// @param owner_key Key of the owner record.
  /// @param create_revision Revision at which the record was created: the
  /// fencing number of this ownership.
  void OnShardOwned(std::int64_t shard, const std::string& owner_key,
                    std::int64_t create_revision);

  /// Stops owning a shard; calls that wait for a commit will be refused.
  void OnShardLost(std::int64_t shard);

  bool Owns(std::int64_t shard) const;

  /// Decides about a call that has just arrived.
  LedgerDecision Begin(const KeyedCall& call);

  /// @return The next transaction to send, or nothing to do. Intents first.
  /// @param max_keys Most keys in one transaction.
  std::optional<LedgerBatch> TakeBatch(std::size_t max_keys);

  /// Takes in the result of a transaction.
  /// @return What to do with each attempt that waited for it.
  std::vector<LedgerDecision> OnBatchResult(
      const LedgerBatch& batch,
      const state::KeyValueResult<state::KeyValueTxnResult>& result);

  /// Records the answer of an attempt that has run.
  void OnOutcome(const state::AttemptId& attempt,
                 const RecordedOutcome& outcome);

  /// @return Whether a transaction is waiting to be taken.
  bool HasWork() const;

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
    kAbandoned
  };

  struct Record {
    KeyedCall call;
    /// Attempt named in the stored intent; outlives a commit given up on.
    std::string intent;
    Phase phase = Phase::kQueued;
    std::int64_t mod_revision = 0;
    RecordedOutcome outcome;
  };

  struct Shard {
    std::string owner_key;
    std::int64_t create_revision = 0;
  };

  LedgerBatch BuildIntentBatch(const std::vector<std::string>& keys);
  LedgerBatch BuildOutcomeBatch(const std::vector<std::string>& keys);
  std::vector<std::string> TakeQueued(Phase phase, Phase next,
                                      std::size_t max_keys);
  LedgerDecision DecideFailedIntent(
      const std::string& key, Record* record,
      const std::map<std::string, state::KeyValueEntry>& entries,
      bool owner_changed);
  std::vector<LedgerDecision> OnIntentResult(
      const LedgerBatch& batch,
      const state::KeyValueResult<state::KeyValueTxnResult>& result);
  void OnOutcomeResult(
      const LedgerBatch& batch,
      const state::KeyValueResult<state::KeyValueTxnResult>& result);
  void Forget();

  mutable std::mutex m_mutex;
  std::map<std::int64_t, Shard> m_shards;
  std::unordered_map<std::string, Record> m_records;
  std::unordered_map<state::AttemptId, std::string> m_key_by_attempt;
  std::vector<std::string> m_intent_queue;
  std::vector<std::string> m_outcome_queue;
  std::vector<std::string> m_done_order;
};

/// @return Key of the record of a keyed call in the key-value service.
std::string LedgerKey(const KeyedCall& call);

/// @return Shard of an idempotency key.
std::int64_t ShardOf(const state::WorkspaceId& workspace,
                     const std::string& key, std::int64_t shards);

}  // namespace wasabiwall::coordination
