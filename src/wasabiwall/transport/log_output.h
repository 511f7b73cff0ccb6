#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>

#include "wasabiwall/coordination/clock.h"

namespace wasabiwall::transport {

/// Writes log lines to a file descriptor without ever waiting for its reader.
/// Safe for concurrent use.
class LogOutput {
 public:
  /// @param descriptor File descriptor to write to; not closed.
  LogOutput(int descriptor, coordination::ClockHook clock);

  /// Writes a line, holds it back, or drops it when lines come too fast or are
  /// not taken.
  void Write(const std::string& line);

  /// Holds lines back until Flush.
  void SetBuffered(bool buffered);

  /// Writes what is held back.
  void Flush();

  /// @return Lines dropped so far.
  std::int64_t Dropped() const;

 private:
  bool TakeRate();
  void FlushLocked();

  int m_descriptor;
  coordination::ClockHook m_clock;
  mutable std::mutex m_mutex;
  std::string m_held;
  std::int64_t m_dropped = 0;
  bool m_buffered = false;
  double m_tokens;
  coordination::TimePoint m_refilled;
};

}  // namespace wasabiwall::transport
