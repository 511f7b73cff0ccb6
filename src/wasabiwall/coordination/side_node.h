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
#include "wasabiwall/coordination/pause_guard.h"
#include "wasabiwall/coordination/pool_load_estimate.h"
#include "wasabiwall/coordination/quarantine.h"
#include "wasabiwall/coordination/transit_time_estimator.h"
#include "wasabiwall/protocol/gen/wasabiwall_types.h"
#include "wasabiwall/state/attempt.h"
#include "wasabiwall/state/config_store.h"
#include "wasabiwall/state/sharded_map.h"

namespace wasabiwall::coordination {

/// State of one attempt at the side process.
struct SideAttempt {
  protocol::gen::SubmitRequest request;
  std::shared_ptr<state::Attempt> answer;
  /// Cancelled before it started; must never run.
  bool tombstoned = false;
  bool keyed = false;
  /// Whether its cost is counted by the admission controller.
  bool admitted = false;
  /// Number of the warm-up in which it was admitted.
  std::int64_t warmup = 0;
  TimePoint created_at;
  /// When the first byte of a streamed answer arrived.
  std::optional<TimePoint> first_data_at;
};

/// Callbacks of a SideNode into the process that hosts it.
struct SideNodeHooks {
  ClockHook clock;
  RandomHook random;
  /// Starts an attempt at the backend server without blocking. The runner
  /// must call SideNode::OnRunEnded exactly once.
  std::function<void(const protocol::gen::SubmitRequest& request,
                     const std::shared_ptr<state::Attempt>& answer)>
      run;
  /// Wakes the thread that calls SideNode::CommitOnce, as the ledger has
  /// transactions to commit.
  std::function<void()> wake_committer;
};

/// Decision logic of a side process: which attempts its backend server runs,
/// by draining state, crash quarantine, admission control, tombstones and
/// idempotency keys. Does no I/O; safe for concurrent use.
class SideNode {
 public:
  /// @param self Backend server that this side process fronts.
  SideNode(state::BackendServerId self, state::ConfigStore* config,
           SideNodeHooks hooks);

  /// Admits or refuses one attempt. A repeat of a known attempt starts nothing.
  protocol::gen::SubmitReply Submit(
      const protocol::gen::SubmitRequest& request);

  /// Returns the next part of an attempt's answer; blocks up to the wait time
  /// of the request (long poll).
  protocol::gen::PullReply Pull(const protocol::gen::PullRequest& request);

  /// Places a tombstone for an attempt that has not arrived, so that it never
  /// runs. Cancels one that has arrived if the request says so.
  protocol::gen::TombstoneReply Tombstone(
      const protocol::gen::TombstoneRequest& request);

  /// Handles the end of an attempt's run; its answer must have ended.
  void OnRunEnded(const state::AttemptId& attempt);

  /// Restarts the warm-up, as the engine has lost its caches.
  void OnEngineCold();

  /// Stops or resumes the admission of new attempts.
  void SetDraining(bool draining);
  /// Records the state of this VM in the VM list.
  /// @param leaving Whether the VM is leaving.
  /// @param read_began_at Start time of the read of the list.
  void OnVmList(bool leaving, TimePoint read_began_at);
  /// Records that the configuration store holds all changes accepted before
  /// `read_began_at`, the start of a read of the key-value service or of a
  /// peer.
  void OnConfigurationRead(TimePoint read_began_at);
  /// Must be called at regular intervals, several times a second; a gap is
  /// taken as a pause of the process.
  void Tick();
  /// @return Whether the configuration must be read again after a pause.
  bool NeedsConfigurationRead();
  /// Checks again, right before an admitted call is sent to the backend
  /// server, that it may start.
  /// @return Why it must not start, or nothing when it may.
  std::optional<protocol::ErrorKind> CheckStart();
  /// Replaces the known owners of the pool's key shards, to which refusals
  /// redirect callers.
  void SetOwners(
      std::unordered_map<std::int64_t, state::BackendServerId> owners);

  /// Commits the next batch of the ledger through `commit` and applies the
  /// result.
  /// @return Whether the store answered, so that the next batch may follow at
  /// once.
  bool CommitOnce(
      const std::function<state::KeyValueResult<state::KeyValueTxnResult>(
          const state::KeyValueTxn&)>& commit);

  /// Removes ended attempts and tombstones whose retention has passed.
  void Sweep();

  CrashRecords& Crashes() { return m_quarantine.Records(); }
  IdempotencyLedger& Ledger() { return m_ledger; }
  PoolLoadEstimate& Loads() { return m_loads; }
  const AdmissionController& Admission() const { return m_admission; }

  /// @return Load reports that a message may carry, this backend server's own
  /// first.
  std::vector<protocol::gen::LoadReport> LoadReports() const;

  /// Records crashes, clock readings and load reports of a received message.
  /// Load reports are ignored when the transit time cannot be bounded.
  void ObserveEnvelope(const protocol::gen::Envelope& envelope);

  /// Writes this process's clock reading and the echo into a message.
  /// @param receiver Sender of the message that this one answers.
  void Stamp(const std::string& receiver,
             protocol::gen::Envelope* envelope) const {
    m_transit_time.Stamp(receiver, envelope);
  }

  bool IsDraining() const;

  /// @return Total prompt tokens reported in answers.
  std::int64_t PromptTokens() const { return m_prompt_tokens; }
  /// @return Prompt tokens among these that the engine served from its cache.
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
  /// Restarts the warm-up when the configuration allows new work again.
  void UpdatePlacement(bool out);
  /// Applies pool limits and members when the configuration has changed.
  void ApplyConfiguration(const std::shared_ptr<const state::ConfigView>& view,
                          const state::Pool& pool);
  protocol::Result<std::int64_t> AdmitCost(
      const protocol::gen::SubmitRequest& request);
  protocol::gen::SubmitReply SubmitKeyed(
      const protocol::gen::SubmitRequest& request, const state::Pool& pool);
  protocol::gen::SubmitReply Decide(
      const protocol::gen::SubmitRequest& request);
  protocol::Result<void> CheckQuarantine(
      const protocol::gen::SubmitRequest& request);
  void StartQueued(const state::AttemptId& attempt);
  protocol::gen::SubmitReply SubmitUnkeyed(
      const protocol::gen::SubmitRequest& request);
  void ApplyDecision(const LedgerDecision& decision);
  void ReleaseAdmission(const state::AttemptId& attempt, bool fast);
  Warmth ClassifyAnswer(const state::AttemptId& attempt,
                        const state::AttemptChunk& full_answer);
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
  TransitTimeEstimator m_transit_time;
  IdempotencyLedger m_ledger;
  Quarantine m_quarantine;
  Attempts m_attempts;
  mutable std::mutex m_mutex;
  bool m_draining = false;
  bool m_leaving = false;
  /// Whether the configuration allowed no new work at the last check.
  bool m_was_out = false;
  /// Configuration last applied to admission and load sum.
  std::shared_ptr<const state::ConfigView> m_applied_config;
  std::int64_t m_other_members = 0;
  std::unordered_map<std::int64_t, state::BackendServerId> m_owners;
  std::atomic<std::int64_t> m_prompt_tokens{0};
  std::atomic<std::int64_t> m_cached_tokens{0};
};

}  // namespace wasabiwall::coordination
