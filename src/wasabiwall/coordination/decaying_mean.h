#pragma once

#include <chrono>

#include "wasabiwall/coordination/clock.h"

namespace wasabiwall::coordination {

/// Mean of a quantity over time that forgets older values exponentially. Not
/// safe for concurrent use.
class DecayingMean {
 public:
  /// @param time_constant Time in which the weight of older values falls to
  /// 1/e.
  explicit DecayingMean(std::chrono::milliseconds time_constant)
      : m_time_constant(time_constant) {}

  /// Adds the value that holds now.
  void Add(double value, TimePoint now);

  /// @return The mean; 0 before the first value.
  double Value() const { return m_value; }

 private:
  std::chrono::milliseconds m_time_constant;
  TimePoint m_updated_at;
  double m_value = 0;
};

}  // namespace wasabiwall::coordination
