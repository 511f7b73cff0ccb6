#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/coordination/retry_after_scheduler.h"

namespace wasabiwall::coordination {

/// Allows retries as a share of first attempts, so that a failing pool is not
/// sent more than a bounded multiple of its traffic. Safe for concurrent use.
class RetryBudget {
 public:
  /// @param share Retries allowed for each first attempt, such as 0.1.
  /// @param burst Retries that may be saved up.
  RetryBudget(double share, double burst);

  /// Records a first attempt.
  void OnFirstAttempt();

  /// Records a whole answer.
  /// @param earned Further submits that it pays for.
  void OnAnswered(double earned);

  /// Changes how many retries may be saved up; those beyond it are dropped.
  void SetBurst(double burst);

  /// Takes one retry.
  /// @return False when the budget is used up.
  bool Take();

 private:
  double m_share;
  double m_burst;
  std::mutex m_mutex;
  double m_tokens;
};

/// Budgets of one pool. While nothing is answered, all submits beyond the
/// first of each call stay within a share of the calls; answers pay for the
/// search of a free backend server. Safe for concurrent use.
class PoolRetryBudget {
 public:
  PoolRetryBudget();

  /// Records a first attempt.
  void OnFirstAttempt();

  /// Records a whole answer.
  void OnAnswered();

  /// Asks for one more submit after a refusal.
  bool TakeResubmit();

  /// Asks to retry after a failure that cost a backend server work; the submit
  /// itself is asked for by TakeResubmit.
  bool TakeRetry();

 private:
  RetryBudget m_submits;
  RetryBudget m_retries;
};

/// What an entry keeps of one pool to bound its repeats.
struct PoolRetryState {
  explicit PoolRetryState(const RandomHook& random);

  PoolRetryBudget budget;
  RetryAfterScheduler return_times;
};

/// Retries by pool, so that a pool that is down uses up no other's budget.
/// Safe for concurrent use.
class RetriesByPool {
 public:
  explicit RetriesByPool(RandomHook random);

  /// @return The pool's own; lives as long as this object.
  PoolRetryState& Of(const std::string& pool);

 private:
  RandomHook m_random;
  std::mutex m_mutex;
  std::unordered_map<std::string, std::unique_ptr<PoolRetryState>> m_pools;
};

}  // namespace wasabiwall::coordination
