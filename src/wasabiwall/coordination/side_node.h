#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "wasabiwall/coordination/admission_controller.h"
#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/coordination/cold_detector.h"
#include "wasabiwall/coordination/idempotency_ledger.h"
#include "wasabiwall/coordination/message_age.h"
#include "wasabiwall/coordination/pause_guard.h"
#include "wasabiwall/coordination/pool_load_estimate.h"
#include "wasabiwall/coordination/quarantine.h"
#include "wasabiwall/protocol/gen/wasabiwall_types.h"
#include "wasabiwall/state/attempt.h"
#include "wasabiwall/state/config_store.h"
#include "wasabiwall/state/sharded_map.h"

namespace wasabiwall::coordination {

/// Everything the side process keeps about one attempt.
struct SideAttempt {
  protocol::gen::SubmitRequest request;
  std::shared_ptr<state::Attempt> answer;
  /// Called off before it started; never runs.
  bool tombstoned = false;
  bool keyed = false;
  /// Whether its cost is booked at the admission.
  bool admitted = false;
  /// Warm-up in which it was admitted.
  std::int64_t warmup = 0;
  TimePoint created_at;
  /// When the first byte of a streamed answer arrived.
  std::optional<TimePoint> first_data_at;
};

/// Hooks of a side node.
struct SideNodeHooks {
  ClockHook clock;
  RandomHook random;
  /// Starts an attempt at the backend server; returns at once. The runner
  /// calls SideNode::OnRunEnded exactly once.
  std::function<void(const protocol::gen::SubmitRequest& request,
                     const std::shared_ptr<state::Attempt>& answer)>
      run;
  /// Tells the committer that the ledger has work.
  std::function<void()> wake_committer;
};

/// Decides at a side process what its backend server runs: draining,
/// admission, tombstones and idempotency keys. Does no I/O; safe for
/// concurrent use.
class SideNode {
 public:
  /// @param self Backend server beside which this process stands.
  SideNode(state::BackendServerId self, state::ConfigStore* config,
           SideNodeHooks hooks);

  /// Admits or refuses one attempt.
  protocol::gen::SubmitReply Submit(
      const protocol::gen::SubmitRequest& request);

  /// Reads a part of an attempt's answer, waiting as asked.
  protocol::gen::PullReply Pull(const protocol::gen::PullRequest& request);

  /// Calls an attempt off unless it has started.
  protocol::gen::TombstoneReply Tombstone(
      const protocol::gen::TombstoneRequest& request);

  /// The backend server is done with an attempt; its answer has ended.
  void OnRunEnded(const state::AttemptId& attempt);

  /// The engine lost its warmth.
  void OnEngineCold();

  /// Stops or resumes taking new work.
  void SetDraining(bool draining);
  /// Records what the VM list says of this VM.
  /// @param read_began_at When the read of the list was begun.
  void OnVmList(bool leaving, TimePoint read_began_at);
  /// Records that the configuration store has all that was accepted before a
  /// read of the key-value service, or of a peer, was begun.
  void OnConfigurationRead(TimePoint read_began_at);
  /// To be called at regular intervals, several times a second; a gap shows
  /// that the process was paused.
  void Tick();
  /// @return Whether a pause makes a new read of the configuration urgent.
  bool NeedsConfigurationRead();
  /// Asked right before an admitted call is handed to the backend server.
  /// @return Why it may not start after all; such a call was not run.
  std::optional<protocol::ErrorKind> CheckStart();
  /// Records the owners of the pool's shards, for redirects.
  void SetOwners(
      std::unordered_map<std::int64_t, state::BackendServerId> owners);

  /// Sends the next batch of the ledger through `commit` and acts on the
  /// result.
  /// @return Whether a batch was answered, so that the next may follow at once.
  bool CommitOnce(
      const std::function<state::KeyValueResult<state::KeyValueTxnResult>(
          const state::KeyValueTxn&)>& commit);

