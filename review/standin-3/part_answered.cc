// A part of prompts that old workers have answered crashes each worker of the
// version that a release brings.
#include "fleet.h"

using namespace fleet;

namespace {

constexpr int kWorkers = 8;
constexpr double kContact = 3.0;
constexpr double kDrain = 2.0;
constexpr double kBackAfter = 2.5;
/// Three heartbeats of 1,200 ms.
constexpr double kEntryLapse = 3.6;
/// Seconds from one request with the part to the next.
constexpr double kGap = 4;
const std::string kPart = "91bd3f06";

bool trouble = true;

std::mutex arrivals_mutex;
/// When requests with the part reached workers of v2; each crashed its worker.
std::vector<double> crashes;

/// An engine that writes streams.
class Worker {
 public:
  Worker(Store* store, std::string version)
      : m_store(store),
        m_version(std::move(version)),
        m_id(NextId()),
        m_server([this](const auto& socket) { Serve(socket); }) {
    Register("ready");
  }
  std::string Id() {
    const std::lock_guard lock(m_mutex);
    return m_id;
  }
  void Drain() {
    Register("draining");
    Note(Id() + " (" + m_version + ") reports draining");
  }
  void Leave() {
    m_store->Remove("servers/" + Id());
    m_server.Crash();
  }

 private:
  static std::string NextId() {
    static std::atomic<int> next{0x7f3a91c2};
    char text[16];
    std::snprintf(text, sizeof text, "i-%08x", next.fetch_add(0x1357));
    return text;
  }
  void Register(const std::string& phase) {
    WorkerEntry entry{.id = Id(), .service = "engines",
                      .address = m_server.Address(), .zone = "a"};
    entry.version = m_version;
    entry.capacity = 64;
    entry.phase = phase;
    entry.born = m_born;
    entry.sequence = ++m_sequence;
    m_store->Put("servers/" + entry.id, entry.Text());
  }
  void Serve(const std::shared_ptr<Socket>& socket) {
    Message request;
    while (ReadRequest(socket.get(), 600, &request) == 1) {
      const std::string attempt = request.Header("X-Attempt-Id");
      const std::string id = Id();
      if (request.Header("X-Expect-Instance") != id) {
        socket->Write(Response(421, {{"X-Attempt-Id", attempt}}, ""));
        continue;
      }
      const bool has_part =
          request.Header("X-Prompt-Prefix").find(kPart) != std::string::npos;
      Sleep(0.03);
      if (trouble && has_part && m_version == "v2") {
        Note(id + " begins to write an answer on part " + kPart + " (" + attempt +
             ") and crashes");
        Crash();
        return;
      }
      if (!socket->Write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt +
                         "\r\nX-Response-Seal: " + id + "." + attempt +
                         "\r\nContent-Type: text/event-stream\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n")) {
        return;
      }
      const int after = std::atoi(request.Header("Last-Event-Id").c_str());
      for (int event = after + 1; event <= 15; ++event) {
        if (!socket->Write(Chunk("id: " + std::to_string(event) + "\ndata: " +
                                 attempt + "\n\n"))) {
          return;
        }
        Sleep(0.05);
      }
      if (!socket->Write("0\r\n\r\n")) return;
    }
  }
  void Crash() {
    {
      const std::lock_guard lock(arrivals_mutex);
      crashes.push_back(Seconds());
    }
    m_server.Crash();
    std::thread([this] {
      Sleep(kBackAfter);
      const std::string old = Id();
      {
        const std::lock_guard lock(m_mutex);
        m_id = NextId();
        m_born = UnixMs();
        m_sequence = 0;
      }
      m_server.Return();
      Register("ready");
      Sleep(kEntryLapse - kBackAfter);
      m_store->Remove("servers/" + old);
    }).detach();
  }

  Store* m_store;
  std::string m_version;
  std::mutex m_mutex;
  std::string m_id;
  std::atomic<std::int64_t> m_born{UnixMs()};
  std::atomic<std::int64_t> m_sequence{0};
  Server m_server;
};

