#include "wasabiwall/ingress/read_pace.h"

namespace wasabiwall::ingress {

bool ReadPace::IsTooSlow(std::size_t taken, const ReadPaceLimits& limits,
                         coordination::TimePoint now) {
  if (!m_measuring) {
    m_measuring = true;
    m_taken = 0;
    m_begin = now;
    return false;
  }
  m_taken += taken;
  const auto time = now - m_begin;
  if (time < limits.grace) return false;
  const double seconds = std::chrono::duration<double>(time).count();
  const bool too_slow = static_cast<double>(m_taken) <
                        seconds * static_cast<double>(limits.min_bytes_per_s);
  m_taken = 0;
  m_begin = now;
  return too_slow;
}

}  // namespace wasabiwall::ingress
