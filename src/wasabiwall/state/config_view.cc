#include "wasabiwall/state/config_view.h"

namespace wasabiwall::state {
namespace {

void AddItem(const ConfigItem& item, ConfigView* view) {
  switch (item.kind) {
    case ItemKind::kWorkspace: {
      Workspace workspace = ToWorkspace(item);
      view->workspace_by_digest[workspace.token_digest] = workspace.id;
      view->workspaces[item.name] = std::move(workspace);
      return;
    }
    case ItemKind::kFailureDomain:
      view->failure_domains[item.name] = ToFailureDomain(item);
      return;
    case ItemKind::kPool: {
      Pool pool = ToPool(item);
      for (const std::string& model : pool.models) {
        view->pool_by_model[model] = pool.id;
      }
      view->pools[item.name] = std::move(pool);
      return;
    }
    case ItemKind::kBackendServer:
      view->backend_servers[item.name] = ToBackendServer(item);
      return;
    case ItemKind::kService:
      view->services[item.name] = ToService(item);
      return;
  }
}

/// Removes a key from an index if it still maps to this owner.
template <typename Index, typename Owner>
void RemoveFromIndex(const std::string& key, const Owner& owner, Index* index) {
  const auto found = index->find(key);
  if (found != index->end() && found->second == owner) index->erase(found);
}

void RemoveItem(const ConfigItem& item, ConfigView* view) {
  switch (item.kind) {
    case ItemKind::kWorkspace: {
      const auto existing = view->workspaces.find(item.name);
      if (existing == view->workspaces.end()) return;
      RemoveFromIndex(existing->second.token_digest, existing->second.id,
                      &view->workspace_by_digest);
      view->workspaces.erase(existing);
      return;
    }
    case ItemKind::kFailureDomain:
      view->failure_domains.erase(item.name);
      return;
    case ItemKind::kPool: {
      const auto existing = view->pools.find(item.name);
      if (existing == view->pools.end()) return;
      for (const std::string& model : existing->second.models) {
        RemoveFromIndex(model, existing->second.id, &view->pool_by_model);
      }
      view->pools.erase(existing);
      return;
    }
    case ItemKind::kBackendServer:
      view->backend_servers.erase(item.name);
      return;
    case ItemKind::kService:
      view->services.erase(item.name);
      return;
  }
}

}  // namespace

std::vector<BackendServer> ConfigView::Members(const PoolId& pool) const {
  std::vector<BackendServer> members;
  for (const auto& [name, server] : backend_servers) {
    if (server.pool == pool) members.push_back(server);
  }
  return members;
}

bool ConfigView::TakesNewWork(const BackendServerId& server) const {
  const auto found = backend_servers.find(server.value);
  if (found == backend_servers.end()) return false;
  if (found->second.state == PlacementState::kOut) return false;
  const auto domain = failure_domains.find(found->second.failure_domain.value);
  return domain != failure_domains.end() &&
         domain->second.state == PlacementState::kIn;
}

std::shared_ptr<const ConfigView> BuildConfigView(
    const std::vector<ConfigItem>& items, std::int64_t revision) {
  auto view = std::make_shared<ConfigView>();
  view->revision = revision;
  for (const ConfigItem& item : items) {
    if (!item.deleted) AddItem(item, view.get());
  }
  return view;
}

std::shared_ptr<const ConfigView> UpdateConfigView(
    const ConfigView& view, const std::vector<ConfigItem>& changed,
    std::int64_t revision) {
  auto updated = std::make_shared<ConfigView>(view);
  updated->revision = revision;
  // Removes first, as a token digest or model may move from one item to
  // another in the same update.
  for (const ConfigItem& item : changed) RemoveItem(item, updated.get());
  for (const ConfigItem& item : changed) {
    if (!item.deleted) AddItem(item, updated.get());
  }
  return updated;
}

}  // namespace wasabiwall::state
