#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>

namespace wasabiwall::state {

/// How an attempt ended.
struct AttemptEnd {
  /// Name of the error kind; empty after a whole answer.
  std::string error_kind;
  std::string detail;
  int http_status = 200;
  std::string content_type;
  std::int64_t total_bytes = 0;
  /// Hex SHA-256 of the whole answer.
  std::string digest;
};

/// A part of an attempt's answer.
struct AttemptChunk {
  std::string data;
  bool ended = false;
  AttemptEnd end;
};

/// Answer of one attempt, kept so that a reader can ask again from any offset.
/// Safe for concurrent use.
class Attempt {
 public:
  /// Adds the next bytes of the answer; ignored after the end.
  void Append(std::string_view data);

  /// Sets what is called when the first byte arrives; before any Append.
  void SetOnFirstData(std::function<void()> on_first_data);

  /// Sets status and content type as soon as they are known.
  void SetHead(int http_status, std::string content_type);

  /// Ends the attempt; only the first end counts.
  /// @param error_kind Name of the error kind, empty after a whole answer.
  /// @param detail Text safe to show to the caller.
  void Finish(std::string error_kind, std::string detail);

  /// Ends the attempt with an answer recorded earlier.
  void Replay(const std::string& body, const AttemptEnd& end);

  /// Reads from an offset; waits until there is something or the time is up.
  /// @param offset Bytes the reader has.
  /// @param max_bytes Most bytes to return.
  /// @param wait Longest wait; zero returns at once.
  AttemptChunk Read(std::int64_t offset, std::int64_t max_bytes,
                    std::chrono::milliseconds wait) const;

  /// Asks the runner to stop.
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
