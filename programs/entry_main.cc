#include <iostream>

#include "command_line.h"
#include "entry_daemon.h"
#include "wasabiwall/transport/logging.h"

int main(int argc, const char** argv) {
  using namespace wasabiwall;  // NOLINT(google-build-using-namespace)
  const auto options = programs::ParseDaemonOptions(argc, argv);
  std::string text;
  if (!programs::ReadFile(options.config_file, &text)) {
    std::cerr << options.config_file << ": cannot be read\n";
    return programs::kExitUsage;
  }
  const auto settings = protocol::ParseSettings(text, options.config_file,
                                                protocol::ProcessRole::kEntry);
  if (!settings) {
    for (const auto& problem : settings.error()) {
      std::cerr << problem.Text() << "\n";
    }
    return programs::kExitUsage;
  }
  if (options.check_only) return programs::kExitOk;
  programs::BlockStopSignals();
  transport::StartLogging(settings->log_level, settings->name);
  programs::EntryDaemon daemon(*settings);
  if (!daemon.Start()) {
    transport::LogError("listen_failed", {{"http", settings->http_address},
                                          {"peer", settings->peer_address}});
    daemon.Stop();
    return programs::kExitFailed;
  }
  transport::LogInfo("started", {{"http", settings->http_address}});
  programs::WaitForStopSignal();
  transport::LogInfo("stopping", {});
  daemon.Stop();
  transport::LogInfo("stopped", {});
  return programs::kExitOk;
}
