#pragma once

#include <chrono>

#include "wasabiwall/coordination/clock.h"

namespace wasabiwall::coordination {

/// Exponential backoff with jitter between the tries of one operation, so that
/// processes that fail together do not try again together.
class RetryBackoff {
 public:
  /// @param first Longest delay before the first retry; doubles with each
  /// further one.
  /// @param longest Upper bound of all delays.
  RetryBackoff(std::chrono::milliseconds first,
               std::chrono::milliseconds longest, RandomHook random);

  /// @return Delay before the next retry: between half and all of the step that
  /// the number of failures gives.
  std::chrono::milliseconds Next();

  /// Records a success.
  void Reset() { m_failures = 0; }

  /// @return Failures since the last success.
  int Failures() const { return m_failures; }

 private:
  std::chrono::milliseconds m_first;
  std::chrono::milliseconds m_longest;
  RandomHook m_random;
  int m_failures = 0;
};

}  // namespace wasabiwall::coordination
