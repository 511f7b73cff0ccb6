#include "wasabiwall/coordination/cold_detector.h"

namespace wasabiwall::coordination {
namespace {

constexpr std::size_t kMaxChats = 2048;
constexpr std::int64_t kMinPromptTokens = 64;
constexpr int kInARow = 3;
constexpr int kMinSamples = 8;
constexpr double kSampleWeight = 1.0 / 16;
/// Tokens whose computing takes as long as the fixed part of a first token.
constexpr double kFixedTokens = 256;
constexpr double kSlowFactor = 2;
constexpr double kColdFactor = 4;

}  // namespace

Warmth ColdDetector::OnAnswer(const AnswerEvidence& evidence) {
  const std::lock_guard lock(m_mutex);
  m_failures = evidence.whole ? 0 : m_failures + 1;
  if (MissedCache(evidence)) ++m_misses;
  if (evidence.whole) Remember(evidence.chat_hash);
  const Warmth speed = JudgeFirstToken(evidence);
  m_slow = speed == Warmth::kCold ? m_slow + 1 : 0;
  if (m_failures >= kInARow || m_misses >= kInARow || m_slow >= kInARow) {
    Forget();
    return Warmth::kCold;
  }
  const bool grows = evidence.whole && speed == Warmth::kWarm;
  return grows ? Warmth::kWarm : Warmth::kSlow;
}

void ColdDetector::Reset() {
  const std::lock_guard lock(m_mutex);
  Forget();
}

Warmth ColdDetector::JudgeFirstToken(const AnswerEvidence& evidence) {
  if (!evidence.whole || !evidence.first_token) return Warmth::kWarm;
  const double computed = static_cast<double>(
      evidence.prompt_tokens.value_or(0) - evidence.cached_tokens.value_or(0));
  const std::chrono::duration<double, std::micro> first_token =
      *evidence.first_token;
  const auto sample = first_token / (kFixedTokens + computed);
  const bool known = m_samples >= kMinSamples;
  const double ratio = known ? sample / m_usual : 1.0;
  ++m_samples;
  const double weight = known ? kSampleWeight : 1.0 / m_samples;
  m_usual += (sample - m_usual) * weight;
  if (ratio > kColdFactor) return Warmth::kCold;
  return ratio > kSlowFactor ? Warmth::kSlow : Warmth::kWarm;
}

bool ColdDetector::MissedCache(const AnswerEvidence& evidence) {
  if (!evidence.whole || !evidence.cached_tokens) return false;
  if (evidence.prompt_tokens.value_or(0) < kMinPromptTokens) return false;
  if (m_chats.count(evidence.chat_hash) == 0) return false;
  if (*evidence.cached_tokens == 0) return true;
  m_misses = 0;
  return false;
}

void ColdDetector::Remember(std::uint64_t chat_hash) {
  if (!m_chats.insert(chat_hash).second) return;
  m_chat_order.push_back(chat_hash);
  if (m_chat_order.size() <= kMaxChats) return;
  m_chats.erase(m_chat_order.front());
  m_chat_order.pop_front();
}

void ColdDetector::Forget() {
  m_chats.clear();
  m_chat_order.clear();
  m_usual = {};
  m_samples = m_failures = m_misses = m_slow = 0;
}

}  // namespace wasabiwall::coordination
