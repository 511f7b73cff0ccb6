#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "wasabiwall/protocol/toml_schema.h"

namespace wasabiwall::protocol {

/// Settings of one process, read from TOML at its start.
struct Settings {
  std::string name;
  std::string failure_domain;
  /// HTTP address, `ip:port`: callers at the entry, operators at the side.
  std::string http_address;
  /// Thrift address, `ip:port`.
  std::string peer_address;
  /// Base URL of the key-value service.
  std::string key_value_url;
  /// URL of the VM list.
  std::string vm_list_url;
  /// Secret that all processes of the fleet share.
  std::string secret;
  std::string log_level = "info";
  /// Backend server that a side process stands beside; empty at an entry.
  std::string backend_server;
  /// Whether this process reads configuration from the key-value service.
  bool reads_configuration = true;
  /// Thrift addresses of processes to start from while the service is out.
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

/// Kind of process that settings are for.
enum class ProcessRole { kEntry, kSide };

/// Parses and checks settings.
/// @param text TOML text.
/// @param file File name for messages.
/// @param role Process that reads them; a side needs `backend_server`.
/// @return Settings, or every problem with file, line, key and what is allowed.
tl::expected<Settings, std::vector<TomlProblem>> ParseSettings(
    std::string_view text, const std::string& file, ProcessRole role);

}  // namespace wasabiwall::protocol
