#include "wasabiwall/state/config_records.h"

namespace wasabiwall::state {
namespace {

/// Default of `warmup_calls` for pools of services.
constexpr std::int64_t kServiceWarmupCalls = 32;

PlacementState ToPlacementState(const nlohmann::json& state) {
  return state.value("state", "in") == "in" ? PlacementState::kIn
                                            : PlacementState::kOut;
}

}  // namespace

Workspace ToWorkspace(const ConfigItem& item) {
  Workspace workspace;
  workspace.id = WorkspaceId(item.name);
  workspace.token_digest = item.state.value("token_digest", "");
  workspace.weight = item.state.value("weight", workspace.weight);
  return workspace;
}

FailureDomain ToFailureDomain(const ConfigItem& item) {
  return {FailureDomainId(item.name), ToPlacementState(item.state)};
}

Pool ToPool(const ConfigItem& item) {
  Pool pool;
  const nlohmann::json& state = item.state;
  pool.id = PoolId(item.name);
  pool.kind = state.value("kind", "model") == "service" ? PoolKind::kService
                                                        : PoolKind::kModel;
  pool.models = state.value("models", pool.models);
  pool.max_load_ratio = state.value("max_load_ratio", pool.max_load_ratio);
  pool.load_floor_units =
      state.value("load_floor_units", pool.load_floor_units);
  pool.load_ceiling_units =
      state.value("load_ceiling_units", pool.load_ceiling_units);
  pool.warmup_units = state.value("warmup_units", pool.warmup_units);
  if (pool.kind == PoolKind::kService) pool.warmup_calls = kServiceWarmupCalls;
  pool.warmup_calls = state.value("warmup_calls", pool.warmup_calls);
  pool.key_shards = state.value("key_shards", pool.key_shards);
  pool.policy = state.value("policy", pool.policy);
  return pool;
}

BackendServer ToBackendServer(const ConfigItem& item) {
  BackendServer server;
  const nlohmann::json& state = item.state;
  server.id = BackendServerId(item.name);
  server.pool = PoolId(state.value("pool", ""));
  server.failure_domain = FailureDomainId(state.value("failure_domain", ""));
  server.side = state.value("side", "");
  server.url = state.value("url", "");
  server.state = ToPlacementState(state);
  server.checks_fencing = state.value("checks_fencing", false);
  server.weight = state.value("weight", server.weight);
  return server;
}

Service ToService(const ConfigItem& item) {
  Service service;
  service.name = item.name;
  service.pool = PoolId(item.state.value("pool", ""));
  for (const nlohmann::json& call :
       item.state.value("calls", nlohmann::json::array())) {
    service.calls.push_back(
        {call.value("name", ""), call.value("idempotent", false)});
  }
  return service;
}

}  // namespace wasabiwall::state
