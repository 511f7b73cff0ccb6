#include "wasabiwall/coordination/event_interval_table.h"

#include <algorithm>

namespace wasabiwall::coordination {
namespace {

using std::chrono::microseconds;

/// Weight of the newest pause: about twenty events count, a second of one
/// stream.
constexpr double kNewestWeight = 0.05;
/// Events after which a mean is trusted.
constexpr int kFewestEvents = 10;
/// Time after the last event until the mean is forgotten.
constexpr std::chrono::seconds kMemory{4};
/// Longest pause that counts; longer ones come from callers that do not read.
constexpr microseconds kLongestPause{1000000};
/// Known engines that a comparison takes.
constexpr std::size_t kFewestPeers = 3;
/// Multiple of the median from which an engine is slow. A full batch takes
/// 1.8 times as long for each token as an empty one.
constexpr double kSlowFactor = 2.5;

}  // namespace

void EventIntervalTable::OnEvent(const state::BackendServerId& id,
                                 microseconds pause, TimePoint now) {
  Entry& entry = m_entries[id];
  if (now - entry.last > kMemory) entry = {};
  entry.last = now;
  ++entry.events;
  const std::chrono::duration<double, std::micro> taken =
      std::min(pause, kLongestPause);
  const double weight = std::max(kNewestWeight, 1.0 / entry.events);
  entry.pace += weight * (taken - entry.pace);
}

std::optional<microseconds> EventIntervalTable::MeanInterval(
    const state::BackendServerId& id, TimePoint now) const {
  const auto found = m_entries.find(id);
  if (found == m_entries.end() || found->second.events < kFewestEvents ||
      now - found->second.last > kMemory) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<microseconds>(found->second.pace);
}

std::optional<microseconds> EventIntervalTable::SlowThreshold(
    const std::vector<state::BackendServerId>& peers, TimePoint now) const {
  std::vector<microseconds> paces;
  paces.reserve(peers.size());
  for (const auto& id : peers) {
    if (const auto pace = MeanInterval(id, now)) paces.push_back(*pace);
  }
  if (paces.size() < kFewestPeers) return std::nullopt;
  const auto middle =
      paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
  std::nth_element(paces.begin(), middle, paces.end());
  return std::chrono::duration_cast<microseconds>(*middle * kSlowFactor);
}

}  // namespace wasabiwall::coordination
