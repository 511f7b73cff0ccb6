#include "wasabiwall/coordination/process_count_history.h"

#include <algorithm>

namespace wasabiwall::coordination {

void ProcessCountHistory::Set(int count, TimePoint now) {
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

int ProcessCountHistory::Highest(TimePoint now) const {
  const auto in_effect = std::ranges::find_if(
      m_dropped,
      [now](const Dropped& dropped) { return now < dropped.in_effect_until; });
  return in_effect == m_dropped.end()
             ? m_registered
             : std::max(m_registered, in_effect->count);
}

}  // namespace wasabiwall::coordination
