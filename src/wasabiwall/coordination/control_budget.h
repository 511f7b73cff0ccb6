#pragma once

#include <cstdint>
#include <mutex>

#include "wasabiwall/coordination/clock.h"

namespace wasabiwall::coordination {

/// Token bucket over the bytes that a process sends for control: load news
/// and probes. Holds one second's worth. Safe for concurrent use.
class ControlBudget {
 public:
  ControlBudget(std::int64_t bytes_per_second, ClockHook clock);

  /// Takes bytes when the bucket holds them.
  /// @return False when they must not be sent.
  bool Take(std::int64_t bytes);

  /// Takes bytes when at least half of the bucket stays, so that probes leave
  /// room for load news.
  /// @return False when they must not be sent.
  bool TakeSpare(std::int64_t bytes);

  /// Takes bytes that are sent in any case; the bucket may go into debt.
  void Charge(std::int64_t bytes);

  /// @return All bytes taken since the start.
  std::int64_t SentBytes() const;

 private:
  bool TakeAbove(double floor, std::int64_t bytes);
  void Refill();

  double m_bytes_per_second;
  ClockHook m_clock;
  mutable std::mutex m_mutex;
  double m_tokens;
  TimePoint m_filled_at;
  std::int64_t m_sent_bytes = 0;
};

}  // namespace wasabiwall::coordination
