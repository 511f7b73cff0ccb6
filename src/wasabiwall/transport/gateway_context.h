#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

#include "wasabiwall/coordination/admission_queue.h"
#include "wasabiwall/coordination/backend_health.h"
#include "wasabiwall/coordination/backend_load_table.h"
#include "wasabiwall/coordination/backend_placement.h"
#include "wasabiwall/coordination/cold_start_limiter.h"
#include "wasabiwall/coordination/event_interval_table.h"
#include "wasabiwall/coordination/prompt_cache_index.h"
#include "wasabiwall/coordination/prompt_directory.h"
#include "wasabiwall/coordination/retry_after_scheduler.h"
#include "wasabiwall/coordination/retry_budget.h"
#include "wasabiwall/state/backend_registry.h"
#include "wasabiwall/state/service_config.h"
#include "wasabiwall/transport/backend_pool.h"
#include "wasabiwall/transport/call_codec.h"
#include "wasabiwall/transport/datagram_socket.h"
#include "wasabiwall/transport/event_loop.h"
#include "wasabiwall/transport/metrics.h"

namespace wasabiwall::transport {

/// Settings of a gateway process.
struct GatewayOptions {
  std::string name;
  state::FailureDomainId failure_domain;
  /// Address for callers.
  Address listen_address;
  /// Address for readiness checks.
  Address readiness_address;
  /// Address for metrics; port 0 serves none.
  Address metrics_address;
  /// Address for datagrams of other gateways; without a host there are none.
  Address peer_address;
  /// Time between the signal to stop and the end of the process.
  std::chrono::milliseconds stop_timeout{8000};
  /// Multiple of the mean load that no backend server may exceed.
  double load_factor = 2;
  /// Repeated sends allowed for each call, of all processes together.
  double retry_share = 0.2;
  /// Repeated sends that may be saved up, of all processes together.
  double retry_burst = 50;
  /// How long an entry that vanished in a registry outage is kept.
  std::chrono::milliseconds lapse_grace{2500};
  /// File descriptors that the process may have open.
  int max_descriptors = 4096;
};

/// What the calls of one gateway process share. Used on one event loop only.
class GatewayContext {
 public:
  GatewayContext(EventLoop* loop, GatewayOptions options, CallCodec codec);

  /// Takes over a configuration; an older one than that in force is ignored.
  void ApplyConfig(std::shared_ptr<const state::ServiceConfig> config);

  /// @return The configuration in force, or null before the first.
  const std::shared_ptr<const state::ServiceConfig>& Config() const {
    return m_config;
  }

  /// Notes the gateway processes of the fleet. They share the limits of backend
  /// servers, each by the highest count of the last while, and what they know
  /// of cached prompts.
  /// @param addresses Addresses for datagrams by name; may be empty.
  void SetGateways(const std::map<std::string, std::string>& addresses);

  /// @return Processes to divide shared limits by.
  int Processes() const;

  /// @return Budget for repeated sends of a service.
  coordination::RetryBudget& RetriesOf(const state::ServiceId& service);

  /// @return Connections that this process may have to a backend server.
  int ConnectionLimit(const state::Service& service) const;

  /// @return Connections of callers that are kept open at once.
  std::size_t CallerLimit() const;

  /// Drops what is kept about backend servers that are gone.
  void ForgetBackendServer(const state::BackendServerId& id);

  /// Logs which engines have turned slow or fast again since the last call.
  void LogPaces();

  /// Replaces the settings that may change while the process runs.
  void ApplyOptions(const GatewayOptions& options);

  EventLoop* const loop;
  GatewayOptions options;
  const CallCodec codec;
  state::BackendRegistry registry;
  coordination::BackendLoadTable loads;
  coordination::BackendHealth health;
  coordination::EventIntervalTable paces;
  coordination::ColdStartLimiter cold_starts;
  coordination::PromptCacheIndex prompt_cache;
  DatagramSocket peer_socket;
  coordination::PromptDirectory prompt_directory;
  coordination::AdmissionQueue queue;
  coordination::RetryAfterScheduler return_times;
  BackendPool connections;
  coordination::BackendPlacement placement;
  Metrics metrics;
  /// Whether the process has been told to stop.
  bool stopping = false;
  /// While stopping and out of rotation: when the process ends at the latest.
  /// Calls that may take longer are not begun any more.
  std::optional<coordination::TimePoint> ends_by;

 private:
  void ShareRetryBurst();
  void OnPeerMessage(const std::string& from, std::string_view data);
  std::size_t BackendLimit() const;

  std::shared_ptr<const state::ServiceConfig> m_config;
  std::unordered_map<state::ServiceId,
                     std::unique_ptr<coordination::RetryBudget>>
      m_retries;
  /// Engines that were slow when they were last looked at.
  std::set<state::BackendServerId> m_slow;
  int m_processes = 0;
  int m_recent_processes = 0;
  coordination::TimePoint m_recent_until;
};

}  // namespace wasabiwall::transport
