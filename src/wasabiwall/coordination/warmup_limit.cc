#include "wasabiwall/coordination/warmup_limit.h"

#include <algorithm>

namespace wasabiwall::coordination {

WarmupLimit::WarmupLimit(std::int64_t start_units, std::int64_t ceiling_units)
    : m_start_units(std::min(start_units, ceiling_units)),
      m_ceiling_units(ceiling_units),
      m_units(m_start_units) {}

void WarmupLimit::OnCompletion(std::int64_t cost_units) {
  m_units = std::min(m_ceiling_units, m_units + cost_units);
}

void WarmupLimit::OnCold() { m_units = m_start_units; }

void WarmupLimit::SetBounds(std::int64_t start_units,
                            std::int64_t ceiling_units) {
  m_ceiling_units = ceiling_units;
  m_start_units = std::min(start_units, ceiling_units);
  m_units = std::clamp(m_units, m_start_units, m_ceiling_units);
}

}  // namespace wasabiwall::coordination
