#include "wasabiwall/coordination/event_interval_table.h"

#include <algorithm>

namespace wasabiwall::coordination {
namespace {

using std::chrono::microseconds;

/// Weight of the newest interval in the moving average: about twenty events
/// count, a second of one stream.
constexpr double kEwmaWeight = 0.05;
/// Events before a mean is used.
constexpr int kMinEvents = 10;
/// Time after the last event at which the mean is discarded.
constexpr std::chrono::seconds kRetention{4};
/// Longer intervals are capped: they come from callers that do not read.
constexpr microseconds kMaxInterval{1000000};
/// Fewest engines with a mean interval for a comparison.
constexpr std::size_t kMinPeers = 3;
/// Multiple of the median from which an engine is slow. A full batch takes 1.8
/// times as long per token as an empty one.
constexpr double kSlowFactor = 2.5;

}  // namespace

void EventIntervalTable::OnEvent(const state::BackendServerId& id,
                                 microseconds interval, TimePoint now) {
  Entry& entry = m_entries[id];
  if (now - entry.last > kRetention) entry = {};
  entry.last = now;
  ++entry.events;
  const std::chrono::duration<double, std::micro> capped =
      std::min(interval, kMaxInterval);
  const double weight = std::max(kEwmaWeight, 1.0 / entry.events);
  entry.mean += weight * (capped - entry.mean);
}

std::optional<microseconds> EventIntervalTable::MeanInterval(
    const state::BackendServerId& id, TimePoint now) const {
  const auto found = m_entries.find(id);
  if (found == m_entries.end() || found->second.events < kMinEvents ||
      now - found->second.last > kRetention) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<microseconds>(found->second.mean);
}

std::optional<microseconds> EventIntervalTable::SlowThreshold(
    const std::vector<state::BackendServerId>& peers, TimePoint now) const {
  std::vector<microseconds> means;
  means.reserve(peers.size());
  for (const auto& id : peers) {
    if (const auto mean = MeanInterval(id, now)) means.push_back(*mean);
  }
  if (means.size() < kMinPeers) return std::nullopt;
  const auto middle =
      means.begin() + static_cast<std::ptrdiff_t>(means.size() / 2);
  std::nth_element(means.begin(), middle, means.end());
  return std::chrono::duration_cast<microseconds>(*middle * kSlowFactor);
}

}  // namespace wasabiwall::coordination
