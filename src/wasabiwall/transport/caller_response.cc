#include "wasabiwall/transport/caller_response.h"

#include <algorithm>
#include <utility>

#include "wasabiwall/transport/local_reply.h"

namespace wasabiwall::transport {
namespace {

/// Unsent bytes of a stream from which reading from the backend server pauses.
constexpr std::size_t kMaxQueuedStreamBytes = 256U << 10U;

std::string InMilliseconds(std::chrono::nanoseconds time) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

}  // namespace

CallerResponse::CallerResponse(EventLoop* loop, Metrics* metrics, Output output,
                               coordination::TimePoint received)
    : m_loop(loop),
      m_metrics(metrics),
      m_output(std::move(output)),
      m_received(received) {}

void CallerResponse::WriteHead(const MessageHead& head,
                               std::optional<std::size_t> length,
                               const std::string& workspace) {
  m_first_byte = m_loop->Now();
  m_metrics->ObserveFirstByte(
      workspace, std::chrono::duration_cast<std::chrono::microseconds>(
                     *m_first_byte - m_received));
  m_output.write(EncodeHead(head, length, m_output.closes_connection()));
}

void CallerResponse::Discard() {
  m_output.write = [](const std::string&) {};
}

std::optional<std::chrono::microseconds> CallerResponse::OnEvents(
    const std::string& workspace) {
  const auto now = m_loop->Now();
  const auto before = std::exchange(m_last_events, now);
  if (!before) return std::nullopt;
  const auto gap =
      std::chrono::duration_cast<std::chrono::microseconds>(now - *before);
  m_longest_gap = std::max(m_longest_gap, gap);
  m_metrics->ObservePartGap(workspace, gap);
  return gap;
}

bool CallerResponse::IsBehind() const {
  return m_output.queued_bytes() >= kMaxQueuedStreamBytes;
}

std::vector<LogField> CallerResponse::LogFields() const {
  return {{"first_byte_ms",
           m_first_byte ? InMilliseconds(*m_first_byte - m_received) : "-"},
          {"longest_gap_ms", InMilliseconds(m_longest_gap)}};
}

}  // namespace wasabiwall::transport
