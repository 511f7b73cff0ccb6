#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <queue>
#include <random>
#include <vector>

#include "load/load_client.h"
#include "load/load_options.h"
#include "load/load_report.h"
#include "wasabiwall/transport/worker_pool.h"

namespace wasabiwall::load {

/// Sends calls at their planned times, whether or not earlier ones have been
/// answered.
class LoadRunner {
 public:
  LoadRunner(const LoadOptions& options, LoadReport* report);

  /// Runs until every planned call has its end.
  void Run();

 private:
  using Clock = std::chrono::steady_clock;

  struct Planned {
    Clock::time_point at;
    LoadCall call;
    bool operator<(const Planned& other) const { return at > other.at; }
  };

  void PlanArrivals(CallType type, double rate);
  void PlanBatches();
  LoadCall NewCall(CallType type);
  void Schedule(Clock::time_point at, LoadCall call);
  void Execute(const LoadCall& call);
  void ScheduleNextTurn(const LoadCall& call);
  void SampleSkew();
  std::chrono::milliseconds Elapsed() const;

  const LoadOptions& m_options;
  LoadReport* m_report;
  LoadClient m_client;
  std::mt19937_64 m_random;
  Clock::time_point m_start;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::priority_queue<Planned> m_planned;
  int m_open = 0;
  int m_next_id = 0;
  std::size_t m_next_entry = 0;
  transport::WorkerPool m_workers;
};

}  // namespace wasabiwall::load
