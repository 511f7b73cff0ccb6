#include "wasabiwall/transport/gateway.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "wasabiwall/transport/logging.h"

namespace wasabiwall::transport {
namespace {

/// Interval at which queued calls are placed or expired.
constexpr std::chrono::milliseconds kQueuePeriod{20};
/// Delay of the event loop that is logged: callers notice it.
constexpr std::chrono::milliseconds kLateLoop{250};
constexpr std::chrono::milliseconds kHousekeepingPeriod{250};
/// Time after the stop signal within which a load balancer that checks
/// readiness every second takes the process out of rotation.
constexpr std::chrono::milliseconds kRotationDelay{2500};
/// Reserve at the end of the stop timeout, and the part of it in which final
/// answers are written.
constexpr std::chrono::milliseconds kStopMargin{100};
constexpr std::chrono::milliseconds kFinalWriteTime{50};
/// Shortest idle time after which a caller's connection may be evicted for a
/// new one. A caller that has just connected sends its request within a round
/// trip.
constexpr std::chrono::milliseconds kMinEvictionIdle{250};
/// Share of the connection limit that is evicted in one batch, so that the
/// search for the longest idle connections is rare.
constexpr double kEvictionBatchShare = 0.02;
/// Shortest time for which a caller has been sending a request, or taking a
/// response, after which its connection may be closed for a new one.
constexpr std::chrono::milliseconds kMinEvictionWait{1000};

}  // namespace

Gateway::Gateway(GatewayContext* context, std::function<void()> on_stopped)
    : m_context(context),
      m_on_stopped(std::move(on_stopped)),
      m_readiness(
          context->loop, [this](const std::string&) { return ReadinessPage(); },
          StatusLimits{context->StatusConnectionLimit()}),
      m_metrics(
          context->loop, [this](const std::string&) { return MetricsPage(); },
          StatusLimits{context->StatusConnectionLimit()}),
      m_queue_timer(context->loop),
      m_housekeeping_timer(context->loop),
      m_rotation_timer(context->loop),
      m_stop_timer(context->loop) {}

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
  m_queue_timer.StartRepeating(kQueuePeriod, [this] { RunQueue(); });
  m_housekeeping_timer.StartRepeating(kHousekeepingPeriod,
                                      [this] { OnHousekeeping(); });
  return true;
}

bool Gateway::IsReady() const {
  return m_loaded && m_context->Config() && !m_context->stopping;
}

void Gateway::OnAccept(uv_stream_t* stream) {
  if (m_connections.size() >= m_context->CallerConnectionLimit()) EvictIdle();
  if (m_connections.size() >= m_context->CallerConnectionLimit()) {
    m_evicted_connections +=
        static_cast<std::int64_t>(m_context->clients.EvictSlowest(
            EvictionBatch(), m_context->loop->Now(), kMinEvictionWait));
  }
  if (m_connections.size() >= m_context->CallerConnectionLimit()) {
    // Reset before anything is read, so that the caller may retry elsewhere.
    // Running out of file descriptors instead would stop the event loop.
    TcpConnection(m_context->loop, stream, {}, {}).Reset();
    ++m_rejected_connections;
    return;
  }
  auto connection = std::make_shared<ClientConnection>(
      m_context, [this](const std::shared_ptr<ClientConnection>& closed) {
        m_connections.erase(closed);
        if (m_context->stopping) FinishStopIfDrained();
      });
  m_connections.insert(connection);
  connection->Accept(stream);
}

void Gateway::RunQueue() {
  const auto now = m_context->loop->Now();
  const auto last = std::exchange(m_queue_run_at, now);
  if (last && now - *last > kQueuePeriod + kLateLoop) {
    const auto late = now - *last - kQueuePeriod;
    LogWarn("event_loop_late",
            {{"late_ms",
              std::to_string(
                  std::chrono::duration_cast<std::chrono::milliseconds>(late)
                      .count())}});
  }
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
             {"limit", std::to_string(m_context->CallerConnectionLimit())}});
    m_logged_rejections = m_rejected_connections;
  }
  CheckReadPace();
  if (const auto omitted = m_context->client_log.TakeOmitted(); omitted > 0) {
    LogInfo("client_lines_omitted", {{"count", std::to_string(omitted)}});
  }
  m_context->LogSlowEngineChanges();
  for (const auto& id : m_context->registry.Expire(m_context->loop->Now())) {
    LogInfo("backend_expired", {{"backend", id.value}});
    m_context->ForgetBackendServer(id);
  }
  m_context->hold_offs.Expire(m_context->loop->Now());
  FinishStopIfDrained();
  m_context->connections.Prune([this](const state::BackendServerId& id) {
    return m_context->registry.Find(id) != nullptr;
  });
}

