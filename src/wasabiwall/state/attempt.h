#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>

namespace wasabiwall::state {

/// Final status of an attempt and of its response.
struct AttemptEnd {
  /// Name of the error kind; empty after a complete response.
  std::string error_kind;
  std::string detail;
  int http_status = 200;
  std::string content_type;
  std::int64_t total_bytes = 0;
  /// Lower-case hex SHA-256 of the body.
  std::string digest;
};

/// A chunk of an attempt's response body.
struct AttemptChunk {
  std::string data;
  /// Whether the attempt has ended and `data` reaches the end of its body.
  bool ended = false;
  /// Complete once the attempt has ended.
  AttemptEnd end;
};

/// Response of one attempt, buffered so that a reader can resume from any byte
/// offset. Thread-safe.
class Attempt {
 public:
  /// Appends bytes to the body; ignored after the attempt has ended.
  void Append(std::string_view data);

  /// Sets a callback that the first Append runs once; call before any Append.
  void SetOnFirstData(std::function<void()> on_first_data);

  /// Sets the response's HTTP status and content type.
  void SetHead(int http_status, std::string content_type);

  /// Ends the attempt; ignored if it has already ended.
  /// @param error_kind Name of the error kind; empty after a complete response.
  /// @param detail Text that is safe to show to the caller.
  void Finish(std::string error_kind, std::string detail);

  /// Ends the attempt with a response recorded earlier; ignored if the attempt
  /// has already ended.
  void Replay(const std::string& body, const AttemptEnd& end);

  /// Reads the body from an offset; blocks until there is data, the attempt has
  /// ended or the timeout expires.
  /// @param offset Number of bytes that the reader already has.
  /// @param max_bytes Maximum number of bytes to return.
  /// @param timeout Longest time to block; zero returns at once.
  AttemptChunk Read(std::int64_t offset, std::int64_t max_bytes,
                    std::chrono::milliseconds timeout) const;

  /// Requests cancellation; the code that runs the attempt polls IsCancelled.
  void Cancel();

  bool IsCancelled() const;
  bool HasEnded() const;

 private:
  mutable std::mutex m_mutex;
  mutable std::condition_variable m_changed;
  std::string m_body;
  AttemptEnd m_end;
  std::function<void()> m_on_first_data;
  bool m_ended = false;
  bool m_cancelled = false;
};

}  // namespace wasabiwall::state
