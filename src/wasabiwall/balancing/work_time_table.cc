#include "wasabiwall/balancing/work_time_table.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace wasabiwall::balancing {
namespace {

using coordination::TimePoint;
using Seconds = std::chrono::duration<double>;

/// Largest effect of a report, which may be wrong.
constexpr double kLargestFactor = 4;
/// Time constants of the average. Half a second spans several changes and is
/// short against a wave of demand; a machine that is fast again gets its share
/// back within a call.
constexpr Seconds kSlowerTimeConstant{0.5};
constexpr Seconds kFasterTimeConstant{0.1};
/// Least weight of a report: many may arrive at the same time.
constexpr double kLeastWeight = 0.05;
/// Time in which half of the difference to the usual time is forgotten: as for
/// reported loads.
constexpr Seconds kHalfLife{2.0};

}  // namespace

double WorkTimeTable::Decayed(const Entry& entry, TimePoint now) {
  const Seconds age = now - entry.reported_at;
  return 1 + (entry.factor - 1) * std::exp2(-(age / kHalfLife));
}

void WorkTimeTable::OnReport(const state::ServiceId& service,
                             const state::BackendServerId& id, int percent,
                             TimePoint now) {
  const double reported =
      std::clamp(percent / 100.0, 1 / kLargestFactor, kLargestFactor);
  const auto [found, is_new] =
      m_services[service].try_emplace(id, Entry{reported, now});
  if (is_new) return;
  Entry& entry = found->second;
  const double before = Decayed(entry, now);
  const Seconds time_constant =
      reported < before ? kFasterTimeConstant : kSlowerTimeConstant;
  const Seconds passed = now - entry.reported_at;
  const double weight =
      std::max(kLeastWeight, 1 - std::exp(-(passed / time_constant)));
  entry = {before + weight * (reported - before), now};
}

void WorkTimeTable::Forget(const state::BackendServerId& id) {
  for (auto& [service, servers] : m_services) servers.erase(id);
  std::erase_if(m_services,
                [](const auto& each) { return each.second.empty(); });
}

double WorkTimeTable::Factor(const state::ServiceId& service,
                             const state::BackendServerId& id,
                             TimePoint now) const {
  const auto servers = m_services.find(service);
  if (servers == m_services.end()) return 1;
  const auto entry = servers->second.find(id);
  return entry == servers->second.end() ? 1 : Decayed(entry->second, now);
}

double WorkTimeTable::Largest(TimePoint now) const {
  double largest = 1;
  for (const auto& [service, servers] : m_services) {
    for (const auto& [id, entry] : servers) {
      largest = std::max(largest, Decayed(entry, now));
    }
  }
  return largest;
}

}  // namespace wasabiwall::balancing
