#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "wasabiwall/transport/backend_connection.h"

namespace wasabiwall::transport {

/// Pools persistent connections to backend servers.
class BackendPool {
 public:
  /// Idle time that no pooled connection meets.
  static constexpr std::chrono::milliseconds kNewConnection{0};

  /// @param read_bytes Most bytes of the next read from a backend server; no
  /// limit if unset.
  explicit BackendPool(EventLoop* loop,
                       std::function<std::size_t()> read_bytes = nullptr)
      : m_loop(loop), m_read_bytes(std::move(read_bytes)) {}

  /// Closes all connections; the handlers of their calls are not called.
  ~BackendPool();
  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  /// Returns an idle connection, or opens one.
  /// @param max_idle Longest time for which a reused connection may have been
  /// idle; kNewConnection for one that was not used before.
  std::shared_ptr<BackendConnection> Acquire(
      const state::BackendServer& server, std::chrono::milliseconds max_idle);

  /// Returns a connection to the pool after a call; closes one that cannot be
  /// reused.
  void Release(const std::shared_ptr<BackendConnection>& connection);

  /// @param limit Connections that may be open to the backend server.
  /// @return Whether a connection is idle or may be opened.
  bool HasRoom(const state::BackendServer& server, int limit) const;

  /// Closes idle connections that have expired or whose backend server is no
  /// longer registered.
  /// @param is_registered Whether a backend server is registered.
  void Prune(
      const std::function<bool(const state::BackendServerId&)>& is_registered);

  /// @return Connections that are open now.
  std::size_t OpenCount() const { return m_open_count; }

  /// @return Connections opened since the start.
  std::int64_t OpenedTotal() const { return m_opened_total; }

 private:
  struct Connections {
    std::set<std::shared_ptr<BackendConnection>> open;
    /// The most recently used one last.
    std::vector<std::shared_ptr<BackendConnection>> idle;
  };

  static std::string KeyOf(const state::BackendServer& server);
  bool IsFresh(const BackendConnection& connection,
               std::chrono::milliseconds max_idle) const;
  void Remove(const std::string& key, BackendConnection* connection);

  EventLoop* m_loop;
  std::function<std::size_t()> m_read_bytes;
  std::unordered_map<std::string, Connections> m_connections;
  std::int64_t m_opened_total = 0;
  std::size_t m_open_count = 0;
};

}  // namespace wasabiwall::transport
