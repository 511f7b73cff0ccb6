#include "wasabiwall/coordination/cold_detector.h"

namespace wasabiwall::coordination {
namespace {

constexpr std::size_t kMaxChats = 2048;
constexpr std::int64_t kMinPromptTokens = 64;
constexpr int kConsecutiveSigns = 3;
constexpr int kMinSamples = 8;
constexpr double kSampleWeight = 1.0 / 16;
/// Fixed part of the time to first token, in tokens computed in that time.
constexpr double kFixedTokenEquivalent = 256;
constexpr double kSlowFactor = 2;
constexpr double kColdFactor = 4;

}  // namespace

Warmth ColdDetector::OnAnswer(const AnswerStats& stats) {
  const std::lock_guard lock(m_mutex);
  m_failures = stats.complete ? 0 : m_failures + 1;
  if (MissedCache(stats)) ++m_misses;
  if (stats.complete) RecordChat(stats.chat_hash);
  const Warmth speed = ClassifyFirstToken(stats);
  m_slow = speed == Warmth::kCold ? m_slow + 1 : 0;
  if (m_failures >= kConsecutiveSigns || m_misses >= kConsecutiveSigns ||
      m_slow >= kConsecutiveSigns) {
    ResetLocked();
    return Warmth::kCold;
  }
  const bool grows = stats.complete && speed == Warmth::kWarm;
  return grows ? Warmth::kWarm : Warmth::kSlow;
}

void ColdDetector::Reset() {
  const std::lock_guard lock(m_mutex);
  ResetLocked();
}

Warmth ColdDetector::ClassifyFirstToken(const AnswerStats& stats) {
  if (!stats.complete || !stats.first_token) return Warmth::kWarm;
  const double computed = static_cast<double>(stats.prompt_tokens.value_or(0) -
                                              stats.cached_tokens.value_or(0));
  const std::chrono::duration<double, std::micro> first_token =
      *stats.first_token;
  const auto sample = first_token / (kFixedTokenEquivalent + computed);
  const bool known = m_samples >= kMinSamples;
  const double ratio = known ? sample / m_mean_time_per_token : 1.0;
  ++m_samples;
  const double weight = known ? kSampleWeight : 1.0 / m_samples;
  m_mean_time_per_token += (sample - m_mean_time_per_token) * weight;
  if (ratio > kColdFactor) return Warmth::kCold;
  return ratio > kSlowFactor ? Warmth::kSlow : Warmth::kWarm;
}

bool ColdDetector::MissedCache(const AnswerStats& stats) {
  if (!stats.complete || !stats.cached_tokens) return false;
  if (stats.prompt_tokens.value_or(0) < kMinPromptTokens) return false;
  if (m_chats.count(stats.chat_hash) == 0) return false;
  if (*stats.cached_tokens == 0) return true;
  m_misses = 0;
  return false;
}

void ColdDetector::RecordChat(std::uint64_t chat_hash) {
  if (!m_chats.insert(chat_hash).second) return;
  m_chat_order.push_back(chat_hash);
  if (m_chat_order.size() <= kMaxChats) return;
  m_chats.erase(m_chat_order.front());
  m_chat_order.pop_front();
}

void ColdDetector::ResetLocked() {
  m_chats.clear();
  m_chat_order.clear();
  m_mean_time_per_token = {};
  m_samples = m_failures = m_misses = m_slow = 0;
}

}  // namespace wasabiwall::coordination
