#include "wasabiwall/coordination/entry_node.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <utility>

#include "wasabiwall/coordination/crash_record_codec.h"
#include "wasabiwall/coordination/idempotency_ledger.h"
#include "wasabiwall/coordination/load_reports.h"
#include "wasabiwall/coordination/quarantine.h"
#include "wasabiwall/coordination/request_fingerprint.h"
#include "wasabiwall/coordination/routing_policies.h"
#include "wasabiwall/coordination/shard_ownership.h"
#include "wasabiwall/protocol/chat_request.h"
#include "wasabiwall/state/digest.h"

namespace wasabiwall::coordination {
namespace {

using protocol::ErrorKind;
using protocol::Fail;
using protocol::gen::LoadReport;
using std::chrono::milliseconds;

constexpr milliseconds kSuspectTime{2000};
constexpr milliseconds kLoadMaxAge{2000};
constexpr milliseconds kCandidateRefresh{100};
/// Newest loads from which the reports for a peer are selected.
/// Time after a pool's last call for which its backend servers are probed.
constexpr milliseconds kPoolProbeTime{10000};
/// More than the attempts that a CallPlan makes without waits or crashes.
constexpr std::size_t kCandidatesPerCall = 8;
constexpr std::size_t kMaxKeyBytes = 255;
constexpr std::size_t kMaxChatIdBytes = 255;
constexpr std::int64_t kServiceCostUnits = 1;

std::string RandomHex(const RandomHook& random) {
  char text[33];
  std::snprintf(text, sizeof(text), "%016" PRIx64 "%016" PRIx64, random(),
                random());
  return text;
}

const state::ServiceCall* FindCall(const state::Service& service,
                                   const std::string& name) {
  for (const state::ServiceCall& call : service.calls) {
    if (call.name == name) return &call;
  }
  return nullptr;
}

}  // namespace

EntryNode::EntryNode(state::ConfigStore* config, milliseconds deadline,
                     EntryNodeHooks hooks)
    : m_config(config),
      m_deadline(deadline),
      m_hooks(std::move(hooks)),
      m_membership(kSuspectTime),
      m_loads(kLoadMaxAge),
      m_unreported(kLoadMaxAge),
      m_candidates(
          kCandidateRefresh,
          {.is_leaving =
               [this](const auto& id) { return m_membership.IsLeaving(id); },
           .reported_load =
               [this](const auto& id, TimePoint now) {
                 return m_loads.ReportedLoadOf(id, now);
               },
           .make_policy =
               [this](const auto& name) {
                 return MakeRoutingPolicy(name, m_hooks.random);
               }}),
      m_transit_time(m_hooks.clock, m_hooks.random()),
      m_retries(m_hooks.random) {}

protocol::Result<PlannedCall> EntryNode::PlanChat(const CallerRequest& call) {
  const auto view = m_config->View();
  const auto workspace = Authenticate(*view, call.token);
  if (!workspace) return tl::make_unexpected(workspace.error());
  const auto chat = protocol::ParseChatRequest(call.body);
  if (!chat) return tl::make_unexpected(chat.error());
  const auto pool = view->pool_by_model.find(chat->model);
  if (pool == view->pool_by_model.end()) return Fail(ErrorKind::kUnknownModel);
  if (call.chat_id.size() > kMaxChatIdBytes) {
    return Fail(ErrorKind::kBadRequest, "X-Chat-Id: at most 255 bytes");
  }
  PlannedCall planned;
  planned.streaming = chat->streaming;
  planned.spec = {.idempotent = true, .deadline = m_hooks.clock() + m_deadline};
  const std::string fingerprint = FingerprintOf({workspace->value, call.body});
  if (m_crashes.Count(fingerprint, m_hooks.clock()) >= kQuarantineCrashes) {
    return Fail(ErrorKind::kQuarantined);
  }
  std::string chat_id = call.chat_id.empty() ? chat->chat_id : call.chat_id;
  // Without a chat identifier, repeats of a body are routed by fingerprint to
  // the same backend servers, which hold the crash records of the body.
  if (chat_id.empty()) chat_id = fingerprint;
  planned.order = OrderCandidates(view, pool->second,
                                  {.workspace = *workspace,
                                   .chat = state::ChatId(chat_id),
                                   .cost_units = chat->CostUnits(),
                                   .max_results = kCandidatesPerCall});
  planned.request.workspace = workspace->value;
  planned.request.pool = pool->second.value;
  planned.request.chat_id = chat_id;
  planned.request.path = "/v1/chat/completions";
  planned.request.method = "POST";
  planned.request.body = call.body;
  planned.request.cost_units = chat->CostUnits();
  planned.request.idempotent = true;
  planned.request.streaming = chat->streaming;
  planned.request.fingerprint = fingerprint;
  return planned;
}

protocol::Result<PlannedCall> EntryNode::PlanService(
    const std::string& service_name, const std::string& call_name,
    const CallerRequest& call) {
  const auto view = m_config->View();
  const auto workspace = Authenticate(*view, call.token);
  if (!workspace) return tl::make_unexpected(workspace.error());
  const auto service = view->services.find(service_name);
  if (service == view->services.end()) return Fail(ErrorKind::kUnknownService);
  const state::ServiceCall* declared = FindCall(service->second, call_name);
  if (declared == nullptr) return Fail(ErrorKind::kUnknownCall);
  if (call.idempotency_key.size() > kMaxKeyBytes) {
    return Fail(ErrorKind::kBadRequest, "Idempotency-Key: at most 255 bytes");
  }
  const auto pool = view->pools.find(service->second.pool.value);
  if (pool == view->pools.end()) return Fail(ErrorKind::kNoBackendServer);
  PlannedCall planned;
  const bool keyed = !declared->idempotent && !call.idempotency_key.empty();
  planned.spec = {.idempotent = declared->idempotent,
                  .keyed = keyed,
                  .deadline = m_hooks.clock() + m_deadline};
  planned.request.path = "/" + service_name + "/" + call_name + call.query;
  // Calls with a key run at the owner of the key's shard, whatever it saw.
  if (!keyed) {
    planned.request.fingerprint =
        FingerprintOf({workspace->value, planned.request.path, call.body});
  }
  // Repeats are routed to the backend servers that hold their crash records.
  const std::string routing_key =
      keyed ? call.idempotency_key : planned.request.fingerprint;
  RoutingQuery query{.workspace = *workspace,
                     .chat = state::ChatId(routing_key),
                     .cost_units = kServiceCostUnits};
  // The owner of a shard may be any candidate.
  if (!keyed) query.max_results = kCandidatesPerCall;
  planned.order = OrderCandidates(view, pool->second.id, query);
  if (keyed) {
    const std::int64_t shard =
        ShardOf(*workspace, call.idempotency_key, pool->second.key_shards);
    planned.order = RankOwners(pool->second.id, shard, planned.order);
  }
  planned.request.workspace = workspace->value;
  planned.request.pool = pool->second.id.value;
  planned.request.method = call.method;
  planned.request.body = call.body;
  planned.request.cost_units = kServiceCostUnits;
  planned.request.idempotent = declared->idempotent;
  planned.request.idempotency_key = call.idempotency_key;
  planned.request.body_digest = state::Sha256Hex(
      call.method + "\n" + planned.request.path + "\n" + call.body);
  return planned;
}

CallPlan EntryNode::MakePlan(const PlannedCall& call) {
  PoolRetryBudget& budget = m_retries.Of(call.request.pool).budget;
  budget.OnFirstAttempt();
  return {call.spec,
          call.order,
          {.new_attempt =
               [this] { return state::AttemptId(RandomHex(m_hooks.random)); },
           .take_retry = [&budget] { return budget.TakeRetry(); },
           .take_resubmit = [&budget] { return budget.TakeResubmit(); },
           .known_crashes =
               [this, fingerprint = call.request.fingerprint] {
                 return m_crashes.Count(fingerprint, m_hooks.clock());
               }}};
}

void EntryNode::OnAnswered(const PlannedCall& call) {
  PoolRetryState& retries = m_retries.Of(call.request.pool);
  retries.budget.OnAnswered();
  retries.retry_after_scheduler.OnAnswered(m_hooks.clock());
}

protocol::Error EntryNode::WithRetryAfter(const std::string& pool,
                                          protocol::Error error) {
  error.retry_after = m_retries.Of(pool).retry_after_scheduler.Next(
      error.RetryAfter(), m_hooks.clock());
  return error;
}

void EntryNode::ObserveEnvelope(const std::string& address,
                                const protocol::gen::Envelope& envelope) {
  m_crashes.Observe(FromThrift(envelope.crashes), m_hooks.clock());
  const auto transit = m_transit_time.OnMessage(address, envelope);
  if (transit) ObserveLoads(envelope.loads, *transit);
}

void EntryNode::ObserveLoads(const std::vector<LoadReport>& reports,
                             std::chrono::microseconds transit) {
  const TimePoint sent_at = m_hooks.clock() - transit;
  for (const LoadReport& report : reports) {
    const state::BackendServerId server(report.backend_server);
    const TimePoint observed_at = sent_at - milliseconds(report.age_ms);
    m_loads.Observe(
        {server, report.load_units, report.warmup_limit_units, observed_at});
    m_unreported.OnReport(server, observed_at);
  }
}

std::vector<state::BackendServerId> EntryNode::ProbeTargets(std::size_t count) {
  const TimePoint now = m_hooks.clock();
  std::vector<state::BackendServerId> unknown;
  for (const auto& table : m_candidates.UsedSince(now - kPoolProbeTime)) {
    for (const Candidate& candidate : table->candidates) {
      if (m_loads.ReportedLoadOf(candidate.id, now)) continue;
      if (m_membership.IsSuspect(candidate.id, now)) continue;
      unknown.push_back(candidate.id);
    }
  }
  const std::size_t drawn = std::min(count, unknown.size());
  for (std::size_t i = 0; i < drawn; ++i) {
    const std::size_t other = i + m_hooks.random() % (unknown.size() - i);
    std::swap(unknown[i], unknown[other]);
  }
  unknown.resize(drawn);
  return unknown;
}

std::vector<LoadReport> EntryNode::LoadReports() const {
  return LoadReportsOf(m_loads, m_hooks.clock());
}

protocol::Result<state::WorkspaceId> EntryNode::Authenticate(
    const state::ConfigView& view, const std::string& token) const {
  if (token.empty()) return Fail(ErrorKind::kUnauthorized);
  const std::string digest = state::Sha256Hex(token);
  const auto found = view.workspace_by_digest.find(digest);
  if (found == view.workspace_by_digest.end()) {
    return Fail(ErrorKind::kUnauthorized);
  }
  return found->second;
}

std::vector<state::BackendServerId> EntryNode::OrderCandidates(
    const std::shared_ptr<const state::ConfigView>& view,
    const state::PoolId& pool, RoutingQuery query) {
  const TimePoint now = m_hooks.clock();
  const auto table = m_candidates.Get(view, pool, now);
  if (!table) return {};
  query.candidates = table->candidates;
  query.max_load_ratio = table->pool.max_load_ratio;
  query.load_floor_units = table->pool.load_floor_units;
  query.reported_mean_units = table->reported_mean_units;
  query.ring = table->ring.get();
  query.load_of = [&](const Candidate& candidate) {
    return m_loads.LoadOf(candidate.id, now) +
           m_unreported.Of(candidate.id, now);
  };
  std::vector<state::BackendServerId> order;
  for (const std::size_t index : table->policy(query)) {
    const state::BackendServerId& id = table->candidates[index].id;
    if (!m_membership.IsLeaving(id)) order.push_back(id);
  }
  std::stable_partition(order.begin(), order.end(), [&](const auto& id) {
    return !m_membership.IsSuspect(id, now);
  });
  if (!order.empty()) m_unreported.Add(order.front(), query.cost_units, now);
  return order;
}

}  // namespace wasabiwall::coordination
