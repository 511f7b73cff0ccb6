#include "wasabiwall/rollout/trial_servers.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "wasabiwall/state/digest.h"

namespace wasabiwall::rollout {
namespace {

/// A fraction of a backend server counts as one from 0.3 on: two in place of
/// 1.3 have 0.65 of the usual load each, one in place of 1.29 has 1.29 times
/// the usual load.
constexpr double kRounding = 0.7;

}  // namespace

TrialServers::TrialServers(state::ServiceId service, std::string target_version,
                           double share)
    : m_service(std::move(service)),
      m_target_version(std::move(target_version)),
      m_share(share),
      m_seed(state::FastHash(m_service.value)) {}

bool TrialServers::Contains(const state::BackendServerId& server) const {
  return m_size > 0 && state::FastHash(server.value, m_seed) <= m_last_rank;
}

void TrialServers::Update(const state::BackendRegistry& registry) {
  if (registry.Revision() == m_revision) return;
  m_revision = registry.Revision();
  std::vector<std::uint64_t> ranked;
  std::size_t others = 0;
  m_other_versions.clear();
  for (const state::KnownBackendServer* known : registry.Of(m_service)) {
    const state::BackendServer& server = known->server;
    if (server.draining) continue;
    if (server.version != m_target_version) {
      ++others;
      m_other_versions.insert(server.version);
      continue;
    }
    ranked.push_back(state::FastHash(server.id.value, m_seed));
  }
  m_target_count = ranked.size();
  std::sort(ranked.begin(), ranked.end());
  const auto wanted = static_cast<std::size_t>(
      m_share * static_cast<double>(others) + kRounding);
  m_size = std::min(ranked.size(), std::max<std::size_t>(1, wanted));
  if (m_size > 0) m_last_rank = ranked[m_size - 1];
}

}  // namespace wasabiwall::rollout
