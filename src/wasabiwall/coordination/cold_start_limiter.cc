#include "wasabiwall/coordination/cold_start_limiter.h"

#include <algorithm>

namespace wasabiwall::coordination {
namespace {

/// Window of the limit, widened by the spread of delays on the way: calls sent
/// further apart may arrive closer together.
constexpr std::chrono::milliseconds kWindow{1100};

}  // namespace

int ColdStartLimiter::ShareOf(double total_per_second, int processes) {
  return std::max(1,
                  static_cast<int>(total_per_second / std::max(1, processes)));
}

bool ColdStartLimiter::HasRoom(const state::BackendServerId& id, int share,
                               TimePoint now) const {
  const auto found = m_sent.find(id);
  if (found == m_sent.end()) return true;
  const auto& sent = found->second;
  const auto recent =
      std::count_if(sent.begin(), sent.end(),
                    [now](TimePoint time) { return now - time < kWindow; });
  return recent < share;
}

void ColdStartLimiter::OnSent(const state::BackendServerId& id, TimePoint now) {
  auto& sent = m_sent[id];
  while (!sent.empty() && now - sent.front() >= kWindow) sent.pop_front();
  sent.push_back(now);
}

}  // namespace wasabiwall::coordination
