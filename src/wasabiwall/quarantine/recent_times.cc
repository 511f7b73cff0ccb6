#include "wasabiwall/quarantine/recent_times.h"

#include <algorithm>
#include <utility>

namespace wasabiwall::quarantine {

void RecentTimes::Set(std::uint64_t key, coordination::TimePoint time) {
  if (const auto known = Find(key)) time = std::max(time, *known);
  if (m_latest.size() >= m_min_keys) m_before = std::exchange(m_latest, {});
  m_latest[key] = time;
}

std::optional<coordination::TimePoint> RecentTimes::Find(
    std::uint64_t key) const {
  const auto found = m_latest.find(key);
  if (found != m_latest.end()) return found->second;
  const auto before = m_before.find(key);
  if (before != m_before.end()) return before->second;
  return std::nullopt;
}

}  // namespace wasabiwall::quarantine
