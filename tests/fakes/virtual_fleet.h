#pragma once

#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "wasabiwall/coordination/entry_node.h"
#include "wasabiwall/coordination/side_node.h"

namespace wasabiwall::fakes {

/// Entries, side processes and engines on virtual time in one thread; a
/// message is a function call and each step is the test's choice. A body with
/// CRASH ends the engine that runs it.
class VirtualFleet {
 public:
  struct Call {
    std::size_t entry = 0;
    coordination::PlannedCall planned;
    std::unique_ptr<coordination::CallPlan> plan;
    coordination::Step step;
    bool Over() const;
    bool Answered() const;
  };

  VirtualFleet(std::size_t entries, std::size_t engines);

  /// Plans and starts a chat; a refusal at the entry is a call that is over.
  Call* Send(std::size_t entry, const std::string& text);

  /// Carries out the next step of a call.
  void Advance(Call* call);

  /// Ends the oldest run of an engine, or with CRASH in it the engine.
  void TickEngine(std::size_t engine);

  /// Advances calls and engines until all calls are over.
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
  /// Whether messages pass on crash records that are not about their call.
  bool gossip = false;
  /// Whether processes know of crashes at all.
  bool records = true;

 private:
  using Run =
      std::pair<protocol::gen::SubmitRequest, std::shared_ptr<state::Attempt>>;

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
