#include "wasabiwall/coordination/config_sync_planner.h"

#include <catch2/catch.hpp>
#include <deque>
#include <random>

#include "wasabiwall/coordination/config_fetch.h"

namespace wasabiwall::coordination {

namespace {

using Kind = ConfigSyncStep::Kind;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kDomains = 7;
constexpr int kServers = 700;

/// Side processes in virtual time, which fetch the configuration from the
/// key-value service and from each other.
struct SideProcessSimulation {
  struct Process {
    state::ConfigStore config;
    std::unique_ptr<ConfigSyncPlanner> planner;
    TimePoint next_step_time;
  };

  std::mt19937_64 random{7};
  TimePoint now;
  std::deque<Process> processes{kServers};
  std::vector<state::ConfigItem> service;
  bool service_down = false;
  std::int64_t reads = 0;

  explicit SideProcessSimulation(bool configured) {
    for (int i = 0; i < kServers; ++i) {
      state::ConfigItem item;
      item.kind = state::ItemKind::kBackendServer;
      item.name = "s" + std::to_string(i);
      item.ticket = item.revision = 1;
      item.state = {{"failure_domain", std::to_string(i % kDomains)},
                    {"side", std::to_string(i)}};
      service.push_back(item);
    }
    for (int i = 0; i < kServers; ++i) {
      if (configured) processes[i].config.Apply(service, 1);
      Start(i);
    }
  }

  void Start(int i) {
    processes[i].planner = std::make_unique<ConfigSyncPlanner>(
        ConfigSyncOptions{.backend_server = "s" + std::to_string(i),
                          .failure_domain = std::to_string(i % kDomains),
                          .address = std::to_string(i),
                          .peers = {"1", "2"}},
        [this] { return now; }, [this] { return random(); });
    processes[i].next_step_time = now;
  }

  void AcceptTicket(std::int64_t revision) {
    state::ConfigItem item = service.front();
    item.kind = state::ItemKind::kFailureDomain;
    item.ticket = item.revision = revision;
    service.push_back(item);
  }

  void Step(Process* process) {
    const ConfigSyncStep step = process->planner->Next(process->config.View());
    if (step.kind == Kind::kReadService) {
      ++reads;
      if (service_down) return;
      process->config.Apply(service);
      process->planner->OnAnswer();
    } else if (step.kind == Kind::kFetchFromPeer) {
      Process& peer = processes[std::stoul(step.address)];
      if (!peer.planner) return;
      ConfigFetch fetch(&process->config);
      while (fetch.OnReply(BuildItemsReply(peer.config, fetch.NextRequest()))) {
      }
      process->planner->OnAnswer();
    }
    process->next_step_time = now + step.wait;
  }

  void Run(milliseconds time) {
    for (const TimePoint end = now + time; now < end; now += milliseconds(50)) {
      for (Process& process : processes) {
        if (process.planner && process.next_step_time <= now) Step(&process);
      }
    }
  }

  int CountBehind(std::int64_t revision) const {
    int behind = 0;
    for (const Process& process : processes) {
      const bool runs = process.planner != nullptr;
      if (runs && process.config.Revision() < revision) ++behind;
    }
    return behind;
  }
};

}  // namespace

TEST_CASE(
    "a change reaches all processes through a few readers within 10 s without "
    "a watch",
    "[config_sync_planner]") {
  SideProcessSimulation simulation(true);
  simulation.Run(seconds(20));
  simulation.reads = 0;
  simulation.AcceptTicket(2);
  simulation.Run(seconds(10));
  CHECK(simulation.CountBehind(2) == 0);
  // 56 readers with at least 3.75 s between two reads: 3 reads each in 10 s.
  CHECK(simulation.reads <= 168);
}

TEST_CASE(
    "a change reaches all processes although half of the readers are dead",
    "[config_sync_planner]") {
  SideProcessSimulation simulation(true);
  simulation.Run(seconds(1));
  int killed = 0;
  for (SideProcessSimulation::Process& process : simulation.processes) {
    if (!process.planner->IsReader() || ++killed % 2 == 0) continue;
    process.planner.reset();
  }
  simulation.AcceptTicket(2);
  simulation.Run(seconds(20));
  CHECK(simulation.CountBehind(2) == 0);
}

TEST_CASE(
    "a new process gets its first configuration from peers during an outage "
    "of the key-value service",
    "[config_sync_planner]") {
  SideProcessSimulation simulation(true);
  simulation.service_down = true;
  simulation.Run(seconds(10));
  SideProcessSimulation::Process& fresh = simulation.processes.emplace_back();
  simulation.Start(kServers);
  CHECK(fresh.config.Revision() == 0);
  simulation.Run(seconds(2));
  CHECK(simulation.CountBehind(1) == 0);
}

TEST_CASE(
    "processes that all start without configuration limit their read rate",
    "[config_sync_planner]") {
  SideProcessSimulation simulation(false);
  simulation.service_down = true;
  simulation.Run(seconds(1));
  simulation.reads = 0;
  simulation.Run(seconds(60));
  // 2,000 reads per second by 5,200 processes are 16,155 per minute by 700.
  CHECK(simulation.reads < 16155);
  simulation.service_down = false;
  simulation.Run(seconds(10));
  CHECK(simulation.CountBehind(1) == 0);
}

}  // namespace wasabiwall::coordination
