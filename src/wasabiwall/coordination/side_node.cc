#include "wasabiwall/coordination/side_node.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "wasabiwall/coordination/crash_record_codec.h"
#include "wasabiwall/coordination/load_reports.h"
#include "wasabiwall/protocol/usage_report.h"
#include "wasabiwall/state/digest.h"

namespace wasabiwall::coordination {
namespace {

using protocol::Error;
using protocol::ErrorKind;
using protocol::Fail;
using protocol::RowOf;
using protocol::gen::LoadReport;
using protocol::gen::PullReply;
using protocol::gen::SubmitReply;
using protocol::gen::SubmitRequest;
using std::chrono::milliseconds;

constexpr milliseconds kLoadMaxAge{2000};
constexpr std::chrono::seconds kAttemptRetention{60};
constexpr std::chrono::minutes kTombstoneRetention{10};
/// Keeps sums of costs in forged requests from overflowing.
constexpr std::int64_t kMaxCostUnits = std::int64_t{1} << 40;
/// With the read interval, stays under the 2 s within which new work must stop
/// after a VM or failure domain leaves.
constexpr milliseconds kMaxTickGap{750};
/// Newest loads from which the reports for a peer are selected.
constexpr std::size_t kKeysPerTransaction = 32;
constexpr int kIncarnationWords = 4;
constexpr milliseconds kMaxPullWait{5000};
constexpr std::int64_t kMaxPullBytes = 1 << 20;
constexpr std::size_t kMaxQueuedSuspects = 64;

SubmitReply Refused(const Error& error, std::string owner = "") {
  SubmitReply reply;
  reply.admitted = false;
  reply.error_kind = RowOf(error.kind).name;
  reply.detail = error.detail;
  reply.retry_after_ms = error.RetryAfter().count();
  reply.owner = std::move(owner);
  return reply;
}

std::int64_t CostOf(const SubmitRequest& request) {
  return std::clamp(request.cost_units, std::int64_t{1}, kMaxCostUnits);
}

SubmitReply Admitted() {
  SubmitReply reply;
  reply.admitted = true;
  return reply;
}

KeyedCall ToKeyedCall(const SubmitRequest& request, const state::Pool& pool) {
  KeyedCall call;
  call.pool = pool.id;
  call.workspace = state::WorkspaceId(request.workspace);
  call.key = request.idempotency_key;
  call.shard = ShardOf(call.workspace, call.key, pool.key_shards);
  call.body_digest = request.body_digest;
  call.attempt = state::AttemptId(request.attempt_id);
  return call;
}

std::string GenerateIncarnation(const RandomHook& random) {
  std::string incarnation;
  for (int i = 0; i < kIncarnationWords; ++i) {
    incarnation += std::to_string(random()) + ".";
  }
  return incarnation;
}

}  // namespace

SideNode::SideNode(state::BackendServerId self, state::ConfigStore* config,
                   SideNodeHooks hooks)
    : m_self(std::move(self)),
      m_config(config),
      m_hooks(std::move(hooks)),
      m_pause_guard(kMaxTickGap),
      m_loads(kLoadMaxAge),
      m_transit_time(m_hooks.clock, m_hooks.random()),
      m_ledger(GenerateIncarnation(m_hooks.random)),
      m_quarantine(m_hooks.clock, m_hooks.random) {}

SubmitReply SideNode::Submit(const SubmitRequest& request) {
  ObserveEnvelope(request.envelope);
  Crashes().Observe(FromThrift(request.crashes), m_hooks.clock());
  SubmitReply reply = Decide(request);
  reply.crashes = ToThrift(Crashes().Of(request.fingerprint, m_hooks.clock()));
  return reply;
}

SubmitReply SideNode::Decide(const SubmitRequest& request) {
  const state::AttemptId attempt(request.attempt_id);
  const auto known =
      m_attempts.WithShard(attempt, [&](auto& table) -> std::optional<bool> {
        const auto found = table.find(attempt);
        if (found == table.end()) return std::nullopt;
        return found->second.tombstoned;
      });
  if (known) {
    return *known ? Refused({ErrorKind::kTombstoned, "", {}}) : Admitted();
  }
  const auto pool = CheckPlacement(request);
  if (!pool) return Refused(pool.error());
  const auto quarantine_check = CheckQuarantine(request);
  if (!quarantine_check) return Refused(quarantine_check.error());
  const bool keyed = !request.idempotent && !request.idempotency_key.empty();
  return keyed ? SubmitKeyed(request, *pool) : SubmitUnkeyed(request);
}

PullReply SideNode::Pull(const protocol::gen::PullRequest& request) {
  ObserveEnvelope(request.envelope);
  PullReply reply;
  reply.attempt_id = request.attempt_id;
  reply.offset = request.offset;
  const std::shared_ptr<state::Attempt> answer =
      AnswerOf(state::AttemptId(request.attempt_id));
  if (!answer) {
    reply.ended = true;
    reply.error_kind = RowOf(ErrorKind::kUnknownAttempt).name;
    return reply;
  }
  const milliseconds wait =
      std::clamp(milliseconds(request.wait_ms), milliseconds(0), kMaxPullWait);
  state::AttemptChunk part = answer->Read(
      request.offset,
      std::clamp<std::int64_t>(request.max_bytes, 1, kMaxPullBytes), wait);
  reply.data = std::move(part.data);
  reply.ended = part.ended;
  reply.total_bytes = part.end.total_bytes;
  reply.digest = part.end.digest;
  reply.error_kind = part.end.error_kind;
  reply.detail = part.end.detail;
  reply.http_status = part.end.http_status;
  reply.content_type = part.end.content_type;
  if (reply.error_kind == RowOf(ErrorKind::kBackendServerCrashed).name) {
    // The runner calls OnRunEnded only after this reader has been woken.
    m_quarantine.OnConnectionBroken(state::AttemptId(request.attempt_id));
    reply.crashes = ToThrift(
        Crashes().Of(FingerprintOfAttempt(state::AttemptId(request.attempt_id)),
                     m_hooks.clock()));
  }
  return reply;
}

protocol::gen::TombstoneReply SideNode::Tombstone(
    const protocol::gen::TombstoneRequest& request) {
  protocol::gen::TombstoneReply reply;
  const state::AttemptId attempt(request.attempt_id);
  m_attempts.WithShard(attempt, [&](auto& table) {
    const auto [entry, inserted] = table.try_emplace(attempt);
    SideAttempt& record = entry->second;
    if (inserted) {
      record.tombstoned = true;
      record.created_at = m_hooks.clock();
    }
    reply.never_started = record.tombstoned;
    if (request.cancel && record.answer) record.answer->Cancel();
  });
  return reply;
}

void SideNode::OnRunEnded(const state::AttemptId& attempt) {
  const std::shared_ptr<state::Attempt> answer = AnswerOf(attempt);
  if (!answer) return;
  const state::AttemptChunk full_answer =
      answer->Read(0, INT64_MAX, milliseconds(0));
  if (full_answer.end.error_kind ==
      RowOf(ErrorKind::kBackendServerCrashed).name) {
    m_quarantine.OnConnectionBroken(attempt);
  }
  const Warmth warmth = ClassifyAnswer(attempt, full_answer);
  ReleaseAdmission(attempt, warmth == Warmth::kWarm);
  if (warmth == Warmth::kCold) m_admission.RestartWarmup(WarmupReason::kCold);
  const auto next = m_quarantine.OnEnded(attempt);
  if (next) StartQueued(*next);
  m_ledger.OnOutcome(attempt, {full_answer.data, full_answer.end});
  if (m_ledger.HasWork()) m_hooks.wake_committer();
}

void SideNode::OnEngineCold() {
  m_cold_detector.Reset();
  m_admission.RestartWarmup(WarmupReason::kCold);
}

void SideNode::SetDraining(bool draining) {
  const std::lock_guard lock(m_mutex);
  m_draining = draining;
}

void SideNode::OnVmList(bool leaving, TimePoint read_began_at) {
  {
    const std::lock_guard lock(m_mutex);
    m_leaving = leaving;
  }
  m_pause_guard.OnVmListRead(read_began_at);
}

void SideNode::OnConfigurationRead(TimePoint read_began_at) {
  m_pause_guard.OnConfigurationRead(read_began_at);
}

void SideNode::Tick() {
  m_pause_guard.OnTick(m_hooks.clock());
  UpdatePlacement(!m_config->View()->TakesNewWork(m_self));
}

bool SideNode::NeedsConfigurationRead() {
  return m_pause_guard.NeedsConfigurationRead(m_hooks.clock());
}

std::optional<ErrorKind> SideNode::CheckStart() {
  if (!m_pause_guard.IsConfirmed(m_hooks.clock())) {
    return ErrorKind::kStaleConfiguration;
  }
  const bool out = !m_config->View()->TakesNewWork(m_self);
  const std::lock_guard lock(m_mutex);
  if (out || m_leaving) return ErrorKind::kDraining;
  return {};
}

void SideNode::SetOwners(
    std::unordered_map<std::int64_t, state::BackendServerId> owners) {
  const std::lock_guard lock(m_mutex);
  m_owners = std::move(owners);
}

bool SideNode::CommitOnce(
    const std::function<state::KeyValueResult<state::KeyValueTxnResult>(
        const state::KeyValueTxn&)>& commit) {
  const std::optional<LedgerBatch> batch =
      m_ledger.TakeBatch(kKeysPerTransaction);
  if (!batch) return false;
  const auto result = commit(batch->txn);
  for (const LedgerDecision& decision :
       m_ledger.OnBatchResult(*batch, result)) {
    ApplyDecision(decision);
  }
  return result.has_value();
}

void SideNode::Sweep() {
  const TimePoint now = m_hooks.clock();
  m_attempts.ForEachShard([&](auto& table) {
    for (auto entry = table.begin(); entry != table.end();) {
      const SideAttempt& record = entry->second;
      const auto age = now - record.created_at;
      const bool expired = record.tombstoned ? age > kTombstoneRetention
                                             : record.answer->HasEnded() &&
                                                   age > kAttemptRetention;
      entry = expired ? table.erase(entry) : std::next(entry);
    }
  });
}

std::vector<LoadReport> SideNode::LoadReports() const {
  std::vector<LoadReport> reports = LoadReportsOf(m_loads, m_hooks.clock());
  LoadReport own;
  own.backend_server = m_self.value;
  own.load_units = m_admission.LoadUnits();
  own.warmup_limit_units = m_admission.WarmupUnits();
  reports.insert(reports.begin(), own);
  return reports;
}

void SideNode::ObserveEnvelope(const protocol::gen::Envelope& envelope) {
  Crashes().Observe(FromThrift(envelope.crashes), m_hooks.clock());
  const auto transit = m_transit_time.OnMessage(envelope.sender, envelope);
  if (!transit) return;
  const TimePoint sent_at = m_hooks.clock() - *transit;
  for (const LoadReport& report : envelope.loads) {
    if (report.backend_server == m_self.value) continue;
    m_loads.Observe({state::BackendServerId(report.backend_server),
                     report.load_units, report.warmup_limit_units,
                     sent_at - milliseconds(report.age_ms)});
  }
}

bool SideNode::IsDraining() const {
  const std::lock_guard lock(m_mutex);
  return m_draining || m_leaving;
}

protocol::Result<state::Pool> SideNode::CheckPlacement(
    const SubmitRequest& request) {
  if (!m_pause_guard.IsConfirmed(m_hooks.clock())) {
    return Fail(ErrorKind::kStaleConfiguration);
  }
  const auto view = m_config->View();
  const auto server = view->backend_servers.find(m_self.value);
  if (server == view->backend_servers.end() ||
      server->second.pool.value != request.pool) {
    return Fail(ErrorKind::kStaleConfiguration);
  }
  const bool out = !view->TakesNewWork(m_self);
  UpdatePlacement(out);
  if (out || IsDraining()) return Fail(ErrorKind::kDraining);
  const auto pool = view->pools.find(request.pool);
  if (pool == view->pools.end()) return Fail(ErrorKind::kStaleConfiguration);
  if (request.deadline_ms <= 0) return Fail(ErrorKind::kDeadlineTooShort);
  ApplyConfiguration(view, pool->second);
  return pool->second;
}

void SideNode::UpdatePlacement(bool out) {
  const std::lock_guard lock(m_mutex);
  if (m_was_out && !out) m_admission.RestartWarmup(WarmupReason::kReturned);
  m_was_out = out;
}

void SideNode::ApplyConfiguration(
    const std::shared_ptr<const state::ConfigView>& view,
    const state::Pool& pool) {
  const std::lock_guard lock(m_mutex);
  if (m_applied_config == view) return;
  // Another thread may hold a view from before the last change.
  if (m_applied_config && view->revision < m_applied_config->revision) return;
  m_applied_config = view;
  std::vector<state::BackendServerId> others;
  for (const state::BackendServer& member : view->Members(pool.id)) {
    if (member.id == m_self || !view->TakesNewWork(member.id)) continue;
    others.push_back(member.id);
  }
  m_other_members = static_cast<std::int64_t>(others.size());
  m_loads.Track(others, m_hooks.clock());
  m_admission.Configure(pool);
}

protocol::Result<std::int64_t> SideNode::AdmitCost(
    const SubmitRequest& request) {
  const std::lock_guard lock(m_mutex);
  return m_admission.Admit(CostOf(request), m_loads.TrackedSum(m_hooks.clock()),
                           m_other_members);
}

SubmitReply SideNode::SubmitKeyed(const SubmitRequest& request,
                                  const state::Pool& pool) {
  const KeyedCall call = ToKeyedCall(request, pool);
  if (!m_ledger.OwnsShard(call.shard)) {
    const std::lock_guard lock(m_mutex);
    const auto owner = m_owners.find(call.shard);
    return Refused({ErrorKind::kNotOwner, "", {}},
                   owner == m_owners.end() ? "" : owner->second.value);
  }
  const auto admitted = AdmitCost(request);
  if (!admitted) return Refused(admitted.error());
  const auto answer = std::make_shared<state::Attempt>();
  if (!Insert(request, answer, true, *admitted)) {
    m_admission.Finish(CostOf(request), *admitted, false);
    return Refused({ErrorKind::kTombstoned, "", {}});
  }
  const LedgerDecision decision = m_ledger.Begin(call);
  if (decision.action == LedgerDecision::Action::kAwaitCommit) {
    m_hooks.wake_committer();
    return Admitted();
  }
  if (decision.action != LedgerDecision::Action::kRefuse) {
    ApplyDecision(decision);
    return Admitted();
  }
  ApplyDecision(decision);
  return Refused(decision.error);
}

SubmitReply SideNode::SubmitUnkeyed(const SubmitRequest& request) {
  const auto admitted = AdmitCost(request);
  if (!admitted) return Refused(admitted.error());
  const auto answer = std::make_shared<state::Attempt>();
  if (!Insert(request, answer, false, *admitted)) {
    m_admission.Finish(CostOf(request), *admitted, false);
    return Refused({ErrorKind::kTombstoned, "", {}});
  }
  const state::AttemptId attempt(request.attempt_id);
  if (m_quarantine.Begin(attempt, request.fingerprint)) {
    m_hooks.run(request, answer);
  }
  return Admitted();
}

protocol::Result<void> SideNode::CheckQuarantine(const SubmitRequest& request) {
  if (m_quarantine.IsCoolingDown()) return Fail(ErrorKind::kNoBackendServer);
  if (request.fingerprint.empty()) return {};
  switch (m_quarantine.Judge(request.fingerprint, request.last_resort)) {
    case QuarantineVerdict::kRun:
      return {};
    case QuarantineVerdict::kRunAlone:
      if (m_quarantine.Waiting() < kMaxQueuedSuspects) return {};
      return Fail(ErrorKind::kOverloaded, "suspected of a crash");
    case QuarantineVerdict::kNotHere:
      return Fail(ErrorKind::kOverloaded, "suspected of a crash");
    case QuarantineVerdict::kQuarantined:
      return Fail(ErrorKind::kQuarantined);
  }
  return Fail(ErrorKind::kInternal);
}

void SideNode::StartQueued(const state::AttemptId& attempt) {
  const auto waiting = m_attempts.WithShard(
      attempt, [&](auto& table) -> std::optional<SideAttempt> {
        const auto found = table.find(attempt);
        if (found == table.end()) return std::nullopt;
        return found->second;
      });
  if (!waiting) return;
  SubmitRequest request = waiting->request;
  const auto waited = std::chrono::duration_cast<milliseconds>(
      m_hooks.clock() - waiting->created_at);
  request.deadline_ms -= waited.count();
  ErrorKind refusal = ErrorKind::kInternal;
  const bool quarantined =
      Crashes().Count(request.fingerprint, m_hooks.clock()) >=
      kQuarantineCrashes;
  if (quarantined) refusal = ErrorKind::kQuarantined;
  if (request.deadline_ms <= 0) refusal = ErrorKind::kDeadlineTooShort;
  if (waiting->answer->IsCancelled()) refusal = ErrorKind::kTombstoned;
  if (m_quarantine.IsCoolingDown()) refusal = ErrorKind::kNoBackendServer;
  if (refusal == ErrorKind::kInternal) {
    m_hooks.run(request, waiting->answer);
    return;
  }
  waiting->answer->Finish(RowOf(refusal).name, "");
  OnRunEnded(attempt);
}

void SideNode::ApplyDecision(const LedgerDecision& decision) {
  using Action = LedgerDecision::Action;
  const std::shared_ptr<state::Attempt> answer = AnswerOf(decision.attempt);
  if (!answer) return;
  switch (decision.action) {
    case Action::kAwaitCommit:
      return;
    case Action::kRun: {
      const SubmitRequest request = m_attempts.WithShard(
          decision.attempt,
          [&](auto& table) { return table.at(decision.attempt).request; });
      m_hooks.run(request, answer);
      return;
    }
    case Action::kJoin: {
      const std::shared_ptr<state::Attempt> joined =
          AnswerOf(decision.joined_attempt);
      ReleaseAdmission(decision.attempt, false);
      if (!joined) {
        answer->Finish(RowOf(ErrorKind::kOutcomeUnknown).name, "");
        return;
      }
      m_attempts.WithShard(decision.attempt, [&](auto& table) {
        table.at(decision.attempt).answer = joined;
      });
      return;
    }
    case Action::kReplay:
      ReleaseAdmission(decision.attempt, false);
      answer->Replay(decision.outcome.body, decision.outcome.end);
      return;
    case Action::kRefuse:
      ReleaseAdmission(decision.attempt, false);
      answer->Finish(RowOf(decision.error.kind).name, decision.error.detail);
      return;
  }
}

Warmth SideNode::ClassifyAnswer(const state::AttemptId& attempt,
                                const state::AttemptChunk& full_answer) {
  AnswerStats stats;
  const bool known = m_attempts.WithShard(attempt, [&](auto& table) {
    const auto found = table.find(attempt);
    if (found == table.end()) return false;
    const SideAttempt& record = found->second;
    stats.chat_hash = state::FastHash(
        record.request.chat_id, state::FastHash(record.request.workspace));
    if (!record.first_data_at) return true;
    stats.first_token = *record.first_data_at - record.created_at;
    return true;
  });
  if (!known) return Warmth::kSlow;
  stats.complete = full_answer.end.error_kind.empty();
  const bool failed =
      full_answer.end.error_kind == RowOf(ErrorKind::kBackendServerFailed).name;
  // Other errors, such as a cancelled call, say nothing about the engine.
  if (!stats.complete && !failed) return Warmth::kSlow;
  const auto usage = protocol::ParseUsage(full_answer.data);
  if (usage) {
    stats.prompt_tokens = usage->prompt_tokens;
    stats.cached_tokens = usage->cached_tokens;
    m_prompt_tokens += usage->prompt_tokens;
    m_cached_tokens += usage->cached_tokens.value_or(0);
  }
  return m_cold_detector.OnAnswer(stats);
}

void SideNode::ReleaseAdmission(const state::AttemptId& attempt, bool fast) {
  m_attempts.WithShard(attempt, [&](auto& table) {
    const auto found = table.find(attempt);
    if (found == table.end() || !found->second.admitted) return;
    SideAttempt& record = found->second;
    record.admitted = false;
    m_admission.Finish(CostOf(record.request), record.warmup, fast);
  });
}

std::string SideNode::FingerprintOfAttempt(const state::AttemptId& attempt) {
  return m_attempts.WithShard(attempt, [&](auto& table) {
    const auto found = table.find(attempt);
    return found == table.end() ? std::string()
                                : found->second.request.fingerprint;
  });
}

std::shared_ptr<state::Attempt> SideNode::AnswerOf(
    const state::AttemptId& attempt) {
  return m_attempts.WithShard(attempt, [&](auto& table) {
    const auto found = table.find(attempt);
    return found == table.end() ? nullptr : found->second.answer;
  });
}

void SideNode::OnFirstData(const state::AttemptId& attempt) {
  m_attempts.WithShard(attempt, [&](auto& table) {
    const auto found = table.find(attempt);
    if (found != table.end()) found->second.first_data_at = m_hooks.clock();
  });
}

bool SideNode::Insert(const SubmitRequest& request,
                      const std::shared_ptr<state::Attempt>& answer, bool keyed,
                      std::int64_t warmup) {
  const state::AttemptId attempt(request.attempt_id);
  return m_attempts.WithShard(attempt, [&](auto& table) {
    const auto [entry, inserted] = table.try_emplace(attempt);
    if (!inserted) return false;
    entry->second.request = request;
    entry->second.answer = answer;
    entry->second.keyed = keyed;
    entry->second.admitted = true;
    entry->second.warmup = warmup;
    entry->second.created_at = m_hooks.clock();
    if (!request.streaming) return true;
    answer->SetOnFirstData([this, attempt] { OnFirstData(attempt); });
    return true;
  });
}

}  // namespace wasabiwall::coordination
