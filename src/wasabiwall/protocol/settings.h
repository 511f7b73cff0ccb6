#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "wasabiwall/protocol/toml_schema.h"

namespace wasabiwall::protocol {

/// Settings of an entry or side process, read from TOML at start.
struct Settings {
  std::string name;
  std::string failure_domain;
  /// HTTP listen address, `ip:port`: for callers at an entry process, for
  /// operators at a side process.
  std::string http_address;
  /// Thrift listen address, `ip:port`.
  std::string peer_address;
  /// Base URL of the key-value service.
  std::string key_value_url;
  /// URL of the VM list.
  std::string vm_list_url;
  /// Secret shared by all processes of the fleet.
  std::string secret;
  std::string log_level = "info";
  /// Backend server next to which a side process runs; empty for an entry
  /// process.
  std::string backend_server;
  /// Whether this process reads configuration from the key-value service.
  bool reads_configuration = true;
  /// Thrift addresses of processes from which to fetch the configuration if
  /// the key-value service is unavailable or `reads_configuration` is false.
  std::vector<std::string> peers;
  int http_threads = 2;
  int worker_threads = 256;
  int max_body_bytes = 1 << 20;
  int control_bytes_per_second = 4096;
  std::chrono::milliseconds connect_timeout{1000};
  std::chrono::milliseconds request_deadline{60000};
  std::chrono::milliseconds header_timeout{5000};
  std::chrono::milliseconds body_timeout{10000};
  std::chrono::milliseconds lease_ttl{5000};
  std::chrono::milliseconds drain_timeout{60000};
};

/// Kind of process that reads the settings.
enum class ProcessRole { kEntry, kSide };

/// Parses and validates settings.
/// @param text TOML text.
/// @param file File name for messages.
/// @param role Process that reads the settings; a side process requires
/// `backend_server`.
/// @return The settings, or every problem with file, line, key and reason.
tl::expected<Settings, std::vector<TomlProblem>> ParseSettings(
    std::string_view text, const std::string& file, ProcessRole role);

}  // namespace wasabiwall::protocol
