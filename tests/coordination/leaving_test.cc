#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <optional>

#include "fakes/pool_fixture.h"
#include "wasabiwall/coordination/side_node.h"

namespace wasabiwall::coordination {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep{50};
constexpr milliseconds kReadInterval{500};
constexpr milliseconds kLongestRead{450};
constexpr milliseconds kLimit{2000};

/// A read in progress: its result and when it completes.
struct Read {
  TimePoint began_at;
  TimePoint ends_at;
  std::optional<state::ConfigItem> domain;
  bool leaving = false;
};

/// Simulation of one side process, of periodic reads of its configuration and
/// VM list, and of stale routers that send it a call in every step.
class SideProcessSimulation {
 public:
  SideProcessSimulation() {
    fakes::PoolShape shape;
    shape.members = 1;
    m_store.Apply(fakes::PoolItems(shape));
    SideNodeHooks hooks;
    hooks.clock = [this] { return m_now; };
    hooks.random = [] { return std::uint64_t{1}; };
    hooks.run = [this](const auto& request, const auto& answer) {
      answer->Finish("", "");
      m_ended.emplace_back(request.attempt_id);
    };
    m_node.emplace(state::BackendServerId("0"), &m_store, hooks);
  }

  void SetDomain(bool in) {
    m_domain = fakes::Domain(0, ++m_ticket, in);
    NoteChange(m_domain_in, in);
  }

  void SetLeaving(bool leaving) { NoteChange(m_live, !leaving); }

  /// Pauses the process; reads in progress complete with the data from their
  /// start.
  void Freeze(milliseconds time) {
    m_now += time;
    m_frozen_until = m_now;
  }

  void Step(bool submit_first, milliseconds read_time) {
    m_now += kStep;
    if (submit_first) Submit();
    m_node->Tick();
    Complete(&m_configuration_read);
    Complete(&m_vm_list_read);
    Begin(&m_configuration_read, read_time);
    Begin(&m_vm_list_read, read_time);
    if (!submit_first) Submit();
  }

 private:
  void NoteChange(bool& current, bool updated) {
    const bool was_open = m_domain_in && m_live;
    current = updated;
    const bool open = m_domain_in && m_live;
    if (open != was_open) m_changed_at = m_now;
  }

  void Begin(std::optional<Read>* read, milliseconds read_time) {
    const bool due = !*read && (m_now - m_began[read]) >= kReadInterval;
    if (!due) return;
    m_began[read] = m_now;
    *read = Read{m_now, m_now + read_time, m_domain, !m_live};
  }

  void Complete(std::optional<Read>* read) {
    if (!*read || (*read)->ends_at > m_now) return;
    const Read done = **read;
    read->reset();
    if (read == &m_vm_list_read) {
      m_node->OnVmList(done.leaving, done.began_at);
      return;
    }
    if (done.domain) m_store.Apply({*done.domain});
    m_node->OnConfigurationRead(done.began_at);
  }

  void Submit() {
    const auto call = fakes::Call(std::to_string(++m_attempts), 1);
    const bool admitted = m_node->Submit(call).admitted;
    for (const std::string& attempt : m_ended) {
      m_node->OnRunEnded(state::AttemptId(attempt));
    }
    m_ended.clear();
    const bool open = m_domain_in && m_live;
    const TimePoint since = std::max(m_changed_at, m_frozen_until);
    if (!open && admitted) RC_ASSERT(m_now - m_changed_at <= kLimit);
    if (open && m_now - since > kLimit) RC_ASSERT(admitted);
  }

  TimePoint m_now{std::chrono::hours(1)};
  TimePoint m_changed_at = m_now;
  TimePoint m_frozen_until = m_now;
  bool m_domain_in = true;
  bool m_live = true;
  std::int64_t m_ticket = 1;
  int m_attempts = 0;
  std::optional<state::ConfigItem> m_domain;
  std::optional<Read> m_configuration_read;
  std::optional<Read> m_vm_list_read;
  std::map<std::optional<Read>*, TimePoint> m_began;
  std::vector<std::string> m_ended;
  state::ConfigStore m_store;
  std::optional<SideNode> m_node;
};

}  // namespace

TEST_CASE("no new work 2 s after a domain or VM leaves, even after a pause",
          "[leaving][fuzz]") {
  rc::prop("nothing is started late despite stale routers and pauses", [] {
    SideProcessSimulation simulation;
    const int steps = *rc::gen::inRange(100, 400);
    for (int i = 0; i < steps; ++i) {
      switch (
          *rc::gen::weightedElement<int>({{30, 0}, {2, 1}, {1, 2}, {2, 3}})) {
        case 1:
          simulation.SetDomain(*rc::gen::arbitrary<bool>());
          break;
        case 2:
          simulation.SetLeaving(*rc::gen::arbitrary<bool>());
          break;
        case 3:
          simulation.Freeze(milliseconds(*rc::gen::inRange(1, 10000)));
          break;
        default:
          break;
      }
      simulation.Step(
          *rc::gen::arbitrary<bool>(),
          milliseconds(*rc::gen::inRange<int>(0, kLongestRead.count())));
    }
  });
}

TEST_CASE("only a pause, not a platform outage alone, stops the service",
          "[leaving]") {
  PauseGuard guard(milliseconds(750));
  TimePoint now{std::chrono::hours(1)};
  for (int i = 0; i < 100; ++i) guard.OnTick(now += milliseconds(100));
  CHECK(guard.IsConfirmed(now));
  const TimePoint before = now;
  CHECK_FALSE(guard.IsConfirmed(now += milliseconds(800)));
  guard.OnConfigurationRead(before);
  guard.OnVmListRead(before);
  CHECK_FALSE(guard.IsConfirmed(now));
  guard.OnConfigurationRead(now);
  CHECK_FALSE(guard.IsConfirmed(now));
  guard.OnVmListRead(now);
  CHECK(guard.IsConfirmed(now));
}

TEST_CASE("a failure domain that returns starts a new warm-up",
          "[leaving][warmup]") {
  fakes::PoolShape shape;
  shape.members = 1;
  shape.warmup_calls = 2;
  state::ConfigStore store;
  store.Apply(fakes::PoolItems(shape));
  TimePoint now{std::chrono::hours(1)};
  int running = 0;
  std::shared_ptr<state::Attempt> last;
  SideNodeHooks hooks;
  hooks.clock = [&] { return now; };
  hooks.random = [] { return std::uint64_t{1}; };
  hooks.run = [&](const auto&, const auto& answer) {
    ++running;
    last = answer;
  };
  SideNode node(state::BackendServerId("0"), &store, hooks);
  for (int i = 0; i < 200; ++i) {
    const std::string id = "w" + std::to_string(i);
    REQUIRE(node.Submit(fakes::Call(id, 1)).admitted);
    last->Finish("", "");
    node.OnRunEnded(state::AttemptId(id));
  }
  const auto flood = [&](const std::string& name) {
    running = 0;
    for (int i = 0; i < 100; ++i) {
      node.Submit(fakes::Call(name + std::to_string(i), 1));
    }
    return running;
  };
  node.Tick();
  store.Apply({fakes::Domain(0, 2, false)});
  node.Tick();
  CHECK(flood("out") == 0);
  CHECK(node.CheckStart() == protocol::ErrorKind::kDraining);
  store.Apply({fakes::Domain(0, 3, true)});
  node.Tick();
  CHECK_FALSE(node.CheckStart());
  CHECK(flood("back") == 2);
  now += std::chrono::seconds(1);
  CHECK(node.CheckStart() == protocol::ErrorKind::kStaleConfiguration);
}

}  // namespace wasabiwall::coordination
