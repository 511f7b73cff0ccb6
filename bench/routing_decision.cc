// Time of one routing decision at the sizes of a pool and of the whole fleet.
#include <benchmark/benchmark.h>

#include <random>
#include <string>
#include <vector>

#include "wasabiwall/coordination/entry_node.h"
#include "wasabiwall/coordination/hash_ring.h"
#include "wasabiwall/coordination/routing_policies.h"
#include "wasabiwall/protocol/ticket.h"
#include "wasabiwall/state/digest.h"

namespace {

using namespace wasabiwall;  // NOLINT(google-build-using-namespace)

constexpr std::size_t kWanted = 8;
constexpr int kChats = 1024;

std::vector<coordination::Candidate> MakeCandidates(std::int64_t count) {
  std::vector<coordination::Candidate> candidates;
  for (std::int64_t i = 0; i < count; ++i) {
    const std::string name = "backend-server-" + std::to_string(i);
    candidates.push_back({state::BackendServerId(name), 1.0, 1000 + i % 7 * 100,
                          true, state::FastHash(name)});
  }
  return candidates;
}

void Decide(benchmark::State& state, std::string_view name,
            std::size_t wanted) {
  const auto candidates = MakeCandidates(state.range(0));
  const coordination::HashRing ring(candidates);
  const auto policy = coordination::MakeRoutingPolicy(name, std::mt19937_64(1));
  coordination::RoutingQuery query{.workspace = state::WorkspaceId("w"),
                                   .cost_units = 500,
                                   .candidates = candidates,
                                   .max_results = wanted,
                                   .load_floor_units = 4000,
                                   .reported_mean_units = 1300,
                                   .ring = &ring};
  std::vector<state::ChatId> chats;
  chats.reserve(kChats);
  for (int i = 0; i < kChats; ++i) chats.emplace_back(std::to_string(i));
  std::size_t next = 0;
  for (auto unused : state) {
    query.chat = chats[next++ % chats.size()];
    benchmark::DoNotOptimize(policy(query));
  }
}

/// Whole planning of a chat: parsing, authentication, candidates and order.
void PlanChat(benchmark::State& state) {
  std::vector<state::ConfigItem> items;
  const auto add = [&](state::ItemKind kind, const std::string& name,
                       nlohmann::json content) {
    items.push_back({kind, name, 1, 1, false, std::move(content)});
  };
  add(state::ItemKind::kWorkspace, "w",
      {{"token_digest", state::Sha256Hex("token")}});
  add(state::ItemKind::kFailureDomain, "a", {{"state", "in"}});
  add(state::ItemKind::kPool, "p", {{"kind", "model"}, {"models", {"m"}}});
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    add(state::ItemKind::kBackendServer, "backend-server-" + std::to_string(i),
        {{"pool", "p"}, {"failure_domain", "a"}});
  }
  state::ConfigStore config;
  config.Apply(items);
  coordination::EntryNode node(
      &config, std::chrono::seconds(60),
      {coordination::SteadyClock(), std::mt19937_64(1)});
  coordination::CallerRequest call;
  call.token = "token";
  call.chat_id = "chat";
  call.body = R"({"model":"m","messages":[{"role":"user","content":"hi"}]})";
  for (auto unused : state) {
    auto planned = node.PlanChat(call);
    if (!planned || planned->order.empty()) state.SkipWithError("no order");
    benchmark::DoNotOptimize(planned);
  }
}

}  // namespace

BENCHMARK_CAPTURE(Decide, random, "random", kWanted)->Arg(250)->Arg(4200);
BENCHMARK_CAPTURE(Decide, least_of_two, "least_of_two", kWanted)
    ->Arg(250)
    ->Arg(4200);
BENCHMARK_CAPTURE(Decide, consistent_hash, "consistent_hash", kWanted)
    ->Arg(250)
    ->Arg(4200);
BENCHMARK_CAPTURE(Decide, rendezvous, "rendezvous", kWanted)
    ->Arg(250)
    ->Arg(4200);
BENCHMARK_CAPTURE(Decide, rendezvous_bounded, "rendezvous_bounded", kWanted)
    ->Arg(250)
    ->Arg(4200);
BENCHMARK_CAPTURE(Decide, rendezvous_all, "rendezvous", SIZE_MAX)
    ->Arg(250)
    ->Arg(4200);
BENCHMARK(PlanChat)->Arg(20)->Arg(250)->Arg(4200);

BENCHMARK_MAIN();
