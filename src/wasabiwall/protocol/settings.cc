#include "wasabiwall/protocol/settings.h"

namespace wasabiwall::protocol {
namespace {

FieldSpec IntegerSpec(const std::string& name, double min, double max) {
  return {.name = name, .type = FieldType::kInteger, .min = min, .max = max};
}

std::vector<FieldSpec> SettingsSchema(ProcessRole role) {
  std::vector<FieldSpec> process = {
      {.name = "name", .required = true},
      {.name = "failure_domain", .required = true},
      {.name = "log_level",
       .choices = {"trace", "debug", "info", "warn", "error"}},
  };
  if (role == ProcessRole::kSide) {
    process.push_back({.name = "backend_server", .required = true});
  }
  const std::vector<FieldSpec> listen = {{.name = "http", .required = true},
                                         {.name = "peer", .required = true}};
  const std::vector<FieldSpec> platform = {
      {.name = "key_value_url", .required = true},
      {.name = "vm_list_url", .required = true},
      {.name = "reads_configuration", .type = FieldType::kBoolean},
      {.name = "peers", .type = FieldType::kStrings},
  };
  const std::vector<FieldSpec> limits = {
      IntegerSpec("http_threads", 1, 64),
      IntegerSpec("worker_threads", 1, 4096),
      IntegerSpec("max_body_bytes", 1024, 64 << 20),
      IntegerSpec("control_bytes_per_second", 256, 26000),
      IntegerSpec("connect_timeout_ms", 10, 60000),
      IntegerSpec("request_deadline_ms", 100, 3600000),
      IntegerSpec("header_timeout_ms", 100, 60000),
      IntegerSpec("body_timeout_ms", 100, 600000),
      IntegerSpec("lease_ttl_ms", 1000, 60000),
      IntegerSpec("drain_timeout_ms", 100, 3600000),
  };
  return {TableSpec("process", true, process),
          TableSpec("listen", true, listen),
          TableSpec("platform", true, platform),
          TableSpec("security", true, {{.name = "secret", .required = true}}),
          TableSpec("limits", false, limits)};
}

void ReadDuration(const nlohmann::json& table, const char* key,
                  std::chrono::milliseconds* value) {
  *value = std::chrono::milliseconds(table.value(key, value->count()));
}

void ReadLimits(const nlohmann::json& limits, Settings* settings) {
  settings->http_threads = limits.value("http_threads", settings->http_threads);
  settings->worker_threads =
      limits.value("worker_threads", settings->worker_threads);
  settings->max_body_bytes =
      limits.value("max_body_bytes", settings->max_body_bytes);
  settings->control_bytes_per_second = limits.value(
      "control_bytes_per_second", settings->control_bytes_per_second);
  ReadDuration(limits, "connect_timeout_ms", &settings->connect_timeout);
  ReadDuration(limits, "request_deadline_ms", &settings->request_deadline);
  ReadDuration(limits, "header_timeout_ms", &settings->header_timeout);
  ReadDuration(limits, "body_timeout_ms", &settings->body_timeout);
  ReadDuration(limits, "lease_ttl_ms", &settings->lease_ttl);
  ReadDuration(limits, "drain_timeout_ms", &settings->drain_timeout);
}

}  // namespace

tl::expected<Settings, std::vector<TomlProblem>> ParseSettings(
    std::string_view text, const std::string& file, ProcessRole role) {
  const auto root = ParseToml(text, file, SettingsSchema(role));
  if (!root) return tl::make_unexpected(root.error());
  Settings settings;
  const nlohmann::json& process = root->at("process");
  settings.name = process.at("name");
  settings.failure_domain = process.at("failure_domain");
  settings.log_level = process.value("log_level", settings.log_level);
  settings.backend_server = process.value("backend_server", "");
  settings.http_address = root->at("listen").at("http");
  settings.peer_address = root->at("listen").at("peer");
  const nlohmann::json& platform = root->at("platform");
  settings.key_value_url = platform.at("key_value_url");
  settings.vm_list_url = platform.at("vm_list_url");
  settings.reads_configuration =
      platform.value("reads_configuration", settings.reads_configuration);
  settings.peers = platform.value("peers", settings.peers);
  settings.secret = root->at("security").at("secret");
  ReadLimits(root->value("limits", nlohmann::json::object()), &settings);
  return settings;
}

}  // namespace wasabiwall::protocol
