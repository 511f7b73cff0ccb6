#include "wasabiwall/coordination/warmup_limit.h"

#include <algorithm>

namespace wasabiwall::coordination {
namespace {

/// The limit grows in each round by itself divided by this, at least one call.
constexpr std::int64_t kColdDivisor = 4;
constexpr std::int64_t kReturnedDivisor = 1;
/// An engine counts as warm once its call limit is this multiple of the start.
constexpr std::int64_t kWarmFactor = 4;
/// Above the concurrent calls of any backend server.
constexpr std::int64_t kMaxCalls = 1 << 20;

WarmupBounds Sanitized(WarmupBounds bounds) {
  bounds.start_units = std::min(bounds.start_units, bounds.ceiling_units);
  bounds.start_calls =
      std::clamp<std::int64_t>(bounds.start_calls, 1, kMaxCalls);
  return bounds;
}

}  // namespace

WarmupLimit::WarmupLimit(const WarmupBounds& bounds)
    : m_bounds(Sanitized(bounds)),
      m_units(m_bounds.start_units),
      m_calls(m_bounds.start_calls) {}

void WarmupLimit::OnCompletion() {
  if (++m_round_completions < m_calls) return;
  m_round_completions = 0;
  const std::int64_t divisor =
      m_reason == WarmupReason::kCold ? kColdDivisor : kReturnedDivisor;
  m_calls = std::min(kMaxCalls,
                     m_calls + std::max<std::int64_t>(1, m_calls / divisor));
  m_units = std::min(m_bounds.ceiling_units, m_units + m_units / divisor + 1);
}

void WarmupLimit::Restart(WarmupReason reason) {
  const bool warm = m_reason == WarmupReason::kReturned ||
                    m_calls >= kWarmFactor * m_bounds.start_calls;
  m_reason = warm ? reason : WarmupReason::kCold;
  m_units = m_bounds.start_units;
  m_calls = m_bounds.start_calls;
  m_round_completions = 0;
}

void WarmupLimit::SetBounds(const WarmupBounds& bounds) {
  m_bounds = Sanitized(bounds);
  m_units = std::clamp(m_units, m_bounds.start_units, m_bounds.ceiling_units);
  m_calls = std::max(m_calls, m_bounds.start_calls);
}

}  // namespace wasabiwall::coordination
