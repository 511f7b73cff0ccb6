#include "daemon_main.h"
#include "entry_daemon.h"

int main(int argc, const char** argv) {
  return wasabiwall::programs::RunDaemon<wasabiwall::programs::EntryDaemon>(
      argc, argv, wasabiwall::protocol::ProcessRole::kEntry);
}
