#include "wasabiwall/transport/gateway.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "wasabiwall/transport/logging.h"

namespace wasabiwall::transport {
namespace {

/// How often waiting calls are looked at.
constexpr std::chrono::milliseconds kTickPeriod{20};
constexpr std::chrono::milliseconds kHousekeepingPeriod{250};
/// Time after the signal to stop in which a balancer that checks readiness
/// each second takes the process out of rotation.
constexpr std::chrono::milliseconds kRotationTime{2500};
/// Time kept free at the end of the stop timeout.
constexpr std::chrono::milliseconds kStopMargin{100};
/// Idle time from which a caller's connection may be closed for a new one. A
/// caller that has just connected sends its request within a round trip.
constexpr std::chrono::milliseconds kShortestEvictedIdle{250};
/// Share of the limit that is evicted at once, so that the search for the
/// longest idle is rare.
constexpr double kEvictedShare = 0.02;

}  // namespace

Gateway::Gateway(GatewayContext* context, std::function<void()> on_stopped)
    : m_context(context),
      m_on_stopped(std::move(on_stopped)),
      m_readiness(context->loop,
                  [this](const std::string&) { return ReadinessPage(); }),
      m_metrics(context->loop,
                [this](const std::string&) { return MetricsPage(); }),
      m_tick(context->loop),
      m_housekeeping(context->loop),
      m_out_of_rotation(context->loop),
      m_stop_timeout(context->loop) {}

bool Gateway::Start() {
  m_listener = std::make_unique<TcpListener>(
      m_context->loop, [this](uv_stream_t* stream) { OnAccept(stream); });
  const GatewayOptions& options = m_context->options;
  if (!m_listener->Listen(options.listen_address)) return false;
  if (!m_readiness.Listen(options.readiness_address)) return false;
  if (options.metrics_address.port != 0 &&
      !m_metrics.Listen(options.metrics_address)) {
    return false;
  }
  if (!options.peer_address.host.empty() &&
      !m_context->peer_socket.Bind(options.peer_address)) {
    return false;
  }
  m_tick.StartRepeating(kTickPeriod, [this] { OnTick(); });
  m_housekeeping.StartRepeating(kHousekeepingPeriod,
                                [this] { OnHousekeeping(); });
  return true;
}

bool Gateway::IsReady() const {
  return m_loaded && m_context->Config() && !m_context->stopping;
}

void Gateway::OnAccept(uv_stream_t* stream) {
  if (m_connections.size() >= m_context->CallerLimit()) EvictIdle();
  if (m_connections.size() >= m_context->CallerLimit()) {
    // Closed before anything is read, so that the caller may go elsewhere. To
    // run out of descriptors instead would stop the event loop.
    TcpConnection(m_context->loop, stream, {}, {}).Reset();
    ++m_rejected_connections;
    return;
  }
  auto connection = std::make_shared<ClientConnection>(
      m_context, [this](const std::shared_ptr<ClientConnection>& closed) {
        m_connections.erase(closed);
        if (m_context->stopping) EndIfDone();
      });
  m_connections.insert(connection);
  connection->Accept(stream);
}

void Gateway::OnTick() {
  if (m_context->queue.Size() > 0) {
    m_context->queue.Run(m_context->loop->Now());
  }
}

void Gateway::OnHousekeeping() {
  if (m_rejected_connections != m_logged_rejections) {
    LogWarn("connections_rejected",
            {{"since_start", std::to_string(m_rejected_connections)},
             {"evicted", std::to_string(m_evicted_connections)},
             {"busy", std::to_string(BusyConnections())},
             {"limit", std::to_string(m_context->CallerLimit())}});
    m_logged_rejections = m_rejected_connections;
  }
  m_context->LogPaces();
  m_context->registry.Expire(m_context->loop->Now());
  EndIfDone();
  m_context->connections.Prune([this](const state::BackendServerId& id) {
    return m_context->registry.Find(id) != nullptr;
  });
}

void Gateway::Stop() {
  if (std::exchange(m_context->stopping, true)) return;
  LogInfo("stopping", {{"connections", std::to_string(m_connections.size())}});
  const auto time = m_context->options.stop_timeout - kStopMargin;
  // The listener stays open: a balancer that has nothing else in rotation may
  // still send callers here.
  m_out_of_rotation.Start(std::min(kRotationTime, time),
                          [this, end = m_context->loop->Now() + time] {
                            m_context->ends_by = end;
                            CloseIdle();
                            EndIfDone();
                          });
  m_stop_timeout.Start(time, [this] {
    if (std::exchange(m_stopped, true)) return;
    LogWarn("stop_timeout",
            {{"connections", std::to_string(m_connections.size())}});
    m_on_stopped();
  });
}

void Gateway::CloseIdle() {
  const std::vector<std::shared_ptr<ClientConnection>> connections(
      m_connections.begin(), m_connections.end());
  for (const auto& connection : connections) connection->CloseIfIdle();
}

void Gateway::EvictIdle() {
  const auto newest = m_context->loop->Now() - kShortestEvictedIdle;
  std::vector<std::shared_ptr<ClientConnection>> idle;
  for (const auto& connection : m_connections) {
    if (!connection->IsBusy() && connection->IdleSince() <= newest) {
      idle.push_back(connection);
    }
  }
  const auto share = static_cast<std::size_t>(
      static_cast<double>(m_context->CallerLimit()) * kEvictedShare);
  const auto count = std::min(idle.size(), std::max<std::size_t>(1, share));
  std::partial_sort(idle.begin(),
                    idle.begin() + static_cast<std::ptrdiff_t>(count),
                    idle.end(), [](const auto& a, const auto& b) {
                      return a->IdleSince() < b->IdleSince();
                    });
  idle.resize(count);
  for (const auto& connection : idle) connection->CloseIfIdle();
  m_evicted_connections += static_cast<std::int64_t>(count);
}

void Gateway::EndIfDone() {
  if (!m_context->ends_by) return;
  if (BusyConnections() > 0 || std::exchange(m_stopped, true)) return;
  m_listener.reset();
  CloseIdle();
  m_on_stopped();
}

std::size_t Gateway::BusyConnections() const {
  return static_cast<std::size_t>(std::count_if(
      m_connections.begin(), m_connections.end(),
      [](const auto& connection) { return connection->IsBusy(); }));
}

StatusPage Gateway::ReadinessPage() const {
  if (IsReady()) return {.status = 200, .body = "ready\n"};
  return {.status = 503,
          .body = m_context->stopping ? "stopping\n" : "starting\n"};
}

StatusPage Gateway::MetricsPage() {
  m_context->metrics.SetGauge("wasabiwall_connections",
                              static_cast<double>(m_connections.size()));
  m_context->metrics.SetGauge("wasabiwall_rejected_connections",
                              static_cast<double>(m_rejected_connections));
  m_context->metrics.SetGauge("wasabiwall_evicted_connections",
                              static_cast<double>(m_evicted_connections));
  m_context->metrics.SetGauge("wasabiwall_waiting_calls",
                              static_cast<double>(m_context->queue.Size()));
  m_context->metrics.SetGauge("wasabiwall_backend_servers",
                              static_cast<double>(m_context->registry.Size()));
  m_context->metrics.SetGauge(
      "wasabiwall_config_version",
      static_cast<double>(m_context->Config() ? m_context->Config()->version
                                              : 0));
  m_context->metrics.SetGauge(
      "wasabiwall_backend_connections_opened",
      static_cast<double>(m_context->connections.Opened()));
  m_context->metrics.SetGauge("wasabiwall_log_lines_dropped",
                              static_cast<double>(DroppedLogLines()));
  return {.body = m_context->metrics.Text()};
}

}  // namespace wasabiwall::transport
