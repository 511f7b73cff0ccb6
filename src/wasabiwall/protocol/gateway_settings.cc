#include "wasabiwall/protocol/gateway_settings.h"

namespace wasabiwall::protocol {
namespace {

FieldSpec NumberSpec(const std::string& name, FieldType type, double min,
                     double max) {
  return {.name = name, .type = type, .min = min, .max = max};
}

std::vector<FieldSpec> Schema() {
  return {
      TableSpec("process", true,
                {{.name = "name", .required = true},
                 {.name = "failure_domain", .required = true},
                 {.name = "log_level",
                  .choices = {"trace", "debug", "info", "warn", "error"}}}),
      TableSpec("listen", true,
                {{.name = "callers", .required = true},
                 {.name = "readiness", .required = true},
                 {.name = "metrics"},
                 {.name = "peers"}}),
      TableSpec("store", true, {{.name = "address", .required = true}}),
      TableSpec(
          "limits", false,
          {NumberSpec("stop_timeout_s", FieldType::kNumber, 0.1, 3600),
           NumberSpec("load_factor", FieldType::kNumber, 1, 100),
           NumberSpec("retry_share", FieldType::kNumber, 0, 1),
           NumberSpec("retry_burst", FieldType::kNumber, 0, 100000),
           NumberSpec("registry_heartbeat_ms", FieldType::kInteger, 1, 60000),
           NumberSpec("lapse_grace_ms", FieldType::kInteger, 0, 60000),
           NumberSpec("max_descriptors", FieldType::kInteger, 64, 10000000),
           NumberSpec("memory_mb", FieldType::kInteger, 32, 1000000),
           NumberSpec("client_memory_mb", FieldType::kInteger, 0, 1000000),
           NumberSpec("min_read_bytes_per_s", FieldType::kInteger, 0, 1000000),
           NumberSpec("read_grace_ms", FieldType::kInteger, 1000, 3600000),
           NumberSpec("status_connections", FieldType::kInteger, 0, 10000)}),
      TableSpec("rollout", false,
                {{.name = "exposure_ratio",
                  .type = FieldType::kNumber,
                  .required = true,
                  .min = 0,
                  .max = 1},
                 NumberSpec("exposure_tolerance", FieldType::kNumber, 0, 1e9),
                 NumberSpec("rollback_ms", FieldType::kNumber, 100, 3600000)}),
      TableSpec("hedging", false,
                {NumberSpec("share", FieldType::kNumber, 0, 1),
                 NumberSpec("burst", FieldType::kNumber, 0, 100000)}),
  };
}

RolloutSettings ReadRollout(const nlohmann::json& table) {
  RolloutSettings rollout;
  rollout.exposure_ratio = table.at("exposure_ratio");
  rollout.exposure_tolerance =
      table.value("exposure_tolerance", rollout.exposure_tolerance);
  rollout.rollback_time =
      std::chrono::milliseconds(static_cast<std::int64_t>(table.value(
          "rollback_ms", static_cast<double>(rollout.rollback_time.count()))));
  return rollout;
}

}  // namespace

tl::expected<GatewaySettings, std::vector<TomlProblem>> ParseGatewaySettings(
    std::string_view text, const std::string& file) {
  const auto root = ParseToml(text, file, Schema());
  if (!root) return tl::make_unexpected(root.error());
  GatewaySettings settings;
  const nlohmann::json& process = root->at("process");
  settings.name = process.at("name");
  settings.failure_domain = process.at("failure_domain");
  settings.log_level = process.value("log_level", settings.log_level);
  const nlohmann::json& listen = root->at("listen");
  settings.callers_address = listen.at("callers");
  settings.readiness_address = listen.at("readiness");
  settings.metrics_address = listen.value("metrics", "");
  settings.peer_address = listen.value("peers", "");
  settings.store_address = root->at("store").at("address");
  const nlohmann::json limits = root->value("limits", nlohmann::json::object());
  const auto read_duration = [&limits](const char* key,
                                       std::chrono::milliseconds* value) {
    *value = std::chrono::milliseconds(limits.value(key, value->count()));
  };
  if (limits.contains("stop_timeout_s")) {
    const std::chrono::duration<double> seconds(limits.at("stop_timeout_s"));
    settings.stop_timeout =
        std::chrono::duration_cast<std::chrono::milliseconds>(seconds);
  }
  read_duration("registry_heartbeat_ms", &settings.registry_heartbeat);
  read_duration("lapse_grace_ms", &settings.lapse_grace);
  settings.max_descriptors =
      limits.value("max_descriptors", settings.max_descriptors);
  settings.memory_mb = limits.value("memory_mb", settings.memory_mb);
  settings.client_memory_mb =
      limits.value("client_memory_mb", settings.client_memory_mb);
  settings.min_read_bytes_per_s =
      limits.value("min_read_bytes_per_s", settings.min_read_bytes_per_s);
  read_duration("read_grace_ms", &settings.read_grace);
  settings.status_connections =
      limits.value("status_connections", settings.status_connections);
  settings.load_factor = limits.value("load_factor", settings.load_factor);
  settings.retry_share = limits.value("retry_share", settings.retry_share);
  settings.retry_burst = limits.value("retry_burst", settings.retry_burst);
  if (const auto rollout = root->find("rollout"); rollout != root->end()) {
    settings.rollout = ReadRollout(*rollout);
  }
  const nlohmann::json hedging =
      root->value("hedging", nlohmann::json::object());
  settings.hedge_share = hedging.value("share", settings.hedge_share);
  settings.hedge_burst = hedging.value("burst", settings.hedge_burst);
  return settings;
}

}  // namespace wasabiwall::protocol
