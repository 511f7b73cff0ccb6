// A worker that is full interrupts one of its streams for a moment while the
// gateway that serves the stream is being stopped.
#include "fleet.h"

using namespace fleet;

namespace {

constexpr int kSlots = 2;
constexpr double kEventGap = 0.1;
constexpr int kEvents = 50;
constexpr int kCallers = 20;
/// Shorter than the two seconds after which clients leave a stream.
constexpr double kPreempted = 1.3;

bool trouble = true;
/// Set once memory runs out at a worker, which then preempts one run, once.
std::atomic<bool> preempting{false};

/// An engine with a few slots. A request that finds all of them taken is turned
/// away. When memory runs out, it preempts the newest run and reads it in again.
class Worker {
 public:
  Worker(std::string id, bool preempts)
      : m_id(std::move(id)),
        m_preempts(preempts),
        m_server([this](const auto& socket) { Serve(socket); }) {}
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
      int run = 0;
      {
        const std::lock_guard lock(m_mutex);
        if (m_running.size() < kSlots) {
          run = ++m_runs;
          m_running.insert(run);
        }
      }
      if (run == 0) {
        Note(m_id + " is full and turns " + attempt + " away");
        socket->Write(Response(503,
                               {{"X-Attempt-Id", attempt},
                                {"X-Not-Executed", "1"},
                                {"X-Instance-Load", Load()}},
                               ""));
        continue;
      }
      const bool whole = Stream(socket, request, attempt, run);
      {
        const std::lock_guard lock(m_mutex);
        m_running.erase(run);
      }
      if (!whole) return;
    }
  }
  std::string Load() {
    const std::lock_guard lock(m_mutex);
    return std::to_string(m_running.size()) + ",0," + std::to_string(kSlots);
  }
  bool IsNewest(int run) {
    const std::lock_guard lock(m_mutex);
    return *m_running.rbegin() == run;
  }
  bool Stream(const std::shared_ptr<Socket>& socket, const Message& request,
              const std::string& attempt, int run) {
    const int after = std::atoi(request.Header("Last-Event-Id").c_str());
    Note(m_id + " runs " + attempt + " after event " + std::to_string(after));
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                       "X-Attempt-Id: " + attempt +
                       "\r\nX-Response-Seal: " + m_id + "." + attempt +
                       "\r\nX-Instance-Load: " + Load() +
                       "\r\nTransfer-Encoding: chunked\r\n\r\n";
    if (!socket->Write(head)) return false;
    double preempted_until = 0;
    for (int event = after + 1; event <= kEvents; ++event) {
      const std::string text = "id: " + std::to_string(event) + "\ndata: " +
                               attempt + " " + std::to_string(event) + "\n\n";
      if (!socket->Write(Chunk(text))) return false;
      Sleep(kEventGap);
      if (preempting && m_preempts && IsNewest(run) && !m_has_preempted.exchange(true)) {
        preempted_until = Seconds() + kPreempted;
        Note(m_id + " preempts " + attempt + " after event " +
             std::to_string(event) + " and reads it in again");
      }
      while (Seconds() < preempted_until) {
        Sleep(0.005);
        if (socket->IsGone()) {
          Note(m_id + " sees the connection of " + attempt + " closed, " +
               std::to_string(preempted_until - Seconds()) +
               " s before it goes on");
          return false;
        }
      }
    }
    Note(m_id + " ends " + attempt + " after its last event");
    return socket->Write("0\r\n\r\n");
  }

  std::string m_id;
  bool m_preempts;
  std::mutex m_mutex;
  std::set<int> m_running;
  int m_runs = 0;
  std::atomic<bool> m_has_preempted{false};
  Server m_server;
};

struct Result {
  std::string attempt;
  int status = 0;
  int events = 0;
  bool complete = false;
  double retry_after = 0;
  double sent_at = 0;
  double ended_at = 0;
};

