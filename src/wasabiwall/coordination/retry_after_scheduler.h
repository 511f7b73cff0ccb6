#pragma once

#include <chrono>
#include <mutex>

#include "wasabiwall/coordination/clock.h"

namespace wasabiwall::coordination {

/// Schedules the return of refused callers at the rate at which calls are
/// answered, so that a batch of refused calls does not return all at once. Safe
/// for concurrent use.
class RetryAfterScheduler {
 public:
  explicit RetryAfterScheduler(RandomHook random);

  /// Records a complete answer.
  void OnAnswered(TimePoint now);

  /// @param base Shortest Retry-After time; zero gives zero.
  /// @return Retry-After time: the next free slot, with jitter of up to `base`.
  std::chrono::milliseconds Next(std::chrono::milliseconds base, TimePoint now);

 private:
  std::chrono::microseconds SlotInterval() const;
  void UpdateRate(TimePoint now);

  RandomHook m_random;
  std::mutex m_mutex;
  TimePoint m_window_start;
  double m_window_answers = 0;
  double m_answers_per_second = 0;
  TimePoint m_next_slot;
};

}  // namespace wasabiwall::coordination
