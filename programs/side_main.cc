#include "daemon_main.h"
#include "side_daemon.h"

int main(int argc, const char** argv) {
  return wasabiwall::programs::RunDaemon<wasabiwall::programs::SideDaemon>(
      argc, argv, wasabiwall::protocol::ProcessRole::kSide);
}
