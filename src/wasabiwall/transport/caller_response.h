#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/transport/event_loop.h"
#include "wasabiwall/transport/http1_message.h"
#include "wasabiwall/transport/logging.h"
#include "wasabiwall/transport/metrics.h"

namespace wasabiwall::transport {

/// Writes the response of one call to its caller, and measures the time to its
/// first byte and between its events.
class CallerResponse {
 public:
  struct Output {
    /// Writes bytes of the response to the caller.
    std::function<void(std::string)> write;
    /// @return Bytes written that the caller's socket has not accepted yet.
    std::function<std::size_t()> queued_bytes;
    /// @return Whether the connection closes after the response.
    std::function<bool()> closes_connection;
  };

  /// @param received When the request had been received in full.
  CallerResponse(EventLoop* loop, Metrics* metrics, Output output,
                 coordination::TimePoint received);

  /// Writes the head.
  /// @param length Size of the body, if it is known; otherwise it is written in
  /// chunks.
  /// @param workspace Label of the metrics.
  void WriteHead(const MessageHead& head, std::optional<std::size_t> length,
                 const std::string& workspace);

  /// Writes bytes of the body as they are.
  void Write(std::string bytes) { m_output.write(std::move(bytes)); }

  /// Writes no more, since the caller has left.
  void Discard();

  /// Records that events of a stream have arrived.
  /// @param workspace Label of the metrics.
  /// @return Time since the events before, of whichever attempt; nothing for
  /// the first ones.
  std::optional<std::chrono::microseconds> OnEvents(
      const std::string& workspace);

  /// @return Whether the head has been written.
  bool HasBegun() const { return m_first_byte.has_value(); }

  /// @return Whether the caller takes the response so slowly that no more
  /// should be read from the backend server for now.
  bool IsBehind() const;

  /// @return Time to the first byte and longest time between events.
  std::vector<LogField> LogFields() const;

 private:
  EventLoop* m_loop;
  Metrics* m_metrics;
  Output m_output;
  coordination::TimePoint m_received;
  std::optional<coordination::TimePoint> m_first_byte;
  std::optional<coordination::TimePoint> m_last_events;
  std::chrono::microseconds m_longest_gap{0};
};

}  // namespace wasabiwall::transport
