#pragma once

#include <functional>
#include <memory>
#include <unordered_set>

#include "wasabiwall/transport/client_connection.h"
#include "wasabiwall/transport/gateway_context.h"
#include "wasabiwall/transport/status_server.h"

namespace wasabiwall::transport {

/// Takes callers' requests and forwards them to backend servers: the listeners
/// of a gateway process and its orderly stop.
class Gateway {
 public:
  /// @param on_stopped Called when the process may end after Stop.
  Gateway(GatewayContext* context, std::function<void()> on_stopped);

  /// @return False when an address cannot be listened on.
  bool Start();

  /// Stops in order: reports itself as not ready, goes on while a balancer
  /// takes it out of rotation, then begins only calls that end before the stop
  /// timeout, and calls back once none is in progress.
  void Stop();

  /// The configuration and the registry have been read for the first time.
  void SetLoaded() { m_loaded = true; }

  /// @return Port that callers connect to.
  int CallersPort() const { return m_listener->Port(); }

  /// @return Whether new connections are welcome.
  bool IsReady() const;

 private:
  void OnAccept(uv_stream_t* stream);
  void OnTick();
  void OnHousekeeping();
  void CloseIdle();
  /// Closes some of the connections that have been idle for the longest.
  void EvictIdle();
  void EndIfDone();
  /// @return Connections on which a request is being read or answered.
  std::size_t BusyConnections() const;
  StatusPage ReadinessPage() const;
  StatusPage MetricsPage();

  GatewayContext* m_context;
  std::function<void()> m_on_stopped;
  std::unique_ptr<TcpListener> m_listener;
  StatusServer m_readiness;
  StatusServer m_metrics;
  Timer m_tick;
  Timer m_housekeeping;
  Timer m_out_of_rotation;
  Timer m_stop_timeout;
  std::unordered_set<std::shared_ptr<ClientConnection>> m_connections;
  std::int64_t m_evicted_connections = 0;
  std::int64_t m_rejected_connections = 0;
  std::int64_t m_logged_rejections = 0;
  bool m_loaded = false;
  bool m_stopped = false;
};

}  // namespace wasabiwall::transport
