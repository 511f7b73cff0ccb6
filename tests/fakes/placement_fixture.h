#pragma once

#include <chrono>
#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <tl/expected.hpp>

#include "wasabiwall/coordination/backend_placement.h"

namespace wasabiwall::fakes {

/// Placement for one service of engines, with all its inputs.
class PlacementFixture {
 public:
  /// @param seed Of what is left to chance.
  explicit PlacementFixture(std::uint64_t seed = 7)
      : registry(state::LapseTimes{},
                 [this](const state::ServiceId&) { return service.cold_time; }),
        cold_starts(1),
        hold_offs([] { return 0U; }),
        prompt_cache(1000),
        placement(
            {.registry = &registry,
             .loads = &loads,
             .health = &health,
             .failure_domains = &failure_domains,
             .event_intervals = &event_intervals,
             .cold_starts = &cold_starts,
             .hold_offs = &hold_offs,
             .prompt_cache = &prompt_cache,
             .work_times = &work_times,
             .has_connection = [](const auto&, const auto&) { return true; },
             .processes = [this] { return processes; },
             .random = [this] { return m_engine(); },
             .is_in_trial =
                 [this](const state::BackendServer& server) {
                   return !not_on_trial.contains(server.id);
                 }},
            state::FailureDomainId("z0"), 2.0),
        m_engine(seed) {
    service.id = state::ServiceId("s");
    service.engine = state::EngineConfig{64, 100000};
    service.cold_time = std::chrono::seconds(3);
    service.cold_calls_per_second = 20;
  }

  void Add(const std::string& id, bool appeared = false,
           const std::string& version = "") {
    state::BackendServer server;
    server.version = version;
    server.id = state::BackendServerId(id);
    server.service = service.id;
    server.address = "10.0.0.1:" + std::to_string(++m_port);
    server.failure_domain =
        state::FailureDomainId("z" + std::to_string(m_port % 3));
    server.capacity = 64;
    registry.Put(server, now, appeared);
  }

  tl::expected<coordination::Placement, coordination::PlacementRefusal> Choose(
      std::uint64_t part, const state::VersionRule& versions = {}) {
    return placement.Choose({.service = &service,
                             .shared_part = part,
                             .shared_tokens = 10000,
                             .versions = versions},
                            now);
  }

  /// Places a call and records that it was sent.
  /// @return The backend server, or an empty string.
  std::string Start(std::uint64_t part) {
    const auto chosen = Choose(part);
    if (!chosen) return "";
    loads.OnSent(chosen->server.id);
    cold_starts.OnSent(chosen->server.id, now);
    prompt_cache.OnRead(part, chosen->server.id, now);
    return chosen->server.id.value;
  }

  coordination::TimePoint now{std::chrono::seconds(100)};
  int processes = 4;
  /// Backend servers that get no calls whose versions are restricted.
  std::set<state::BackendServerId> not_on_trial;
  state::Service service;
  state::BackendRegistry registry;
  coordination::BackendLoadTable loads;
  coordination::BackendHealth health;
  coordination::FailureDomainHealth failure_domains{
      state::FailureDomainId("z0"),
      {.report = [](const auto&) {},
       .announce = [](const auto&) {},
       .is_collector = [](const auto&) { return true; },
       .on_change = nullptr}};
  coordination::EventIntervalTable event_intervals;
  coordination::ColdStartLimiter cold_starts;
  coordination::HoldOffTable hold_offs;
  coordination::PromptCacheIndex prompt_cache;
  balancing::WorkTimeTable work_times;
  coordination::BackendPlacement placement;

 private:
  std::mt19937_64 m_engine;
  int m_port = 0;
};

}  // namespace wasabiwall::fakes
