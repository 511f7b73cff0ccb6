// The store comes back from an older copy; some seconds later the operator
// takes a key away. CONFIG: requests with that key must not run any more.
#include <cstdio>

#include "standin.h"

using namespace review;
using nlohmann::json;

namespace {

constexpr std::int64_t kConfigApplyMs = 2000;
constexpr std::int64_t kContactMs = 3000;

std::string ConfigOf(int version, bool with_second_key) {
  json keys = {"key-one-aaaaaaaaaaaa"};
  if (with_second_key) keys.push_back("key-two-bbbbbbbbbbbb");
  // Every version but the last changes a time-out, as operators do.
  const int timeout_ms = 800 + version % 2 * 100;
  return json{{"version", version},
              {"routes",
               {RouteOf("book-read", "/read/", "safe", "booking-app",
                        timeout_ms, 150, 2)}},
              {"services", {ServiceOf("booking-app", 0, 0)}},
              {"limits", LimitsOf()},
              {"tenants", {{{"name", "desk"}, {"api_keys", keys}}}}}
      .dump();
}

struct Outcome {
  int sent = 0;
  int served = 0;
};

}  // namespace

int main(int argc, char** argv) {
  const std::string program = GatewayProgram();
  if (argc != 2 || program.empty()) return kCouldNotRun;
  Record record(argv[1]);
  Store store;
  std::vector<std::unique_ptr<Backend>> backends;
  for (int i = 0; i < 3; ++i) {
    backends.push_back(std::make_unique<Backend>(
        &store, &record,
        Backend::Options{.id = "i-app" + std::to_string(i),
                         .service = "booking-app",
                         .zone = "zone-" + std::to_string(i)}));
    backends.back()->Publish("ready");
  }
  int version = 3;
  store.Put("op/config", ConfigOf(version, true));
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

  std::atomic<bool> stopped{false};
  std::mutex mutex;
  std::map<std::string, std::int64_t> sent_at;  // with the second key
  Outcome first_key;
  std::atomic<int> attempts{0};
  std::vector<std::thread> callers;
  for (const auto& gateway : gateways) {
    callers.emplace_back([&, port = gateway->Port(), name = gateway->Name()] {
      for (int i = 0; !stopped; ++i) {
        const bool second = i % 2 == 1;
        char attempt[32];
        std::snprintf(attempt, sizeof attempt, "%016x", ++attempts);
        const auto stream = Connect(port);
        if (stream) {
          {
            const std::lock_guard lock(mutex);
            if (second) sent_at[attempt] = NowMs();
            if (!second) ++first_key.sent;
          }
          record.Line(std::string("send      ") + attempt + " to " + name +
                      (second ? ", second key" : ", first key"));
          stream->WriteAll(
              "GET /read/1 HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " +
              std::string(attempt) +
              "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer " +
              (second ? "key-two-bbbbbbbbbbbb" : "key-one-aaaaaaaaaaaa") +
              "\r\n\r\n");
          const auto reply = stream->Read(NowMs() + 1500, true);
          record.Line(std::string("answer    ") + attempt + " " +
                      std::to_string(reply ? reply->status : 0));
          const std::lock_guard lock(mutex);
          if (!second && reply && reply->status == 200) ++first_key.served;
        }
        SleepMs(100);
      }
    });
  }
  SleepMs(1000);

  store.TakeCopy();
  record.Line("store     copy taken at revision " +
              std::to_string(store.Revision()));
  for (int i = 0; i < 12; ++i) {
    SleepMs(330);
    version += 2;
    store.Put("op/config", ConfigOf(version, true));
    record.Line("operator  version " + std::to_string(version) +
                " acknowledged at revision " +
                std::to_string(store.Revision()));
  }
  SleepMs(1000);
  if (WithTrouble()) {
    record.Line("store     away at revision " +
                std::to_string(store.Revision()));
    store.GoAway();
    SleepMs(1000);
    store.ComeBack(true);
    record.Line("store     back, era 2, revision " +
                std::to_string(store.Revision()));
    // What the operator and the workers wrote is written again.
    store.Put("op/config", ConfigOf(version, true));
    for (const auto& backend : backends) backend->Publish("ready");
    record.Line("store     written again, revision " +
                std::to_string(store.Revision()));
  }
  SleepMs(2 * kContactMs);

  version += 2;
  const std::int64_t revision =
      store.Put("op/config", ConfigOf(version, false));
  const std::int64_t acknowledged = NowMs();
  record.Line("operator  version " + std::to_string(version) +
              " without the second key acknowledged at revision " +
              std::to_string(revision));
  SleepMs(15'000);
  stopped = true;
  for (auto& caller : callers) caller.join();

  int late_sent = 0;
  int late_run = 0;
  std::int64_t latest = 0;
  for (const auto& [attempt, at] : sent_at) {
    if (at > acknowledged + kConfigApplyMs) ++late_sent;
  }
  for (const auto& backend : backends) {
    for (const Run& run : backend->Runs()) {
      const auto sent = sent_at.find(run.attempt);
      if (sent == sent_at.end()) continue;
      if (sent->second <= acknowledged + kConfigApplyMs) continue;
      ++late_run;
      latest = std::max(latest, sent->second - acknowledged);
    }
  }
  const std::string result =
      std::to_string(late_run) + " of " + std::to_string(late_sent) +
      " requests with the dropped key, sent later than 2 s after the "
      "acknowledgement, ran; the last was sent " +
      std::to_string(latest) +
      " ms after it; first key: " + std::to_string(first_key.served) + " of " +
      std::to_string(first_key.sent) + " served";
  record.Line("result    " + result);
  std::printf("%s\n", result.c_str());
  if (late_sent < 50 || first_key.served * 10 < first_key.sent * 8) {
    return kCouldNotRun;
  }
  return late_run > 0 ? kBroken : kHeld;
}
