// Gateways are killed while the store loses answers, and are killed once more
// before a write whose answer was lost is carried out. Later, long after that, a
// worker that is cold comes up.
#include "cold.h"

using namespace fleet;

namespace {

constexpr int kGateways = 5;
/// A share of 0.6.
constexpr int kKilled = 3;
/// Time after which a write without an answer is carried out.
constexpr double kLateSeconds = 5;

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
  std::atomic<bool> loses_answers{false};
  store.late = [&](const json& call) -> std::optional<double> {
    if (!loses_answers) return std::nullopt;
    Note("store: the answer to a write is lost, " + call.dump());
    return kLateSeconds;
  };
  const ColdLimits limits{.seconds = 12, .per_second = 21};
  store.Put("op/config", Config(7, json::array({BookingRoute()}),
                                json::array({BookingService(limits)}))
                             .dump());
  PlainWorker first(&store, "i-7f3a91c2", limits);
  PlainWorker second(&store, "i-3df7fc1c", limits);
  PlainWorker cold(&store, "i-c45231e9", limits);
  first.Register(false);
  second.Register(false);

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
  const auto note_count = [&] {
    Note("gateways in the store: " +
         std::to_string(store.Count("wasabiwall/gateways/")) + " of " +
         std::to_string(kGateways) + " that run");
  };
  note_count();

  const auto kill_three = [&](const char* text) {
    Note(text);
    for (int i = kGateways - kKilled; i < kGateways; ++i) gateways[i]->Kill();
    Sleep(0.5);
    for (int i = kGateways - kKilled; i < kGateways; ++i) gateways[i]->Launch();
    for (int i = kGateways - kKilled; i < kGateways; ++i) gateways[i]->WaitReady(10);
  };
  if (trouble) {
    Note("the store loses the answers of three writes and carries them out 5 s later");
    loses_answers = true;
    kill_three("SIGKILL to three of five gateways, which start again");
    Sleep(0.5);
    loses_answers = false;
    Note("the store answers again");
    kill_three("SIGKILL to the same gateways, which start again");
  }
  // All that follows comes long after the disruption.
  for (int i = 0; i < 5; ++i) {
    Sleep(9);
    note_count();
  }
  for (const auto& gateway : gateways) {
    if (!gateway->Runs() || !gateway->IsReady()) {
      CannotRun("a gateway is not ready");
    }
  }
  Callers callers;
  for (int c = 0; c < 60; ++c) {
    callers.Add(gateways[static_cast<std::size_t>(c % kGateways)]->callers, 0.1);
  }
  Sleep(4);
  Note("answers before the worker comes up: " + callers.Text());
  callers.Restart();
  Note("a worker that is cold registers");
  cold.Register(true);
  Sleep(limits.seconds);
  callers.Stop();
  Note("answers while it was cold: " + callers.Text());
  Note(cold.Text());
  const bool broken = cold.IsBroken();
  if (broken) Note("FAILBACK is broken");
  for (const auto& gateway : gateways) gateway->Kill();
  std::_Exit(broken ? 1 : 0);
}
