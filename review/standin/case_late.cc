// An older write of a worker's entry is done after the worker has left. DRAIN:
// a worker that is gone from the store gets no requests.
#include <cstdio>
#include <cstdlib>

#include "standin.h"

using namespace review;
using nlohmann::json;

namespace {

constexpr std::int64_t kDrainMs = 2000;
constexpr std::int64_t kHeartbeatMs = 1200;

std::string EntryOf(const Backend& worker, int sequence, int cold_left_ms) {
  json entry = json::parse(worker.Entry("ready", cold_left_ms));
  entry["sequence"] = sequence;
  return entry.dump();
}

}  // namespace

int main(int argc, char** argv) {
  const std::string program = GatewayProgram();
  if (argc != 2 || program.empty()) return kCouldNotRun;
  Record record(argv[1]);
  Store store;
  std::vector<std::unique_ptr<Backend>> backends;
  for (int i = 0; i < 4; ++i) {
    backends.push_back(std::make_unique<Backend>(
        &store, &record,
        Backend::Options{.id = "i-app" + std::to_string(i),
                         .service = "booking-app",
                         .zone = "zone-" + std::to_string(i % 3),
                         .work = milliseconds(30)}));
    if (i < 3) backends.back()->Publish("ready");
  }
  store.Put("op/config", json{{"version", 3},
                              {"routes",
                               {RouteOf("book-commit", "/commit/", "unsafe",
                                        "booking-app", 800, 150, 1)}},
                              {"services", {ServiceOf("booking-app", 3, 21)}},
                              {"limits", LimitsOf()}}
                             .dump());
  const TemporaryFolder folder;
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (int i = 0; i < 3; ++i) {
    gateways.push_back(std::make_unique<Gateway>(
        program, folder.Path(), "edge-" + std::to_string(i),
        "zone-" + std::to_string(i), store.Address()));
    gateways.back()->Start();
  }
  if (!WaitReady(gateways, 10'000)) {
    record.Line("gateways are not ready");
    return kCouldNotRun;
  }
  SleepMs(3000);

  constexpr int callers = 12;
  std::atomic<bool> stopped{false};
  std::mutex mutex;
  std::map<std::string, std::int64_t> sent_at;
  std::map<std::string, int> answers;
  std::vector<std::thread> threads;
  for (int i = 0; i < callers; ++i) {
    threads.emplace_back([&, i] {
      const Gateway& gateway = *gateways[static_cast<std::size_t>(i) % 3];
      std::unique_ptr<Stream> stream;
      SleepMs(i * 8);
      for (int n = 0; !stopped; ++n) {
        const std::int64_t next = NowMs() + 100;
        if (!stream) stream = Connect(gateway.Port());
        if (!stream) break;
        char attempt[32];
        std::snprintf(attempt, sizeof attempt, "%08x%08x", i, n);
        {
          const std::lock_guard lock(mutex);
          sent_at[attempt] = NowMs();
        }
        record.Line(std::string("send      ") + attempt + " to " +
                    gateway.Name());
        stream->WriteAll(
            "POST /commit/1 HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " +
            std::string(attempt) +
            "\r\nX-Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n");
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
  SleepMs(1000);

  Backend& worker = *backends[3];
  const std::string key = "servers/" + worker.Id();
  const std::int64_t start = NowMs();
  store.Put(key, EntryOf(worker, 1, 3000));
  record.Line("worker    " + worker.Id() + " starts; sequence 1, cold 3000 ms");
  SleepUntilMs(start + kHeartbeatMs);
  const std::int64_t lost = NowMs();
  if (WithTrouble()) {
    record.Line(
        "store     the write of sequence 2 (cold 1800 ms) has no answer; "
        "end of the disruption");
  } else {
    store.Put(key, EntryOf(worker, 2, 1800));
  }
  SleepUntilMs(start + 2 * kHeartbeatMs);
  store.Put(key, EntryOf(worker, 3, 600));
  record.Line("worker    writes sequence 3 (cold 600 ms)");
  SleepUntilMs(start + 3 * kHeartbeatMs);
  store.Put(key, EntryOf(worker, 4, 0));
  record.Line("worker    writes sequence 4 (cold 0 ms)");
  // The store has been stable for contact_ms.
  SleepUntilMs(lost + 3300);
  store.Remove(key);
  const std::int64_t removed = NowMs();
  record.Line(
      "worker    has its entry removed, without draining before; it "
      "serves on for 7 s");
  SleepUntilMs(lost + 5900);
  if (WithTrouble()) {
    store.Put(key, EntryOf(worker, 2, 1800));
    record.Line("store     does the write of sequence 2, 5.9 s late");
  }
  SleepUntilMs(removed + 7000);
  worker.Exit();
  record.Line("worker    exits");
  // Three heartbeats of silence.
  SleepMs(500);
  store.Remove(key);
  SleepMs(1500);
  stopped = true;
  for (auto& thread : threads) thread.join();

  int served = 0;
  int failed = 0;
  for (const auto& [attempt, status] : answers) {
    status == 200 ? ++served : ++failed;
  }
  int late = 0;
  std::int64_t latest = 0;
  int before = 0;
  for (const Run& run : worker.Runs()) {
    const std::int64_t after = sent_at[run.attempt] - removed;
    if (after < 0) ++before;
    if (after <= kDrainMs) continue;
    ++late;
    latest = std::max(latest, after);
  }
  const std::string result =
      std::to_string(answers.size()) + " requests, " + std::to_string(served) +
      " served, " + std::to_string(failed) + " not; the worker got " +
      std::to_string(before) + " before it left and " + std::to_string(late) +
      " that were sent later than 2 s after, the last " +
      std::to_string(latest) + " ms after";
  record.Line("result    " + result);
  std::printf("%s\n", result.c_str());
  if (before < 10 || served * 10 < static_cast<int>(answers.size()) * 8) {
    return kCouldNotRun;
  }
  return late > 0 ? kBroken : kHeld;
}