/// @return The status; 1 for a stream that broke off, 0 without an answer.
int Call(int port, const std::string& part) {
  const auto socket = Connect(port);
  if (!socket) return 0;
  const std::string id = NewId();
  socket->Write(
      "POST /plan/a HTTP/1.1\r\nHost: case.example\r\nX-Attempt-Id: " + id +
      "\r\nX-Deadline-Ms: 12000\r\nX-Model: m\r\nX-Token-Usage: 1460,80\r\n"
      "X-Prompt-Prefix: 5c1e07a2:800," + part + ":410," + id.substr(8) +
      ":250\r\nContent-Length: 16\r\n\r\n" + id);
  Message answer;
  if (ReadHead(socket.get(), 12, &answer) != 1) return 0;
  if (answer.Status() != 200) return answer.Status();
  std::string body;
  return ReadChunked(socket.get(), 12, &body) == 1 ? 200 : 1;
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
  // NEW=1: no request with the part was answered before, for comparison.
  const bool is_new = std::getenv("NEW") != nullptr;

  Store store;
  json route = Route("plan", "/plan/", "streaming", "engines", 12000, 500, 2);
  route["resumable"] = true;
  const json service = {{"name", "engines"},
                        {"health_path", "/healthz"},
                        {"max_conns", 360},
                        {"cold_start_s", 0.0},
                        {"cold_per_s", 0.0},
                        {"engine", {{"capacity", 64}, {"kv_capacity", 805879}}}};
  store.Put("op/config",
            Config(7, json::array({route}), json::array({service})).dump());
  std::vector<std::unique_ptr<Worker>> old_workers;
  std::vector<std::unique_ptr<Worker>> new_workers;
  for (int i = 0; i < kWorkers; ++i) {
    old_workers.push_back(std::make_unique<Worker>(&store, "v1"));
  }
  Gateway first(folder, "edge-a-1", "a", store.Address());
  Gateway second(folder, "edge-b-1", "a", store.Address());
  first.Launch();
  second.Launch();
  if (!first.WaitReady(10) || !second.WaitReady(10)) {
    CannotRun("a gateway is not ready");
  }
  Sleep(4);
  std::atomic<bool> running{true};
  std::atomic<bool> counting{false};
  std::mutex counts_mutex;
  std::map<int, int> counts;
  std::vector<std::thread> callers;
  for (int i = 0; i < 6; ++i) {
    const int port = i % 2 == 0 ? first.callers : second.callers;
    callers.emplace_back([&, i, port] {
      for (int n = 0; running; ++n) {
        const int status = Call(port, "c0ffee0" + std::to_string((i + n) % 5));
        if (counting) {
          const std::lock_guard lock(counts_mutex);
          ++counts[status];
        }
        Sleep(0.1);
      }
    });
  }
  for (int i = 0; i < 4 && !is_new; ++i) {
    const int status = Call(i % 2 == 0 ? first.callers : second.callers, kPart);
    Note("before the release, a request with part " + kPart + " is answered " +
         std::to_string(status));
    Sleep(0.3);
  }
  Note("release: workers of version v2 start, those of v1 drain");
  for (int i = 0; i < kWorkers; ++i) {
    new_workers.push_back(std::make_unique<Worker>(&store, "v2"));
    Sleep(0.5);
    old_workers[static_cast<std::size_t>(i)]->Drain();
    Sleep(0.5);
  }
  Sleep(kDrain + 1);
  for (const auto& worker : old_workers) worker->Leave();
  Note("the workers of v1 have left");
  Sleep(1);
  counting = true;
  for (int i = 0; i < 12; ++i) {
    const double begin = Seconds();
    const int status = Call(i % 2 == 0 ? first.callers : second.callers, kPart);
    Note("client: a request with part " + kPart + " is answered " +
         std::to_string(status));
    Sleep(kGap - (Seconds() - begin));
  }
  running = false;
  for (auto& caller : callers) caller.join();
  const bool lives = first.Runs() && second.Runs();

  const std::lock_guard lock(arrivals_mutex);
  int later = 0;
  if (crashes.size() >= 5) {
    for (const double at : crashes) later += at > crashes[4] + kContact;
  }
  std::string text;
  for (const auto& [status, count] : counts) {
    text += (status == 0 ? "no answer" : status == 1 ? "broken off"
                                                     : std::to_string(status)) +
            ": " + std::to_string(count) + "  ";
  }
  Note("answers to other streams meanwhile: " + text);
  Note("crashes of workers: " + std::to_string(crashes.size()) +
       "; requests with the part reached workers " + std::to_string(later) +
       " times later than 3 s after the fifth, 3 are allowed");
  const bool broken = later > 3;
  if (broken) Note("BUDGET is broken");
  first.Kill();
  second.Kill();
  std::_Exit(!lives ? 2 : broken ? 1 : 0);
}
