#pragma once

#include <string>
#include <vector>

namespace wasabiwall::programs {

/// Exit codes shared by all programs; see docs/OPERATIONS.md.
enum ExitCode {
  kExitOk = 0,
  kExitFailed = 1,
  kExitUsage = 2,
  kExitRefused = 3,
  kExitUnavailable = 4,
};

/// Options of a daemon.
struct DaemonOptions {
  std::string config_file;
  bool check_only = false;
};

/// Reads a daemon's command line; ends the process for --help, --version and
/// wrong use.
DaemonOptions ParseDaemonOptions(int argc, const char** argv);

/// Reads a whole file.
/// @return False when it cannot be read.
bool ReadFile(const std::string& path, std::string* text);

/// Blocks SIGTERM and SIGINT in all threads; call before any starts.
void BlockStopSignals();

/// Waits for SIGTERM or SIGINT; after it, a second one ends the process.
void WaitForStopSignal();

}  // namespace wasabiwall::programs
