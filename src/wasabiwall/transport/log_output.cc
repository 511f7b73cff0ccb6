#include "wasabiwall/transport/log_output.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace wasabiwall::transport {
namespace {

/// Rate limit in lines per second, and burst. A busy gateway handles a few
/// hundred calls per second at about two lines each.
constexpr double kLinesPerSecond = 2000;
constexpr double kLineBurst = 4000;
/// Buffered bytes from which lines are written without waiting for Flush.
constexpr std::size_t kFlushThresholdBytes = 16U << 10U;
/// Bytes that a writable pipe accepts at once.
constexpr std::size_t kPipeBytes = 4096;

}  // namespace

LogOutput::LogOutput(int descriptor, coordination::ClockHook clock)
    : m_descriptor(descriptor),
      m_clock(std::move(clock)),
      m_tokens(kLineBurst),
      m_last_refill(m_clock()) {}

void LogOutput::Write(const std::string& line) {
  const std::lock_guard lock(m_mutex);
  if (!TakeToken()) {
    ++m_dropped;
    return;
  }
  m_buffer += line;
  if (!m_buffered || m_buffer.size() >= kFlushThresholdBytes) FlushLocked();
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

bool LogOutput::TakeToken() {
  const auto now = m_clock();
  const std::chrono::duration<double> elapsed = now - m_last_refill;
  m_last_refill = now;
  m_tokens = std::min(kLineBurst, m_tokens + elapsed.count() * kLinesPerSecond);
  if (m_tokens < 1) return false;
  m_tokens -= 1;
  return true;
}

void LogOutput::FlushLocked() {
  std::size_t written = 0;
  while (written < m_buffer.size()) {
    pollfd state{m_descriptor, POLLOUT, 0};
    if (poll(&state, 1, 0) != 1 || (state.revents & POLLOUT) == 0) break;
    const std::size_t size = std::min(kPipeBytes, m_buffer.size() - written);
    const ssize_t bytes_written =
        write(m_descriptor, m_buffer.data() + written, size);
    if (bytes_written <= 0) break;
    written += static_cast<std::size_t>(bytes_written);
  }
  if (written < m_buffer.size()) {
    // Drops whole lines only: the rest of a partly written line is kept.
    const auto line_end = written == 0 ? 0 : m_buffer.find('\n', written);
    const std::string rest =
        written == 0 || m_buffer[written - 1] == '\n'
            ? ""
            : m_buffer.substr(written, line_end - written + 1);
    m_dropped += std::count(
        m_buffer.begin() + static_cast<std::ptrdiff_t>(written + rest.size()),
        m_buffer.end(), '\n');
    m_buffer = rest;
  } else {
    m_buffer.clear();
  }
}

}  // namespace wasabiwall::transport
