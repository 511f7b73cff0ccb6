#include "wasabiwall/coordination/backend_health.h"

#include <algorithm>
#include <utility>

namespace wasabiwall::coordination {
namespace {

/// Weight of the newest outcome in the moving average of failures: about ten
/// calls count.
constexpr double kEwmaWeight = 0.1;
/// Failure share from which a backend server is ejected. A few lost responses
/// in a hundred are usual on a healthy one.
constexpr double kEjectionFailureShare = 0.25;
/// Consecutive failures after which a backend server is ejected.
constexpr int kEjectionConsecutiveFailures = 3;
/// First ejection time; doubles up to kMaxEjectionTime.
constexpr std::chrono::milliseconds kBaseEjectionTime{500};
/// A restarted backend server is back within seconds.
constexpr std::chrono::milliseconds kMaxEjectionTime{4000};
constexpr int kMaxDoublings = 3;
/// Consecutive connection failures after which an ejected backend server gets
/// no calls at all; a single one may be a lost packet.
constexpr int kUnreachableFailures = 2;
/// Time after which another call may probe: longer than the objective of any
/// call.
constexpr std::chrono::milliseconds kProbeTimeout{1000};

}  // namespace

bool BackendHealth::OnSignal(const state::BackendServerId& id,
                             HealthSignal signal, TimePoint now) {
  if (signal == HealthSignal::kRefused) return false;
  Entry& entry = m_entries[id];
  if (signal == HealthSignal::kReplaced) {
    entry.consecutive_unreachable = kUnreachableFailures;
    entry.ejected_until = now + kMaxEjectionTime;
    return true;
  }
  if (signal == HealthSignal::kUnreachable) {
    ++entry.consecutive_unreachable;
  } else {
    entry.consecutive_unreachable = 0;
  }
  if (signal == HealthSignal::kAnswered) {
    OnAnswerBegun(id, now);
    entry.failure_share *= 1.0 - kEwmaWeight;
    entry.consecutive_failures = 0;
    if (entry.failure_share < kEjectionFailureShare / 2)
      entry.ejection_count = 0;
    return false;
  }
  entry.failure_share += kEwmaWeight * (1.0 - entry.failure_share);
  ++entry.consecutive_failures;
  const bool failing =
      signal == HealthSignal::kUnreachable ||
      entry.consecutive_failures >= kEjectionConsecutiveFailures ||
      entry.failure_share >= kEjectionFailureShare;
  return failing && Eject(&entry, now);
}

void BackendHealth::OnSent(const state::BackendServerId& id, TimePoint now) {
  const auto found = m_entries.find(id);
  if (found == m_entries.end()) return;
  Entry& entry = found->second;
  if (!entry.needs_probe || now < entry.ejected_until) return;
  entry.probing = true;
  entry.ejected_until = now + kProbeTimeout;
}

void BackendHealth::OnAnswerBegun(const state::BackendServerId& id,
                                  TimePoint now) {
  Entry& entry = m_entries[id];
  entry.last_answer = now;
  entry.needs_probe = false;
  if (std::exchange(entry.probing, false)) entry.ejected_until = now;
}

bool BackendHealth::OnResponseTimeout(const state::BackendServerId& id,
                                      TimePoint sent_at, TimePoint now) {
  const bool ejected = OnSignal(id, HealthSignal::kFailed, now);
  Entry& entry = m_entries[id];
  if (ejected || entry.last_answer >= sent_at) return ejected;
  return Eject(&entry, now);
}

bool BackendHealth::Eject(Entry* entry, TimePoint now) {
  if (now < entry->ejected_until && !entry->probing) return false;
  entry->probing = false;
  entry->needs_probe = true;
  const int doublings = std::min(entry->ejection_count, kMaxDoublings);
  entry->ejected_until =
      now + std::min(kBaseEjectionTime * (1 << doublings), kMaxEjectionTime);
  ++entry->ejection_count;
  return true;
}

bool BackendHealth::IsEjected(const state::BackendServerId& id,
                              TimePoint now) const {
  const auto found = m_entries.find(id);
  return found != m_entries.end() && now < found->second.ejected_until;
}

bool BackendHealth::IsUnreachable(const state::BackendServerId& id,
                                  TimePoint now) const {
  const auto found = m_entries.find(id);
  return found != m_entries.end() && now < found->second.ejected_until &&
         found->second.consecutive_unreachable >= kUnreachableFailures;
}

double BackendHealth::FailureShare(const state::BackendServerId& id) const {
  const auto found = m_entries.find(id);
  return found == m_entries.end() ? 0 : found->second.failure_share;
}

}  // namespace wasabiwall::coordination
