// Compares routing policies on the decision classes alone: many entry and side
// nodes in one process on virtual time, engines modelled as prefix caches.
// Usage: bench-routing-policies CONTROL_BYTES_PER_SECOND FLOOR_UNITS [SIZE...]
#include "wasabiwall/coordination/routing_policies.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <list>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "wasabiwall/coordination/entry_node.h"
#include "wasabiwall/coordination/load_report_selector.h"
#include "wasabiwall/coordination/side_node.h"
#include "wasabiwall/protocol/encoded_size.h"
#include "wasabiwall/state/digest.h"

namespace wasabiwall::coordination {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;
using protocol::gen::Envelope;
using protocol::gen::StatusRequest;
using protocol::gen::SubmitReply;
using protocol::gen::SubmitRequest;

constexpr std::uint64_t kSeed = 20261203;
constexpr std::string_view kAllKnowing = "all_knowing";
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

/// Settings that the profiles trade.
struct Limits {
  std::int64_t control_bytes_per_second;
  std::int64_t load_floor_units;
};

struct Size {
  const char* name;
  int domains;
  int workers;
  int entries;
  int pools;
  double calls_per_second;
  /// Mean pause between two turns of a chat.
  Seconds pause;
  Seconds warmup;
  Seconds domain_out;
  Seconds domain_back;
  Seconds end;
};

constexpr std::array<Size, 5> kSizes = {{
    {"consortium", 3, 20, 4, 1, 70, Seconds(20), Seconds(40), Seconds(80),
     Seconds(110), Seconds(160)},
    {"caerwyn", 3, 12, 4, 1, 40, Seconds(20), Seconds(40), Seconds(80),
     Seconds(110), Seconds(160)},
    {"50/210", 7, 210, 50, 1, 735, Seconds(5), Seconds(10), Seconds(20),
     Seconds(27), Seconds(40)},
    {"200/840", 7, 840, 200, 4, 2940, Seconds(4), Seconds(6), Seconds(11),
     Seconds(16), Seconds(24)},
    {"1000/4200", 7, 4200, 1000, 17, 14700, Seconds(3), Seconds(4), Seconds(7),
     Seconds(9), Seconds(13)},
}};

TimePoint At(Seconds time) {
  return TimePoint(std::chrono::duration_cast<microseconds>(time));
}

/// Prefix cache of an engine: whole chats, least recently used goes first.
class PrefixCache {
 public:
  explicit PrefixCache(std::int64_t capacity_tokens)
      : m_capacity_tokens(capacity_tokens) {}

  std::int64_t Tokens(const std::string& chat) const {
    const auto found = m_entries.find(chat);
    return found == m_entries.end() ? 0 : found->second->tokens;
  }

  void Put(const std::string& chat, std::int64_t tokens) {
    Erase(chat);
    m_order.push_front({chat, tokens});
    m_entries[chat] = m_order.begin();
    m_tokens += tokens;
    while (m_tokens > m_capacity_tokens)
      Erase(std::string(m_order.back().chat));
  }

  void Clear() {
    m_entries.clear();
    m_order.clear();
    m_tokens = 0;
  }

 private:
  struct Entry {
    std::string chat;
    std::int64_t tokens;
  };

  void Erase(const std::string& chat) {
    const auto found = m_entries.find(chat);
    if (found == m_entries.end()) return;
    m_tokens -= found->second->tokens;
    m_order.erase(found->second);
    m_entries.erase(found);
  }

  std::int64_t m_capacity_tokens;
  std::int64_t m_tokens = 0;
  std::list<Entry> m_order;
  std::unordered_map<std::string, std::list<Entry>::iterator> m_entries;
};

struct Result {
  std::int64_t prompt_tokens = 0;
  std::int64_t reused_tokens = 0;
  std::vector<double> skew;
  double control_bytes = 0;
  double refused_hops_per_call = 0;
  int calls = 0;
  int refused = 0;
  int late = 0;
  int lost = 0;
  /// Through the move of the domain and a while after it.
  int move_refused = 0;
  int move_late = 0;
  int move_lost = 0;
  /// Runs started at the domain more than two seconds after it was taken out.
  int move_started = 0;
};

/// One run of one policy at one size.
class Fleet {
 public:
  Fleet(const Size& size, std::string_view policy, const Limits& limits);
  Result Run();

 private:
  struct Worker {
    state::BackendServerId id;
    int domain = 0;
    int pool = 0;
    bool up = true;
    int epoch = 0;
    std::unique_ptr<SideNode> side;
    std::unique_ptr<ControlBudget> budget;
    std::unique_ptr<LoadReportSelector> news;
    PrefixCache cache{0};
  };

  struct Entry {
    std::string address;
    std::unique_ptr<EntryNode> node;
    std::unique_ptr<ControlBudget> budget;
    std::unique_ptr<LoadReportSelector> news;
  };

