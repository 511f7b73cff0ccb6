#include "fakes/virtual_fleet.h"

#include "wasabiwall/coordination/crash_record_codec.h"
#include "wasabiwall/state/digest.h"

namespace wasabiwall::fakes {

using coordination::Step;
using coordination::StepKind;
using protocol::Error;
using protocol::ErrorKind;
using state::ItemKind;
using std::chrono::milliseconds;

namespace {

constexpr std::int64_t kAmpleUnits = 1'000'000;
constexpr char kToken[] = "token";

std::optional<Error> ToError(const std::string& kind, std::int64_t retry_ms) {
  if (kind.empty()) return std::nullopt;
  Error error{protocol::ParseErrorKind(kind).value(), "", {}};
  if (retry_ms > 0) error.retry_after = milliseconds(retry_ms);
  return error;
}

}  // namespace

bool VirtualFleet::Call::HasEnded() const {
  return step.kind == StepKind::kDone || step.kind == StepKind::kFail;
}

bool VirtualFleet::Call::Answered() const {
  return step.kind == StepKind::kDone;
}

VirtualFleet::VirtualFleet(std::size_t entries, std::size_t engines)
    : m_runs(engines) {
  m_config.Apply(
      {{ItemKind::kWorkspace,
        "rail",
        1,
        1,
        false,
        {{"token_digest", state::Sha256Hex(kToken)}}},
       {ItemKind::kFailureDomain, "a", 1, 1, false, {{"state", "in"}}},
       {ItemKind::kPool,
        "chat",
        1,
        1,
        false,
        {{"models", {"m"}},
         {"load_floor_units", kAmpleUnits},
         {"load_ceiling_units", kAmpleUnits},
         {"warmup_units", kAmpleUnits},
         {"warmup_calls", kAmpleUnits}}},
       {ItemKind::kService,
        "bookings",
        1,
        1,
        false,
        {{"pool", "chat"},
         {"calls", {{{"name", "book"}, {"idempotent", false}}}}}}});
  const auto clock = [this] { return m_now; };
  const auto random = [this] { return ++m_random * 0x9e3779b97f4a7c15U; };
  for (std::size_t i = 0; i < engines; ++i) {
    const std::string name = std::to_string(i);
    m_config.Apply(
        {{ItemKind::kBackendServer,
          name,
          1,
          1,
          false,
          {{"pool", "chat"}, {"failure_domain", "a"}, {"side", name}}}});
    m_sides.push_back(std::make_unique<coordination::SideNode>(
        state::BackendServerId(name), &m_config,
        coordination::SideNodeHooks{
            clock, random,
            [this, i](const auto& request, const auto& answer) {
              m_runs[i].push_back({request, answer});
            },
            [] {}}));
  }
  for (std::size_t i = 0; i < entries; ++i) {
    m_entries.push_back(std::make_unique<coordination::EntryNode>(
        &m_config, std::chrono::minutes(1),
        coordination::EntryNodeHooks{clock, random}));
  }
}

VirtualFleet::Call* VirtualFleet::Send(std::size_t entry,
                                       const std::string& text) {
  coordination::CallerRequest caller;
  caller.token = kToken;
  caller.body =
      R"({"model":"m","messages":[{"role":"user","content":")" + text + "\"}]}";
  return Start(entry, m_entries[entry]->PlanChat(caller));
}

VirtualFleet::Call* VirtualFleet::SendToService(std::size_t entry,
                                                const std::string& body) {
  coordination::CallerRequest caller;
  caller.method = "POST";
  caller.token = kToken;
  caller.body = body;
  return Start(entry,
               m_entries[entry]->PlanService("bookings", "book", caller));
}

VirtualFleet::Call* VirtualFleet::Start(
    std::size_t entry, protocol::Result<coordination::PlannedCall> planned) {
  auto call = std::make_unique<Call>();
  call->entry = entry;
  if (planned) {
    if (!records) planned->request.fingerprint.clear();
    call->planned = *planned;
    call->plan = std::make_unique<coordination::CallPlan>(
        m_entries[entry]->MakePlan(call->planned));
    call->step = call->plan->Start(m_now);
  } else {
    call->step.error = planned.error();
  }
  m_calls.push_back(std::move(call));
  return m_calls.back().get();
}

void VirtualFleet::Advance(Call* call) {
  if (call->HasEnded()) return;
  if (call->step.kind == StepKind::kWait) {
    m_now += call->step.wait;
    call->step = call->plan->OnWaited(m_now);
    return;
  }
  auto* side = m_sides[std::stoul(call->step.target.value)].get();
  if (call->step.kind == StepKind::kSubmit) return Submit(call, side);
  Pull(call, side);
}

void VirtualFleet::Submit(Call* call, coordination::SideNode* side) {
  ++submits;
  auto& known = m_entries[call->entry]->Crashes();
  auto request = call->planned.request;
  request.attempt_id = call->step.attempt.value;
  request.deadline_ms = 60'000;
  request.last_resort = call->step.last_resort;
  request.crashes =
      coordination::ToThrift(known.Of(request.fingerprint, m_now));
  if (gossip) side->Crashes().Observe(known.TakeForPeers(4, m_now), m_now);
  const auto reply = side->Submit(request);
  known.Observe(coordination::FromThrift(reply.crashes), m_now);
  if (gossip) known.Observe(side->Crashes().TakeForPeers(4, m_now), m_now);
  const auto error = ToError(reply.error_kind, reply.retry_after_ms);
  call->step = error ? call->plan->OnRefused(m_now, *error, {})
                     : call->plan->OnAdmitted(m_now);
}

void VirtualFleet::Pull(Call* call, coordination::SideNode* side) {
  protocol::gen::PullRequest request;
  request.attempt_id = call->step.attempt.value;
  request.max_bytes = 1000;
  const auto reply = side->Pull(request);
  m_entries[call->entry]->Crashes().Observe(
      coordination::FromThrift(reply.crashes), m_now);
  if (!reply.ended) return;
  call->step = call->plan->OnEnded(m_now, ToError(reply.error_kind, 0));
  if (call->Answered()) m_entries[call->entry]->OnAnswered(call->planned);
}

void VirtualFleet::TickEngine(std::size_t engine) {
  if (m_runs[engine].empty()) return;
  const Run run = m_runs[engine].front();
  if (run.first.body.find("CRASH") == std::string::npos) {
    m_runs[engine].pop_front();
    run.second->Finish("", "");
    m_sides[engine]->OnRunEnded(state::AttemptId(run.first.attempt_id));
    return;
  }
  ++crashes;
  const std::deque<Run> broken = std::exchange(m_runs[engine], {});
  for (const Run& lost : broken) {
    lost.second->Finish("backend_server_crashed", "");
  }
  for (const Run& lost : broken) {
    m_sides[engine]->OnRunEnded(state::AttemptId(lost.first.attempt_id));
  }
}

void VirtualFleet::RunToCompletion() {
  bool busy = true;
  while (busy) {
    busy = false;
    for (std::size_t i = 0; i < m_calls.size(); ++i) {
      Advance(m_calls[i].get());
      busy = busy || !m_calls[i]->HasEnded();
    }
    for (std::size_t i = 0; i < m_sides.size(); ++i) TickEngine(i);
  }
}

}  // namespace wasabiwall::fakes
