#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "wasabiwall/transport/http1_parser.h"
#include "wasabiwall/transport/tcp_connection.h"

namespace wasabiwall::transport {

/// Response of a status page.
struct StatusPage {
  int status = 200;
  std::string content_type = "text/plain";
  std::string body;
};

/// Limits of a status server and of each of its connections. Load balancers and
/// scrapers send requests of some hundred bytes and take the pages at once.
struct StatusLimits {
  /// Connections; the one with the longest time since its last request makes
  /// way for a new one.
  std::size_t connections = 64;
  /// Bytes of a head, and of a body, which is not used.
  std::size_t head_bytes = 8U << 10U;
  std::size_t body_bytes = 8U << 10U;
  /// Time for a request to arrive and for its page to be taken: the usual
  /// timeout of a head.
  std::chrono::milliseconds request_time{3000};
  /// Time without a request: longer than the usual periods of scrapers.
  std::chrono::milliseconds idle_time{120000};
};

/// Serves small pages, such as readiness and metrics, over HTTP/1.1.
class StatusServer {
 public:
  /// @return The page at a path.
  using PageHandler = std::function<StatusPage(const std::string& path)>;

  StatusServer(EventLoop* loop, PageHandler on_page, StatusLimits limits = {});
  ~StatusServer();
  StatusServer(const StatusServer&) = delete;
  StatusServer& operator=(const StatusServer&) = delete;

  /// @return False if the address cannot be bound.
  bool Listen(const Address& address);

  /// @return Connections closed for new ones since the start.
  std::int64_t Evicted() const { return m_evicted; }

 private:
  struct Connection;

  void OnAccept(uv_stream_t* stream);
  void OnData(Connection* connection, std::string_view data);
  void OnRequest(Connection* connection);
  /// Reads on once the page before is on its way.
  void OnDrained(Connection* connection);
  void Parse(Connection* connection, std::string_view data);
  void StartTimer(Connection* connection);
  void End(Connection* connection);
  void EvictOne();

  EventLoop* m_loop;
  PageHandler m_on_page;
  StatusLimits m_limits;
  TcpListener m_listener;
  std::int64_t m_evicted = 0;
  std::unordered_map<Connection*, std::unique_ptr<Connection>> m_connections;
};

}  // namespace wasabiwall::transport