void Gateway::Stop() {
  if (std::exchange(m_context->stopping, true)) return;
  LogInfo("stopping", {{"connections", std::to_string(m_connections.size())}});
  const auto time = m_context->options.stop_timeout - kStopMargin;
  // The listener stays open: a load balancer that has no other gateway in
  // rotation may still send callers here.
  m_rotation_timer.Start(std::min(kRotationDelay, time),
                         [this, end = m_context->loop->Now() + time] {
                           m_context->stop_deadline = end;
                           CloseIdle();
                           FinishStopIfDrained();
                         });
  m_stop_timer.Start(time, [this] { OnStopTimeout(); });
}

void Gateway::OnStopTimeout() {
  if (std::exchange(m_stopped, true)) return;
  LogWarn("stop_timeout",
          {{"connections", std::to_string(m_connections.size())},
           {"busy", std::to_string(BusyConnections())}});
  m_listener.reset();
  m_context->stop_deadline = m_context->loop->Now();
  const std::vector<std::shared_ptr<ClientConnection>> connections(
      m_connections.begin(), m_connections.end());
  for (const auto& connection : connections) connection->OnProcessExit();
  m_stop_timer.Start(kFinalWriteTime, [this] { m_on_stopped(); });
}

void Gateway::CloseIdle() {
  const std::vector<std::shared_ptr<ClientConnection>> connections(
      m_connections.begin(), m_connections.end());
  for (const auto& connection : connections) connection->CloseIfIdle();
}

void Gateway::EvictIdle() {
  const auto newest = m_context->loop->Now() - kMinEvictionIdle;
  std::vector<std::shared_ptr<ClientConnection>> idle;
  for (const auto& connection : m_connections) {
    if (!connection->IsBusy() && connection->IdleSince() <= newest) {
      idle.push_back(connection);
    }
  }
  const auto count = std::min(idle.size(), EvictionBatch());
  std::partial_sort(idle.begin(),
                    idle.begin() + static_cast<std::ptrdiff_t>(count),
                    idle.end(), [](const auto& a, const auto& b) {
                      return a->IdleSince() < b->IdleSince();
                    });
  idle.resize(count);
  for (const auto& connection : idle) connection->CloseIfIdle();
  m_evicted_connections += static_cast<std::int64_t>(count);
}

std::size_t Gateway::EvictionBatch() const {
  const auto share = static_cast<std::size_t>(
      static_cast<double>(m_context->CallerConnectionLimit()) *
      kEvictionBatchShare);
  return std::max<std::size_t>(1, share);
}

void Gateway::CheckReadPace() {
  const std::vector<std::shared_ptr<ClientConnection>> connections(
      m_connections.begin(), m_connections.end());
  for (const auto& connection : connections) connection->CheckReadPace();
}

void Gateway::FinishStopIfDrained() {
  if (!m_context->stop_deadline) return;
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
  m_context->metrics.SetGauge("wasabiwall_client_bytes",
                              static_cast<double>(m_context->clients.Used()));
  m_context->metrics.SetGauge(
      "wasabiwall_evicted_clients",
      static_cast<double>(m_context->clients.Evicted()));
  m_context->metrics.SetGauge("wasabiwall_slow_readers",
                              static_cast<double>(m_context->slow_readers));
  m_context->metrics.SetGauge(
      "wasabiwall_evicted_status_connections",
      static_cast<double>(m_readiness.Evicted() + m_metrics.Evicted()));
  m_context->metrics.SetGauge("wasabiwall_waiting_calls",
                              static_cast<double>(m_context->queue.Size()));
  m_context->metrics.SetGauge(
      "wasabiwall_longest_work_time",
      m_context->work_times.Largest(m_context->loop->Now()));
  m_context->metrics.SetGauge(
      "wasabiwall_leaving_backend_servers",
      static_cast<double>(m_context->registry.LeavingCount()));
  m_context->metrics.SetGauge(
      "wasabiwall_missing_backend_servers",
      static_cast<double>(m_context->registry.MissingCount()));
  m_context->metrics.SetGauge(
      "wasabiwall_held_off_backend_servers",
      m_context->hold_offs.Count(m_context->loop->Now()));
  m_context->metrics.SetGauge(
      "wasabiwall_quarantined_requests",
      static_cast<double>(m_context->quarantine.Size(m_context->loop->Now())));
  m_context->metrics.SetGauge("wasabiwall_backend_servers",
                              static_cast<double>(m_context->registry.Size()));
  m_context->metrics.SetGauge(
      "wasabiwall_config_version",
      static_cast<double>(m_context->Config() ? m_context->Config()->version
                                              : 0));
  if (m_context->store_confirmed_at) {
    const std::chrono::duration<double> age =
        m_context->loop->Now() - *m_context->store_confirmed_at;
    m_context->metrics.SetGauge("wasabiwall_store_age_seconds", age.count());
  }
  m_context->metrics.SetGauge(
      "wasabiwall_backend_connections_opened",
      static_cast<double>(m_context->connections.OpenedTotal()));
  m_context->metrics.SetGauge("wasabiwall_log_lines_dropped",
                              static_cast<double>(DroppedLogLines()));
  return {.body = m_context->metrics.Text()};
}

}  // namespace wasabiwall::transport