  /// Forgets ended attempts and tombstones that are old enough.
  void Sweep();

  CrashRecords& Crashes() { return m_quarantine.Records(); }
  IdempotencyLedger& Ledger() { return m_ledger; }
  PoolLoadEstimate& Loads() { return m_loads; }
  const AdmissionController& Admission() const { return m_admission; }

  /// @return Loads that may be sent along with a message, this one's first.
  std::vector<protocol::gen::LoadReport> LoadReports() const;

  /// Takes in the clock readings and loads of a message; loads of unknown age
  /// are left out.
  void ObserveEnvelope(const protocol::gen::Envelope& envelope);

  /// Writes the clock readings into a message.
  /// @param receiver Sender of the message that is answered.
  void Stamp(const std::string& receiver,
             protocol::gen::Envelope* envelope) const {
    m_message_age.Stamp(receiver, envelope);
  }

  bool IsDraining() const;

  /// @return Prompt tokens that answers have reported so far.
  std::int64_t PromptTokens() const { return m_prompt_tokens; }
  /// @return Of these, tokens that the engine found in its cache.
  std::int64_t CachedTokens() const { return m_cached_tokens; }

 private:
  using Attempts = state::ShardedMap<state::AttemptId, SideAttempt>;

  struct Refusal {
    protocol::Error error;
    std::string owner;
  };

  protocol::Result<state::Pool> CheckPlacement(
      const protocol::gen::SubmitRequest& request);
  void OnFirstData(const state::AttemptId& attempt);
  /// Starts the warm-up again when tickets allow new work again.
  void NotePlacement(bool out);
  /// Takes over pool and members when the configuration has changed.
  void FollowConfiguration(const std::shared_ptr<const state::ConfigView>& view,
                           const state::Pool& pool);
  protocol::Result<std::int64_t> AdmitCost(
      const protocol::gen::SubmitRequest& request);
  protocol::gen::SubmitReply SubmitKeyed(
      const protocol::gen::SubmitRequest& request, const state::Pool& pool);
  protocol::gen::SubmitReply Decide(
      const protocol::gen::SubmitRequest& request);
  protocol::Result<void> CheckQuarantine(
      const protocol::gen::SubmitRequest& request);
  void StartWaiting(const state::AttemptId& attempt);
  protocol::gen::SubmitReply SubmitPlain(
      const protocol::gen::SubmitRequest& request);
  void Act(const LedgerDecision& decision);
  void Release(const state::AttemptId& attempt, bool fast);
  Warmth JudgeAnswer(const state::AttemptId& attempt,
                     const state::AttemptChunk& whole);
  std::string FingerprintOfAttempt(const state::AttemptId& attempt);
  std::shared_ptr<state::Attempt> AnswerOf(const state::AttemptId& attempt);
  bool Insert(const protocol::gen::SubmitRequest& request,
              const std::shared_ptr<state::Attempt>& answer, bool keyed,
              std::int64_t warmup);

  state::BackendServerId m_self;
  state::ConfigStore* m_config;
  SideNodeHooks m_hooks;
  AdmissionController m_admission;
  ColdDetector m_cold_detector;
  PauseGuard m_pause_guard;
  PoolLoadEstimate m_loads;
  MessageAge m_message_age;
  IdempotencyLedger m_ledger;
  Quarantine m_quarantine;
  Attempts m_attempts;
  mutable std::mutex m_mutex;
  bool m_draining = false;
  bool m_leaving = false;
  /// Whether tickets kept new work away when last looked at.
  bool m_was_out = false;
  /// Configuration that admission and load sum follow.
  std::shared_ptr<const state::ConfigView> m_followed;
  std::int64_t m_others = 0;
  std::unordered_map<std::int64_t, state::BackendServerId> m_owners;
  std::atomic<std::int64_t> m_prompt_tokens{0};
  std::atomic<std::int64_t> m_cached_tokens{0};
};

}  // namespace wasabiwall::coordination
