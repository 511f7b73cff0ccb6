#pragma once

#include <mutex>

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

  /// Takes one retry.
  /// @return False when the budget is used up.
  bool Take();

 private:
  double m_share;
  double m_burst;
  std::mutex m_mutex;
  double m_tokens;
};

}  // namespace wasabiwall::coordination
