#include "wasabiwall/coordination/cold_start_limiter.h"

#include <algorithm>

#include "wasabiwall/state/digest.h"

namespace wasabiwall::coordination {
namespace {

/// Window of the limit, widened by the spread of delays on the way: calls sent
/// further apart may arrive closer together.
constexpr std::chrono::milliseconds kWindow{1100};

}  // namespace

double ColdStartLimiter::ShareOf(double total_per_second, int processes) {
  return total_per_second / std::max(1, processes);
}

double ColdStartLimiter::PhaseOf(const state::BackendServerId& id) const {
  constexpr std::uint64_t steps = 1U << 20U;
  return static_cast<double>(state::FastHash(id.value, m_seed) % steps) / steps;
}

bool ColdStartLimiter::HasRoom(const state::BackendServerId& id, double share,
                               TimePoint cold_since, TimePoint now) const {
  if (share <= 0) return false;
  const auto found = m_sent.find(id);
  if (share < 1) {
    const std::chrono::duration<double> pause(1.0 / share);
    if (now - cold_since < pause * PhaseOf(id)) return false;
    return found == m_sent.end() || found->second.empty() ||
           now - found->second.back() >= pause;
  }
  if (found == m_sent.end()) return true;
  const auto& sent = found->second;
  const auto recent =
      std::count_if(sent.begin(), sent.end(),
                    [now](TimePoint time) { return now - time < kWindow; });
  return recent < static_cast<std::int64_t>(share);
}

void ColdStartLimiter::OnSent(const state::BackendServerId& id, TimePoint now) {
  auto& sent = m_sent[id];
  while (!sent.empty() && now - sent.front() >= kWindow) sent.pop_front();
  sent.push_back(now);
}

}  // namespace wasabiwall::coordination
