#include "wasabiwall/coordination/backend_health.h"

#include <algorithm>
#include <utility>

namespace wasabiwall::coordination {
namespace {

/// Weight of the newest outcome in the failure share: about ten calls count.
constexpr double kOutcomeWeight = 0.1;
/// Failure share from which a backend server is spared; a few lost answers in
/// a hundred are usual on a sound one.
constexpr double kSparedFailureShare = 0.25;
/// Consecutive failures after which a backend server is spared.
constexpr int kSparedConsecutiveFailures = 3;
/// First time for which a backend server is spared; doubles up to the longest.
constexpr std::chrono::milliseconds kShortestSparing{500};
/// A restarted backend server is back within seconds.
constexpr std::chrono::milliseconds kLongestSparing{4000};
constexpr int kMostDoublings = 3;
/// Failures to connect in a row after which a backend server is not tried at
/// all while it is spared; a single one may be a lost packet.
constexpr int kUnreachableFailures = 2;
/// How long the call that tries a spared backend server may take before
/// another one tries: longer than the objective of any call.
constexpr std::chrono::milliseconds kTrialTime{1000};

}  // namespace

bool BackendHealth::OnSignal(const state::BackendServerId& id,
                             HealthSignal signal, TimePoint now) {
  if (signal == HealthSignal::kRefused) return false;
  Entry& entry = m_entries[id];
  if (signal == HealthSignal::kReplaced) {
    entry.consecutive_unreachable = kUnreachableFailures;
    entry.spared_until = now + kLongestSparing;
    return true;
  }
  if (signal == HealthSignal::kUnreachable) {
    ++entry.consecutive_unreachable;
  } else {
    entry.consecutive_unreachable = 0;
  }
  if (signal == HealthSignal::kAnswered) {
    OnAnswerBegun(id, now);
    entry.failure_share *= 1.0 - kOutcomeWeight;
    entry.consecutive_failures = 0;
    if (entry.failure_share < kSparedFailureShare / 2) entry.times_spared = 0;
    return false;
  }
  entry.failure_share += kOutcomeWeight * (1.0 - entry.failure_share);
  ++entry.consecutive_failures;
  const bool failing =
      signal == HealthSignal::kUnreachable ||
      entry.consecutive_failures >= kSparedConsecutiveFailures ||
      entry.failure_share >= kSparedFailureShare;
  return failing && Spare(&entry, now);
}

void BackendHealth::OnSent(const state::BackendServerId& id, TimePoint now) {
  const auto found = m_entries.find(id);
  if (found == m_entries.end()) return;
  Entry& entry = found->second;
  if (!entry.unproven || now < entry.spared_until) return;
  entry.on_trial = true;
  entry.spared_until = now + kTrialTime;
}

void BackendHealth::OnAnswerBegun(const state::BackendServerId& id,
                                  TimePoint now) {
  Entry& entry = m_entries[id];
  entry.last_answer = now;
  entry.unproven = false;
  if (std::exchange(entry.on_trial, false)) entry.spared_until = now;
}

bool BackendHealth::OnResponseTimeout(const state::BackendServerId& id,
                                      TimePoint sent_at, TimePoint now) {
  const bool spared = OnSignal(id, HealthSignal::kFailed, now);
  Entry& entry = m_entries[id];
  if (spared || entry.last_answer >= sent_at) return spared;
  return Spare(&entry, now);
}

bool BackendHealth::Spare(Entry* entry, TimePoint now) {
  if (now < entry->spared_until && !entry->on_trial) return false;
  entry->on_trial = false;
  entry->unproven = true;
  const int doublings = std::min(entry->times_spared, kMostDoublings);
  entry->spared_until =
      now + std::min(kShortestSparing * (1 << doublings), kLongestSparing);
  ++entry->times_spared;
  return true;
}

bool BackendHealth::IsSpared(const state::BackendServerId& id,
                             TimePoint now) const {
  const auto found = m_entries.find(id);
  return found != m_entries.end() && now < found->second.spared_until;
}

bool BackendHealth::IsUnreachable(const state::BackendServerId& id,
                                  TimePoint now) const {
  const auto found = m_entries.find(id);
  return found != m_entries.end() && now < found->second.spared_until &&
         found->second.consecutive_unreachable >= kUnreachableFailures;
}

double BackendHealth::FailureShare(const state::BackendServerId& id) const {
  const auto found = m_entries.find(id);
  return found == m_entries.end() ? 0 : found->second.failure_share;
}

}  // namespace wasabiwall::coordination
