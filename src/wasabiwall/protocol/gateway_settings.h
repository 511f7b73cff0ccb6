#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "wasabiwall/protocol/toml_schema.h"

namespace wasabiwall::protocol {

/// Bounds of roll-outs, which move a service to another version.
struct RolloutSettings {
  /// Share of a service's calls that a bad version may get.
  double exposure_ratio = 0;
  /// Calls that a bad version may get beyond the share.
  double exposure_tolerance = 0;
  /// Time after the 50th bad response of a version from which it gets no calls.
  std::chrono::milliseconds rollback_time{5000};
};

/// Settings of a gateway process, read from TOML at start and on reload.
struct GatewaySettings {
  std::string name;
  std::string failure_domain;
  std::string log_level = "info";
  /// Listen address for callers, `ip:port`.
  std::string callers_address;
  /// Listen address for readiness checks, `ip:port`.
  std::string readiness_address;
  /// Listen address for metrics, `ip:port`; empty serves no metrics.
  std::string metrics_address;
  /// Listen address for datagrams of other gateways, `ip:port`; empty exchanges
  /// no state with them.
  std::string peer_address;
  /// Address of the key-value service, `ip:port`.
  std::string store_address;
  std::chrono::milliseconds stop_timeout{8000};
  /// Bound on the load of a backend server as a multiple of the mean load.
  double load_factor = 2;
  /// Retry budget: retries per first attempt.
  double retry_share = 0.2;
  /// Retries that a retry budget may accumulate, shared by all gateways.
  double retry_burst = 50;
  /// Hedged requests per call, of all gateways; 0 disables hedging.
  double hedge_share = 0;
  /// Hedged requests that may be saved up, of all gateways.
  double hedge_burst = 0;
  /// How often backend servers renew their entries in the registry.
  std::chrono::milliseconds registry_heartbeat{1200};
  /// How long after an outage of the key-value service a backend server whose
  /// entry vanished is kept.
  std::chrono::milliseconds lapse_grace{2200};
  /// Maximum number of open file descriptors.
  int max_descriptors = 4096;
  /// Memory that the process may use, in megabytes.
  int memory_mb = 256;
  /// Without it, orders to roll a version out are ignored.
  std::optional<RolloutSettings> rollout;
  /// Memory for what callers make the process hold, in megabytes; 0 for a fifth
  /// of `memory_mb`.
  int client_memory_mb = 0;
  /// Slowest pace at which a caller may take a response, in bytes per second,
  /// and the time over which it is measured.
  int min_read_bytes_per_s = 1024;
  std::chrono::milliseconds read_grace{15000};
  /// Connections that the readiness and the metrics address each keep; 0 for
  /// one in 32 of `max_descriptors`, 4 to 64.
  int status_connections = 0;
};

/// Parses and validates settings.
/// @param text TOML text.
/// @param file File name for messages.
/// @return The settings, or every problem with file, line, key and reason.
tl::expected<GatewaySettings, std::vector<TomlProblem>> ParseGatewaySettings(
    std::string_view text, const std::string& file);

}  // namespace wasabiwall::protocol
