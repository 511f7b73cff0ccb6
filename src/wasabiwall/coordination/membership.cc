#include "wasabiwall/coordination/membership.h"

#include <algorithm>
#include <utility>

namespace wasabiwall::coordination {
namespace {

constexpr int kMostStrikes = 5;
/// Time without a failure that makes up for one.
constexpr std::chrono::seconds kForgiveness{30};

}  // namespace

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
  Failures& failures = m_failures[server];
  const auto steady = (now - failures.last_at) / kForgiveness;
  const auto forgiven = std::min<std::int64_t>(failures.strikes, steady);
  failures.strikes -= static_cast<int>(forgiven);
  failures.strikes = std::min(failures.strikes + 1, kMostStrikes);
  failures.last_at = now;
  failures.suspect_until = now + m_suspect_time * (1 << (failures.strikes - 1));
}

void Membership::OnSuccess(const state::BackendServerId& server) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_failures.find(server);
  // The strikes stay, so that one that comes and goes is not trusted at once.
  if (found != m_failures.end()) found->second.suspect_until = {};
}

bool Membership::Leaving(const state::BackendServerId& server) const {
  const std::lock_guard lock(m_mutex);
  const auto found = m_vms.find(server);
  return found != m_vms.end() && found->second == VmState::kLeaving;
}

bool Membership::Suspect(const state::BackendServerId& server,
                         TimePoint now) const {
  const std::lock_guard lock(m_mutex);
  if (m_have_list && m_vms.count(server) == 0) return true;
  const auto found = m_failures.find(server);
  return found != m_failures.end() && now < found->second.suspect_until;
}

}  // namespace wasabiwall::coordination
