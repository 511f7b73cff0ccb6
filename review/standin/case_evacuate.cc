// A zone is emptied and taken back; its worker is cold then. The gateways were
// started before the first configuration was written. FAILBACK: a cold worker
// gets no more requests in a second than it bears.
#include <cstdio>
#include <cstdlib>

#include "standin.h"

using namespace review;
using nlohmann::json;

int main(int argc, char** argv) {
  const std::string program = GatewayProgram();
  if (argc != 2 || program.empty()) return kCouldNotRun;
  constexpr double cold_per_s = 21;
  constexpr int bound = static_cast<int>(cold_per_s * 1.5 + 5);
  Record record(argv[1]);
  Store store;
  std::vector<std::unique_ptr<Backend>> backends;
  for (int i = 0; i < 3; ++i) {
    backends.push_back(std::make_unique<Backend>(
        &store, &record,
        Backend::Options{.id = "i-app" + std::to_string(i),
                         .service = "booking-app",
                         .zone = "zone-" + std::to_string(i),
                         .work = milliseconds(30),
                         .cold_ms = 3000,
                         .cold_crash = 2 * 21}));
    store.Put("servers/" + backends.back()->Id(),
              backends.back()->Entry("ready", 0));
    backends.back()->StartHeartbeat();
  }
  const std::string config = json{
      {"version", 3},
      {"routes",
       {RouteOf("book-commit", "/commit/", "unsafe", "booking-app", 800, 150,
                1)}},
      {"services", {ServiceOf("booking-app", 3, cold_per_s)}},
      {"limits", LimitsOf()}}.dump();
  // To tell the cause: with this set, the configuration is there first.
  const bool config_first = std::getenv("CONFIG_FIRST") != nullptr;
  if (config_first) store.Put("op/config", config);
  const TemporaryFolder folder;
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (int i = 0; i < 4; ++i) {
    gateways.push_back(std::make_unique<Gateway>(
        program, folder.Path(), "edge-" + std::to_string(i),
        "zone-" + std::to_string(i % 3), store.Address()));
    gateways.back()->Start();
  }
  SleepMs(3000);
  if (!config_first) {
    store.Put("op/config", config);
    record.Line("operator  first configuration, before traffic");
  }
  if (!WaitReady(gateways, 10'000)) {
    record.Line("gateways are not ready");
    return kCouldNotRun;
  }
  SleepMs(4000);

  constexpr int callers = 24;
  constexpr std::int64_t length_ms = 16'000;
  std::mutex mutex;
  std::map<std::string, int> answers;
  std::vector<std::thread> threads;
  const std::int64_t begin = NowMs();
  for (int i = 0; i < callers; ++i) {
    threads.emplace_back([&, i] {
      const Gateway& gateway = *gateways[static_cast<std::size_t>(i) % 4];
      std::unique_ptr<Stream> stream;
      SleepMs(i * 4);
      for (int n = 0; NowMs() < begin + length_ms; ++n) {
        const std::int64_t next = NowMs() + 100;
        if (!stream) stream = Connect(gateway.Port());
        if (!stream) break;
        char attempt[32];
        std::snprintf(attempt, sizeof attempt, "%08x%08x", i, n);
        stream->WriteAll(
            "POST /commit/1 HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " +
            std::string(attempt) +
            "\r\nX-Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n");
        record.Line(std::string("send      ") + attempt + " to " +
                    gateway.Name());
        const auto reply = stream->Read(NowMs() + 1500, true);
        const int status = reply ? reply->status : 0;
        record.Line(std::string("answer    ") + attempt + " " +
                    std::to_string(status));
        {
          const std::lock_guard lock(mutex);
          answers[attempt] = status;
        }
        if (!reply || reply->Header("Connection") == "close") stream.reset();
        SleepUntilMs(next);
      }
    });
  }
  SleepMs(3000);
  Backend& worker = *backends[2];
  if (WithTrouble()) {
    store.Put("op/evacuate/zone-2", "{}");
    record.Line("operator  evacuates zone-2");
    SleepMs(8000);
    store.Remove("op/evacuate/zone-2");
    worker.BecomeCold();
    record.Line("operator  takes zone-2 back; " + worker.Id() +
                " is cold for 3 s");
  }
  for (auto& thread : threads) thread.join();

  int served = 0;
  std::map<int, int> others;
  for (const auto& [attempt, status] : answers) {
    status == 200 ? ++served : ++others[status];
  }
  std::string result = std::to_string(answers.size()) + " requests, " +
                       std::to_string(served) + " served";
  for (const auto& [status, count] : others) {
    result +=
        ", " + std::to_string(count) + " ended with " + std::to_string(status);
  }
  const int most = worker.MostInColdSecond();
  result += "; the cold worker got " + std::to_string(most) + " in a second, " +
            std::to_string(bound) + " allowed, and " +
            (worker.HasCrashed() ? "crashed" : "went on");
  record.Line("result    " + result);
  std::printf("%s\n", result.c_str());
  if (served * 10 < static_cast<int>(answers.size()) * 7) return kCouldNotRun;
  return most > bound ? kBroken : kHeld;
}
