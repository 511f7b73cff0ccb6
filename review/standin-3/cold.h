// A plain worker that may be cold, and callers of bookings.
#pragma once

#include "fleet.h"

namespace fleet {

/// Limits of a cold worker.
struct ColdLimits {
  double seconds = 12;
  double per_second = 10;
  double overage = 1.5;
  int burst = 5;
  /// @return Most requests in one second that the rule allows.
  double Bound() const { return per_second * overage + burst; }
};

/// Requests in a second beyond what the rule allows at which a cold worker
/// crashes.
inline constexpr int kCrashMargin = 2;

/// A plain worker. While it is cold, it crashes in a second in which well more
/// requests arrive than the rule allows.
class PlainWorker {
 public:
  PlainWorker(Store* store, std::string id, ColdLimits limits)
      : m_store(store),
        m_id(std::move(id)),
        m_limits(limits),
        m_server([this](const auto& socket) { Serve(socket); }) {}

  void Register(bool cold) {
    if (cold) m_cold_until = Seconds() + m_limits.seconds;
    WorkerEntry entry{.id = m_id, .service = "bookings",
                      .address = m_server.Address(), .zone = "a"};
    entry.capacity = 64;
    entry.born = cold ? UnixMs() : UnixMs() - 60000;
    entry.cold_left_ms = cold ? static_cast<int>(m_limits.seconds * 1000) : 0;
    m_store->Put("servers/" + m_id, entry.Text());
  }
  void Crash() { m_server.Crash(); }
  /// Starts again under the same id and address, cold.
  void ReturnCold() {
    m_cold_until = Seconds() + m_limits.seconds;
    m_server.Return();
    Register(true);
  }
  /// @return Most requests that arrived in one second while it was cold.
  std::size_t Most() {
    const std::lock_guard lock(m_mutex);
    return m_most;
  }
  std::size_t Cold() {
    const std::lock_guard lock(m_mutex);
    return m_arrivals_cold;
  }
  bool IsBroken() { return static_cast<double>(Most()) > m_limits.Bound(); }
  std::string Text() {
    return "most requests in one second at the cold worker: " +
           std::to_string(Most()) + ", the rule allows " +
           std::to_string(m_limits.Bound()) +
           "; all while it was cold: " + std::to_string(Cold());
  }

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
    if (static_cast<double>(m_arrivals.size()) <= m_limits.Bound() + kCrashMargin) {
      return false;
    }
    if (m_crashed.exchange(true)) return false;
    Note(m_id + " crashes: " + std::to_string(m_arrivals.size()) +
         " requests in a second while it is cold; it bears " +
         std::to_string(m_limits.per_second) + ", the rule allows " +
         std::to_string(m_limits.Bound()));
    return true;
  }

  Store* m_store;
  std::string m_id;
  ColdLimits m_limits;
  std::mutex m_mutex;
  std::list<double> m_arrivals;
  std::size_t m_arrivals_cold = 0;
  std::size_t m_most = 0;
  std::atomic<bool> m_crashed{false};
  std::atomic<double> m_cold_until{-1};
  Server m_server;
};

inline json BookingRoute() {
  return Route("book", "/book/", "unsafe", "bookings", 800, 150, 1);
}
inline json BookingService(const ColdLimits& limits) {
  return {{"name", "bookings"},
          {"health_path", "/healthz"},
          {"max_conns", 400},
          {"cold_start_s", limits.seconds},
          {"cold_per_s", limits.per_second}};
}

/// Callers that book on kept connections, and what they were answered.
class Callers {
 public:
  /// @param pause Seconds from one request of a caller to the next.
  void Add(int port, double pause) {
    m_threads.emplace_back([this, port, pause] { Run(port, pause); });
  }
  /// Counts the answers from now on anew.
  void Restart() {
    const std::lock_guard lock(m_mutex);
    m_counts.clear();
  }
  void Stop() {
    m_running = false;
    for (auto& thread : m_threads) thread.join();
    m_threads.clear();
  }
  std::string Text() {
    const std::lock_guard lock(m_mutex);
    std::string text;
    for (const auto& [status, count] : m_counts) {
      text += (status == 0 ? "no answer" : std::to_string(status)) + ": " +
              std::to_string(count) + "  ";
    }
    return text;
  }

 private:
  void Run(int port, double pause) {
    std::shared_ptr<Socket> socket;
    while (m_running) {
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
                    std::strtoul(answer.Header("Content-Length").c_str(),
                                 nullptr, 10),
                    3, &answer.body) == 1) {
        status = answer.Status();
        if (SameName(answer.Header("Connection"), "close")) socket.reset();
      } else {
        socket.reset();
      }
      {
        const std::lock_guard lock(m_mutex);
        ++m_counts[status];
      }
      Sleep(pause - (Seconds() - begin));
    }
  }

  std::atomic<bool> m_running{true};
  std::mutex m_mutex;
  std::map<int, int> m_counts;
  std::vector<std::thread> m_threads;
};

}  // namespace fleet
