#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "wasabiwall/state/config_records.h"

namespace wasabiwall::state {

/// Typed snapshot of the configuration at one revision; immutable once built.
struct ConfigView {
  std::int64_t revision = 0;
  std::map<std::string, Workspace> workspaces;
  /// Workspace by the hex SHA-256 of its bearer token.
  std::unordered_map<std::string, WorkspaceId> workspace_by_digest;
  std::map<std::string, FailureDomain> failure_domains;
  std::map<std::string, Pool> pools;
  std::map<std::string, BackendServer> backend_servers;
  std::map<std::string, Service> services;
  /// Pool by model name.
  std::unordered_map<std::string, PoolId> pool_by_model;

  /// @return Backend servers of a pool ordered by name, whatever their state.
  std::vector<BackendServer> Members(const PoolId& pool) const;

  /// @return Whether the backend server may receive new calls: neither it nor
  /// its failure domain is kOut. False if either is unknown.
  bool TakesNewWork(const BackendServerId& server) const;
};

/// Builds a view from items; deleted ones are left out.
/// @param items All items, in any order.
/// @param revision Revision of the view.
std::shared_ptr<const ConfigView> BuildConfigView(
    const std::vector<ConfigItem>& items, std::int64_t revision);

/// Copies a view and applies changes, decoding only the changed items.
/// @param view View to copy.
/// @param changed New versions of the changed items, deleted ones included.
/// @param revision Revision of the new view.
std::shared_ptr<const ConfigView> UpdateConfigView(
    const ConfigView& view, const std::vector<ConfigItem>& changed,
    std::int64_t revision);

}  // namespace wasabiwall::state
