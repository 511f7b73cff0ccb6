// Gateways are killed while the store loses answers, and are killed once more
// before a write whose answer was lost is carried out. Later, long after that, a
// worker that is cold comes up.
#include "fleet.h"

using namespace fleet;

namespace {

constexpr double kColdSeconds = 12;
constexpr double kColdPerSecond = 10;
constexpr double kColdOverage = 1.5;
constexpr int kColdBurst = 5;
constexpr int kGateways = 4;

/// A plain worker. While it is cold, it crashes at twice the rate that the rule
/// allows.
class Worker {
 public:
  explicit Worker(std::string id)
      : m_id(std::move(id)),
        m_server([this](const auto& socket) { Serve(socket); }) {}
  std::string Address() const { return m_server.Address(); }
  const std::string& Id() const { return m_id; }
  void BeginCold() { m_cold_until = Seconds() + kColdSeconds; }
  /// @return Most requests that arrived in one second while cold.
  std::size_t Most() {
    const std::lock_guard lock(m_mutex);
    return m_most;
  }
  std::size_t Cold() {
    const std::lock_guard lock(m_mutex);
    return m_arrivals_cold;
  }
  bool HasCrashed() const { return m_crashed; }

 private:
  void Serve(const std::shared_ptr<Socket>& socket) {
    Message request;
    while (ReadRequest(socket.get(), 600, &request) == 1) {
      const std::string attempt = request.Header("X-Attempt-Id");
      if (request.Header("X-Expect-Instance") != m_id) {
        socket->Write(Response(421, {{"X-Attempt-Id", attempt}}, ""));
        continue;
      }
      if (Seconds() < m_cold_until && CountCold()) {
        m_server.Crash();
        return;
      }
      Sleep(0.03);
      if (!socket->Write(Response(200,
                                  {{"X-Attempt-Id", attempt},
                                   {"X-Response-Seal", m_id + "." + attempt},
                                   {"Keep-Alive", "timeout=5"}},
                                  "done " + attempt))) {
        return;
      }
    }
  }
  /// @return Whether it crashes at this request.
  bool CountCold() {
    const std::lock_guard lock(m_mutex);
    const double now = Seconds();
    ++m_arrivals_cold;
    m_arrivals.push_back(now);
    while (now - m_arrivals.front() > 1.0) m_arrivals.pop_front();
    m_most = std::max(m_most, m_arrivals.size());
    const double bound = kColdPerSecond * kColdOverage + kColdBurst;
    if (static_cast<double>(m_arrivals.size()) < 1.5 * bound) return false;
    if (!m_crashed.exchange(true)) {
      Note(m_id + " crashes: " + std::to_string(m_arrivals.size()) +
           " requests in a second while it is cold, the bound is " +
           std::to_string(static_cast<int>(bound)));
      return true;
    }
    return false;
  }

