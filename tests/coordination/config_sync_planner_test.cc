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

/// A fleet of side processes on virtual time.
struct Fleet {
  struct Process {
    state::ConfigStore config;
    std::unique_ptr<ConfigSyncPlanner> spread;
    TimePoint due;
  };

  std::mt19937_64 random{7};
  TimePoint now;
  std::deque<Process> processes{kServers};
  std::vector<state::ConfigItem> service;
  bool service_out = false;
  std::int64_t reads = 0;

  explicit Fleet(bool configured) {
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
    processes[i].spread = std::make_unique<ConfigSyncPlanner>(
        ConfigSyncOptions{.backend_server = "s" + std::to_string(i),
                          .failure_domain = std::to_string(i % kDomains),
                          .address = std::to_string(i),
                          .peers = {"1", "2"}},
        [this] { return now; }, [this] { return random(); });
    processes[i].due = now;
  }

  void Accept(std::int64_t revision) {
    state::ConfigItem item = service.front();
    item.kind = state::ItemKind::kFailureDomain;
    item.ticket = item.revision = revision;
    service.push_back(item);
  }

  void Step(Process* process) {
    const ConfigSyncStep step = process->spread->Next(process->config.View());
    if (step.kind == Kind::kReadService) {
      ++reads;
      if (service_out) return;
      process->config.Apply(service);
      process->spread->OnAnswer();
    } else if (step.kind == Kind::kFetchFromPeer) {
      Process& peer = processes[std::stoul(step.address)];
      if (!peer.spread) return;
      ConfigFetch fetch(&process->config);
      while (fetch.OnReply(BuildItemsReply(peer.config, fetch.NextRequest()))) {
      }
      process->spread->OnAnswer();
    }
    process->due = now + step.wait;
  }

  void Run(milliseconds time) {
    for (const TimePoint end = now + time; now < end; now += milliseconds(50)) {
      for (Process& process : processes) {
        if (process.spread && process.due <= now) Step(&process);
      }
    }
  }

  int Behind(std::int64_t revision) const {
    int behind = 0;
    for (const Process& process : processes) {
      const bool runs = process.spread != nullptr;
      if (runs && process.config.Revision() < revision) ++behind;
    }
    return behind;
  }
};

}  // namespace

TEST_CASE("a few readers spread a change to all within 10 s without a watch",
          "[config_sync_planner]") {
  Fleet fleet(true);
  fleet.Run(seconds(20));
  fleet.reads = 0;
  fleet.Accept(2);
  fleet.Run(seconds(10));
  CHECK(fleet.Behind(2) == 0);
  // 56 readers, each every 3.75 s at the least: 3 in 10 s.
  CHECK(fleet.reads <= 168);
}

TEST_CASE("dead readers delay a change but do not stop it",
          "[config_sync_planner]") {
  Fleet fleet(true);
  fleet.Run(seconds(1));
  int killed = 0;
  for (Fleet::Process& process : fleet.processes) {
    if (!process.spread->IsReader() || ++killed % 2 == 0) continue;
    process.spread.reset();
  }
  fleet.Accept(2);
  fleet.Run(seconds(20));
  CHECK(fleet.Behind(2) == 0);
}

TEST_CASE("a new process starts from peers while the service is out",
          "[config_sync_planner]") {
  Fleet fleet(true);
  fleet.service_out = true;
  fleet.Run(seconds(10));
  Fleet::Process& fresh = fleet.processes.emplace_back();
  fleet.Start(kServers);
  CHECK(fresh.config.Revision() == 0);
  fleet.Run(seconds(2));
  CHECK(fleet.Behind(1) == 0);
}

TEST_CASE("all processes at once without configuration read within limits",
          "[config_sync_planner]") {
  Fleet fleet(false);
  fleet.service_out = true;
  fleet.Run(seconds(1));
  fleet.reads = 0;
  fleet.Run(seconds(60));
  // 2,000 reads a second for 5,200 processes are 16,155 a minute for 700.
  CHECK(fleet.reads < 16155);
  fleet.service_out = false;
  fleet.Run(seconds(10));
  CHECK(fleet.Behind(1) == 0);
}

}  // namespace wasabiwall::coordination
