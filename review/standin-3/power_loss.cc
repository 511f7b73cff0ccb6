// All gateways lose power at the same time, for longer than their entries in the
// store last, and start again within 0.3 s while a worker is cold.
#include "cold.h"

using namespace fleet;

namespace {

constexpr int kGateways = 10;
/// The gateways' entries are gone after 15 s.
constexpr double kDownSeconds = 17;
/// All start within 0.3 s of each other.
constexpr double kStartGap = 0.03;

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  const std::string folder = argv[1];
  Record record(argv[2]);
  TheRecord() = &record;
  Start();
  signal(SIGPIPE, SIG_IGN);
  const char* setting = std::getenv("TROUBLE");
  const bool trouble = setting == nullptr || std::string(setting) != "0";

  Store store;
  const ColdLimits limits{.seconds = 12, .per_second = 21};
  store.Put("op/config", Config(7, json::array({BookingRoute()}),
                                json::array({BookingService(limits)}))
                             .dump());
  PlainWorker warm(&store, "i-7f3a91c2", limits);
  PlainWorker cold(&store, "i-c45231e9", limits);
  warm.Register(false);
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (int i = 0; i < kGateways; ++i) {
    gateways.push_back(std::make_unique<Gateway>(
        folder, "edge-" + std::string(1, static_cast<char>('a' + i)) + "-1", "a",
        store.Address()));
    gateways.back()->Launch();
  }
  for (const auto& gateway : gateways) {
    if (!gateway->WaitReady(10)) {
      CannotRun("a gateway is not ready");
    }
  }
  Sleep(4);
  Note("gateways in the store: " +
       std::to_string(store.Count("wasabiwall/gateways/")));
  Callers callers;
  for (int c = 0; c < 120; ++c) {
    callers.Add(gateways[static_cast<std::size_t>(c % kGateways)]->callers, 0.1);
  }
  Sleep(2);
  Note("answers so far: " + callers.Text());
  if (trouble) {
    Note("all gateways lose power");
    for (const auto& gateway : gateways) gateway->Kill();
    Sleep(kDownSeconds);
    Note("gateways in the store: " +
         std::to_string(store.Count("wasabiwall/gateways/")));
  }
  callers.Restart();
  // The warm worker has left meanwhile; a cold one has taken its place.
  warm.Crash();
  store.Remove("servers/i-7f3a91c2");
  cold.Register(true);
  Note("a worker that is cold has taken the place of the warm one");
  if (trouble) {
    for (const auto& gateway : gateways) {
      gateway->Launch();
      Sleep(kStartGap);
    }
    Note("all gateways have started again");
  }
  Sleep(limits.seconds);
  callers.Stop();
  bool lives = true;
  for (const auto& gateway : gateways) lives = gateway->Runs() && lives;
  Note("answers since: " + callers.Text());
  Note(cold.Text());
  const bool broken = cold.IsBroken();
  if (broken) Note("FAILBACK is broken");
  for (const auto& gateway : gateways) gateway->Kill();
  std::_Exit(broken ? 1 : lives ? 0 : 2);
}
