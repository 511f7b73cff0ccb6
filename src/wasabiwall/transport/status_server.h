#pragma once

#include <functional>
#include <memory>
#include <string>
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

/// Serves small pages, such as readiness and metrics, over HTTP/1.1.
class StatusServer {
 public:
  /// @return The page at a path.
  using PageHandler = std::function<StatusPage(const std::string& path)>;

  StatusServer(EventLoop* loop, PageHandler on_page);
  ~StatusServer();
  StatusServer(const StatusServer&) = delete;
  StatusServer& operator=(const StatusServer&) = delete;

  /// @return False if the address cannot be bound.
  bool Listen(const Address& address);

 private:
  struct Connection;

  void OnAccept(uv_stream_t* stream);

  EventLoop* m_loop;
  PageHandler m_on_page;
  TcpListener m_listener;
  std::unordered_map<Connection*, std::unique_ptr<Connection>> m_connections;
};

}  // namespace wasabiwall::transport
