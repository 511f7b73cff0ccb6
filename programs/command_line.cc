#include "command_line.h"

#include <popt.h>
#include <pthread.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace wasabiwall::programs {
namespace {

constexpr char kVersion[] = "0.1.0";

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

DaemonOptions ParseDaemonOptions(int argc, const char** argv) {
  char* file = nullptr;
  int check = 0;
  int version = 0;
  const poptOption table[] = {
      {"config", 'c', POPT_ARG_STRING, &file, 0, "settings file", "FILE"},
      {"check", 0, POPT_ARG_NONE, &check, 0, "check the settings and exit",
       nullptr},
      {"version", 0, POPT_ARG_NONE, &version, 0, "print the version", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext(nullptr, argc, argv, table, 0);
  const int result = poptGetNextOpt(context);
  if (result < -1) {
    std::cerr << poptBadOption(context, 0) << ": " << poptStrerror(result)
              << "\n";
    std::exit(kExitUsage);
  }
  poptFreeContext(context);
  if (version != 0) {
    std::cout << "wasabiwall " << kVersion << "\n";
    std::exit(kExitOk);
  }
  if (file == nullptr) {
    std::cerr << "--config FILE is required; see --help\n";
    std::exit(kExitUsage);
  }
  DaemonOptions options{file, check != 0};
  std::free(file);
  return options;
}

bool ReadFile(const std::string& path, std::string* text) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream) return false;
  std::ostringstream content;
  content << stream.rdbuf();
  *text = content.str();
  return true;
}

void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void WaitForStopSignal() {
  const sigset_t signals = StopSignals();
  int received = 0;
  sigwait(&signals, &received);
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

}  // namespace wasabiwall::programs
