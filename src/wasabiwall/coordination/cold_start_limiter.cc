#include "wasabiwall/coordination/cold_start_limiter.h"

#include <algorithm>

#include "wasabiwall/state/digest.h"

namespace wasabiwall::coordination {
namespace {

/// Sliding window of the limit. Longer than a second by the jitter of network
/// delays, since calls may arrive closer together than they were sent.
constexpr std::chrono::milliseconds kWindow{1100};

}  // namespace

double ColdStartLimiter::PerProcessRate(double total_per_second,
                                        int processes) {
  return total_per_second / std::max(1, processes);
}

double ColdStartLimiter::StartOffset(const state::BackendServerId& id) const {
  constexpr std::uint64_t steps = 1U << 20U;
  return static_cast<double>(state::FastHash(id.value, m_seed) % steps) / steps;
}

bool ColdStartLimiter::Allows(const state::BackendServerId& id, double rate,
                              TimePoint cold_since, TimePoint now) const {
  if (rate <= 0) return false;
  const auto found = m_sent.find(id);
  if (rate < 1) {
    const std::chrono::duration<double> interval(1.0 / rate);
    if (now - cold_since < interval * StartOffset(id)) return false;
    return found == m_sent.end() || found->second.empty() ||
           now - found->second.back() >= interval;
  }
  if (found == m_sent.end()) return true;
  const auto& sent = found->second;
  const auto recent =
      std::count_if(sent.begin(), sent.end(),
                    [now](TimePoint time) { return now - time < kWindow; });
  return recent < static_cast<std::int64_t>(rate);
}

void ColdStartLimiter::OnSent(const state::BackendServerId& id, TimePoint now) {
  auto& sent = m_sent[id];
  while (!sent.empty() && now - sent.front() >= kWindow) sent.pop_front();
  sent.push_back(now);
}

}  // namespace wasabiwall::coordination