  std::string m_id;
  std::mutex m_mutex;
  std::list<double> m_arrivals;
  std::size_t m_arrivals_cold = 0;
  std::size_t m_most = 0;
  std::atomic<bool> m_crashed{false};
  std::atomic<double> m_cold_until{-1};
  Server m_server;
};

std::atomic<bool> running{true};
std::mutex counts_mutex;
std::map<int, int> counts;
std::map<int, int> counts_cold;
std::atomic<bool> counts_for_cold{false};

void Client(int port) {
  std::shared_ptr<Socket> socket;
  while (running) {
    const double begin = Seconds();
    if (!socket) socket = Connect(port);
    if (!socket) {
      Sleep(0.1);
      continue;
    }
    const std::string attempt = NewId();
    const bool sent = socket->Write(
        "POST /book/x HTTP/1.1\r\nHost: case.example\r\nX-Attempt-Id: " +
        attempt + "\r\nX-Deadline-Ms: 1500\r\nContent-Length: 4\r\n\r\nbook");
    Message answer;
    int status = 0;
    if (sent && ReadHead(socket.get(), 3, &answer) == 1 &&
        ReadSized(socket.get(),
                  std::strtoul(answer.Header("Content-Length").c_str(), nullptr,
                               10),
                  3, &answer.body) == 1) {
      status = answer.Status();
      if (SameName(answer.Header("Connection"), "close")) socket.reset();
    } else {
      socket.reset();
    }
    {
      const std::lock_guard lock(counts_mutex);
      ++counts[status];
      if (counts_for_cold) ++counts_cold[status];
    }
    Sleep(0.1 - (Seconds() - begin));
  }
}

std::string CountsText(const std::map<int, int>& of) {
  std::string text;
  for (const auto& [status, count] : of) {
    text += (status == 0 ? "no answer" : std::to_string(status)) + ": " +
            std::to_string(count) + "  ";
  }
  return text;
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
  const bool trouble = setting == nullptr || std::string(setting) != "0";

  Store store;
  std::atomic<bool> loses_answers{false};
  store.late = [&](const json& call) -> std::optional<double> {
    if (!loses_answers) return std::nullopt;
    Note("store: the answer to a write is lost, " + call.dump());
    return 5.0;
  };
  const json route = Route("book", "/book/", "unsafe", "bookings", 800, 150, 1);
  const json service = {{"name", "bookings"},
                        {"health_path", "/healthz"},
                        {"max_conns", 400},
                        {"cold_start_s", kColdSeconds},
                        {"cold_per_s", kColdPerSecond}};
  store.Put("op/config",
            Config(7, json::array({route}), json::array({service})).dump());
  std::vector<std::unique_ptr<Worker>> workers;
  const auto add = [&](const std::string& id, bool cold) {
    workers.push_back(std::make_unique<Worker>(id));
    Worker& worker = *workers.back();
    if (cold) worker.BeginCold();
    WorkerEntry entry{
        .id = id, .service = "bookings", .address = worker.Address(), .zone = "a"};
    entry.capacity = 64;
    entry.born = cold ? UnixMs() : UnixMs() - 60000;
    entry.cold_left_ms = cold ? static_cast<int>(kColdSeconds * 1000) : 0;
    store.Put("servers/" + id, entry.Text());
  };
  add("i-7f3a91c2", false);
  add("i-3df7fc1c", false);

  std::vector<std::unique_ptr<Gateway>> gateways;
  for (int i = 0; i < kGateways; ++i) {
    gateways.push_back(std::make_unique<Gateway>(
        folder, "edge-" + std::string(1, static_cast<char>('a' + i)) + "-1", "a",
        store.Address()));
    gateways.back()->Launch();
  }
  for (const auto& gateway : gateways) {
    if (!gateway->WaitReady(10)) {
      Note("a gateway is not ready");
      return 2;
    }
  }
  Sleep(4);
  Note("gateways in the store: " +
       std::to_string(store.Count("wasabiwall/gateways/")));

  const auto kill_three = [&](const char* text) {
    Note(text);
    for (int i = 1; i < kGateways; ++i) gateways[i]->Kill();
    Sleep(0.5);
    for (int i = 1; i < kGateways; ++i) gateways[i]->Launch();
    for (int i = 1; i < kGateways; ++i) gateways[i]->WaitReady(10);
  };
  if (trouble) {
    Note("the store loses the answers of writes and carries them out 5 s later");
    loses_answers = true;
    kill_three("SIGKILL to three of four gateways, which start again");
    Sleep(1.0);
    loses_answers = false;
    Note("the store answers again");
    kill_three("SIGKILL to the same gateways, which start again");
  }
  // All that follows comes long after the disruption.
  for (int i = 0; i < 5; ++i) {
    Sleep(9);
    Note("gateways in the store: " +
         std::to_string(store.Count("wasabiwall/gateways/")) + " of " +
         std::to_string(kGateways) + " that run");
  }
  for (const auto& gateway : gateways) {
    if (!gateway->Runs() || !gateway->IsReady()) {
      Note("a gateway is not ready");
      return 2;
    }
  }
  std::vector<std::thread> clients;
  for (int c = 0; c < 48; ++c) {
    clients.emplace_back(Client, gateways[static_cast<std::size_t>(c % kGateways)]->callers);
  }
  Sleep(4);
  Note("answers so far: " + CountsText(counts));
  Note("a worker that is cold registers");
  counts_for_cold = true;
  add("i-c45231e9", true);
  Sleep(kColdSeconds);
  running = false;
  for (auto& client : clients) client.join();
  Worker& cold = *workers.back();
  const int bound = static_cast<int>(kColdPerSecond * kColdOverage) + kColdBurst;
  Note("while the worker was cold, answers: " + CountsText(counts_cold));
  Note("most requests in one second at the cold worker: " +
       std::to_string(cold.Most()) + ", the bound is " + std::to_string(bound) +
       "; all: " + std::to_string(cold.Cold()));
  const bool broken = cold.Most() > static_cast<std::size_t>(bound);
  if (broken) Note("FAILBACK is broken");
  for (const auto& gateway : gateways) gateway->Kill();
  std::_Exit(broken ? 1 : 0);
}
