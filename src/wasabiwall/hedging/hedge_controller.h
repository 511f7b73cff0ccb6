#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/coordination/retry_budget.h"
#include "wasabiwall/hedging/latency_estimator.h"
#include "wasabiwall/state/service_config.h"

namespace wasabiwall::hedging {

/// Extra work that operators accept for hedged requests, of all gateways
/// together. A share of 0 disables hedging.
struct HedgeLimits {
  /// Hedges for each call of a service.
  double share = 0;
  /// Hedges that may be saved up.
  double burst = 0;
};

/// Why a call is not hedged, or that it is.
enum class HedgeDecision {
  kHedge,
  /// The call has used up its attempts, or may not run again.
  kNotRepeatable,
  /// Too little time is left for another attempt.
  kDeadline,
  /// Calls wait, or a backend server has turned a call away as full.
  kShortOfCapacity,
  /// So many calls are late that the cause is no single backend server.
  kServiceSlow,
  /// No backend server is less loaded than the one that is slow.
  kNoTarget,
  /// The limit of the operators is reached.
  kLimit,
  /// The retry budget of the service is used up.
  kRetryBudget,
};

/// @return Name of the decision for logs and metrics.
const char* NameOf(HedgeDecision decision);

/// How loaded the backend server of an attempt is; response times are learned
/// for each class.
enum class LoadClass { kLow, kHigh };

/// Decides when a second attempt of a slow call is started, and whether.
///
/// The delay is a quantile of the route's recent times. It is extended to the
/// latest moment at which a second attempt would still meet the objective, so
/// that calls that end in time by themselves cost nothing. Does no I/O. Not
/// safe for concurrent use.
class HedgeController {
 public:
  /// @param processes Returns the number of gateways that share the limits.
  HedgeController(HedgeLimits limits, std::function<int()> processes,
                  coordination::RandomHook random);

  void SetLimits(HedgeLimits limits);

  bool IsEnabled() const { return m_limits.share > 0; }

  /// Records a call, which earns a part of a hedge.
  void OnCall(const state::ServiceId& service);

  /// @param latest Time after which the attempt would be given up.
  /// @return Time from the start of an attempt to that of its hedge; nothing
  /// while the route's times are not known, or are beyond the objective.
  std::optional<std::chrono::milliseconds> Delay(
      const state::Route& route, LoadClass load,
      std::chrono::milliseconds latest) const;

  /// Records the first response data of an attempt.
  void OnAnswered(const state::Route& route, LoadClass load,
                  std::chrono::microseconds time);

  /// Records that an attempt was cancelled since another one was answered.
  void OnCancelled(const state::Route& route, LoadClass load,
                   std::chrono::microseconds time);

  /// Records whether a call was answered within its hedging delay.
  void OnDelayResult(const state::ServiceId& service, bool is_late);

  /// Records that a backend server has turned a call away as full.
  void OnFull(const state::ServiceId& service, coordination::TimePoint now);

  /// @return Whether a call of the service may be hedged now; takes it from the
  /// operators' limit.
  /// @param has_waiting_calls Whether calls wait for a backend server.
  HedgeDecision Take(const state::ServiceId& service, bool has_waiting_calls,
                     coordination::TimePoint now);

 private:
  struct ServiceState {
    std::unique_ptr<coordination::RetryBudget> budget;
    /// Number of processes that the budget is divided by.
    int processes = 0;
    /// Moving average of the calls that are late.
    double late_share = 0;
    std::optional<coordination::TimePoint> full_at;
  };

  static std::string KeyOf(const state::Route& route, LoadClass load);
  coordination::RetryLimits Limits(int processes) const;
  ServiceState& StateOf(const state::ServiceId& service);

  HedgeLimits m_limits;
  std::function<int()> m_processes;
  coordination::RandomHook m_random;
  std::unordered_map<state::ServiceId, ServiceState> m_services;
  std::unordered_map<std::string, LatencyEstimator> m_times;
};

}  // namespace wasabiwall::hedging
