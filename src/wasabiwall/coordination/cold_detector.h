#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <unordered_set>

namespace wasabiwall::coordination {

/// What one answer tells about the warmth of the engine.
struct AnswerEvidence {
  std::uint64_t chat_hash = 0;
  bool whole = false;
  /// Prompt tokens, and those found in the cache, when the engine told.
  std::optional<std::int64_t> prompt_tokens;
  std::optional<std::int64_t> cached_tokens;
  /// Time from hand-over to the first byte of a streamed answer.
  std::optional<std::chrono::microseconds> first_token;
};

/// What became of an answer as evidence.
enum class Warmth {
  kWarm,
  /// Too slow to allow more load.
  kSlow,
  /// The engine has lost its warmth.
  kCold,
};

/// Finds from answers alone that an engine has turned cold: several in a row
/// that failed, that found none of a returning chat in the cache, or whose
/// first token took far longer than those before. Safe for concurrent use.
class ColdDetector {
 public:
  /// Judges one answer; forgets its measure when it finds the engine cold.
  Warmth OnAnswer(const AnswerEvidence& evidence);

  /// Forgets what was learnt of an engine that is known to be cold.
  void Reset();

 private:
  Warmth JudgeFirstToken(const AnswerEvidence& evidence);
  bool MissedCache(const AnswerEvidence& evidence);
  void Remember(std::uint64_t chat_hash);
  void Forget();

  std::mutex m_mutex;
  std::unordered_set<std::uint64_t> m_chats;
  std::deque<std::uint64_t> m_chat_order;
  /// Moving average of first-token time for each prompt token to be computed.
  std::chrono::duration<double, std::micro> m_usual{0};
  int m_samples = 0;
  int m_failures = 0;
  int m_misses = 0;
  int m_slow = 0;
};

}  // namespace wasabiwall::coordination
