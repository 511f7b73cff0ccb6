#include "routing/fleet_model.h"

#include <algorithm>
#include <array>
#include <utility>

#include "wasabiwall/protocol/encoded_size.h"
#include "wasabiwall/state/digest.h"

namespace wasabiwall::bench {
namespace {

using coordination::CallerRequest;
using coordination::CallPlan;
using coordination::ClockHook;
using coordination::ControlBudget;
using coordination::DeliveryFailure;
using coordination::EntryNode;
using coordination::EntryNodeHooks;
using coordination::LoadReportSelector;
using coordination::RandomHook;
using coordination::SideNode;
using coordination::SideNodeHooks;
using coordination::Step;
using coordination::StepKind;
using coordination::TimePoint;
using protocol::gen::Envelope;
using protocol::gen::StatusRequest;
using protocol::gen::SubmitReply;
using protocol::gen::SubmitRequest;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::uint64_t kSeed = 20261203;
constexpr int kWorkspaces = 10;
constexpr std::int64_t kOutputTokens = 100;
constexpr std::int64_t kFirstPromptTokens = 1500;
constexpr std::int64_t kTokensPerTurn = 100;
constexpr std::int64_t kMaxPromptTokens = 4000;
constexpr double kPrefillTokensPerSecond = 8000.0;
constexpr milliseconds kOutputTime{2000};
constexpr microseconds kHop{1000};
constexpr milliseconds kConfigurationLag{2000};
constexpr milliseconds kReplacementTime{10000};
constexpr milliseconds kProbeInterval{200};
constexpr milliseconds kSampleInterval{100};
constexpr milliseconds kDeadline{30000};
constexpr milliseconds kLateFirstToken{690};
constexpr milliseconds kMoveAftermath{10000};
constexpr std::size_t kProbesPerRound = 8;
constexpr std::size_t kOracleCandidates = 8;
/// Cache of an engine as a multiple of its share of all chats.
constexpr double kCacheShare = 1.5;
constexpr double kChurnPerMinute = 0.1;

TimePoint At(Seconds time) {
  return TimePoint(std::chrono::duration_cast<microseconds>(time));
}

}  // namespace

FleetModel::FleetModel(const Size& size, std::string_view policy,
                       const Limits& limits)
    : m_size(size),
      m_limits(limits),
      m_all_knowing(policy == kAllKnowing),
      m_arrivals(kSeed),
      m_churn(kSeed + 1),
      m_random(kSeed + 2),
      m_workers(static_cast<std::size_t>(size.workers)),
      m_entries(static_cast<std::size_t>(size.entries)) {
  const double chats = size.calls_per_second * size.pause.count();
  m_cache_tokens =
      static_cast<std::int64_t>(kCacheShare * chats * 2000 / size.workers);
  Configure(m_all_knowing ? "rendezvous_bounded" : policy);
  for (int i = 0; i < size.workers; ++i) {
    Worker& worker = m_workers[static_cast<std::size_t>(i)];
    worker.id = state::BackendServerId("engine-" + std::to_string(i));
    worker.domain = i % size.domains;
    worker.pool = i / size.domains % size.pools;
    worker.cache = PrefixCache(m_cache_tokens);
    m_worker_by_id[worker.id.value] = &worker;
    StartSide(&worker);
  }
  for (int i = 0; i < size.entries; ++i) {
    Entry& entry = m_entries[static_cast<std::size_t>(i)];
    entry.address = "entry-" + std::to_string(i);
    entry.node = std::make_unique<EntryNode>(&m_entry_config, kDeadline,
                                             EntryNodeHooks{Clock(), Random()});
    entry.budget = std::make_unique<ControlBudget>(
        m_limits.control_bytes_per_second, Clock());
    entry.news =
        std::make_unique<LoadReportSelector>("", entry.budget.get(), Clock());
  }
}

void FleetModel::Schedule(TimePoint at, std::function<void()> action) {
  m_events.push({at, m_event_number++, std::move(action)});
}

void FleetModel::After(microseconds delay, std::function<void()> action) {
  Schedule(m_now + delay, std::move(action));
}

ClockHook FleetModel::Clock() {
  return [this] { return m_now; };
}

RandomHook FleetModel::Random() {
  return [this] { return m_random(); };
}

double FleetModel::Exponential(Seconds mean) {
  return std::exponential_distribution<double>(1.0 / mean.count())(m_arrivals);
}

bool FleetModel::InMove(TimePoint time) const {
  return time >= At(m_size.domain_out) &&
         time < At(m_size.domain_back) + kMoveAftermath;
}

bool FleetModel::DomainOut() const {
  return m_now >= At(m_size.domain_out) && m_now < At(m_size.domain_back);
}

void FleetModel::Configure(std::string_view policy) {
  std::vector<state::ConfigItem> items;
  ++m_revision;
  const auto add = [&](state::ItemKind kind, const std::string& name,
                       nlohmann::json content) {
    items.push_back(
        {kind, name, m_revision, m_revision, false, std::move(content)});
  };
  for (int i = 0; i < kWorkspaces; ++i) {
    const std::string name = "w" + std::to_string(i);
    add(state::ItemKind::kWorkspace, name,
        {{"token_digest", state::Sha256Hex(name)}});
  }
  for (int i = 0; i < m_size.domains; ++i) {
    add(state::ItemKind::kFailureDomain, std::to_string(i), {{"state", "in"}});
  }
  for (int i = 0; i < m_size.pools; ++i) {
    const std::string name = "p" + std::to_string(i);
    add(state::ItemKind::kPool, name,
        {{"models", {name}},
         {"policy", policy},
         {"load_floor_units", m_limits.load_floor_units}});
  }
  for (int i = 0; i < m_size.workers; ++i) {
    add(state::ItemKind::kBackendServer, "engine-" + std::to_string(i),
        {{"pool", "p" + std::to_string(i / m_size.domains % m_size.pools)},
         {"failure_domain", std::to_string(i % m_size.domains)}});
  }
  m_side_config.Apply(items);
  m_entry_config.Apply(items);
}

void FleetModel::SetDomain(state::ConfigStore* config, const char* placement) {
  ++m_revision;
  config->Apply({{state::ItemKind::kFailureDomain,
                  "0",
                  m_revision,
                  m_revision,
                  false,
                  {{"state", placement}}}});
}

void FleetModel::StartSide(Worker* worker) {
  worker->side = std::make_unique<SideNode>(
      worker->id, &m_side_config,
      SideNodeHooks{
          .clock = Clock(),
          .random = Random(),
          .run = [this, worker](
                     const auto& request,
                     const auto& answer) { StartRun(worker, request, answer); },
          .wake_committer = [] {}});
  worker->budget = std::make_unique<ControlBudget>(
      m_limits.control_bytes_per_second, Clock());
  worker->news = std::make_unique<LoadReportSelector>(
      worker->id.value, worker->budget.get(), Clock());
}

Envelope FleetModel::EnvelopeOf(Entry* entry,
                                const state::BackendServerId& target) {
  Envelope envelope;
  envelope.sender = entry->address;
  envelope.loads = entry->news->Select(
      target.value, false, [entry] { return entry->node->LoadReports(); });
  entry->node->Stamp(target.value, &envelope);
  return envelope;
}

void FleetModel::Arrive(const std::string& chat, int workspace, int turn) {
  const double pause = Exponential(m_size.pause);
  Schedule(m_now + std::chrono::duration_cast<microseconds>(Seconds(pause)),
           [=, this] { Arrive(chat, workspace, turn + 1); });
  const auto entry = static_cast<std::size_t>(m_arrivals() % m_entries.size());
  const std::int64_t prompt =
      std::min(kMaxPromptTokens, kFirstPromptTokens + turn * kTokensPerTurn);
  const std::string pool =
      "p" + std::to_string(state::FastHash(chat) %
                           static_cast<std::uint64_t>(m_size.pools));
  CallerRequest caller;
  caller.token = "w" + std::to_string(workspace);
  caller.chat_id = chat;
  // Costs one unit for the empty prompt.
  caller.body = R"({"model":")" + pool + R"(","max_tokens":)" +
                std::to_string(prompt + kOutputTokens - 1) +
                R"(,"messages":[{"role":"user","content":""}]})";
  const auto call = std::make_shared<Call>();
  call->entry = &m_entries[entry];
  call->arrived = m_now;
  auto planned = call->entry->node->PlanChat(caller);
  if (!planned) {
    ++m_result.refused;
    return;
  }
  call->planned = std::move(*planned);
  if (m_all_knowing) OrderByKnowledge(call.get(), chat);
  call->plan =
      std::make_unique<CallPlan>(call->entry->node->MakePlan(call->planned));
  Carry(call, call->plan->Start(m_now));
}

void FleetModel::OrderByKnowledge(Call* call, const std::string& chat) {
  struct Choice {
    bool fits;
    std::int64_t cached;
    std::int64_t load;
    const Worker* worker;
  };
  const SubmitRequest& request = call->planned.request;
  std::vector<Choice> choices;
  std::int64_t sum = 0;
  for (const Worker& worker : m_workers) {
    if ("p" + std::to_string(worker.pool) != request.pool || !worker.up)
      continue;
    if (worker.domain == 0 && DomainOut()) continue;
    const std::int64_t load = worker.side->Admission().LoadUnits();
    sum += load;
    choices.push_back(
        {load + request.cost_units <= worker.side->Admission().WarmupUnits(),
         worker.cache.Tokens(chat), load, &worker});
  }
  const double bound = std::max<double>(
      m_limits.load_floor_units,
      1.25 * static_cast<double>(sum) / static_cast<double>(choices.size()));
  for (Choice& choice : choices) {
    const std::int64_t load = choice.load + request.cost_units;
    choice.fits = choice.fits && static_cast<double>(load) <= bound;
  }
  const std::size_t count = std::min(kOracleCandidates, choices.size());
  std::partial_sort(choices.begin(),
                    choices.begin() + static_cast<std::ptrdiff_t>(count),
                    choices.end(), [](const Choice& a, const Choice& b) {
                      if (a.fits != b.fits) return a.fits;
                      if (a.cached != b.cached) return a.cached > b.cached;
                      return a.load < b.load;
                    });
  call->planned.order.clear();
  for (std::size_t i = 0; i < count; ++i) {
    call->planned.order.push_back(choices[i].worker->id);
  }
}

void FleetModel::Carry(const CallPtr& call, const Step& step) {
  switch (step.kind) {
    case StepKind::kSubmit:
      return Submit(call, step);
    case StepKind::kPull:
      return Pull(call, step);
    case StepKind::kTombstone:
      return Tombstone(call, step);
    case StepKind::kWait:
      return After(step.wait,
                   [=, this] { Carry(call, call->plan->OnWaited(m_now)); });
    default:
      return End(call, step);
  }
}

void FleetModel::Submit(const CallPtr& call, const Step& step) {
  if (m_now >= At(m_size.warmup)) ++m_submits;
  SubmitRequest request = call->planned.request;
  request.envelope = EnvelopeOf(call->entry, step.target);
  request.attempt_id = step.attempt.value;
  request.deadline_ms = kDeadline.count();
  Worker* worker = m_worker_by_id.at(step.target.value);
  After(kHop, [=, this] {
    if (!worker->up) {
      return After(kHop, [=, this] {
        call->entry->node->Members().OnFailure(worker->id, m_now);
        Carry(call, call->plan->OnSubmitFailed(m_now,
                                               DeliveryFailure::kNotDelivered));
      });
    }
    SubmitReply reply = worker->side->Submit(request);
    reply.envelope.loads =
        worker->news->Select(request.envelope.sender, !reply.admitted,
                             [worker] { return worker->side->LoadReports(); });
    worker->side->Stamp(request.envelope.sender, &reply.envelope);
    After(kHop, [=, this] { Replied(call, worker, reply); });
  });
}

void FleetModel::Replied(const CallPtr& call, Worker* worker,
                         const SubmitReply& reply) {
  call->entry->node->Members().OnSuccess(worker->id);
  call->entry->node->ObserveEnvelope(worker->id.value, reply.envelope);
  if (reply.admitted) return Carry(call, call->plan->OnAdmitted(m_now));
  protocol::Error error{protocol::ParseErrorKind(reply.error_kind)
                            .value_or(protocol::ErrorKind::kInternal),
                        reply.detail,
                        {}};
  Carry(call, call->plan->OnRefused(m_now, error, {}));
}

void FleetModel::Pull(const CallPtr& call, const Step& step) {
  const std::string id = step.attempt.value;
  Worker* worker = m_worker_by_id.at(step.target.value);
  After(kHop, [=, this] {
    const auto attempt = m_attempts.find(id);
    const bool gone = !worker->up || attempt == m_attempts.end() ||
                      attempt->second.epoch != worker->epoch;
    if (gone) return PullFailed(call, worker);
    if (attempt->second.ended) return Answer(id, call);
    attempt->second.waiting = call;
  });
}

void FleetModel::Tombstone(const CallPtr& call, const Step& step) {
  Worker* worker = m_worker_by_id.at(step.target.value);
  After(2 * kHop, [=, this] {
    if (!worker->up) return Carry(call, call->plan->OnTombstoneFailed(m_now));
    protocol::gen::TombstoneRequest request;
    request.attempt_id = step.attempt.value;
    const bool never = worker->side->Tombstone(request).never_started;
    Carry(call, call->plan->OnTombstone(m_now, never));
  });
}

void FleetModel::StartRun(Worker* worker, const SubmitRequest& request,
                          const std::shared_ptr<state::Attempt>& answer) {
  const std::int64_t prompt = request.cost_units - kOutputTokens;
  const std::int64_t reused =
      std::min(prompt, worker->cache.Tokens(request.chat_id));
  if (m_now >= At(m_size.warmup)) {
    m_result.prompt_tokens += prompt;
    m_result.reused_tokens += reused;
  }
  if (worker->domain == 0 && DomainOut() &&
      m_now > At(m_size.domain_out) + milliseconds(2000)) {
    ++m_result.move_started;
  }
  const Seconds prefill(static_cast<double>(prompt - reused) /
                        kPrefillTokensPerSecond);
  const auto prefill_time = std::chrono::duration_cast<microseconds>(prefill);
  worker->cache.Put(request.chat_id, prompt + kOutputTokens);
  const std::string id = request.attempt_id;
  m_attempts[id] = {worker, worker->epoch, false, m_now + prefill_time, {}};
  After(prefill_time + kOutputTime, [=, this] { EndRun(id, answer); });
}

void FleetModel::EndRun(const std::string& id,
                        const std::shared_ptr<state::Attempt>& answer) {
  const auto found = m_attempts.find(id);
  if (found == m_attempts.end()) return;
  Attempt& attempt = found->second;
  if (attempt.epoch != attempt.worker->epoch) return;
  answer->Append("x");
  answer->Finish("", "");
  attempt.worker->side->OnRunEnded(state::AttemptId(id));
  attempt.ended = true;
  const CallPtr waiting = std::move(attempt.waiting);
  if (waiting) Answer(id, waiting);
}

void FleetModel::Answer(const std::string& id, const CallPtr& call) {
  const auto found = m_attempts.find(id);
  Worker* worker = found->second.worker;
  call->first_token = found->second.first_token + kHop;
  m_attempts.erase(found);
  Envelope envelope;
  envelope.loads = worker->news->Select(call->entry->address, false, [worker] {
    return worker->side->LoadReports();
  });
  worker->side->Stamp(call->entry->address, &envelope);
  After(kHop, [=, this] {
    call->entry->node->ObserveEnvelope(worker->id.value, envelope);
    Carry(call, call->plan->OnEnded(m_now, std::nullopt));
  });
}

void FleetModel::PullFailed(const CallPtr& call, Worker* worker) {
  After(kHop, [=, this] {
    call->entry->node->Members().OnFailure(worker->id, m_now);
    Carry(call, call->plan->OnPullFailed(m_now));
  });
}

void FleetModel::End(const CallPtr& call, const Step& step) {
  call->ended = true;
  if (call->arrived < At(m_size.warmup)) return;
  ++m_result.calls;
  const bool done = step.kind == StepKind::kDone;
  const bool refused = !done && protocol::RowOf(step.error.kind).not_run;
  const bool late = done && call->first_token - call->arrived > kLateFirstToken;
  m_result.refused += refused;
  m_result.late += late;
  m_result.lost += !done && !refused;
  if (!InMove(call->arrived)) return;
  m_result.move_refused += refused;
  m_result.move_late += late;
  m_result.move_lost += !done && !refused;
}

void FleetModel::Fail(Worker* worker) {
  worker->up = false;
  ++worker->epoch;
  worker->cache.Clear();
  std::vector<CallPtr> cut;
  std::erase_if(m_attempts, [&](auto& entry) {
    if (entry.second.worker != worker) return false;
    if (entry.second.waiting) cut.push_back(entry.second.waiting);
    return true;
  });
  for (const CallPtr& call : cut) PullFailed(call, worker);
  After(kReplacementTime, [this, worker] {
    StartSide(worker);
    worker->up = true;
  });
}

void FleetModel::FailOne() {
  const Seconds interval(60.0 / (kChurnPerMinute * m_size.workers));
  After(std::chrono::duration_cast<microseconds>(interval),
        [this] { FailOne(); });
  Worker& worker = m_workers[m_churn() % m_workers.size()];
  if (worker.up) Fail(&worker);
}

void FleetModel::ReturnDomain() {
  for (Worker& worker : m_workers) {
    if (worker.domain != 0) continue;
    worker.cache.Clear();
    worker.side->OnEngineCold();
  }
  SetDomain(&m_side_config, "in");
  After(kConfigurationLag, [this] { SetDomain(&m_entry_config, "in"); });
}

void FleetModel::Probe(Entry* entry) {
  After(kProbeInterval, [=, this] { Probe(entry); });
  for (const auto& target : entry->node->ProbeTargets(kProbesPerRound)) {
    StatusRequest request;
    request.envelope.sender = entry->address;
    entry->node->Stamp(target.value, &request.envelope);
    if (!entry->budget->TakeSpare(protocol::EncodedSize(request))) return;
    Worker* worker = m_worker_by_id.at(target.value);
    After(kHop, [=, this] {
      if (!worker->up) return;
      worker->side->ObserveEnvelope(request.envelope);
      Envelope reply;
      reply.loads = worker->news->Select(entry->address, false, [worker] {
        return worker->side->LoadReports();
      });
      worker->side->Stamp(entry->address, &reply);
      After(kHop, [=, this] {
        (void)this;
        entry->node->ObserveEnvelope(worker->id.value, reply);
      });
    });
  }
}

void FleetModel::Sample() {
  After(kSampleInterval, [this] { Sample(); });
  for (int pool = 0; pool < m_size.pools; ++pool) {
    std::int64_t sum = 0;
    std::int64_t max = 0;
    std::int64_t count = 0;
    for (const Worker& worker : m_workers) {
      const bool out = worker.domain == 0 && DomainOut();
      if (worker.pool != pool || !worker.up || out) continue;
      const std::int64_t load = worker.side->Admission().LoadUnits();
      sum += load;
      max = std::max(max, load);
      ++count;
    }
    if (sum == 0) continue;
    m_result.skew.push_back(static_cast<double>(max * count) /
                            static_cast<double>(sum));
  }
}

Result FleetModel::Run() {
  const int chats =
      static_cast<int>(m_size.calls_per_second * m_size.pause.count());
  for (int i = 0; i < chats; ++i) {
    // A few workspaces are large: shares of 1, 1/2, 1/3 and so on.
    std::array<double, kWorkspaces> shares{};
    for (int w = 0; w < kWorkspaces; ++w) {
      shares[static_cast<std::size_t>(w)] = 1.0 / (w + 1);
    }
    const int workspace = std::discrete_distribution<int>(
        shares.begin(), shares.end())(m_arrivals);
    const Seconds start(Exponential(m_size.pause));
    Schedule(At(start),
             [=, this] { Arrive("chat-" + std::to_string(i), workspace, 0); });
  }
  for (Entry& entry : m_entries) Probe(&entry);
  Schedule(At(m_size.warmup), [this] {
    Sample();
    FailOne();
    for (const Entry& entry : m_entries) {
      m_control_bytes_at_warmup +=
          static_cast<double>(entry.budget->SentBytes());
    }
  });
  Schedule(At(m_size.domain_out), [this] {
    SetDomain(&m_side_config, "out");
    After(kConfigurationLag, [this] { SetDomain(&m_entry_config, "out"); });
  });
  Schedule(At(m_size.domain_back), [this] { ReturnDomain(); });
  while (!m_events.empty() && m_events.top().at < At(m_size.end)) {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.at;
    event.action();
  }
  double bytes = -m_control_bytes_at_warmup;
  for (const Entry& entry : m_entries) {
    bytes += static_cast<double>(entry.budget->SentBytes());
  }
  const Seconds measured = m_size.end - m_size.warmup;
  m_result.control_bytes = bytes / m_size.entries / measured.count();
  m_result.refused_hops_per_call =
      static_cast<double>(m_submits) / std::max(1, m_result.calls) - 1.0;
  return m_result;
}

}  // namespace wasabiwall::bench
