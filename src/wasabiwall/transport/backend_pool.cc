#include "wasabiwall/transport/backend_pool.h"

#include <algorithm>

namespace wasabiwall::transport {
namespace {

/// Longest time that sent data may stay unacknowledged. Round trips take a few
/// milliseconds; a lost packet is retransmitted within 0.3 s.
constexpr std::chrono::milliseconds kUnacknowledgedTimeout{700};
/// Idle timeout of backend servers that state none.
constexpr std::chrono::milliseconds kDefaultIdleTimeout{4000};
/// Margin before the stated idle timeout, within which a connection is no
/// longer reused.
constexpr std::chrono::milliseconds kIdleTimeoutMargin{500};

}  // namespace

BackendPool::~BackendPool() {
  // A call and its connection refer to each other until one of them ends.
  std::vector<std::shared_ptr<BackendConnection>> open;
  for (const auto& [key, connections] : m_connections) {
    open.insert(open.end(), connections.open.begin(), connections.open.end());
  }
  for (const auto& connection : open) connection->Close();
}

std::string BackendPool::KeyOf(const state::BackendServer& server) {
  return server.id.value + "@" + server.address + "#" +
         std::to_string(server.incarnation);
}

bool BackendPool::IsFresh(const BackendConnection& connection,
                          std::chrono::milliseconds max_idle) const {
  const std::chrono::milliseconds idle_timeout =
      connection.IdleTimeout() ? *connection.IdleTimeout() - kIdleTimeoutMargin
                               : kDefaultIdleTimeout;
  return m_loop->Now() - connection.IdleSince() <
         std::min(idle_timeout, max_idle);
}

std::shared_ptr<BackendConnection> BackendPool::Acquire(
    const state::BackendServer& server, std::chrono::milliseconds max_idle) {
  const std::string key = KeyOf(server);
  Connections& connections = m_connections[key];
  while (!connections.idle.empty()) {
    auto connection = connections.idle.back();
    if (connection->IsReusable() && IsFresh(*connection, max_idle)) {
      connections.idle.pop_back();
      return connection;
    }
    if (connection->IsReusable() && IsFresh(*connection, kDefaultIdleTimeout)) {
      break;
    }
    connections.idle.pop_back();
    connection->Close();
  }
  ++m_opened_total;
  ++m_open_count;
  auto connection = std::make_shared<BackendConnection>(m_loop, server);
  connections.open.insert(connection);
  const TcpOptions options{.unacknowledged_timeout = kUnacknowledgedTimeout,
                           .keep_alive = true,
                           .read_bytes = m_read_bytes};
  connection->Open(options,
                   [this, key, raw = connection.get()] { Remove(key, raw); });
  return connection;
}

void BackendPool::Release(
    const std::shared_ptr<BackendConnection>& connection) {
  if (!connection->IsReusable()) {
    connection->Close();
    return;
  }
  // The call may have ended while its response was not being read.
  connection->ResumeReading();
  connection->SetIdleSince(m_loop->Now());
  m_connections[KeyOf(connection->Server())].idle.push_back(connection);
}

bool BackendPool::HasRoom(const state::BackendServer& server, int limit) const {
  const auto found = m_connections.find(KeyOf(server));
  if (found == m_connections.end()) return true;
  return !found->second.idle.empty() ||
         static_cast<int>(found->second.open.size()) < limit;
}

void BackendPool::Prune(
    const std::function<bool(const state::BackendServerId&)>& is_registered) {
  std::vector<std::shared_ptr<BackendConnection>> stale;
  for (const auto& [key, connections] : m_connections) {
    for (const auto& connection : connections.idle) {
      if (!IsFresh(*connection, kDefaultIdleTimeout) ||
          !is_registered(connection->Server().id)) {
        stale.push_back(connection);
      }
    }
  }
  for (const auto& connection : stale) connection->Close();
  std::erase_if(m_connections,
                [](const auto& entry) { return entry.second.open.empty(); });
}

void BackendPool::Remove(const std::string& key,
                         BackendConnection* connection) {
  --m_open_count;
  const auto found = m_connections.find(key);
  if (found == m_connections.end()) return;
  const auto is_this = [connection](const auto& c) {
    return c.get() == connection;
  };
  std::erase_if(found->second.idle, is_this);
  std::erase_if(found->second.open, is_this);
}

}  // namespace wasabiwall::transport
