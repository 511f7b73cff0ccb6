#include "wasabiwall/coordination/pool_load_estimate.h"

#include <algorithm>

namespace wasabiwall::coordination {

PoolLoadEstimate::PoolLoadEstimate(std::chrono::milliseconds max_age)
    : m_max_age(max_age) {}

void PoolLoadEstimate::Observe(const LoadObservation& observation) {
  const std::lock_guard lock(m_mutex);
  const auto [entry, inserted] =
      m_observations.try_emplace(observation.server, observation);
  if (inserted || entry->second.observed_at > observation.observed_at) return;
  entry->second = observation;
}

std::int64_t PoolLoadEstimate::LoadOf(const state::BackendServerId& server,
                                      TimePoint now) const {
  const std::lock_guard lock(m_mutex);
  const auto found = m_observations.find(server);
  if (found == m_observations.end()) return 0;
  if (now - found->second.observed_at > m_max_age) return 0;
  return found->second.load_units;
}

std::optional<std::int64_t> PoolLoadEstimate::HeardLoadOf(
    const state::BackendServerId& server, TimePoint now) const {
  const std::lock_guard lock(m_mutex);
  const auto found = m_observations.find(server);
  if (found == m_observations.end()) return std::nullopt;
  if (now - found->second.observed_at > m_max_age) return std::nullopt;
  return found->second.load_units;
}

double PoolLoadEstimate::MeanWith(
    const std::vector<state::BackendServerId>& others, std::int64_t own_load,
    TimePoint now) const {
  std::int64_t sum = own_load;
  for (const state::BackendServerId& other : others) sum += LoadOf(other, now);
  return static_cast<double>(sum) / static_cast<double>(others.size() + 1);
}

std::vector<LoadObservation> PoolLoadEstimate::Newest(std::size_t count,
                                                      TimePoint now) const {
  std::vector<LoadObservation> newest;
  {
    const std::lock_guard lock(m_mutex);
    for (const auto& [id, observation] : m_observations) {
      if (now - observation.observed_at <= m_max_age)
        newest.push_back(observation);
    }
  }
  std::sort(newest.begin(), newest.end(), [](const auto& a, const auto& b) {
    return a.observed_at > b.observed_at;
  });
  if (newest.size() > count) newest.resize(count);
  return newest;
}

}  // namespace wasabiwall::coordination
