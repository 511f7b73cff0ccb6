#include "wasabiwall/coordination/retry_budget.h"

#include <algorithm>
#include <utility>

#include "wasabiwall/state/digest.h"

namespace wasabiwall::coordination {
namespace {

constexpr double kRetryShare = 0.1;
constexpr double kRetryBurst = 10.0;
constexpr double kSubmitBurst = 30.0;
constexpr double kSubmitsPerAnswer = 2.0;

}  // namespace

RetryLimits RetryLimitsOfProcess(double share, double burst, double used_share,
                                 int processes) {
  return {.share = share * used_share,
          .burst = burst * used_share / processes,
          .at_start = burst * (1.0 - used_share) / processes};
}

RetryBudget::RetryBudget(double share, double burst)
    : RetryBudget({.share = share, .burst = burst, .at_start = burst}) {}

RetryBudget::RetryBudget(const RetryLimits& limits, RandomHook random)
    : m_share(limits.share),
      m_burst(limits.burst),
      m_random(std::move(random)),
      m_tokens(std::min(limits.burst, limits.at_start)) {}

void RetryBudget::OnFirstAttempt() {
  const std::lock_guard lock(m_mutex);
  m_tokens = std::min(m_burst, m_tokens + m_share);
}

void RetryBudget::OnAnswered(double earned) {
  const std::lock_guard lock(m_mutex);
  m_tokens = std::min(m_burst, m_tokens + earned);
}

void RetryBudget::SetLimits(const RetryLimits& limits) {
  const std::lock_guard lock(m_mutex);
  m_share = limits.share;
  m_burst = limits.burst;
  m_tokens = std::min(m_tokens, limits.burst);
}

bool RetryBudget::Take() {
  const std::lock_guard lock(m_mutex);
  if (m_tokens >= 1.0) {
    m_tokens -= 1.0;
    return true;
  }
  if (m_burst >= 1.0 || !m_random) return false;
  const double probability = std::exchange(m_tokens, 0.0);
  return state::ToUnitInterval(m_random()) < probability;
}

PoolRetryBudget::PoolRetryBudget()
    : m_submits(kRetryShare, kSubmitBurst),
      m_retries(kRetryShare, kRetryBurst) {}

void PoolRetryBudget::OnFirstAttempt() {
  m_submits.OnFirstAttempt();
  m_retries.OnFirstAttempt();
}

void PoolRetryBudget::OnAnswered() { m_submits.OnAnswered(kSubmitsPerAnswer); }

bool PoolRetryBudget::TakeResubmit() { return m_submits.Take(); }

bool PoolRetryBudget::TakeRetry() { return m_retries.Take(); }

PoolRetryState::PoolRetryState(const RandomHook& random)
    : retry_after_scheduler(random) {}

RetriesByPool::RetriesByPool(RandomHook random) : m_random(std::move(random)) {}

PoolRetryState& RetriesByPool::Of(const std::string& pool) {
  const std::lock_guard lock(m_mutex);
  auto& retries = m_pools[pool];
  if (!retries) retries = std::make_unique<PoolRetryState>(m_random);
  return *retries;
}

}  // namespace wasabiwall::coordination
