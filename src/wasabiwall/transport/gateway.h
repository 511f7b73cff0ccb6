#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <unordered_set>

#include "wasabiwall/transport/client_connection.h"
#include "wasabiwall/transport/gateway_context.h"
#include "wasabiwall/transport/status_server.h"

namespace wasabiwall::transport {

/// Accepts callers' connections and forwards their requests to backend servers.
/// Owns the listeners of a gateway process and shuts it down gracefully.
class Gateway {
 public:
  /// @param on_stopped Called after Stop, once the process may exit.
  Gateway(GatewayContext* context, std::function<void()> on_stopped);

  /// Opens the listeners and starts the periodic tasks.
  /// @return False if an address cannot be bound.
  bool Start();

  /// Shuts down gracefully: fails readiness checks, keeps serving while load
  /// balancers take the process out of rotation, then starts only calls that
  /// end before the stop timeout. Calls `on_stopped` once no call is in
  /// progress, or at the stop timeout.
  void Stop();

  /// Marks the configuration and the registry as read for the first time.
  void SetLoaded() { m_loaded = true; }

  /// @return Port that callers connect to.
  int ListenPort() const { return m_listener->Port(); }

  /// @return Whether readiness checks succeed.
  bool IsReady() const;

 private:
  void OnAccept(uv_stream_t* stream);
  void RunQueue();
  void OnHousekeeping();
  void CloseIdle();
  /// Closes some of the connections that have been idle for the longest.
  void EvictIdle();
  /// @return Connections that are evicted together.
  std::size_t EvictionBatch() const;
  /// Closes connections whose callers take responses too slowly.
  void CheckReadPace();
  void FinishStopIfDrained();
  /// Answers all calls in progress, then ends the process.
  void OnStopTimeout();
  /// @return Connections on which a request is being read or answered.
  std::size_t BusyConnections() const;
  StatusPage ReadinessPage() const;
  StatusPage MetricsPage();

  GatewayContext* m_context;
  std::function<void()> m_on_stopped;
  std::unique_ptr<TcpListener> m_listener;
  StatusServer m_readiness;
  StatusServer m_metrics;
  Timer m_queue_timer;
  /// When the queue timer last fired.
  std::optional<coordination::TimePoint> m_queue_run_at;
  Timer m_housekeeping_timer;
  Timer m_rotation_timer;
  Timer m_stop_timer;
  std::unordered_set<std::shared_ptr<ClientConnection>> m_connections;
  std::int64_t m_evicted_connections = 0;
  std::int64_t m_rejected_connections = 0;
  std::int64_t m_logged_rejections = 0;
  bool m_loaded = false;
  bool m_stopped = false;
};

}  // namespace wasabiwall::transport
