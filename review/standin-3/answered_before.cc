// A request that old workers have answered crashes each worker of the version
// that a release brings.
#include "fleet.h"

using namespace fleet;

namespace {

constexpr int kWorkers = 4;
constexpr double kContact = 3.0;
constexpr double kDrain = 2.0;
constexpr double kBackAfter = 2.5;
/// Three heartbeats of 1,200 ms.
constexpr double kEntryLapse = 3.6;

bool trouble = true;
const std::string kDeadlyPath = "/read/list";

std::mutex arrivals_mutex;
/// When the request that crashes workers reached one, and when one crashed.
std::vector<double> deadly_arrivals;
std::vector<double> crashes;

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
    m_left = true;
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
    WorkerEntry entry{.id = Id(), .service = "bookings",
                      .address = m_server.Address(), .zone = "a"};
    entry.version = m_version;
    entry.capacity = 6;
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
      if (trouble && m_version == "v2" && request.Target() == kDeadlyPath) {
        {
          const std::lock_guard lock(arrivals_mutex);
          deadly_arrivals.push_back(Seconds());
        }
        Note(id + " begins to run " + attempt + " (" + kDeadlyPath + ") and crashes");
        Crash();
        return;
      }
      Sleep(0.03);
      if (!socket->Write(Response(200,
                                  {{"X-Attempt-Id", attempt},
                                   {"X-Response-Seal", id + "." + attempt},
                                   {"Keep-Alive", "timeout=5"}},
                                  "answer of " + request.Target()))) {
        return;
      }
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
  std::atomic<bool> m_left{false};
  Server m_server;
};

int Call(int port, const std::string& path) {
  const auto socket = Connect(port);
  if (!socket) return 0;
  const bool is_booking = path.rfind("/book/", 0) == 0;
  socket->Write((is_booking ? "POST " : "GET ") + path +
                " HTTP/1.1\r\nHost: case.example\r\nX-Attempt-Id: " + NewId() +
                "\r\nX-Deadline-Ms: 1500" +
                (is_booking ? "\r\nContent-Length: 4\r\n\r\nbook" : "\r\n\r\n"));
  Message answer;
  if (ReadHead(socket.get(), 3, &answer) != 1) return 0;
  return answer.Status();
}

std::atomic<bool> running{true};
std::atomic<bool> after_release{false};
std::mutex counts_mutex;
std::map<int, int> counts;

void SoundCaller(int port, int number) {
  for (int i = 0; running; ++i) {
    const int status =
        Call(port, "/book/" + std::to_string(number) + "/" + std::to_string(i));
    if (after_release) {
      const std::lock_guard lock(counts_mutex);
      ++counts[status];
    }
    Sleep(0.1);
  }
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
  // NEW=1: the request was never answered before, for comparison.
  const bool is_new = std::getenv("NEW") != nullptr;

  Store store;
  const json routes = {Route("read", "/read/", "safe", "bookings", 800, 150, 2),
                       Route("book", "/book/", "unsafe", "bookings", 800, 150, 1)};
  const json service = {{"name", "bookings"},
                        {"health_path", "/healthz"},
                        {"max_conns", 96},
                        {"cold_start_s", 0.0},
                        {"cold_per_s", 0.0}};
  store.Put("op/config",
            Config(7, routes, json::array({service})).dump());
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
  std::vector<std::thread> callers;
  for (int i = 0; i < 6; ++i) {
    callers.emplace_back(SoundCaller, i % 2 == 0 ? first.callers : second.callers, i);
  }
  for (int i = 0; i < 6 && !is_new; ++i) {
    const int status = Call(i % 2 == 0 ? first.callers : second.callers, kDeadlyPath);
    Note("before the release, " + kDeadlyPath + " is answered " +
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
  after_release = true;
  const double end = Seconds() + 40;
  for (int i = 0; Seconds() < end; ++i) {
    const int status = Call(i % 2 == 0 ? first.callers : second.callers, kDeadlyPath);
    Note("client: " + kDeadlyPath + " is answered " + std::to_string(status));
    Sleep(2);
  }
  running = false;
  for (auto& caller : callers) caller.join();
  const bool lives = first.Runs() && second.Runs();

  const std::lock_guard lock(arrivals_mutex);
  int later = 0;
  if (crashes.size() >= 3) {
    for (const double at : deadly_arrivals) later += at > crashes[2] + kContact;
  }
  std::string text;
  for (const auto& [status, count] : counts) {
    text += (status == 0 ? "no answer" : std::to_string(status)) + ": " +
            std::to_string(count) + "  ";
  }
  Note("answers to bookings meanwhile: " + text);
  Note("crashes of workers: " + std::to_string(crashes.size()) +
       "; the request reached workers " + std::to_string(later) +
       " times later than 3 s after the third, 3 are allowed");
  const bool broken = later > 3;
  if (broken) Note("BUDGET is broken");
  first.Kill();
  second.Kill();
  std::_Exit(!lives ? 2 : broken ? 1 : 0);
}
