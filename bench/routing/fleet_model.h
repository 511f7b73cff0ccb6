#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "routing/prefix_cache.h"
#include "routing/scenario.h"
#include "wasabiwall/coordination/entry_node.h"
#include "wasabiwall/coordination/load_report_selector.h"
#include "wasabiwall/coordination/side_node.h"

namespace wasabiwall::bench {

/// Name of the policy that knows all loads and caches at each moment; a
/// baseline, not a policy of the product.
inline constexpr std::string_view kAllKnowing = "all_knowing";

/// Entry and side nodes on virtual time, for one run of one policy at one size.
class FleetModel {
 public:
  FleetModel(const Size& size, std::string_view policy, const Limits& limits);
  Result Run();

 private:
  struct Worker {
    state::BackendServerId id;
    int domain = 0;
    int pool = 0;
    bool up = true;
    int epoch = 0;
    std::unique_ptr<coordination::SideNode> side;
    std::unique_ptr<coordination::ControlBudget> budget;
    std::unique_ptr<coordination::LoadReportSelector> news;
    PrefixCache cache{0};
  };

  struct Entry {
    std::string address;
    std::unique_ptr<coordination::EntryNode> node;
    std::unique_ptr<coordination::ControlBudget> budget;
    std::unique_ptr<coordination::LoadReportSelector> news;
  };

  struct Call {
    Entry* entry = nullptr;
    coordination::PlannedCall planned;
    std::unique_ptr<coordination::CallPlan> plan;
    coordination::TimePoint arrived;
    coordination::TimePoint first_token;
    bool ended = false;
  };
  using CallPtr = std::shared_ptr<Call>;

  struct Attempt {
    Worker* worker = nullptr;
    int epoch = 0;
    bool ended = false;
    coordination::TimePoint first_token;
    /// Call that waits for the answer.
    CallPtr waiting;
  };

  struct Event {
    coordination::TimePoint at;
    std::uint64_t number;
    std::function<void()> action;
    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };

  void Schedule(coordination::TimePoint at, std::function<void()> action);
  void After(std::chrono::microseconds delay, std::function<void()> action);
  coordination::ClockHook Clock();
  coordination::RandomHook Random();
  double Exponential(Seconds mean);

  void Configure(std::string_view policy);
  void SetDomain(state::ConfigStore* config, const char* placement);
  void StartSide(Worker* worker);
  void Arrive(const std::string& chat, int workspace, int turn);
  void OrderByKnowledge(Call* call, const std::string& chat);
  void Carry(const CallPtr& call, const coordination::Step& step);
  void Submit(const CallPtr& call, const coordination::Step& step);
  void Replied(const CallPtr& call, Worker* worker,
               const protocol::gen::SubmitReply& reply);
  void Pull(const CallPtr& call, const coordination::Step& step);
  void Tombstone(const CallPtr& call, const coordination::Step& step);
  void StartRun(Worker* worker, const protocol::gen::SubmitRequest& request,
                const std::shared_ptr<state::Attempt>& answer);
  void EndRun(const std::string& id,
              const std::shared_ptr<state::Attempt>& answer);
  void Answer(const std::string& id, const CallPtr& call);
  void PullFailed(const CallPtr& call, Worker* worker);
  void End(const CallPtr& call, const coordination::Step& step);
  void Fail(Worker* worker);
  void FailOne();
  void ReturnDomain();
  void Probe(Entry* entry);
  void Sample();
  protocol::gen::Envelope EnvelopeOf(Entry* entry,
                                     const state::BackendServerId& target);
  bool InMove(coordination::TimePoint time) const;
  bool DomainOut() const;

  const Size& m_size;
  Limits m_limits;
  bool m_all_knowing;
  coordination::TimePoint m_now{std::chrono::microseconds(0)};
  std::mt19937_64 m_arrivals;
  std::mt19937_64 m_churn;
  std::mt19937_64 m_random;
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

}  // namespace wasabiwall::bench
