#include "wasabiwall/hedging/hedge_controller.h"

#include <algorithm>
#include <utility>

namespace wasabiwall::hedging {
namespace {

using std::chrono::milliseconds;

/// Quantile of the route's times before which no hedge starts. With one slow
/// backend server in seven, a higher one is a time of that server.
constexpr double kDelayQuantile = 0.8;
/// Share of late calls from which on the whole service is slow. One slow
/// backend server in seven makes 0.14 of the calls late.
constexpr double kMaxLateShare = 0.3;
/// Weight of a call in the average of late calls: about fifty count.
constexpr double kLateWeight = 0.02;
/// Time after a refusal as full in which the service is not hedged: several
/// times as long as the calls that fill it.
constexpr milliseconds kFullPause{2000};
/// Part of the limits that is used in steady state; the rest is for gateways
/// that start, as in the retry budget.
constexpr double kUsedShare = 0.8;
/// Routes whose times are kept. Configurations have some hundreds.
constexpr std::size_t kMaxRoutes = 4096;

}  // namespace

const char* NameOf(HedgeDecision decision) {
  switch (decision) {
    case HedgeDecision::kHedge:
      return "hedged";
    case HedgeDecision::kNotRepeatable:
      return "not_repeatable";
    case HedgeDecision::kDeadline:
      return "deadline";
    case HedgeDecision::kShortOfCapacity:
      return "short_of_capacity";
    case HedgeDecision::kServiceSlow:
      return "service_slow";
    case HedgeDecision::kNoTarget:
      return "no_target";
    case HedgeDecision::kLimit:
      return "limit";
    case HedgeDecision::kRetryBudget:
      return "retry_budget";
  }
  return "unknown";
}

HedgeController::HedgeController(HedgeLimits limits,
                                 std::function<int()> processes,
                                 coordination::RandomHook random)
    : m_limits(limits),
      m_processes(std::move(processes)),
      m_random(std::move(random)) {}

coordination::RetryLimits HedgeController::Limits(int processes) const {
  return coordination::RetryLimitsOfProcess(m_limits.share, m_limits.burst,
                                            kUsedShare, processes);
}

void HedgeController::SetLimits(HedgeLimits limits) {
  m_limits = limits;
  for (auto& [service, state] : m_services) state.processes = 0;
}

HedgeController::ServiceState& HedgeController::StateOf(
    const state::ServiceId& service) {
  ServiceState& state = m_services[service];
  const int processes = std::max(1, m_processes());
  if (!state.budget) {
    state.budget = std::make_unique<coordination::RetryBudget>(
        Limits(processes), m_random);
  } else if (state.processes != processes) {
    state.budget->SetLimits(Limits(processes));
  }
  state.processes = processes;
  return state;
}

std::string HedgeController::KeyOf(const state::Route& route, LoadClass load) {
  return route.host + route.path_prefix +
         (load == LoadClass::kHigh ? "+" : "-");
}

void HedgeController::OnCall(const state::ServiceId& service) {
  if (IsEnabled()) StateOf(service).budget->OnFirstAttempt();
}

std::optional<milliseconds> HedgeController::Delay(const state::Route& route,
                                                   LoadClass load,
                                                   milliseconds latest) const {
  if (!IsEnabled() || !route.IsIdempotent()) return std::nullopt;
  const auto found = m_times.find(KeyOf(route, load));
  if (found == m_times.end()) return std::nullopt;
  const auto usual = found->second.Quantile(kDelayQuantile);
  // A second attempt that is expected to be late is not worth its work.
  if (!usual || *usual * 2 > route.objective) return std::nullopt;
  return std::max(*usual, std::min(route.objective - *usual, latest));
}

void HedgeController::OnAnswered(const state::Route& route, LoadClass load,
                                 std::chrono::microseconds time) {
  if (!IsEnabled() || !route.IsIdempotent()) return;
  const std::string key = KeyOf(route, load);
  // Routes of earlier configurations are not worth keeping apart.
  if (m_times.size() >= kMaxRoutes && !m_times.contains(key)) m_times.clear();
  m_times[key].OnAnswered(time);
}

void HedgeController::OnCancelled(const state::Route& route, LoadClass load,
                                  std::chrono::microseconds time) {
  if (IsEnabled()) m_times[KeyOf(route, load)].OnCancelled(time);
}

void HedgeController::OnDelayResult(const state::ServiceId& service,
                                    bool is_late) {
  if (!IsEnabled()) return;
  ServiceState& state = StateOf(service);
  state.late_share += kLateWeight * ((is_late ? 1.0 : 0.0) - state.late_share);
}

void HedgeController::OnFull(const state::ServiceId& service,
                             coordination::TimePoint now) {
  if (IsEnabled()) StateOf(service).full_at = now;
}

HedgeDecision HedgeController::Take(const state::ServiceId& service,
                                    bool has_waiting_calls,
                                    coordination::TimePoint now) {
  ServiceState& state = StateOf(service);
  const bool is_full = state.full_at && now - *state.full_at < kFullPause;
  if (has_waiting_calls || is_full) return HedgeDecision::kShortOfCapacity;
  if (state.late_share > kMaxLateShare) return HedgeDecision::kServiceSlow;
  return state.budget->Take() ? HedgeDecision::kHedge : HedgeDecision::kLimit;
}

}  // namespace wasabiwall::hedging
