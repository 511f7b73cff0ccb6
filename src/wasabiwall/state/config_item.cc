#include "wasabiwall/state/config_item.h"

#include <array>
#include <utility>

namespace wasabiwall::state {
namespace {

constexpr std::array<std::pair<ItemKind, const char*>, 5> kKindNames = {{
    {ItemKind::kWorkspace, "workspace"},
    {ItemKind::kFailureDomain, "failure_domain"},
    {ItemKind::kPool, "pool"},
    {ItemKind::kBackendServer, "backend_server"},
    {ItemKind::kService, "service"},
}};

}  // namespace

const char* ItemKindName(ItemKind kind) {
  for (const auto& [candidate, name] : kKindNames) {
    if (candidate == kind) return name;
  }
  return "";
}

bool ParseItemKind(const std::string& name, ItemKind* kind) {
  for (const auto& [candidate, candidate_name] : kKindNames) {
    if (name != candidate_name) continue;
    *kind = candidate;
    return true;
  }
  return false;
}

}  // namespace wasabiwall::state
