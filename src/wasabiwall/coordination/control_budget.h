#pragma once

#include <cstdint>
#include <mutex>

#include "wasabiwall/coordination/clock.h"

namespace wasabiwall::coordination {

/// Token bucket over the control bytes that a process sends: load reports and
/// probes. Its capacity is one second's worth. Safe for concurrent use.
class ControlBudget {
 public:
  ControlBudget(std::int64_t bytes_per_second, ClockHook clock);

  /// Takes bytes if the bucket holds them.
  /// @return Whether the bytes may be sent.
  bool Take(std::int64_t bytes);

  /// Takes bytes if at least half of the bucket remains, so that probes leave
  /// room for load reports.
  /// @return Whether the bytes may be sent.
  bool TakeSpare(std::int64_t bytes);

  /// Takes bytes that are sent in any case; the bucket may become negative.
  void Charge(std::int64_t bytes);

  /// @return Total bytes taken.
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
