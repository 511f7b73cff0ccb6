#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "wasabiwall/state/config_records.h"

namespace wasabiwall::state {

/// An immutable, typed picture of the configuration at one revision.
struct ConfigView {
  std::int64_t revision = 0;
  std::map<std::string, Workspace> workspaces;
  /// Workspace by the hex digest of its token.
  std::unordered_map<std::string, WorkspaceId> workspace_by_digest;
  std::map<std::string, FailureDomain> failure_domains;
  std::map<std::string, Pool> pools;
  std::map<std::string, BackendServer> backend_servers;
  std::map<std::string, Service> services;
  /// Pool by model name.
  std::unordered_map<std::string, PoolId> pool_by_model;

  /// @return Members of a pool in name order, placed in or out.
  std::vector<BackendServer> Members(const PoolId& pool) const;

  /// @return Whether operators allow new work on this backend server: neither
  /// it nor its failure domain is out. False when it is unknown.
  bool TakesNewWork(const BackendServerId& server) const;
};

/// Builds a view from items; deleted items are left out.
/// @param items All items known, in any order.
/// @param revision Revision of the newest item.
std::shared_ptr<const ConfigView> BuildConfigView(
    const std::vector<ConfigItem>& items, std::int64_t revision);

/// Builds a view from an earlier one, decoding only what changed.
/// @param view Earlier view.
/// @param changed Items in the state that they are to have.
/// @param revision Revision of the new view.
std::shared_ptr<const ConfigView> UpdateConfigView(
    const ConfigView& view, const std::vector<ConfigItem>& changed,
    std::int64_t revision);

}  // namespace wasabiwall::state
