#include "wasabiwall/coordination/retry_budget.h"

#include <algorithm>

namespace wasabiwall::coordination {

RetryBudget::RetryBudget(double share, double burst)
    : m_share(share), m_burst(burst), m_tokens(burst) {}

void RetryBudget::OnFirstAttempt() {
  const std::lock_guard lock(m_mutex);
  m_tokens = std::min(m_burst, m_tokens + m_share);
}

bool RetryBudget::Take() {
  const std::lock_guard lock(m_mutex);
  if (m_tokens < 1.0) return false;
  m_tokens -= 1.0;
  return true;
}

}  // namespace wasabiwall::coordination
