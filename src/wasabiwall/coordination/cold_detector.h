#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <unordered_set>

namespace wasabiwall::coordination {

/// Statistics of one answer from which ColdDetector infers the state of the
/// engine's caches.
struct AnswerStats {
  std::uint64_t chat_hash = 0;
  bool complete = false;
  /// Prompt tokens, and those served from the cache, when the engine reports
  /// them.
  std::optional<std::int64_t> prompt_tokens;
  std::optional<std::int64_t> cached_tokens;
  /// Time from submission to the first byte of a streamed answer.
  std::optional<std::chrono::microseconds> first_token;
};

/// State of an engine as seen from one answer.
enum class Warmth {
  kWarm,
  /// Failed, or too slow to raise the load limit.
  kSlow,
  /// The engine has lost its caches.
  kCold,
};

/// Detects from answers alone that an engine has lost its caches: several
/// answers in a row that failed, that had no cache hit for a chat seen before,
/// or whose time to first token was far above the average. Safe for concurrent
/// use.
class ColdDetector {
 public:
  /// Evaluates one answer; resets all statistics when the engine is cold.
  Warmth OnAnswer(const AnswerStats& stats);

  /// Resets all statistics, as the engine is known to be cold.
  void Reset();

 private:
  Warmth ClassifyFirstToken(const AnswerStats& stats);
  bool MissedCache(const AnswerStats& stats);
  void RecordChat(std::uint64_t chat_hash);
  void ResetLocked();

  std::mutex m_mutex;
  std::unordered_set<std::uint64_t> m_chats;
  std::deque<std::uint64_t> m_chat_order;
  /// Moving average of the time to first token per prompt token to compute.
  std::chrono::duration<double, std::micro> m_mean_time_per_token{0};
  int m_samples = 0;
  int m_failures = 0;
  int m_misses = 0;
  int m_slow = 0;
};

}  // namespace wasabiwall::coordination
