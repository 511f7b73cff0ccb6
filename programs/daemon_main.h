#pragma once

#include <thrift/Thrift.h>

#include <iostream>
#include <string>

#include "command_line.h"
#include "wasabiwall/protocol/settings.h"
#include "wasabiwall/transport/logging.h"

namespace wasabiwall::programs {

/// Reads settings, runs a daemon until it is told to stop, and stops it
/// gracefully.
/// @tparam Daemon Class with a constructor from settings, Start and Stop.
/// @return Exit code of the process.
template <typename Daemon>
int RunDaemon(int argc, const char** argv, protocol::ProcessRole role) {
  const DaemonOptions options = ParseDaemonOptions(argc, argv);
  std::string text;
  if (!ReadFile(options.config_file, &text)) {
    std::cerr << options.config_file << ": cannot be read\n";
    return kExitUsage;
  }
  const auto settings =
      protocol::ParseSettings(text, options.config_file, role);
  if (!settings) {
    for (const auto& problem : settings.error()) {
      std::cerr << problem.Text() << "\n";
    }
    return kExitUsage;
  }
  if (options.check_only) return kExitOk;
  BlockStopSignals();
  transport::StartLogging(settings->log_level, settings->name);
  apache::thrift::GlobalOutput.setOutputFunction([](const char* message) {
    transport::LogDebug("thrift", {{"message", message}});
  });
  Daemon daemon(*settings);
  if (!daemon.Start()) {
    transport::LogError("listen_failed", {{"http", settings->http_address},
                                          {"peer", settings->peer_address}});
    daemon.Stop();
    return kExitFailed;
  }
  transport::LogInfo("started", {{"http", settings->http_address}});
  WaitForStopSignal();
  transport::LogInfo("stopping", {});
  daemon.Stop();
  transport::LogInfo("stopped", {});
  return kExitOk;
}

}  // namespace wasabiwall::programs
