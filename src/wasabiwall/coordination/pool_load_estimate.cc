#include "wasabiwall/coordination/pool_load_estimate.h"

#include <algorithm>

namespace wasabiwall::coordination {

PoolLoadEstimate::PoolLoadEstimate(std::chrono::milliseconds max_age)
    : m_max_age(max_age) {}

void PoolLoadEstimate::Observe(const LoadObservation& observation) {
  const std::lock_guard lock(m_mutex);
  const auto [found, inserted] = m_entries.try_emplace(observation.server);
  Entry& entry = found->second;
  if (!inserted && entry.observation.observed_at > observation.observed_at) {
    return;
  }
  Discount(&entry);
  entry.observation = observation;
  if (entry.tracked) Count(&entry);
}

std::int64_t PoolLoadEstimate::LoadOf(const state::BackendServerId& server,
                                      TimePoint now) const {
  const std::lock_guard lock(m_mutex);
  const auto found = m_entries.find(server);
  if (found == m_entries.end() || !IsFresh(found->second, now)) return 0;
  return found->second.observation.load_units;
}

std::optional<std::int64_t> PoolLoadEstimate::ReportedLoadOf(
    const state::BackendServerId& server, TimePoint now) const {
  const std::lock_guard lock(m_mutex);
  const auto found = m_entries.find(server);
  if (found == m_entries.end() || !IsFresh(found->second, now)) {
    return std::nullopt;
  }
  return found->second.observation.load_units;
}

void PoolLoadEstimate::Track(const std::vector<state::BackendServerId>& servers,
                             TimePoint now) {
  const std::lock_guard lock(m_mutex);
  m_counted.clear();
  m_sum = 0;
  for (auto& [id, entry] : m_entries) entry.tracked = entry.counted = false;
  for (const state::BackendServerId& server : servers) {
    const auto [found, inserted] = m_entries.try_emplace(server);
    Entry& entry = found->second;
    entry.tracked = true;
    if (!inserted && IsFresh(entry, now)) Count(&entry);
  }
  for (auto entry = m_entries.begin(); entry != m_entries.end();) {
    const bool keep = entry->second.tracked || IsFresh(entry->second, now);
    entry = keep ? std::next(entry) : m_entries.erase(entry);
  }
}

std::int64_t PoolLoadEstimate::TrackedSum(TimePoint now) {
  const std::lock_guard lock(m_mutex);
  while (!m_counted.empty() && !IsFresh(*m_counted.begin()->second, now)) {
    Discount(m_counted.begin()->second);
  }
  return m_sum;
}

std::vector<LoadObservation> PoolLoadEstimate::Newest(std::size_t count,
                                                      TimePoint now) const {
  std::vector<LoadObservation> newest;
  {
    const std::lock_guard lock(m_mutex);
    for (const auto& [id, entry] : m_entries) {
      const bool known = !entry.observation.server.value.empty();
      if (known && IsFresh(entry, now)) newest.push_back(entry.observation);
    }
  }
  std::sort(newest.begin(), newest.end(), [](const auto& a, const auto& b) {
    return a.observed_at > b.observed_at;
  });
  if (newest.size() > count) newest.resize(count);
  return newest;
}

bool PoolLoadEstimate::IsFresh(const Entry& entry, TimePoint now) const {
  return now - entry.observation.observed_at <= m_max_age;
}

void PoolLoadEstimate::Count(Entry* entry) {
  entry->counted = true;
  m_sum += entry->observation.load_units;
  m_counted.insert({entry->observation.observed_at, entry});
}

void PoolLoadEstimate::Discount(Entry* entry) {
  if (!entry->counted) return;
  entry->counted = false;
  m_sum -= entry->observation.load_units;
  m_counted.erase({entry->observation.observed_at, entry});
}

}  // namespace wasabiwall::coordination
