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
#include "wasabiwall/coordination/failure_domain_health.h"
#include "wasabiwall/coordination/load_announcer.h"
#include "wasabiwall/coordination/process_count_history.h"
#include "wasabiwall/coordination/prompt_cache_index.h"
#include "wasabiwall/coordination/prompt_directory.h"
#include "wasabiwall/coordination/request_quarantine.h"
#include "wasabiwall/coordination/retry_after_scheduler.h"
#include "wasabiwall/coordination/retry_budget.h"
#include "wasabiwall/hedging/hedge_controller.h"
#include "wasabiwall/ingress/client_account.h"
#include "wasabiwall/ingress/log_allowance.h"
#include "wasabiwall/ingress/read_pace.h"
#include "wasabiwall/state/backend_registry.h"
#include "wasabiwall/state/service_config.h"
#include "wasabiwall/transport/backend_pool.h"
#include "wasabiwall/transport/byte_budget.h"
#include "wasabiwall/transport/call_codec.h"
#include "wasabiwall/transport/crash_monitor.h"
#include "wasabiwall/transport/datagram_socket.h"
#include "wasabiwall/transport/event_loop.h"
#include "wasabiwall/transport/gateway_rollouts.h"
#include "wasabiwall/transport/logging.h"
#include "wasabiwall/transport/metrics.h"

namespace wasabiwall::transport {

/// Settings of a gateway process.
struct GatewayOptions {
  std::string name;
  state::FailureDomainId failure_domain;
  /// Listen address for callers.
  Address listen_address;
  /// Listen address for readiness checks.
  Address readiness_address;
  /// Listen address for metrics; port 0 disables them.
  Address metrics_address;
  /// Address for datagrams from other gateways; an empty host disables them.
  Address peer_address;
  /// Longest time from the stop signal to the exit of the process.
  std::chrono::milliseconds stop_timeout{8000};
  /// Multiple of the mean load that no backend server may exceed.
  double load_factor = 2;
  /// Retries allowed per call, over all processes.
  double retry_share = 0.2;
  /// Retries that may accumulate in the budget, over all processes.
  double retry_burst = 50;
  /// Extra work that hedged requests may cause, of all gateways.
  hedging::HedgeLimits hedge_limits;
  /// Time after the first count of gateways in which more may register that
  /// have started at the same moment. Until then the shared limits are divided
  /// by no fewer than are assumed before the first count.
  std::chrono::milliseconds fleet_settle_time{0};
  /// How the registry's entries expire and return about an outage.
  state::LapseTimes lapse_times;
  /// File descriptors that the process may have open.
  int max_descriptors = 4096;
  /// Memory that the process may use, in megabytes; sets the limits of its
  /// buffers.
  int memory_mb = 256;
  /// Bounds of roll-outs; without them orders are ignored.
  std::optional<rollout::RolloutLimits> rollout;
  /// Memory for what clients make the process hold, in megabytes; 0 for a share
  /// of `memory_mb`.
  int client_memory_mb = 0;
  /// Slowest pace at which a caller may take a response.
  ingress::ReadPaceLimits read_pace;
  /// Connections that each status server keeps; 0 for a share of
  /// `max_descriptors`.
  int status_connections = 0;
};

/// Makes the quarantine of requests known to all gateways, those that start
/// later too. Functions that are not set do nothing.
struct QuarantineSharing {
  /// Announces that a request is quarantined.
  std::function<void(const std::string& fingerprint)> announce;
  /// Announces that a quarantined request has been answered.
  std::function<void(const std::string& fingerprint)> announce_answered;
  /// Claims the next probe of a request for this gateway.
  /// @param on_done Called once the quarantine knows the outcome.
  /// @return Whether the outcome will come.
  std::function<bool(const std::string& fingerprint,
                     std::function<void()> on_done)>
      claim_probe;
};

/// State shared by the calls of one gateway process. Used on one event loop
/// only.
class GatewayContext {
 public:
  GatewayContext(EventLoop* loop, GatewayOptions options, CallCodec codec);

  /// Applies a configuration; ignores one that is not newer than the current
  /// one.
  void ApplyConfig(std::shared_ptr<const state::ServiceConfig> config);

  /// @return The current configuration, or null before the first one.
  const std::shared_ptr<const state::ServiceConfig>& Config() const {
    return m_config;
  }

  /// Sets the gateway processes of the fleet. They divide the limits of backend
  /// servers by the highest recent process count, and exchange which engines
  /// hold cached prompts.
  /// @param addresses Datagram addresses by process name; an address may be
  /// empty.
  void SetGateways(const coordination::ProcessAddresses& addresses);

  /// @return Revision number of the list of gateways, incremented with each
  /// call of SetGateways.
  std::int64_t GatewayListRevision() const { return m_gateway_list_revision; }

  /// @return Number of processes that the shared limits are divided by.
  int ProcessCount() const;

  /// @return Retry budget of a service.
  coordination::RetryBudget& RetryBudgetFor(const state::ServiceId& service);

