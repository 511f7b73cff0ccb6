// Case 7: one worker crashes by itself, and seconds later requests with a prompt
// part that crashes workers come, which share their first part with sound ones.
// CRASH=0 leaves the first crash out; CRASH_BEFORE sets how many seconds it
// comes before those requests.

#include "../standin-2/standin.h"

namespace {

using namespace standin;

constexpr int kWorkers = 12;
constexpr double kContact = 3.0;
/// Sound requests a second, and requests with the part that crashes workers.
constexpr int kSoundPerSecond = 28;
constexpr int kDeadlyPerSecond = 12;
/// A sound stream: as many events as on the sheet, on time.
constexpr int kEvents = 49;
constexpr milliseconds kGap{230};
constexpr milliseconds kFirstEvent{250};
constexpr milliseconds kDown{3000};
constexpr double kCalm = 16;
constexpr double kDeadlyTime = 9;

const char* const kFirstPart = "5c1e07a2:512";
const char* const kDeadlyPart = "e4402b7d:800";

struct Request {
  double sent = 0;
  bool begun = false;
};

std::mutex mutex;
std::map<std::string, Request> sound;
std::vector<double> deadly_crashes;
std::vector<double> deadly_sent;

}  // namespace

int main(int, char** argv) {
  Start();
  signal(SIGPIPE, SIG_IGN);
  const std::string folder = argv[1];
  Record record(argv[2]);
  Store store;
  store.Put("op/config", Config());

  const auto answer = [&record](Worker& worker, Connection& connection,
                                const Head& head, const std::string&) {
    const std::string id = head.Find("X-Attempt-Id");
    const bool deadly = head.Find("X-Prompt-Prefix").find(kDeadlyPart) !=
                        std::string::npos;
    record.Line(std::string(deadly ? "deadly " : "sound ") + id + " reaches " +
                worker.Id());
    SleepFor(kFirstEvent);
    if (!worker.IsUp()) return false;
    if (deadly) {
      if (worker.Crash(kDown)) {
        record.Line("worker " + worker.Id() + " crashes on " + id);
        const std::lock_guard lock(mutex);
        deadly_crashes.push_back(Seconds());
      }
      return false;
    }
    {
      const std::lock_guard lock(mutex);
      sound[id].begun = true;
    }
    record.Line("sound " + id + " begins at " + worker.Id());
    if (!connection.Write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
                          "\r\nX-Response-Seal: " + worker.Id() + "." + id +
                          "\r\nContent-Type: text/event-stream\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n")) {
      return false;
    }
    const std::string last = head.Find("Last-Event-Id");
    for (int i = last.empty() ? 1 : std::atoi(last.c_str()) + 1; i <= kEvents;
         ++i) {
      const std::string event =
          "id: " + std::to_string(i) + "\ndata: " + id + "\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
      if (!connection.Write(size + event + "\r\n")) return false;
      SleepFor(kGap);
    }
    record.Line("sound " + id + " is complete at " + worker.Id());
    return connection.Write("0\r\n\r\n");
  };
  std::vector<std::unique_ptr<Worker>> workers;
  const char* const zones[] = {"cdf", "swa", "nwp"};
  for (int i = 0; i < kWorkers; ++i) {
    workers.push_back(std::make_unique<Worker>(
        &store, "i-" + std::to_string(100 + i), "llm", zones[i % 3], 64, answer));
  }
  Gateway first("edge-cdf-1", "cdf", store.Address(), folder);
  Gateway second("edge-swa-1", "swa", store.Address(), folder);
  first.Run();
  second.Run();
  if (!first.WaitUntilReady() || !second.WaitUntilReady()) return 2;
  SleepFor(milliseconds(4000));

  int turn = 0;
  const auto send = [&](bool deadly) {
    const std::string id = NewId();
    Gateway& gateway = turn % 2 == 0 ? first : second;
    const std::string own = "91bd" + std::to_string(turn % 12) + ":800,";
    ++turn;
    {
      const std::lock_guard lock(mutex);
      if (deadly) {
        deadly_sent.push_back(Seconds());
      } else {
        sound[id].sent = Seconds();
      }
    }
    record.Line(std::string(deadly ? "deadly " : "sound ") + id + " sent");
    std::thread([&gateway, &record, id, own, deadly] {
      const std::string parts =
          std::string(kFirstPart) + "," +
          (deadly ? std::string(kDeadlyPart) + "," : "") + own + id + ":300";
      const auto connection =
          Connection::Open(gateway.Port(), milliseconds(1000));
      Head head;
      std::string body;
      const Time deadline = Clock::now() + std::chrono::seconds(16);
      int status = 0;
      if (connection &&
          connection->Write(RequestHead("POST", "/chat/2f", id, 12000) +
                            "X-Model: m\r\nX-Token-Usage: 1612,294\r\n"
                            "X-Prompt-Prefix: " +
                            parts + "\r\nContent-Length: 16\r\n\r\n" + id) &&
          connection->ReadHead(&head, deadline)) {
        status = head.Status();
        record.Line(std::string(deadly ? "deadly " : "sound ") + id +
                    " answered " + std::to_string(status));
        connection->ReadBody(head, &body, deadline);
      }
    }).detach();
  };

  const bool has_trouble = HasTrouble();
  const char* crash = std::getenv("CRASH");
  const bool has_crash =
      has_trouble && (crash == nullptr || std::string(crash) != "0");
  const char* before = std::getenv("CRASH_BEFORE");
  const double begin = Seconds();
  const double deadly_begin = begin + kCalm;
  const double deadly_end = deadly_begin + kDeadlyTime;
  const double crash_at =
      deadly_begin - (before == nullptr ? 2 : std::atof(before));
  double next_sound = begin;
  double next_deadly = deadly_begin;
  bool crashed = false;
  while (Seconds() < deadly_end + 1) {
    const double now = Seconds();
    if (has_crash && !crashed && now >= crash_at) {
      crashed = true;
      workers[5]->Crash(kDown);
      record.Line("worker " + workers[5]->Id() + " crashes by itself");
    }
    for (; next_sound <= now; next_sound += 1.0 / kSoundPerSecond) send(false);
    for (; has_trouble && next_deadly <= now && now < deadly_end;
         next_deadly += 1.0 / kDeadlyPerSecond) {
      send(true);
    }
    SleepFor(milliseconds(5));
  }
  SleepFor(milliseconds(1500));

  // LOST: from 2 x contact_ms after the fifth crash (the last, if there are
  // fewer), while such requests still come, sound requests with the same key
  // or first part begin at the first attempt less than half as often as
  // outside unplanned disruption (20 or more of each).
  const std::lock_guard lock(mutex);
  double from = deadly_begin + 1 + 2 * kContact;
  if (!deadly_crashes.empty()) {
    from = deadly_crashes[std::min<std::size_t>(4, deadly_crashes.size() - 1)] +
           2 * kContact;
  }
  const double until = deadly_sent.empty() ? deadly_end : deadly_sent.back();
  int calm = 0, calm_begun = 0, late = 0, late_begun = 0;
  for (const auto& [id, request] : sound) {
    if (request.sent < crash_at - 1) {
      ++calm;
      calm_begun += request.begun ? 1 : 0;
    } else if (request.sent > from && request.sent < until) {
      ++late;
      late_begun += request.begun ? 1 : 0;
    }
  }
  const bool alive = first.IsRunning() && second.IsRunning();
  const bool enough = calm >= 20 && late >= 20;
  const bool broken =
      enough && 2.0 * late_begun / late < 1.0 * calm_begun / calm;
  std::string line = "crashes by the part, in seconds from its first request:";
  for (const double time : deadly_crashes) {
    line += " " + std::to_string(time - deadly_begin).substr(0, 5);
  }
  record.Line(line);
  record.Line("calm: " + std::to_string(calm_begun) + " of " +
              std::to_string(calm) + " sound requests began; from " +
              std::to_string(from - deadly_begin).substr(0, 5) + " to " +
              std::to_string(until - deadly_begin).substr(0, 5) + " s: " +
              std::to_string(late_begun) + " of " + std::to_string(late));
  record.Line(!enough || !alive ? "the case could not run"
              : broken          ? "LOST is broken"
                                : "LOST holds");
  for (const Gateway* gateway : {&first, &second}) {
    kill(gateway->Pid(), SIGKILL);
    waitpid(gateway->Pid(), nullptr, 0);
  }
  std::_Exit(!enough || !alive ? 2 : broken ? 1 : 0);
}
