#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "wasabiwall/coordination/rendezvous_homes.h"
#include "wasabiwall/rollout/rollout_controller.h"
#include "wasabiwall/transport/event_loop.h"
#include "wasabiwall/transport/metrics.h"

namespace wasabiwall::transport {

/// Connects the controller of roll-outs with the event loop, the other
/// gateways, the logs and the metrics.
class GatewayRollouts {
 public:
  struct Hooks {
    /// Sends a datagram to an `ip:port`.
    std::function<void(const std::string& to, const std::string& bytes)> send;
    /// Sends a datagram to all other gateways.
    std::function<void(const std::string& bytes)> announce;
    /// @return Time since the store last answered.
    std::function<std::chrono::milliseconds()> store_age;
  };

  /// @param name Name of this process.
  GatewayRollouts(EventLoop* loop, std::string name,
                  rollout::RolloutLimits limits,
                  const state::BackendRegistry* registry, Metrics* metrics,
                  Hooks hooks);

  /// Sets what writes records to the store.
  void SetWriter(std::function<void(const state::RolloutRecord&)> write) {
    m_write = std::move(write);
  }

  /// Sets the datagram addresses of all gateways that have one, by name.
  void SetPeers(std::shared_ptr<const coordination::ProcessAddresses> peers);

  void OnOrder(const state::RolloutOrder& order);
  void OnOrderWithdrawn(const state::ServiceId& service);
  void OnRecord(const state::ServiceId& service,
                const std::optional<state::RolloutRecord>& record);

  /// Handles a datagram of another gateway.
  /// @param from `ip:port` of the sender.
  /// @return Whether it is a message about a roll-out.
  bool OnPeerMessage(const std::string& from, std::string_view data);

  bool IsActive() const { return m_controller.IsActive(); }

  /// @return Which versions may serve a call.
  state::VersionRule Choose(const rollout::VersionQuery& query) {
    return m_controller.Choose(query, m_loop->Now());
  }

  /// @return Whether a backend server may get calls of a call that a rule
  /// restricts.
  bool IsInTrial(const state::BackendServer& server) const {
    return m_controller.IsInTrial(server);
  }

  /// Records that a call was sent to a backend server.
  void OnSent(const state::ServiceId& service, const std::string& version,
              bool is_idempotent);

  /// Records the end of an attempt for which OnSent was called.
  void OnEnded(const rollout::AttemptObservation& observation);

  /// @return State of a service's roll-out.
  std::optional<state::RolloutRecord> StateOf(
      const state::ServiceId& service) const {
    return m_controller.StateOf(service);
  }

 private:
  /// Attempts of this gateway by how they ended.
  struct Counts {
    std::int64_t sent = 0;
    std::int64_t answered = 0;
    std::int64_t failed = 0;
    std::int64_t ignored = 0;
  };

  /// What this gateway has seen of a roll-out, for logs.
  struct Seen {
    state::RolloutOrderId order;
    std::map<std::string, Counts> by_version;
  };

  rollout::RolloutController::Hooks ControllerHooks();
  void OnChange(const state::RolloutRecord& record);
  /// @return Number of backend servers by version, such as `v1:3,v2:3`.
  std::string VersionsOf(const state::ServiceId& service) const;
  /// Runs the controller's timer while a roll-out is in progress.
  void UpdateTimer();

  EventLoop* m_loop;
  std::string m_name;
  const state::BackendRegistry* m_registry;
  Metrics* m_metrics;
  Hooks m_hooks;
  std::function<void(const state::RolloutRecord&)> m_write;
  std::shared_ptr<const coordination::ProcessAddresses> m_peers;
  std::unordered_map<std::string, std::string> m_names_by_address;
  std::unordered_map<state::ServiceId, Seen> m_seen;
  rollout::RolloutController m_controller;
  Timer m_tick_timer;
  bool m_ticks = false;
};

}  // namespace wasabiwall::transport
