#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>

#include "fakes/pool_fixture.h"
#include "wasabiwall/coordination/entry_node.h"
#include "wasabiwall/coordination/side_node.h"

namespace wasabiwall::coordination {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMaxReportAge{2000};
constexpr int kEntries = 2;

/// Simulation of the side processes of one pool and of entries that carry load
/// reports between them, over a network that delays, reorders and loses
/// messages. Also keeps the true loads.
class PoolSimulation {
 public:
  explicit PoolSimulation(const fakes::PoolShape& shape) : m_shape(shape) {
    m_config.Apply(fakes::PoolItems(shape));
    const ClockHook clock = [this] { return m_now; };
    const RandomHook random = [this] { return ++m_random * 7919; };
    for (int i = 0; i < shape.members; ++i) {
      SideNodeHooks hooks{clock, random,
                          [this, i](const auto& r, const auto& a) {
                            m_running[i].push_back({r, a});
                          }};
      m_sides.push_back(std::make_unique<SideNode>(
          state::BackendServerId(std::to_string(i)), &m_config, hooks));
    }
    m_running.resize(shape.members);
    m_loads.resize(shape.members, {{m_now, 0}});
    for (int i = 0; i < kEntries; ++i) {
      m_entries.push_back(std::make_unique<EntryNode>(
          &m_config, milliseconds(60000), EntryNodeHooks{clock, random}));
    }
  }

  void AdvanceClock(milliseconds time) { m_now += time; }

  void Send(int entry, int side, std::int64_t cost) {
    auto call = fakes::Call(std::to_string(++m_attempts), cost);
    call.envelope.sender = std::to_string(entry);
    call.envelope.loads = m_entries[entry]->LoadReports();
    m_entries[entry]->Stamp(std::to_string(side), &call.envelope);
    m_calls.push_back({side, call});
  }

  /// Delivers one call in transit, then, unless it is lost, its reply.
  void Deliver(std::size_t index, milliseconds reply_delay, bool reply_lost) {
    if (m_calls.empty()) return;
    const auto place = m_calls.begin() + index % m_calls.size();
    const auto [side, call] = *place;
    m_calls.erase(place);
    const std::string& sender = call.envelope.sender;
    if (m_sides[side]->Submit(call).admitted) OnAdmitted(side);
    protocol::gen::Envelope reply;
    reply.loads = m_sides[side]->LoadReports();
    m_sides[side]->Stamp(sender, &reply);
    AdvanceClock(reply_delay);
    if (reply_lost) return;
    m_entries[std::stoi(sender)]->ObserveEnvelope(std::to_string(side), reply);
  }

  void Finish(int side) {
    if (m_running[side].empty()) return;
    const Run run = m_running[side].back();
    m_running[side].pop_back();
    Record(side);
    run.answer->Finish("", "");
    m_sides[side]->OnRunEnded(state::AttemptId(run.call.attempt_id));
  }

  int Admitted() const { return m_admitted; }

 private:
  struct Run {
    protocol::gen::SubmitRequest call;
    std::shared_ptr<state::Attempt> answer;
  };

  struct Level {
    TimePoint since;
    std::int64_t load;
  };

  void Record(int side) {
    std::int64_t load = 0;
    for (const Run& run : m_running[side]) load += run.call.cost_units;
    m_loads[side].push_back({m_now, load});
  }

  /// @return Highest load of a side process within the largest age of reports.
  std::int64_t Highest(int side) const {
    std::int64_t highest = m_loads[side].back().load;
    for (std::size_t i = 0; i + 1 < m_loads[side].size(); ++i) {
      if (m_loads[side][i + 1].since < m_now - kMaxReportAge) continue;
      highest = std::max(highest, m_loads[side][i].load);
    }
    return highest;
  }

  void OnAdmitted(int side) {
    ++m_admitted;
    Record(side);
    const std::int64_t own = m_loads[side].back().load;
    if (m_running[side].size() == 1 || own <= m_shape.floor) return;
    std::int64_t sum = own;
    for (int i = 0; i < m_shape.members; ++i) sum += i == side ? 0 : Highest(i);
    const double mean = static_cast<double>(sum) / m_shape.members;
    RC_ASSERT(static_cast<double>(own) <= m_shape.ratio * mean);
  }

  fakes::PoolShape m_shape;
  TimePoint m_now{std::chrono::hours(1)};
  std::uint64_t m_random = 0;
  int m_attempts = 0;
  int m_admitted = 0;
  state::ConfigStore m_config;
  std::vector<std::unique_ptr<SideNode>> m_sides;
  std::vector<std::unique_ptr<EntryNode>> m_entries;
  std::vector<std::vector<Run>> m_running;
  std::vector<std::vector<Level>> m_loads;
  std::vector<std::pair<int, protocol::gen::SubmitRequest>> m_calls;
};

}  // namespace

TEST_CASE("no admission breaks the load bound, however reports are delayed",
          "[load_bound][fuzz]") {
  rc::prop("load stays within the floor or the multiple of the mean", [] {
    fakes::PoolShape shape;
    shape.floor = 60;
    shape.members = *rc::gen::inRange(1, 5);
    shape.ratio = *rc::gen::element(1.0, 1.25, 2.0);
    PoolSimulation simulation(shape);
    const int steps = *rc::gen::inRange(100, 300);
    for (int i = 0; i < steps; ++i) {
      const int side = *rc::gen::inRange(0, shape.members);
      switch (*rc::gen::weightedElement<int>(
          {{6, 0}, {6, 1}, {2, 2}, {1, 3}, {2, 4}})) {
        case 0:
          simulation.Send(*rc::gen::inRange(0, kEntries), side,
                          *rc::gen::inRange(1, 60));
          break;
        case 1:
          simulation.Deliver(*rc::gen::inRange(0, 20), milliseconds(0), false);
          break;
        case 2:
          simulation.Finish(side);
          break;
        case 3:
          simulation.AdvanceClock(milliseconds(*rc::gen::inRange(0, 1500)));
          break;
        default:
          simulation.Deliver(*rc::gen::inRange(0, 20),
                             milliseconds(*rc::gen::inRange(0, 3000)),
                             *rc::gen::arbitrary<bool>());
      }
    }
    RC_CLASSIFY(simulation.Admitted() > 20, "more than 20 admitted");
  });
}

TEST_CASE("an idle backend server admits one call of any size",
          "[load_bound]") {
  AdmissionController admission;
  state::Pool pool;
  pool.load_floor_units = 100;
  pool.load_ceiling_units = 1000;
  admission.Configure(pool);
  CHECK(admission.Admit(5000, 0, 9));
  CHECK_FALSE(admission.Admit(1, 0, 9));
}

}  // namespace wasabiwall::coordination
