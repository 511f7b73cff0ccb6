#include "wasabiwall/coordination/process_count_history.h"

#include <algorithm>

namespace wasabiwall::coordination {

void ProcessCountHistory::Set(int count, TimePoint now) {
  if (!m_first_set_at && count > 0) m_first_set_at = now;
  while (!m_dropped.empty() && (m_dropped.front().in_effect_until <= now)) {
    m_dropped.pop_front();
  }
  while (!m_dropped.empty() && m_dropped.back().count <= m_registered) {
    m_dropped.pop_back();
  }
  if (count < m_registered) {
    // Counted from the drop, however long the number had been registered.
    m_dropped.push_back({m_registered, now + m_retention});
  }
  m_registered = count;
}

int ProcessCountHistory::InEffect(TimePoint now) const {
  const int highest = Highest(now);
  const bool is_settled = m_first_set_at &&
                          now >= *m_first_set_at + m_beginning.settle_time &&
                          highest > 0;
  return is_settled ? highest : std::max(highest, m_beginning.assumed);
}

int ProcessCountHistory::Highest(TimePoint now) const {
  const auto in_effect = std::ranges::find_if(
      m_dropped,
      [now](const Dropped& dropped) { return now < dropped.in_effect_until; });
  return in_effect == m_dropped.end()
             ? m_registered
             : std::max(m_registered, in_effect->count);
}

}  // namespace wasabiwall::coordination
