#include "wasabiwall/transport/log_output.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace wasabiwall::transport {
namespace {

/// Lines a second, and lines that may come at once. A busy gateway handles a
/// few hundred calls a second at about two lines each.
constexpr double kLinesPerSecond = 2000;
constexpr double kLineBurst = 4000;
/// Held bytes that are written without waiting for a flush.
constexpr std::size_t kHeldBytes = 16U << 10U;
/// Bytes that a pipe reported as writable takes at once.
constexpr std::size_t kPipeBytes = 4096;

}  // namespace

LogOutput::LogOutput(int descriptor, coordination::ClockHook clock)
    : m_descriptor(descriptor),
      m_clock(std::move(clock)),
      m_tokens(kLineBurst),
      m_refilled(m_clock()) {}

void LogOutput::Write(const std::string& line) {
  const std::lock_guard lock(m_mutex);
  if (!TakeRate()) {
    ++m_dropped;
    return;
  }
  m_held += line;
  if (!m_buffered || m_held.size() >= kHeldBytes) FlushLocked();
}

void LogOutput::SetBuffered(bool buffered) {
  const std::lock_guard lock(m_mutex);
  m_buffered = buffered;
}

void LogOutput::Flush() {
  const std::lock_guard lock(m_mutex);
  FlushLocked();
}

std::int64_t LogOutput::Dropped() const {
  const std::lock_guard lock(m_mutex);
  return m_dropped;
}

bool LogOutput::TakeRate() {
  const auto now = m_clock();
  const std::chrono::duration<double> passed = now - m_refilled;
  m_refilled = now;
  m_tokens = std::min(kLineBurst, m_tokens + passed.count() * kLinesPerSecond);
  if (m_tokens < 1) return false;
  m_tokens -= 1;
  return true;
}

void LogOutput::FlushLocked() {
  std::size_t written = 0;
  while (written < m_held.size()) {
    pollfd state{m_descriptor, POLLOUT, 0};
    if (poll(&state, 1, 0) != 1 || (state.revents & POLLOUT) == 0) break;
    const std::size_t size = std::min(kPipeBytes, m_held.size() - written);
    const ssize_t taken = write(m_descriptor, m_held.data() + written, size);
    if (taken <= 0) break;
    written += static_cast<std::size_t>(taken);
  }
  if (written < m_held.size()) {
    // Whole lines only: the rest of a line that was begun is kept.
    const auto line_end = written == 0 ? 0 : m_held.find('\n', written);
    const std::string rest =
        written == 0 || m_held[written - 1] == '\n'
            ? ""
            : m_held.substr(written, line_end - written + 1);
    m_dropped += std::count(
        m_held.begin() + static_cast<std::ptrdiff_t>(written + rest.size()),
        m_held.end(), '\n');
    m_held = rest;
  } else {
    m_held.clear();
  }
}

}  // namespace wasabiwall::transport
