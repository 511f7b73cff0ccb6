// A machine is stopped as planned while a caller is still reading an answer.
// LOST: the answer must be complete.
#include <csignal>
#include <cstdio>
#include <cstdlib>

#include "standin.h"

using namespace review;
using nlohmann::json;

int main(int argc, char** argv) {
  const std::string program = GatewayProgram();
  if (argc != 2 || program.empty()) return kCouldNotRun;
  constexpr std::size_t body_bytes = 14'000'000;
  /// Bytes a second that a caller takes.
  constexpr std::size_t rate = 2'000'000;
  constexpr std::int64_t stop_after_ms = 1000;
  Record record(argv[1]);
  Store store;
  Backend backend(&store, &record,
                  {.id = "i-app0",
                   .service = "booking-app",
                   .zone = "zone-0",
                   .body_bytes = body_bytes});
  backend.Publish("ready");
  store.Put("op/config", json{{"version", 1},
                              {"routes",
                               {RouteOf("book-list", "/list/", "safe",
                                        "booking-app", 12000, 500, 2)}},
                              {"services", {ServiceOf("booking-app", 0, 0)}},
                              {"limits", LimitsOf()}}
                             .dump());
  const TemporaryFolder folder;
  std::vector<std::unique_ptr<Gateway>> gateways;
  gateways.push_back(std::make_unique<Gateway>(program, folder.Path(), "edge-0",
                                               "zone-0", store.Address()));
  gateways.front()->Start();
  if (!WaitReady(gateways, 10'000)) {
    record.Line("gateways are not ready");
    return kCouldNotRun;
  }
  SleepMs(2000);

  constexpr int callers = 2;
  std::atomic<int> cut{0};
  std::atomic<int> whole{0};
  std::vector<std::thread> threads;
  const std::int64_t began = NowMs();
  for (int i = 0; i < callers; ++i) {
    threads.emplace_back([&, i] {
      const std::string attempt = "00000000000000a" + std::to_string(i);
      const auto stream = Connect(gateways.front()->Port(), 65536);
      if (!stream) return;
      record.Line("send      " + attempt);
      stream->WriteAll(
          "GET /list/1 HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " +
          attempt + "\r\nX-Deadline-Ms: 12000\r\n\r\n");
      std::string data;
      std::vector<char> buffer(16384);
      std::size_t total = 0;
      const std::int64_t until = NowMs() + 12'000;
      while (true) {
        const std::size_t got =
            stream->ReadSome(buffer.data(), buffer.size(), until);
        if (got == 0) break;
        if (data.size() < 4096) data.append(buffer.data(), got);
        total += got;
        const std::size_t head = data.find("\r\n\r\n");
        if (head != std::string::npos && total >= head + 4 + body_bytes) break;
        // A link of this rate.
        SleepUntilMs(began + static_cast<std::int64_t>(total * 1000 / rate));
      }
      const std::size_t head = data.find("\r\n\r\n");
      const std::size_t body = head == std::string::npos ? 0 : total - head - 4;
      record.Line("answer    " + attempt + " " + data.substr(9, 3) + ", " +
                  std::to_string(body) + " of " + std::to_string(body_bytes) +
                  " bytes, " +
                  (body >= body_bytes   ? "whole"
                   : stream->TimedOut() ? "deadline"
                                        : "the connection ended") +
                  " after " + std::to_string(NowMs() - began) + " ms");
      if (body >= body_bytes) {
        ++whole;
      } else if (!stream->TimedOut()) {
        ++cut;
      }
    });
  }
  SleepUntilMs(began + stop_after_ms);
  if (WithTrouble()) {
    record.Line("platform  SIGTERM to edge-0");
    gateways.front()->Signal(SIGTERM);
  }
  for (auto& thread : threads) thread.join();
  record.Line(std::string("gateway   ") +
              (gateways.front()->HasEnded() ? "has ended" : "runs"));
  const std::string result = std::to_string(cut) + " of " +
                             std::to_string(callers) + " answers were cut, " +
                             std::to_string(whole) + " were whole";
  record.Line("result    " + result);
  std::printf("%s\n", result.c_str());
  if (cut > 0) return kBroken;
  return whole == callers ? kHeld : kCouldNotRun;
}
