#include "wasabiwall/coordination/unreported_load.h"

namespace wasabiwall::coordination {
namespace {

constexpr std::size_t kMaxServers = 8192;
/// Further calls to the same backend server are merged into the newest entry.
constexpr std::size_t kMaxEntriesPerServer = 16;

}  // namespace

UnreportedLoad::UnreportedLoad(std::chrono::milliseconds max_age)
    : m_max_age(max_age) {}

void UnreportedLoad::Add(const state::BackendServerId& server,
                         std::int64_t cost_units, TimePoint now) {
  const std::lock_guard lock(m_mutex);
  if (m_sent.size() >= kMaxServers) DropExpired(now);
  if (m_sent.size() >= kMaxServers && !m_sent.contains(server)) return;
  SentCalls& calls = m_sent[server];
  while (!calls.empty() && now - calls.front().at >= m_max_age) {
    calls.pop_front();
  }
  if (calls.size() < kMaxEntriesPerServer) {
    calls.push_back({now, cost_units});
    return;
  }
  calls.back().at = now;
  calls.back().cost_units += cost_units;
}

void UnreportedLoad::OnReport(const state::BackendServerId& server,
                              TimePoint observed_at) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_sent.find(server);
  if (found == m_sent.end()) return;
  SentCalls& calls = found->second;
  while (!calls.empty() && calls.front().at <= observed_at) calls.pop_front();
  if (calls.empty()) m_sent.erase(found);
}

std::int64_t UnreportedLoad::Of(const state::BackendServerId& server,
                                TimePoint now) const {
  const std::lock_guard lock(m_mutex);
  const auto found = m_sent.find(server);
  if (found == m_sent.end()) return 0;
  std::int64_t sum = 0;
  for (const Sent& call : found->second) {
    if (now - call.at < m_max_age) sum += call.cost_units;
  }
  return sum;
}

void UnreportedLoad::DropExpired(TimePoint now) {
  std::erase_if(m_sent, [&](const auto& entry) {
    return now - entry.second.back().at >= m_max_age;
  });
}

}  // namespace wasabiwall::coordination
