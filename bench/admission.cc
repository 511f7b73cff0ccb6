// Cost of one admission and its end at a side process, by pool size.
#include <benchmark/benchmark.h>

#include "fakes/pool_fixture.h"
#include "wasabiwall/coordination/side_node.h"

namespace {

using namespace wasabiwall;  // NOLINT(google-build-using-namespace)

void SubmitAndEnd(benchmark::State& state) {
  state::ConfigStore config;
  config.Apply(fakes::PoolItems({.members = static_cast<int>(state.range(0))}));
  std::shared_ptr<state::Attempt> answer;
  coordination::SideNodeHooks hooks;
  hooks.clock = coordination::SteadyClock();
  hooks.random = [] { return std::uint64_t{1}; };
  hooks.run = [&](const auto&, const auto& started) { answer = started; };
  coordination::SideNode node(state::BackendServerId("0"), &config, hooks);
  std::int64_t attempt = 0;
  for (auto _ : state) {
    const std::string id = std::to_string(++attempt);
    node.Submit(fakes::Call(id, 10));
    answer->Finish("", "");
    node.OnRunEnded(state::AttemptId(id));
  }
}

BENCHMARK(SubmitAndEnd)->Arg(3)->Arg(250)->Arg(4200);

}  // namespace

BENCHMARK_MAIN();
