#include "wasabiwall/coordination/membership.h"

#include <utility>

namespace wasabiwall::coordination {

Membership::Membership(std::chrono::milliseconds suspect_time)
    : m_suspect_time(suspect_time) {}

void Membership::SetVmList(
    std::unordered_map<state::BackendServerId, VmState> vms) {
  const std::lock_guard lock(m_mutex);
  m_vms = std::move(vms);
  m_have_list = true;
}

void Membership::OnFailure(const state::BackendServerId& server,
                           TimePoint now) {
  const std::lock_guard lock(m_mutex);
  m_failed_at[server] = now;
}

void Membership::OnSuccess(const state::BackendServerId& server) {
  const std::lock_guard lock(m_mutex);
  m_failed_at.erase(server);
}

bool Membership::IsLeaving(const state::BackendServerId& server) const {
  const std::lock_guard lock(m_mutex);
  const auto found = m_vms.find(server);
  return found != m_vms.end() && found->second == VmState::kLeaving;
}

bool Membership::IsSuspect(const state::BackendServerId& server,
                           TimePoint now) const {
  const std::lock_guard lock(m_mutex);
  if (m_have_list && m_vms.count(server) == 0) return true;
  const auto failed = m_failed_at.find(server);
  return failed != m_failed_at.end() && now - failed->second < m_suspect_time;
}

}  // namespace wasabiwall::coordination
