#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/protocol/rollout_message.h"
#include "wasabiwall/state/backend_registry.h"
#include "wasabiwall/state/rollout_order.h"
#include "wasabiwall/state/version_rule.h"

namespace wasabiwall::rollout {

/// Bounds of all roll-outs of a deployment.
struct RolloutLimits {
  /// Share of a service's calls that a bad version may get.
  double exposure_ratio = 0;
  /// Calls beyond the share.
  double exposure_tolerance = 0;
  /// Time after the 50th bad answer from which a bad version gets no calls.
  std::chrono::milliseconds rollback_time{5000};
};

/// A call for which a version is to be chosen.
struct VersionQuery {
  state::ServiceId service;
  /// Calls with the same value keep their version: a shared prompt part, or a
  /// hash of the call's identifier.
  std::uint64_t session = 0;
  /// Whether the call may run again if its backend server stops.
  bool is_idempotent = false;
  /// Version of the backend server of the attempt before; empty for the first.
  std::string tried_version;
};

/// How an attempt at a backend server ended.
struct AttemptObservation {
  state::ServiceId service;
  std::string version;
  std::string route;
  state::BackendServerId server;
  bool is_idempotent = false;
  enum class Outcome {
    kAnswered,
    /// The backend server answered with an error of its own, broke off or sent
    /// nothing in time.
    kFailed,
    /// Says nothing about the version: refused, cancelled, quarantined, cold,
    /// or not connected.
    kIgnored,
  };
  Outcome outcome = Outcome::kIgnored;
  /// Whether the connection ended before the response. The end of a backend
  /// server may be the cause, so that it counts only once that one is known to
  /// run on.
  bool broke_off = false;
  /// Time from the sending of the call to the end of the attempt.
  std::chrono::milliseconds duration{0};
  /// Time to the first byte of the response, also of one that failed; nothing
  /// if none came.
  std::optional<std::chrono::microseconds> first_byte;
  /// Mean gap between the events of a stream.
  std::optional<std::chrono::microseconds> event_gap;
};

/// Runs the roll-outs of a gateway process: limits the exposure of versions on
/// trial, collects evidence with the other gateways and decides. Does no I/O.
/// Not safe for concurrent use.
class RolloutController {
 public:
  struct Hooks {
    /// Sends to another gateway, by name.
    std::function<void(const std::string& to, const protocol::RolloutMessage&)>
        send;
    /// Sends to all other gateways.
    std::function<void(const protocol::RolloutMessage&)> announce;
    /// @return Gateways that collect the evidence of a service, this one
    /// included if it is one, the first to decide first.
    std::function<std::vector<std::string>(const state::ServiceId&)> collectors;
    /// @return Names of all gateways.
    std::function<std::vector<std::string>()> gateways;
    /// Writes the record and the status, on condition that the record is still
    /// the last one given to OnRecord. Calls OnRecord with what is there after.
    std::function<void(const state::RolloutRecord&)> write;
    /// @return Time since the store last answered.
    std::function<std::chrono::milliseconds()> store_age;
    /// Called for each change of stage and each ignored order, for logs.
    std::function<void(const state::RolloutRecord&)> on_change;
    coordination::RandomHook random;
  };

  /// @param name Name of this process.
  /// @param registry Tells which backend servers have which version.
  RolloutController(std::string name, RolloutLimits limits,
                    const state::BackendRegistry* registry, Hooks hooks);
  ~RolloutController();

  /// Handles an order; one that is known already changes nothing.
  void OnOrder(const state::RolloutOrder& order, coordination::TimePoint now);

  /// Handles the deletion of a service's order.
  void OnOrderWithdrawn(const state::ServiceId& service,
                        coordination::TimePoint now);

  /// Handles a record that was read from the store; nothing if there is none.
  void OnRecord(const state::ServiceId& service,
                const std::optional<state::RolloutRecord>& record,
                coordination::TimePoint now);

  /// Handles a message of another gateway.
  void OnMessage(const std::string& from,
                 const protocol::RolloutMessage& message,
                 coordination::TimePoint now);

  /// Sends due evidence and decides; to be called every 100 ms while IsActive.
  void Tick(coordination::TimePoint now);

  /// @return Whether a roll-out is in progress.
  bool IsActive() const;

  /// @return Which versions may serve a call. Counts nothing.
  state::VersionRule Choose(const VersionQuery& query,
                            coordination::TimePoint now);

  /// @return Whether the backend server may get calls while its version is on
  /// trial, so that the trial has the usual load at each.
  bool IsInTrial(const state::BackendServer& server) const;

  /// Records that a call was sent to a backend server.
  void OnSent(const state::ServiceId& service, const std::string& version,
              bool is_idempotent, coordination::TimePoint now);

  /// Records the end of an attempt for which OnSent was called.
  void OnEnded(const AttemptObservation& observation,
               coordination::TimePoint now);

  /// @return State of a service's roll-out, for logs and metrics.
  std::optional<state::RolloutRecord> StateOf(
      const state::ServiceId& service) const;

 private:
  struct Rollout;

  Rollout* Find(const state::ServiceId& service) const;
  /// @return The service's state; null if there are too many services.
  Rollout* FindOrAdd(const state::ServiceId& service);
  void Begin(Rollout* rollout, const state::RolloutOrder& order,
             coordination::TimePoint now);
  void Ignore(const state::RolloutOrder& order, const std::string& reason);

  std::string m_name;
  RolloutLimits m_limits;
  const state::BackendRegistry* m_registry;
  Hooks m_hooks;
  std::vector<std::unique_ptr<Rollout>> m_rollouts;
  /// A decision asks for the same service many times. Entries are not removed.
  mutable Rollout* m_last_found = nullptr;
};

}  // namespace wasabiwall::rollout
