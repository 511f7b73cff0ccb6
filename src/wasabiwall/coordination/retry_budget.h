#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/coordination/retry_after_scheduler.h"

namespace wasabiwall::coordination {

/// Limits of a RetryBudget.
struct RetryLimits {
  /// Retries allowed per first attempt, such as 0.1.
  double share = 0;
  /// Largest number of retries that can be saved up.
  double burst = 0;
  /// Retries saved up at the start.
  double at_start = 0;
};

/// Divides limits that hold for all processes together.
/// @param used_share Part of the limits that is used in steady state. The rest
/// is for processes that start: those before them may have used up their part
/// just now.
RetryLimits RetryLimitsOfProcess(double share, double burst, double used_share,
                                 int processes);

/// Token bucket that limits retries to a share of the first attempts, so that a
/// failing pool receives at most a bounded multiple of its traffic. Safe for
/// concurrent use.
class RetryBudget {
 public:
  /// @param share Retries allowed per first attempt, such as 0.1.
  /// @param burst Largest number of retries that can be saved up; all are at
  /// the start.
  RetryBudget(double share, double burst);

  /// @param random Decides on retries while the burst is less than one. May be
  /// null; then there are none.
  explicit RetryBudget(const RetryLimits& limits, RandomHook random = nullptr);

  /// Records a first attempt.
  void OnFirstAttempt();

  /// Records a complete answer.
  /// @param earned Further submits that it allows.
  void OnAnswered(double earned);

  /// Changes the limits; saved retries beyond the burst are dropped.
  void SetLimits(const RetryLimits& limits);

  /// Takes one retry from the budget. If so many processes share the limits
  /// that none of them can save up a whole retry, what it has saved is spent as
  /// the probability of one, so that all together use their limits.
  /// @return False if the budget is exhausted.
  bool Take();

 private:
  double m_share;
  double m_burst;
  RandomHook m_random;
  std::mutex m_mutex;
  double m_tokens;
};

/// Retry budgets of one pool. While nothing is answered, all submits beyond the
/// first of each call stay within a share of the calls. Each answer allows
/// further submits, to find a free backend server. Safe for concurrent use.
class PoolRetryBudget {
 public:
  PoolRetryBudget();

  /// Records a first attempt.
  void OnFirstAttempt();

  /// Records a whole answer.
  void OnAnswered();

  /// Takes one more submit after a refusal.
  /// @return False if the budget is exhausted.
  bool TakeResubmit();

  /// Takes a retry after a failure that cost a backend server work. The submit
  /// itself is taken with TakeResubmit.
  /// @return False if the budget is exhausted.
  bool TakeRetry();

 private:
  RetryBudget m_submits;
  RetryBudget m_retries;
};

/// Retry budget and Retry-After times of one pool at an entry.
struct PoolRetryState {
  explicit PoolRetryState(const RandomHook& random);

  PoolRetryBudget budget;
  RetryAfterScheduler retry_after_scheduler;
};

/// Retry state by pool, so that an unavailable pool does not use up the budget
/// of another. Safe for concurrent use.
class RetriesByPool {
 public:
  explicit RetriesByPool(RandomHook random);

  /// @return The state of the pool; lives as long as this object.
  PoolRetryState& Of(const std::string& pool);

 private:
  RandomHook m_random;
  std::mutex m_mutex;
  std::unordered_map<std::string, std::unique_ptr<PoolRetryState>> m_pools;
};

}  // namespace wasabiwall::coordination
