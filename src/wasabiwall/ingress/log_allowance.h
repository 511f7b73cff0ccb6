#pragma once

#include <chrono>
#include <cstdint>
#include <utility>

#include "wasabiwall/coordination/clock.h"

namespace wasabiwall::ingress {

/// Bounds the log lines about single clients, which a crowd could multiply.
class LogAllowance {
 public:
  /// @return Whether a line may be written now; it is counted if not.
  bool Take(coordination::TimePoint now) {
    if (now - m_begin >= kPeriod) {
      m_begin = now;
      m_lines = 0;
    }
    if (m_lines >= kLinesPerPeriod) {
      ++m_omitted;
      return false;
    }
    ++m_lines;
    return true;
  }

  /// @return Lines left out since the last call.
  std::int64_t TakeOmitted() { return std::exchange(m_omitted, 0); }

 private:
  /// Enough to see where a crowd comes from.
  static constexpr int kLinesPerPeriod = 5;
  static constexpr std::chrono::seconds kPeriod{1};

  coordination::TimePoint m_begin;
  int m_lines = 0;
  std::int64_t m_omitted = 0;
};

}  // namespace wasabiwall::ingress
