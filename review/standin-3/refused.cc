// A worker begins to run a booking, fails in the middle and says so with a 503
// that does not state that it has not run.
#include "cold.h"

using namespace fleet;

namespace {

/// One of them fails.
constexpr int kWorkers = 7;
constexpr int kBookings = 1000;
constexpr int kCallers = 20;

bool trouble = true;

std::mutex table_mutex;
/// Attempts that a worker has begun to run, and the booking of each.
std::map<std::string, std::string> ran;
std::map<std::string, int> runs_of_booking;

class Worker {
 public:
  Worker(std::string id, bool fails)
      : m_id(std::move(id)),
        m_fails(fails),
        m_server([this](const auto& socket) { Serve(socket); }) {}
  const std::string& Id() const { return m_id; }
  std::string Address() const { return m_server.Address(); }

 private:
  void Serve(const std::shared_ptr<Socket>& socket) {
    Message request;
    while (ReadRequest(socket.get(), 600, &request) == 1) {
      const std::string attempt = request.Header("X-Attempt-Id");
      if (request.Header("X-Expect-Instance") != m_id) {
        socket->Write(Response(421, {{"X-Attempt-Id", attempt}}, ""));
        continue;
      }
      bool fails = false;
      {
        const std::lock_guard lock(table_mutex);
        ran[attempt] = request.body;
        ++runs_of_booking[request.body];
        // Two in five of the requests that it runs.
        fails = trouble && m_fails && ++m_runs % 5 < 2;
      }
      Sleep(0.03);
      const Headers headers = {{"X-Attempt-Id", attempt},
                               {"X-Response-Seal", m_id + "." + attempt},
                               {"Keep-Alive", "timeout=5"}};
      if (fails) {
        Note(m_id + " has run " + attempt + " of " + request.body +
             " and answers 503 without X-Not-Executed");
      }
      if (!socket->Write(fails ? Response(503, headers, "ledger not reached")
                               : Response(200, headers, "done " + attempt))) {
        return;
      }
    }
  }

  std::string m_id;
  bool m_fails;
  int m_runs = 0;
  Server m_server;
};

struct Answer {
  std::string attempt;
  int status = 0;
};

Answer Book(int port, const std::string& booking) {
  Answer answer{.attempt = NewId()};
  const auto socket = Connect(port);
  if (!socket) return answer;
  socket->Write("POST /book/x HTTP/1.1\r\nHost: case.example\r\nX-Attempt-Id: " +
                answer.attempt + "\r\nX-Deadline-Ms: 1500\r\nContent-Length: " +
                std::to_string(booking.size()) + "\r\n\r\n" + booking);
  Message message;
  if (ReadHead(socket.get(), 3, &message) == 1) answer.status = message.Status();
  return answer;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  const std::string folder = argv[1];
  Record record(argv[2]);
  TheRecord() = &record;
  Start();
  signal(SIGPIPE, SIG_IGN);
  const char* setting = std::getenv("TROUBLE");
  trouble = setting == nullptr || std::string(setting) != "0";

  Store store;
  ColdLimits warm;
  warm.seconds = 0;
  warm.per_second = 0;
  store.Put("op/config", Config(7, json::array({BookingRoute()}),
                                json::array({BookingService(warm)}))
                             .dump());
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 0; i < kWorkers; ++i) {
    workers.push_back(
        std::make_unique<Worker>("i-7f3a91c" + std::to_string(i), i == 0));
    const Worker* worker = workers.back().get();
    WorkerEntry entry{.id = worker->Id(), .service = "bookings",
                      .address = worker->Address(), .zone = "a"};
    entry.born = UnixMs() - 60000;
    store.Put("servers/" + worker->Id(), entry.Text());
  }
  Gateway gateway(folder, "edge-a-1", "a", store.Address());
  gateway.Launch();
  if (!gateway.WaitReady(10)) CannotRun("the gateway is not ready");
  Sleep(4);

  int untrue = 0;
  std::map<int, int> statuses;
  std::atomic<int> next_booking{0};
  const auto call = [&] {
    while (true) {
      const int number = next_booking++;
      if (number >= kBookings) return;
      const std::string booking = "booking-" + std::to_string(number);
      // A client repeats an unsafe request once, and only after a promise.
      for (int tries = 0; tries < 2; ++tries) {
        const Answer answer = Book(gateway.callers, booking);
        const bool is_promise = answer.status == 408 || answer.status == 421 ||
                                answer.status == 429 || answer.status == 503;
        const std::lock_guard lock(table_mutex);
        ++statuses[answer.status];
        if (!is_promise) break;
        if (ran.count(answer.attempt) == 0) continue;
        ++untrue;
        Note("REFUSED: " + answer.attempt + " of " + booking + " is answered " +
             std::to_string(answer.status) + " and has run");
      }
    }
  };
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) callers.emplace_back(call);
  for (auto& caller : callers) caller.join();
  const std::lock_guard lock(table_mutex);
  int doubled = 0;
  for (const auto& [booking, count] : runs_of_booking) doubled += count > 1;
  std::string text;
  for (const auto& [status, count] : statuses) {
    text += std::to_string(status) + ": " + std::to_string(count) + "  ";
  }
  Note("answers: " + text);
  Note("requests that were answered with a promise and have run: " +
       std::to_string(untrue) + "; bookings that ran twice since their client "
       "believed it: " + std::to_string(doubled));
  const bool lives = gateway.Runs();
  gateway.Kill();
  std::_Exit(!lives ? 2 : untrue > 0 ? 1 : 0);
}
