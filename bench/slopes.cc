// Measures how state and processor time of the decision library grow, for
// docs/CAPACITY.md. Prints one line a slope with its range and fit.
#include <malloc.h>
#include <sys/resource.h>

#include <chrono>
#include <cmath>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "standins/support/fake_key_value.h"
#include "wasabiwall/coordination/entry_node.h"
#include "wasabiwall/coordination/idempotency_ledger.h"
#include "wasabiwall/coordination/side_node.h"
#include "wasabiwall/state/config_store.h"
#include "wasabiwall/state/digest.h"

namespace wasabiwall {
namespace {

namespace gen = protocol::gen;
using coordination::SideNode;

struct Point {
  double size;
  double value;
};

double HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

double ProcessorMicroseconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

/// Prints the least-squares line through the points.
void PrintFit(const char* name, const char* unit,
              const std::vector<Point>& points) {
  const auto n = static_cast<double>(points.size());
  double sx = 0, sy = 0, sxx = 0, sxy = 0, syy = 0;
  for (const Point& p : points) {
    sx += p.size;
    sy += p.value;
    sxx += p.size * p.size;
    sxy += p.size * p.value;
    syy += p.value * p.value;
  }
  const double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
  const double base = (sy - slope * sx) / n;
  const double r = (n * sxy - sx * sy) /
                   std::sqrt((n * sxx - sx * sx) * (n * syy - sy * sy));
  std::printf("%-34s %10.2f %s each, base %.0f, sizes %.0f to %.0f, r2 %.4f\n",
              name, slope, unit, base, points.front().size, points.back().size,
              r * r);
}

state::ConfigItem MakeItem(state::ItemKind kind, const std::string& name,
                           std::int64_t revision, nlohmann::json state) {
  state::ConfigItem item;
  item.kind = kind;
  item.name = name;
  item.ticket = revision;
  item.revision = revision;
  item.state = std::move(state);
  return item;
}

std::vector<state::ConfigItem> Workspaces(int count) {
  std::vector<state::ConfigItem> items;
  for (int i = 0; i < count; ++i) {
    const std::string name = "workspace-" + std::to_string(i);
    items.push_back(MakeItem(state::ItemKind::kWorkspace, name, i + 1,
                             {{"token_digest", state::Sha256Hex(name)}}));
  }
  return items;
}

std::vector<state::ConfigItem> Fleet(int servers, int per_pool) {
  std::vector<state::ConfigItem> items;
  std::int64_t revision = 0;
  items.push_back(MakeItem(state::ItemKind::kFailureDomain, "a", ++revision,
                           {{"state", "in"}}));
  for (int i = 0; i * per_pool < servers; ++i) {
    items.push_back(MakeItem(state::ItemKind::kPool,
                             "pool-" + std::to_string(i), ++revision,
                             {{"kind", "model"},
                              {"load_ceiling_units", 1000000000},
                              {"warmup_units", 1000000000},
                              {"warmup_calls", 1000000000},
                              {"load_floor_units", 1000000000},
                              {"models", {"model-" + std::to_string(i)}}}));
  }
  for (int i = 0; i < servers; ++i) {
    items.push_back(MakeItem(state::ItemKind::kBackendServer,
                             "server-" + std::to_string(i), ++revision,
                             {{"pool", "pool-" + std::to_string(i / per_pool)},
                              {"failure_domain", "a"},
                              {"side", "10.0.0.1:9000"},
                              {"url", "http://10.0.0.1:8000"}}));
  }
  return items;
}

void MeasureConfiguration() {
  std::vector<Point> bytes;
  std::vector<Point> change_time;
  for (const int count : {1000, 4000, 11000}) {
    const auto items = Workspaces(count);
    const double before = HeapBytes();
    state::ConfigStore store;
    store.Apply(items);
    bytes.push_back({static_cast<double>(count), HeapBytes() - before});
    auto changed = items.front();
    const double start = ProcessorMicroseconds();
    constexpr int changes = 5;
    for (int i = 0; i < changes; ++i) {
      changed.ticket += 100000;
      changed.revision += 100000;
      store.Apply({changed});
    }
    change_time.push_back({static_cast<double>(count),
                           (ProcessorMicroseconds() - start) / changes});
  }
  PrintFit("workspace in the configuration", "bytes", bytes);
  PrintFit("one change, by items held", "us", change_time);
}

void MeasureFleet() {
  std::vector<Point> bytes;
  std::vector<Point> route_time;
  for (const int servers : {250, 1000, 4200}) {
    const auto items = Fleet(servers, 250);
    const double before = HeapBytes();
    state::ConfigStore store;
    store.Apply(items);
    store.Apply(Workspaces(1));
    bytes.push_back({static_cast<double>(servers), HeapBytes() - before});
    std::uint64_t random = 1;
    coordination::EntryNode entry(&store, std::chrono::seconds(60),
                                  {coordination::SteadyClock(), [&] {
                                     return random += 0x9e3779b97f4a7c15U;
                                   }});
    coordination::CallerRequest call;
    call.token = "workspace-0";
    call.body =
        R"({"model":"model-0","messages":[{"role":"user","content":"hello"}]})";
    constexpr int calls = 2000;
    const double start = ProcessorMicroseconds();
    for (int i = 0; i < calls; ++i) {
      call.chat_id = std::to_string(i);
      (void)entry.PlanChat(call);
    }
    route_time.push_back({static_cast<double>(servers),
                          (ProcessorMicroseconds() - start) / calls});
  }
  PrintFit("backend server in the configuration", "bytes", bytes);
  PrintFit("plan of a chat, by backend servers", "us", route_time);
}

void MeasureAttempts() {
  state::ConfigStore store;
  store.Apply(Fleet(250, 250));
  std::vector<std::shared_ptr<state::Attempt>> answers;
  SideNode node(
      state::BackendServerId("server-0"), &store,
      {.clock = coordination::SteadyClock(),
       .random = [] { return std::uint64_t{1}; },
       .run = [&](const auto&, const auto& a) { answers.push_back(a); },
       .wake_committer = [] {}});
  std::vector<Point> bytes;
  std::vector<Point> submit_time;
  const double before = HeapBytes();
  const double start = ProcessorMicroseconds();
  int attempts = 0;
  for (const int count : {1000, 4000, 16000}) {
    for (; attempts < count; ++attempts) {
      gen::SubmitRequest request;
      request.attempt_id =
          "attempt-with-32-characters-" + std::to_string(attempts);
      request.workspace = "workspace-1";
      request.pool = "pool-0";
      request.body = std::string(2000, 'a');
      request.cost_units = 1;
      request.deadline_ms = 60000;
      request.idempotent = true;
      node.Submit(request);
    }
    bytes.push_back({static_cast<double>(count), HeapBytes() - before});
    submit_time.push_back(
        {static_cast<double>(count), ProcessorMicroseconds() - start});
  }
  std::printf("%-34s %d of %d\n", "attempts admitted",
              static_cast<int>(answers.size()), attempts);
  PrintFit("attempt with a body of 2,000 bytes", "bytes", bytes);
  PrintFit("submit at a side process", "us", submit_time);
}

void MeasureLedger() {
  standins::FakeKeyValue store;
  const auto owner = store.Txn({.writes = {{"/wasabiwall/owners/p/0", "x"}}});
  coordination::IdempotencyLedger ledger("process");
  ledger.OnShardOwned(0, "/wasabiwall/owners/p/0", owner.revision);
  std::vector<Point> time;
  std::vector<Point> bytes;
  const double before = HeapBytes();
  double spent = 0;
  int keys = 0;
  int transactions = 0;
  for (const int count : {500, 1000, 2000}) {
    for (; keys < count; ++keys) {
      const double start = ProcessorMicroseconds();
      coordination::KeyedCall call;
      call.pool = state::PoolId("p");
      call.workspace = state::WorkspaceId("w");
      call.key = "booking-" + std::to_string(keys);
      call.body_digest = "d";
      call.attempt = state::AttemptId(std::to_string(keys));
      ledger.Begin(call);
      spent += ProcessorMicroseconds() - start;
      if (keys % 16 != 15) continue;
      while (const auto batch = ledger.TakeBatch(32)) {
        ++transactions;
        for (const auto& decision :
             ledger.OnBatchResult(*batch, store.Txn(batch->txn))) {
          ledger.OnOutcome(decision.attempt, {"booked", {}});
        }
      }
    }
    time.push_back({static_cast<double>(count), spent});
    bytes.push_back({static_cast<double>(count), HeapBytes() - before});
  }
  PrintFit("key begun in the ledger", "us", time);
  PrintFit("key in ledger and fake service", "bytes", bytes);
  std::printf("%-34s %.3f\n", "transactions a booking, groups of 16",
              static_cast<double>(transactions) / keys);
}

}  // namespace
}  // namespace wasabiwall

int main() {
  wasabiwall::MeasureConfiguration();
  wasabiwall::MeasureFleet();
  wasabiwall::MeasureAttempts();
  wasabiwall::MeasureLedger();
  return 0;
}
