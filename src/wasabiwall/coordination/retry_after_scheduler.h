#pragma once

#include <chrono>
#include <mutex>

#include "wasabiwall/coordination/clock.h"

namespace wasabiwall::coordination {

/// Gives refused callers times to come back that follow one another at the
/// rate at which calls are answered, so that a refused batch does not return
/// as one. Safe for concurrent use.
class RetryAfterScheduler {
 public:
  explicit RetryAfterScheduler(RandomHook random);

  /// Records a whole answer.
  void OnAnswered(TimePoint now);

  /// @param base Shortest time to come back; zero gives zero.
  /// @return Time to come back: the next free place, with jitter of up to
  /// `base`.
  std::chrono::milliseconds Next(std::chrono::milliseconds base, TimePoint now);

 private:
  std::chrono::microseconds PlaceInterval() const;
  void Roll(TimePoint now);

  RandomHook m_random;
  std::mutex m_mutex;
  TimePoint m_window_start;
  double m_window_answers = 0;
  double m_answers_per_second = 0;
  TimePoint m_next_place;
};

}  // namespace wasabiwall::coordination
