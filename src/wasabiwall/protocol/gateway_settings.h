#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "wasabiwall/protocol/toml_schema.h"

namespace wasabiwall::protocol {

/// Settings of a gateway process, read from TOML at its start and again when
/// it is told to reload.
struct GatewaySettings {
  std::string name;
  std::string failure_domain;
  std::string log_level = "info";
  /// `ip:port` for callers.
  std::string callers_address;
  /// `ip:port` for readiness checks.
  std::string readiness_address;
  /// `ip:port` for metrics; empty serves none.
  std::string metrics_address;
  /// `ip:port` for datagrams of other gateways; empty shares nothing.
  std::string peer_address;
  /// `ip:port` of the key-value service.
  std::string store_address;
  std::chrono::milliseconds stop_timeout{8000};
  double load_factor = 2;
  double retry_share = 0.2;
  double retry_burst = 50;
  std::chrono::milliseconds lapse_grace{2500};
  /// File descriptors that the process may have open.
  int max_descriptors = 4096;
};

/// Parses and checks settings.
/// @param text TOML text.
/// @param file File name for messages.
/// @return Settings, or every problem with file, line, key and what is allowed.
tl::expected<GatewaySettings, std::vector<TomlProblem>> ParseGatewaySettings(
    std::string_view text, const std::string& file);

}  // namespace wasabiwall::protocol