void Call(int port, Result* result) {
  result->attempt = NewId();
  const auto socket = Connect(port);
  if (!socket) return;
  result->sent_at = Seconds();
  socket->Write(
      "POST /plan/a HTTP/1.1\r\nHost: case.example\r\nX-Attempt-Id: " +
      result->attempt +
      "\r\nX-Deadline-Ms: 12000\r\nX-Model: m\r\nX-Token-Usage: 1460,80\r\n"
      "X-Prompt-Prefix: 5c1e07a2:800," + result->attempt.substr(8) +
      ":250\r\nContent-Length: 4\r\n\r\nplan");
  Message answer;
  if (ReadHead(socket.get(), 12, &answer) == 1) {
    result->status = answer.Status();
    result->retry_after = std::atof(answer.Header("Retry-After").c_str());
    if (answer.Header("Transfer-Encoding") == "chunked") {
      std::string body;
      result->complete =
          ReadChunked(socket.get(), 12, &body, [&](const std::string& chunk) {
            std::size_t at = 0;
            while ((at = chunk.find("\n\n", at)) != std::string::npos) {
              ++result->events;
              at += 2;
            }
          }) == 1;
    } else {
      result->complete = ReadSized(socket.get(),
                                   std::strtoul(answer.Header("Content-Length").c_str(),
                                                nullptr, 10),
                                   5, &answer.body) == 1;
    }
  }
  result->ended_at = Seconds();
  if (result->status == 503) return;
  Note("client: " + result->attempt + " has status " +
       std::to_string(result->status) + ", " + std::to_string(result->events) +
       " events, " + (result->complete ? "complete" : "cut off"));
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
  Worker first("i-7f3a91c2", true);
  Worker second("i-3df7fc1c", false);
  json route = Route("plan", "/plan/", "streaming", "engines", 12000, 500, 2);
  route["resumable"] = true;
  const json service = {{"name", "engines"},
                        {"health_path", "/healthz"},
                        {"max_conns", 360},
                        {"cold_start_s", 0.0},
                        {"cold_per_s", 0.0},
                        {"engine", {{"capacity", kSlots}, {"kv_capacity", 805879}}}};
  store.Put("op/config", Config(7, json::array({route}), json::array({service})).dump());
  for (const auto& [id, address] :
       {std::pair{std::string("i-7f3a91c2"), first.Address()},
        std::pair{std::string("i-3df7fc1c"), second.Address()}}) {
    WorkerEntry entry{.id = id, .service = "engines", .address = address, .zone = "a"};
    entry.capacity = kSlots;
    entry.born = UnixMs() - 60000;
    store.Put("servers/" + id, entry.Text());
  }
  Gateway gateway(folder, "edge-a-1", "a", store.Address());
  gateway.Launch();
  if (!gateway.WaitReady(10)) {
    CannotRun("the gateway is not ready");
  }
  Sleep(4);  // in touch

  std::mutex results_mutex;
  std::vector<Result> results;
  std::atomic<double> stopped_at{0};
  // The same callers from the start on, more than there are slots. The platform
  // gives a gateway that stops no new connections after two misses, so that they
  // end 2 s after SIGTERM.
  const auto caller = [&] {
    while (stopped_at == 0 || Seconds() < stopped_at + 2) {
      Result result;
      Call(gateway.callers, &result);
      {
        const std::lock_guard lock(results_mutex);
        results.push_back(result);
      }
      if (result.status != 200) Sleep(std::max(0.05, result.retry_after));
    }
  };
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back(caller);
    Sleep(0.2);
  }
  Sleep(4);
  stopped_at = Seconds();
  Note("SIGTERM to the gateway");
  gateway.Signal(SIGTERM);
  Sleep(0.3);
  if (trouble) preempting = true;
  for (auto& thread : callers) thread.join();
  Sleep(0.2);
  gateway.Runs();

  int lost = 0;
  int complete = 0;
  int refused = 0;
  for (const Result& r : results) {
    complete += r.status == 200 && r.complete;
    refused += r.status == 503;
    // Not counted by the rule: the deadline, and a worker that is at work in the
    // last sixth of the grace time.
    const bool is_excused = r.ended_at - r.sent_at >= 12.0 * 0.99 ||
                            r.ended_at - stopped_at >= 8.0 * 5 / 6;
    if (r.status != 200 || r.complete || is_excused || r.ended_at < stopped_at) {
      continue;
    }
    ++lost;
    Note("LOST: " + r.attempt + " was passed on to a worker and its connection "
         "ends without a complete answer, " +
         std::to_string(r.ended_at - stopped_at) + " s after SIGTERM");
  }
  Note("streams complete: " + std::to_string(complete) + ", refused: " +
       std::to_string(refused) + ", cut off after SIGTERM: " + std::to_string(lost));
  gateway.Kill();
  std::_Exit(lost > 0 ? 1 : 0);
}
