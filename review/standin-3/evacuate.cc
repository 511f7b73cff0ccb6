// A failure domain is evacuated and taken back, with its worker cold, in a fleet
// whose gateways have started before the first configuration.
#include "cold.h"

using namespace fleet;

namespace {

constexpr int kGateways = 4;
constexpr double kEvacuated = 8;
constexpr double kHeartbeat = 1.2;

/// A plain worker of a zone that may become cold while it runs.
class ZoneWorker {
 public:
  ZoneWorker(Store* store, std::string id, std::string zone, ColdLimits limits)
      : m_store(store),
        m_id(std::move(id)),
        m_zone(std::move(zone)),
        m_limits(limits),
        m_server([this](const auto& socket) { Serve(socket); }) {
    Register();
  }
  /// Becomes cold; its entry says so with its next heartbeat.
  void BecomeCold() { m_cold_until = Seconds() + m_limits.seconds; }
  void Register() {
    WorkerEntry entry{.id = m_id, .service = "bookings",
                      .address = m_server.Address(), .zone = m_zone};
    entry.capacity = 64;
    entry.born = m_born;
    entry.sequence = ++m_sequence;
    entry.cold_left_ms =
        static_cast<int>(std::max(0.0, m_cold_until - Seconds()) * 1000);
    m_store->Put("servers/" + m_id, entry.Text());
  }
  std::size_t Most() {
    const std::lock_guard lock(m_mutex);
    return m_most;
  }
  std::size_t Total() {
    const std::lock_guard lock(m_mutex);
    return m_total;
  }

 private:
  void Serve(const std::shared_ptr<Socket>& socket) {
    Message request;
    while (ReadRequest(socket.get(), 600, &request) == 1) {
      const std::string attempt = request.Header("X-Attempt-Id");
      if (Seconds() < m_cold_until && CountCold()) {
        m_server.Crash();
        return;
      }
      {
        const std::lock_guard lock(m_mutex);
        ++m_total;
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
    m_arrivals.push_back(now);
    while (now - m_arrivals.front() > 1.0) m_arrivals.pop_front();
    m_most = std::max(m_most, m_arrivals.size());
    // At twice the rate that the rule allows.
    if (static_cast<double>(m_arrivals.size()) < 2 * m_limits.Bound()) return false;
    if (m_crashed.exchange(true)) return false;
    Note(m_id + " crashes: " + std::to_string(m_arrivals.size()) +
         " requests in a second while it is cold");
    return true;
  }

  Store* m_store;
  std::string m_id;
  std::string m_zone;
  ColdLimits m_limits;
  std::int64_t m_born = UnixMs() - 60000;
  std::int64_t m_sequence = 0;
  std::atomic<double> m_cold_until{-1};
  std::mutex m_mutex;
  std::list<double> m_arrivals;
  std::size_t m_most = 0;
  std::size_t m_total = 0;
  std::atomic<bool> m_crashed{false};
  Server m_server;
};

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
  // CONFIG_FIRST=1: the configuration is there before the gateways start, for
  // comparison.
  const bool config_first = std::getenv("CONFIG_FIRST") != nullptr;

  Store store;
  const ColdLimits limits{.seconds = 6, .per_second = 10};
  ZoneWorker near(&store, "i-7f3a91c2", "a", limits);
  ZoneWorker far(&store, "i-3df7fc1c", "b", limits);
  const auto configure = [&] {
    store.Put("op/config", Config(7, json::array({BookingRoute()}),
                                  json::array({BookingService(limits)}))
                               .dump());
    Note("the operator writes the first configuration");
  };
  if (config_first) configure();
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (int i = 0; i < kGateways; ++i) {
    gateways.push_back(std::make_unique<Gateway>(
        folder, "edge-a-" + std::to_string(i + 1), "a", store.Address()));
    gateways.back()->Launch();
  }
  Note("the gateways start");
  Sleep(3);
  if (!config_first) configure();
  for (const auto& gateway : gateways) {
    if (!gateway->WaitReady(10)) CannotRun("a gateway is not ready");
  }
  // Traffic starts 10 s after the machines do.
  Sleep(7);
  Callers callers;
  for (int c = 0; c < 48; ++c) {
    callers.Add(gateways[static_cast<std::size_t>(c % kGateways)]->callers, 0.1);
  }
  Sleep(4);
  Note("answers so far: " + callers.Text());
  if (trouble) {
    store.Put("op/evacuate/a", "{}");
    Note("zone a is evacuated");
    Sleep(kEvacuated);
    near.BecomeCold();
    store.Remove("op/evacuate/a");
    Note("zone a is taken back; its worker is cold");
    callers.Restart();
    Sleep(kHeartbeat);
    near.Register();
    Sleep(limits.seconds - kHeartbeat);
  } else {
    Sleep(kEvacuated + limits.seconds);
  }
  callers.Stop();
  bool lives = true;
  for (const auto& gateway : gateways) lives = gateway->Runs() && lives;
  Note("answers since: " + callers.Text());
  Note("requests at the worker of zone a: " + std::to_string(near.Total()) +
       "; most in one second while it was cold: " + std::to_string(near.Most()) +
       ", the rule allows " + std::to_string(static_cast<int>(limits.Bound())));
  const bool broken = static_cast<double>(near.Most()) > limits.Bound();
  if (broken) Note("FAILBACK is broken");
  for (const auto& gateway : gateways) gateway->Kill();
  std::_Exit(!lives ? 2 : broken ? 1 : 0);
}
