// Cost of a configuration change at the size expected in two years.
#include <benchmark/benchmark.h>

#include <memory>

#include "wasabiwall/coordination/config_fetch.h"
#include "wasabiwall/state/config_store.h"

namespace {

using namespace wasabiwall;  // NOLINT(google-build-using-namespace)

constexpr int kWorkspaces = 11000;
constexpr int kBackendServers = 4200;

state::ConfigItem Workspace(int index, std::int64_t revision) {
  return {state::ItemKind::kWorkspace,
          "workspace-" + std::to_string(index),
          revision,
          revision,
          false,
          {{"token_digest", std::string(56, '0') + std::to_string(index)},
           {"weight", 1.5}}};
}

std::vector<state::ConfigItem> AllItems() {
  std::vector<state::ConfigItem> items;
  items.reserve(kWorkspaces + kBackendServers);
  for (int i = 0; i < kWorkspaces; ++i) items.push_back(Workspace(i, 1));
  for (int i = 0; i < kBackendServers; ++i) {
    items.push_back({state::ItemKind::kBackendServer,
                     "server-" + std::to_string(i),
                     1,
                     1,
                     false,
                     {{"pool", "pool-" + std::to_string(i % 17)},
                      {"failure_domain", std::to_string(i % 7)},
                      {"side", "10.0.0.1:9000"},
                      {"url", "http://10.0.0.1:8000"}}});
  }
  return items;
}

void BenchRebuildView(benchmark::State& state) {
  const auto items = AllItems();
  for (auto _ : state) {
    benchmark::DoNotOptimize(state::BuildConfigView(items, 1));
  }
}
BENCHMARK(BenchRebuildView)->Unit(benchmark::kMicrosecond);

void BenchApplyOneChange(benchmark::State& state) {
  state::ConfigStore config;
  config.Apply(AllItems());
  std::int64_t revision = 1;
  for (auto _ : state) {
    ++revision;
    config.Apply(
        {Workspace(static_cast<int>(revision % kWorkspaces), revision)});
  }
}
BENCHMARK(BenchApplyOneChange)->Unit(benchmark::kMicrosecond);

/// Fetches `range` changed items, or all, from a peer.
void BenchFetch(benchmark::State& state) {
  state::ConfigStore source;
  source.Apply(AllItems());
  for (int i = 0; i < state.range(0); ++i) source.Apply({Workspace(i, i + 2)});
  const bool full = state.range(1) != 0;
  std::size_t bytes = 0;
  std::unique_ptr<state::ConfigStore> config;
  for (auto _ : state) {
    state.PauseTiming();
    config = std::make_unique<state::ConfigStore>();
    if (!full) config->Apply(AllItems());
    state.ResumeTiming();
    coordination::ConfigFetch fetch(config.get());
    bytes = 0;
    for (bool more = true; more;) {
      const auto reply =
          coordination::BuildItemsReply(source, fetch.NextRequest());
      for (const auto& item : reply.items) {
        bytes += item.name.size() + item.state.size() + item.kind.size() + 40;
      }
      more = fetch.OnReply(reply);
    }
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(BenchFetch)
    ->ArgNames({"changes", "full"})
    ->Args({1, 0})
    ->Args({100, 0})
    ->Args({100, 1})
    ->Unit(benchmark::kMicrosecond);

}  // namespace

BENCHMARK_MAIN();
