#include "wasabiwall/transport/connection_watch.h"

#include <algorithm>
#include <condition_variable>
#include <utility>

namespace wasabiwall::transport {
namespace {

constexpr std::chrono::milliseconds kShortestInterval{20};
constexpr int kChecksPerLimit = 10;
constexpr std::chrono::minutes kIdleLimit{5};

}  // namespace

ConnectionWatch::ConnectionWatch(std::chrono::milliseconds limit,
                                 std::string farewell)
    : m_limit(limit),
      m_farewell(std::move(farewell)),
      m_thread([this](const std::stop_token& stop) {
        const auto interval =
            std::max(kShortestInterval, m_limit / kChecksPerLimit);
        std::mutex mutex;
        std::condition_variable_any changed;
        std::unique_lock lock(mutex);
        while (!stop.stop_requested()) {
          changed.wait_for(lock, stop, interval, [] { return false; });
          Check();
        }
      }) {}

ConnectionWatch::~ConnectionWatch() = default;

void ConnectionWatch::Add(const std::shared_ptr<ServerConnection>& connection) {
  const std::lock_guard lock(m_mutex);
  m_connections.push_back(connection);
}

void ConnectionWatch::ShutdownAll() {
  const std::lock_guard lock(m_mutex);
  for (const auto& watched : m_connections) {
    if (const auto connection = watched.lock()) connection->Shutdown();
  }
  m_connections.clear();
}

void ConnectionWatch::Check() {
  const auto now = ServerConnection::Clock::now();
  const std::lock_guard lock(m_mutex);
  m_connections.remove_if([&](const auto& watched) {
    const std::shared_ptr<ServerConnection> connection = watched.lock();
    if (!connection) return true;
    using Timeout = ServerConnection::Timeout;
    const Timeout timeout = connection->CheckTimeouts(m_limit, kIdleLimit, now);
    if (timeout == Timeout::kNone) return false;
    // A farewell on an idle connection could be read as the next answer.
    if (timeout == Timeout::kSlowRequest) connection->Write(m_farewell);
    connection->Shutdown();
    return true;
  });
}

}  // namespace wasabiwall::transport
