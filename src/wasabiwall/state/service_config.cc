#include "wasabiwall/state/service_config.h"

#include <algorithm>
#include <cctype>

namespace wasabiwall::state {
namespace {

/// @return The host in lower case without its port.
std::string NormalizeHost(std::string_view host) {
  std::string normalized(host.substr(0, host.find(':')));
  std::transform(normalized.begin(), normalized.end(), normalized.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return normalized;
}

}  // namespace

void ServiceConfig::Index() {
  for (std::size_t i = 0; i < m_routes.size(); ++i) {
    m_routes_by_host[NormalizeHost(m_routes[i].host)].push_back(i);
  }
  for (auto& [host, indexes] : m_routes_by_host) {
    std::stable_sort(indexes.begin(), indexes.end(),
                     [&](std::size_t a, std::size_t b) {
                       return m_routes[a].path_prefix.size() >
                              m_routes[b].path_prefix.size();
                     });
  }
  for (std::size_t i = 0; i < m_workspaces.size(); ++i) {
    for (const std::string& key : m_workspaces[i].keys) {
      m_workspace_by_key[key] = i;
    }
  }
}

const Route* ServiceConfig::FindRoute(std::string_view host,
                                      std::string_view path) const {
  const auto found = m_routes_by_host.find(NormalizeHost(host));
  if (found == m_routes_by_host.end()) return nullptr;
  const std::string_view bare_path = path.substr(0, path.find('?'));
  for (const std::size_t index : found->second) {
    if (bare_path.starts_with(m_routes[index].path_prefix))
      return &m_routes[index];
  }
  return nullptr;
}

const Workspace* ServiceConfig::FindWorkspace(std::string_view key) const {
  const auto found = m_workspace_by_key.find(std::string(key));
  return found == m_workspace_by_key.end() ? nullptr
                                           : &m_workspaces[found->second];
}

const Service* ServiceConfig::FindService(const ServiceId& id) const {
  const auto found = services.find(id);
  return found == services.end() ? nullptr : &found->second;
}

}  // namespace wasabiwall::state
