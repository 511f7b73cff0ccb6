#pragma once

#include <chrono>
#include <deque>

#include "wasabiwall/coordination/clock.h"

namespace wasabiwall::coordination {

/// Tells by how many processes shared limits are divided: the highest number
/// that was registered within a recent period, since a process that is no
/// longer registered may still be serving.
class ProcessCountHistory {
 public:
  /// @param retention How long a number stays in effect after it has dropped.
  explicit ProcessCountHistory(std::chrono::milliseconds retention)
      : m_retention(retention) {}

  /// Sets the number of processes that are registered from now on.
  void Set(int count, TimePoint now);

  /// @return Number of processes that are registered.
  int Registered() const { return m_registered; }

  /// @return Highest number that was registered within the retention time.
  int Highest(TimePoint now) const;

 private:
  /// A number that has dropped.
  struct Dropped {
    int count;
    TimePoint in_effect_until;
  };

  std::chrono::milliseconds m_retention;
  int m_registered = 0;
  /// In the order of the drops, and by falling count.
  std::deque<Dropped> m_dropped;
};

}  // namespace wasabiwall::coordination
