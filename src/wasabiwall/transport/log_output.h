#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>

#include "wasabiwall/coordination/clock.h"

namespace wasabiwall::transport {

/// Writes log lines to a file descriptor without blocking on its reader. Safe
/// for concurrent use.
class LogOutput {
 public:
  /// @param descriptor File descriptor to write to; not closed.
  LogOutput(int descriptor, coordination::ClockHook clock);

  /// Writes or buffers a line; drops it beyond the rate limit, or when the
  /// reader does not keep up.
  void Write(const std::string& line);

  /// Sets whether lines are buffered until Flush or until enough have gathered.
  void SetBuffered(bool buffered);

  /// Writes the buffered lines.
  void Flush();

  /// @return Lines dropped so far.
  std::int64_t Dropped() const;

 private:
  bool TakeToken();
  void FlushLocked();

  int m_descriptor;
  coordination::ClockHook m_clock;
  mutable std::mutex m_mutex;
  std::string m_buffer;
  std::int64_t m_dropped = 0;
  bool m_buffered = false;
  double m_tokens;
  coordination::TimePoint m_last_refill;
};

}  // namespace wasabiwall::transport