  struct Call {
    Entry* entry = nullptr;
    PlannedCall planned;
    std::unique_ptr<CallPlan> plan;
    TimePoint arrived;
    TimePoint first_token;
    bool ended = false;
  };
  using CallPtr = std::shared_ptr<Call>;

  struct Attempt {
    Worker* worker = nullptr;
    int epoch = 0;
    bool ended = false;
    TimePoint first_token;
    /// Call that waits for the answer.
    CallPtr waiting;
  };

  struct Event {
    TimePoint at;
    std::uint64_t number;
    std::function<void()> action;
    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };

  void Schedule(TimePoint at, std::function<void()> action) {
    m_events.push({at, m_event_number++, std::move(action)});
  }
  void After(microseconds delay, std::function<void()> action) {
    Schedule(m_now + delay, std::move(action));
  }
  ClockHook Clock() {
    return [this] { return m_now; };
  }
  RandomHook Random() {
    return [this] { return m_random(); };
  }
  double Exponential(Seconds mean) {
    return std::exponential_distribution<double>(1.0 /
                                                 mean.count())(m_arrivals);
  }

  void Configure(std::string_view policy);
  void SetDomain(state::ConfigStore* config, const char* placement);
  void StartSide(Worker* worker);
  void Arrive(const std::string& chat, int workspace, int turn);
  void OrderByKnowledge(Call* call, const std::string& chat);
  void Carry(const CallPtr& call, const Step& step);
  void Submit(const CallPtr& call, const Step& step);
  void Replied(const CallPtr& call, Worker* worker, const SubmitReply& reply);
  void Pull(const CallPtr& call, const Step& step);
  void Tombstone(const CallPtr& call, const Step& step);
  void StartRun(Worker* worker, const SubmitRequest& request,
                const std::shared_ptr<state::Attempt>& answer);
  void EndRun(const std::string& id,
              const std::shared_ptr<state::Attempt>& answer);
  void Answer(const std::string& id, const CallPtr& call);
  void PullFailed(const CallPtr& call, Worker* worker);
  void End(const CallPtr& call, const Step& step);
  void Fail(Worker* worker);
  void FailOne();
  void ReturnDomain();
  void Probe(Entry* entry);
  void Sample();
  Envelope EnvelopeOf(Entry* entry, const state::BackendServerId& target);
  bool InMove(TimePoint time) const {
    return time >= At(m_size.domain_out) &&
           time < At(m_size.domain_back) + kMoveAftermath;
  }
  bool DomainOut() const {
    return m_now >= At(m_size.domain_out) && m_now < At(m_size.domain_back);
  }

