#pragma once

#include <chrono>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

#include "wasabiwall/transport/backend_connection.h"

namespace wasabiwall::transport {

/// Keeps connections to backend servers for the calls to come.
class BackendPool {
 public:
  explicit BackendPool(EventLoop* loop) : m_loop(loop) {}

  /// Closes all connections; their calls are not told.
  ~BackendPool();
  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  /// Hands out an idle connection, or opens one.
  /// @param max_idle Longest time for which it may have been idle.
  std::shared_ptr<BackendConnection> Acquire(
      const state::BackendServer& server, std::chrono::milliseconds max_idle);

  /// Takes back a connection after a call; one that cannot be used again is
  /// closed.
  void Release(const std::shared_ptr<BackendConnection>& connection);

  /// @param limit Connections that may be open to the backend server.
  /// @return Whether a connection is idle or may be opened.
  bool HasRoom(const state::BackendServer& server, int limit) const;

  /// Closes connections that have been idle for too long, and those to
  /// backend servers that `is_known` denies.
  void Prune(
      const std::function<bool(const state::BackendServerId&)>& is_known);

  /// @return Connections that are open now.
  std::size_t Open() const { return m_open; }

  /// @return Connections opened since the start.
  std::int64_t Opened() const { return m_opened; }

 private:
  struct Connections {
    std::set<std::shared_ptr<BackendConnection>> open;
    /// The latest used last.
    std::vector<std::shared_ptr<BackendConnection>> idle;
  };

  static std::string KeyOf(const state::BackendServer& server);
  bool IsFresh(const BackendConnection& connection,
               std::chrono::milliseconds max_idle) const;
  void Forget(const std::string& key, BackendConnection* connection);

  EventLoop* m_loop;
  std::unordered_map<std::string, Connections> m_connections;
  std::int64_t m_opened = 0;
  std::size_t m_open = 0;
};

}  // namespace wasabiwall::transport