  /// @return Limit of connections from this process to one backend server of a
  /// service.
  int ConnectionLimit(const state::Service& service) const;

  /// @return Limit of open connections of callers.
  std::size_t CallerConnectionLimit() const;

  /// @return Limit of open connections of each status server.
  std::size_t StatusConnectionLimit() const;

  /// Evicts callers after the callback that is running if they make the process
  /// hold too much.
  void MakeRoomSoon();

  /// Records the load that a backend server reported in an answer.
  /// @param bound Load up to which it gets further calls.
  void OnLoadReport(const state::BackendServerId& id,
                    coordination::ReportedLoad load, double bound);

  /// Removes the state kept for a backend server that has left.
  void ForgetBackendServer(const state::BackendServerId& id);

  /// @return What the registry says of a backend server and how old its word
  /// is, for the log.
  std::vector<LogField> RegistryLogFields(
      const state::BackendServerId& id) const;

  /// Logs engines that have become slow, or fast again, since the last call.
  void LogSlowEngineChanges();

  /// @return Whether a service is being moved to another version.
  bool IsRolloutActive() const { return rollouts && rollouts->IsActive(); }

  /// Applies the settings that may change while the process runs.
  void ApplyOptions(const GatewayOptions& options);

  EventLoop* const loop;
  GatewayOptions options;
  const CallCodec codec;
  state::BackendRegistry registry;
  coordination::BackendLoadTable loads;
  coordination::LoadAnnouncer load_announcer;
  coordination::BackendHealth health;
  coordination::FailureDomainHealth failure_domains;
  coordination::EventIntervalTable event_intervals;
  coordination::ColdStartLimiter cold_starts;
  coordination::HoldOffTable hold_offs;
  coordination::PromptCacheIndex prompt_cache;
  DatagramSocket peer_socket;
  coordination::PromptDirectory prompt_directory;
  coordination::RequestQuarantine quarantine;
  CrashMonitor crash_monitor;
  QuarantineSharing quarantine_sharing;
  coordination::AdmissionQueue queue;
  /// Speed of backend servers as they report it.
  balancing::WorkTimeTable work_times;
  coordination::RetryAfterScheduler retry_after_scheduler;
  hedging::HedgeController hedging;
  /// Responses that are buffered until they are complete.
  ByteBudget response_buffers;
  /// Bodies of requests, from the first byte to the end of the call.
  ByteBudget request_bodies;
  /// What callers make the process hold.
  ingress::ClientAccount clients;
  ingress::LogAllowance client_log;
  /// Callers whose connections ended as they took a response too slowly.
  std::int64_t slow_readers = 0;
  BackendPool connections;
  coordination::BackendPlacement placement;
  Metrics metrics;
  /// Null if roll-outs are disabled.
  const std::unique_ptr<GatewayRollouts> rollouts;
  /// When the store last answered a read or watch.
  std::optional<coordination::TimePoint> store_confirmed_at;
  /// Whether the first read of the store goes on and has not failed so far, so
  /// that calls may wait for it.
  bool starting = false;
  /// Whether the process has been told to stop.
  bool stopping = false;
  /// Set while stopping and out of rotation: latest time at which the process
  /// exits. Calls with a later deadline are refused.
  std::optional<coordination::TimePoint> stop_deadline;

 private:
  coordination::RetryLimits RetryLimits() const;
  void UpdateRetryBudgets();
  void OnQuarantined(const std::string& fingerprint,
                     const coordination::QuarantineReason& reason);
  void OnPeerMessage(const std::string& from, std::string_view data);
  coordination::FailureDomainHealth::Hooks FailureDomainHooks();
  coordination::LoadAnnouncer::Hooks LoadAnnouncerHooks();
  std::unique_ptr<GatewayRollouts> MakeRollouts();
  /// Sends to all other gateways.
  void SendToPeers(const std::string& bytes);
  void SendDueLoads();
  /// @return Names of the gateways that collect the reports about a domain.
  std::vector<std::string> CollectorsOf(
      const state::FailureDomainId& domain) const;
  std::size_t BackendConnectionLimit() const;

  std::shared_ptr<const state::ServiceConfig> m_config;
  Timer m_load_timer;
  std::unordered_map<state::ServiceId,
                     std::unique_ptr<coordination::RetryBudget>>
      m_retry_budgets;
  /// Engines that were slow at the last call of LogSlowEngineChanges.
  std::set<state::BackendServerId> m_slow_engines;
  /// Datagram addresses of the gateways that have one.
  std::shared_ptr<const coordination::ProcessAddresses> m_peers =
      std::make_shared<coordination::ProcessAddresses>();
  std::int64_t m_gateway_list_revision = 0;
  bool m_makes_room_soon = false;
  coordination::ProcessCountHistory m_process_counts;
  /// Process count that the limits of the retry budgets follow from.
  int m_budgeted_process_count = 0;
};

}  // namespace wasabiwall::transport
