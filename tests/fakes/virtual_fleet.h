#pragma once

#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "wasabiwall/coordination/entry_node.h"
#include "wasabiwall/coordination/side_node.h"

namespace wasabiwall::fakes {

/// Deterministic simulation of entries, side processes and engines on virtual
/// time in one thread. Messages are function calls and the test chooses each
/// step. A request whose body contains CRASH crashes the engine that runs it.
class VirtualFleet {
 public:
  struct Call {
    std::size_t entry = 0;
    coordination::PlannedCall planned;
    std::unique_ptr<coordination::CallPlan> plan;
    coordination::Step step;
    bool HasEnded() const;
    bool Answered() const;
  };

  VirtualFleet(std::size_t entries, std::size_t engines);

  /// Plans and starts a chat; a call that the entry refuses has ended.
  Call* Send(std::size_t entry, const std::string& text);

  /// Plans and starts a call of a plain service that is not idempotent.
  Call* SendToService(std::size_t entry, const std::string& body);

  /// Carries out the next step of a call.
  void Advance(Call* call);

  /// Completes the oldest run of an engine, or crashes the engine if the run's
  /// body contains CRASH.
  void TickEngine(std::size_t engine);

  /// Advances calls and engines until all calls have ended.
  void RunToCompletion();

  void AdvanceClock(std::chrono::milliseconds time) { m_now += time; }
  coordination::EntryNode& Entry(std::size_t entry) {
    return *m_entries[entry];
  }
  coordination::SideNode& Side(std::size_t engine) { return *m_sides[engine]; }
  std::size_t Engines() const { return m_sides.size(); }
  std::vector<std::unique_ptr<Call>>& Calls() { return m_calls; }

  int crashes = 0;
  int submits = 0;
  /// Whether messages also carry crash records of other calls.
  bool gossip = false;
  /// Whether crashes are recorded at all.
  bool records = true;

 private:
  using Run =
      std::pair<protocol::gen::SubmitRequest, std::shared_ptr<state::Attempt>>;

  Call* Start(std::size_t entry,
              protocol::Result<coordination::PlannedCall> planned);
  void Submit(Call* call, coordination::SideNode* side);
  void Pull(Call* call, coordination::SideNode* side);

  coordination::TimePoint m_now{std::chrono::seconds(100)};
  std::uint64_t m_random = 1;
  state::ConfigStore m_config;
  std::vector<std::unique_ptr<coordination::SideNode>> m_sides;
  std::vector<std::unique_ptr<coordination::EntryNode>> m_entries;
  std::vector<std::deque<Run>> m_runs;
  std::vector<std::unique_ptr<Call>> m_calls;
};

}  // namespace wasabiwall::fakes
