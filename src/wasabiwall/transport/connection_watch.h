#pragma once

#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

#include "wasabiwall/transport/server_connection.h"

namespace wasabiwall::transport {

/// Ends connections on which no whole request arrives in time.
class ConnectionWatch {
 public:
  /// @param limit Longest wait for a whole request.
  /// @param farewell Bytes sent before the end.
  ConnectionWatch(std::chrono::milliseconds limit, std::string farewell);
  ~ConnectionWatch();

  /// Watches a connection for as long as it lives.
  void Add(const std::shared_ptr<ServerConnection>& connection);

  /// Ends all connections.
  void ShutdownAll();

 private:
  void Check();

  std::chrono::milliseconds m_limit;
  std::string m_farewell;
  std::mutex m_mutex;
  std::list<std::weak_ptr<ServerConnection>> m_connections;
  std::jthread m_thread;
};

}  // namespace wasabiwall::transport
