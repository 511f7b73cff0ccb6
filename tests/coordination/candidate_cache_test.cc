#include "wasabiwall/coordination/candidate_cache.h"

#include <catch2/catch.hpp>
#include <set>

#include "wasabiwall/coordination/routing_policies.h"

namespace wasabiwall::coordination {

namespace {

using std::chrono::milliseconds;

std::shared_ptr<const state::ConfigView> MakeView(const char* state_of_b,
                                                  const char* policy) {
  const auto item = [](state::ItemKind kind, const char* name,
                       nlohmann::json content) {
    return state::ConfigItem{kind, name, 1, 1, false, std::move(content)};
  };
  const nlohmann::json member = {{"pool", "p"}, {"failure_domain", "a"}};
  nlohmann::json b = member;
  b["state"] = state_of_b;
  // Views of the same revision may differ.
  return state::BuildConfigView(
      {item(state::ItemKind::kFailureDomain, "a", {{"state", "in"}}),
       item(state::ItemKind::kPool, "p", {{"policy", policy}}),
       item(state::ItemKind::kBackendServer, "a", member),
       item(state::ItemKind::kBackendServer, "b", b)},
      1);
}

}  // namespace

TEST_CASE("a pool's candidates follow configuration, VM list and loads",
          "[candidate_cache]") {
  std::set<std::string> leaving;
  std::map<std::string, std::int64_t> loads = {{"a", 10}, {"b", 30}};
  std::string policy;
  CandidateCache cache(
      milliseconds(100),
      {.is_leaving = [&](const auto& id) { return leaving.contains(id.value); },
       .reported_load = [&](const auto& id,
                            TimePoint) -> std::optional<int64_t> {
         if (!loads.contains(id.value)) return std::nullopt;
         return loads[id.value];
       },
       .make_policy =
           [&](const auto& name) {
             policy = name;
             return MakeRoutingPolicy(name, [] { return 0; });
           }});
  const state::PoolId pool("p");
  const auto view = MakeView("in", "rendezvous");
  const auto first = cache.Get(view, pool, TimePoint(milliseconds(0)));
  CHECK(first->candidates.size() == 2);
  CHECK(first->reported_mean_units == 20.0);
  CHECK(policy == "rendezvous");

  leaving = {"a"};
  loads.erase("a");
  CHECK(cache.Get(view, pool, TimePoint(milliseconds(99))) == first);
  const auto refreshed = cache.Get(view, pool, TimePoint(milliseconds(100)));
  REQUIRE(refreshed->candidates.size() == 1);
  CHECK(refreshed->candidates[0].id.value == "b");
  CHECK(refreshed->reported_mean_units == 30.0);

  leaving.clear();
  const auto out = cache.Get(MakeView("out", "consistent_hash"), pool,
                             TimePoint(milliseconds(101)));
  REQUIRE(out->candidates.size() == 1);
  CHECK(out->candidates[0].id.value == "a");
  CHECK_FALSE(out->candidates[0].reported);
  CHECK(out->ring != nullptr);
  CHECK(cache.Get(view, state::PoolId("q"), TimePoint()) == nullptr);
}

}  // namespace wasabiwall::coordination
