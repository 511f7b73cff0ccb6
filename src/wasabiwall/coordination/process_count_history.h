#pragma once

#include <chrono>
#include <deque>
#include <optional>

#include "wasabiwall/coordination/clock.h"

namespace wasabiwall::coordination {

/// Tells by how many processes shared limits are divided: the highest number
/// that was registered within a recent period, since a process that is no
/// longer registered may still be serving; at first no fewer than assumed,
/// since those that have started at the same moment may not be registered yet.
class ProcessCountHistory {
 public:
  /// What is assumed of a fleet that has just appeared.
  struct Beginning {
    /// Number in effect before the first one is registered.
    int assumed = 0;
    /// Time after the first number in which no fewer are in effect.
    std::chrono::milliseconds settle_time{0};
  };

  /// @param retention How long a number stays in effect after it has dropped.
  explicit ProcessCountHistory(std::chrono::milliseconds retention)
      : ProcessCountHistory(retention, Beginning()) {}
  ProcessCountHistory(std::chrono::milliseconds retention, Beginning beginning)
      : m_retention(retention), m_beginning(beginning) {}

  /// Sets the number of processes that are registered from now on.
  void Set(int count, TimePoint now);

  /// @return Number of processes that are registered.
  int Registered() const { return m_registered; }

  /// @return Number that limits are divided by; at least 1 if one is assumed.
  int InEffect(TimePoint now) const;

 private:
  /// A number that has dropped.
  struct Dropped {
    int count;
    TimePoint in_effect_until;
  };

  /// @return Highest number that was registered within the retention time.
  int Highest(TimePoint now) const;

  std::chrono::milliseconds m_retention;
  Beginning m_beginning;
  /// When the first number was set.
  std::optional<TimePoint> m_first_set_at;
  int m_registered = 0;
  /// In the order of the drops, and by falling count.
  std::deque<Dropped> m_dropped;
};

}  // namespace wasabiwall::coordination
