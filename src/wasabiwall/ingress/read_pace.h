#pragma once

#include <chrono>
#include <cstddef>

#include "wasabiwall/coordination/clock.h"

namespace wasabiwall::ingress {

/// Slowest pace at which a client may take a response.
struct ReadPaceLimits {
  /// 1 kB/s: a response of the usual size takes seconds even so.
  std::size_t min_bytes_per_s = 1024;
  /// As long as the usual idle timeout, since a client may pause for that long.
  std::chrono::milliseconds grace{15000};
};

/// Tells whether a client takes its response too slowly, one grace period after
/// the other.
class ReadPace {
 public:
  /// Begins anew: nothing is left for the client to take.
  void Reset() { m_measuring = false; }

  /// @param taken Bytes that the client has taken since the last call.
  /// @return Whether it has taken too few in a full grace period.
  bool IsTooSlow(std::size_t taken, const ReadPaceLimits& limits,
                 coordination::TimePoint now);

 private:
  bool m_measuring = false;
  std::size_t m_taken = 0;
  coordination::TimePoint m_begin;
};

}  // namespace wasabiwall::ingress