  const Size& m_size;
  Limits m_limits;
  bool m_all_knowing;
  TimePoint m_now{microseconds(0)};
  std::mt19937_64 m_arrivals{kSeed};
  std::mt19937_64 m_churn{kSeed + 1};
  std::mt19937_64 m_random{kSeed + 2};
  std::int64_t m_cache_tokens = 0;
  std::int64_t m_revision = 0;
  std::uint64_t m_event_number = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  /// Side processes hear of changes at once, entries with a lag.
  state::ConfigStore m_side_config;
  state::ConfigStore m_entry_config;
  std::vector<Worker> m_workers;
  std::vector<Entry> m_entries;
  std::unordered_map<std::string, Worker*> m_worker_by_id;
  std::unordered_map<std::string, Attempt> m_attempts;
  double m_control_bytes_at_warmup = 0;
  int m_submits = 0;
  Result m_result;
};

Fleet::Fleet(const Size& size, std::string_view policy, const Limits& limits)
    : m_size(size),
      m_limits(limits),
      m_all_knowing(policy == kAllKnowing),
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

void Fleet::Configure(std::string_view policy) {
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

void Fleet::SetDomain(state::ConfigStore* config, const char* placement) {
  ++m_revision;
  config->Apply({{state::ItemKind::kFailureDomain,
                  "0",
                  m_revision,
                  m_revision,
                  false,
                  {{"state", placement}}}});
}

void Fleet::StartSide(Worker* worker) {
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

Envelope Fleet::EnvelopeOf(Entry* entry, const state::BackendServerId& target) {
  Envelope envelope;
  envelope.sender = entry->address;
  envelope.loads = entry->news->Select(
      target.value, false, [entry] { return entry->node->LoadReports(); });
  entry->node->Stamp(target.value, &envelope);
  return envelope;
}

void Fleet::Arrive(const std::string& chat, int workspace, int turn) {
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

void Fleet::OrderByKnowledge(Call* call, const std::string& chat) {
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

void Fleet::Carry(const CallPtr& call, const Step& step) {
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

void Fleet::Submit(const CallPtr& call, const Step& step) {
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

void Fleet::Replied(const CallPtr& call, Worker* worker,
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

void Fleet::Pull(const CallPtr& call, const Step& step) {
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

void Fleet::Tombstone(const CallPtr& call, const Step& step) {
  Worker* worker = m_worker_by_id.at(step.target.value);
  After(2 * kHop, [=, this] {
    if (!worker->up) return Carry(call, call->plan->OnTombstoneFailed(m_now));
    protocol::gen::TombstoneRequest request;
    request.attempt_id = step.attempt.value;
    const bool never = worker->side->Tombstone(request).never_started;
    Carry(call, call->plan->OnTombstone(m_now, never));
  });
}

void Fleet::StartRun(Worker* worker, const SubmitRequest& request,
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

void Fleet::EndRun(const std::string& id,
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

void Fleet::Answer(const std::string& id, const CallPtr& call) {
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

void Fleet::PullFailed(const CallPtr& call, Worker* worker) {
  After(kHop, [=, this] {
    call->entry->node->Members().OnFailure(worker->id, m_now);
    Carry(call, call->plan->OnPullFailed(m_now));
  });
}

void Fleet::End(const CallPtr& call, const Step& step) {
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

void Fleet::Fail(Worker* worker) {
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

void Fleet::FailOne() {
  const Seconds interval(60.0 / (kChurnPerMinute * m_size.workers));
  After(std::chrono::duration_cast<microseconds>(interval),
        [this] { FailOne(); });
  Worker& worker = m_workers[m_churn() % m_workers.size()];
  if (worker.up) Fail(&worker);
}

void Fleet::ReturnDomain() {
  for (Worker& worker : m_workers) {
    if (worker.domain != 0) continue;
    worker.cache.Clear();
    worker.side->OnEngineCold();
  }
  SetDomain(&m_side_config, "in");
  After(kConfigurationLag, [this] { SetDomain(&m_entry_config, "in"); });
}

void Fleet::Probe(Entry* entry) {
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

void Fleet::Sample() {
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

Result Fleet::Run() {
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

double Quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(
      share * static_cast<double>(values.size() - 1))];
}

double Reuse(const Result& result) {
  if (result.prompt_tokens == 0) return 0;
  return static_cast<double>(result.reused_tokens) /
         static_cast<double>(result.prompt_tokens);
}

void Compare(const Size& size, const Limits& limits) {
  std::printf(
      "\n%s: %d domains, %d workers, %d entries, %.0f calls/s, "
      "control budget %d B/s, floor %d units\n",
      size.name, size.domains, size.workers, size.entries,
      size.calls_per_second, static_cast<int>(limits.control_bytes_per_second),
      static_cast<int>(limits.load_floor_units));
  std::printf(
      "| policy | reuse | of all-knowing | load max/mean p50, p99, max | "
      "control B/s | more hops/call | calls | refused, late, lost | in the "
      "move | started at the domain after 2 s |\n");
  std::printf("|---|---|---|---|---|---|---|---|---|---|\n");
  double best = 0;
  std::vector<std::string_view> policies = {kAllKnowing};
  for (const auto name : RoutingPolicyNames()) policies.push_back(name);
  for (const std::string_view policy : policies) {
    const Result result = Fleet(size, policy, limits).Run();
    if (policy == kAllKnowing) best = Reuse(result);
    std::printf(
        "| %s | %.1f%% | %.1f%% | %.2f, %.2f, %.2f | %.0f | %.2f | %d | %d, "
        "%d, %d | %d, %d, %d | %d |\n",
        std::string(policy).c_str(), 100 * Reuse(result),
        100 * Reuse(result) / best, Quantile(result.skew, 0.5),
        Quantile(result.skew, 0.99), Quantile(result.skew, 1.0),
        result.control_bytes, result.refused_hops_per_call, result.calls,
        result.refused, result.late, result.lost, result.move_refused,
        result.move_late, result.move_lost, result.move_started);
    std::fflush(stdout);
  }
}

}  // namespace
}  // namespace wasabiwall::coordination

int main(int argc, const char** argv) {
  if (argc < 3) {
    std::fprintf(stderr,
                 "usage: %s CONTROL_BYTES_PER_SECOND FLOOR_UNITS [SIZE...]\n",
                 argv[0]);
    return 2;
  }
  const std::set<std::string> wanted(argv + 3, argv + argc);
  const wasabiwall::coordination::Limits limits{
      std::strtoll(argv[1], nullptr, 10), std::strtoll(argv[2], nullptr, 10)};
  for (const auto& size : wasabiwall::coordination::kSizes) {
    if (!wanted.empty() && !wanted.contains(size.name)) continue;
    wasabiwall::coordination::Compare(size, limits);
  }
  return 0;
}
