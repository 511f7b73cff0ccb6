#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "wasabiwall/state/config_item.h"
#include "wasabiwall/state/strong_id.h"

namespace wasabiwall::state {

/// Whether operators want new work on a failure domain or backend server.
enum class PlacementState { kIn, kOut };

/// A caller's organisation with its token and share.
struct Workspace {
  WorkspaceId id;
  /// Lower-case hex SHA-256 of the bearer token.
  std::string token_digest;
  double weight = 1.0;
};

/// A set of VMs that fail and are taken out together.
struct FailureDomain {
  FailureDomainId id;
  PlacementState state = PlacementState::kIn;
};

enum class PoolKind { kModel, kService };

/// Backend servers that serve the same models or services.
struct Pool {
  PoolId id;
  PoolKind kind = PoolKind::kModel;
  std::vector<std::string> models;
  /// Bound on a backend server's load as a multiple of the pool's mean.
  double max_load_ratio = 1.25;
  /// Load that a backend server may always carry, in load units.
  std::int64_t load_floor_units = 8000;
  /// Load that a backend server may carry at the most, in load units.
  std::int64_t load_ceiling_units = 64000;
  /// Load that a backend server that has just started may carry.
  std::int64_t warmup_units = 4000;
  /// Calls that it may run at a time; services take more by default.
  std::int64_t warmup_calls = 4;
  /// Number of shards of idempotency keys.
  std::int64_t key_shards = 16;
  std::string policy = "rendezvous_bounded";
};

/// One engine or plain service with its side process.
struct BackendServer {
  BackendServerId id;
  PoolId pool;
  FailureDomainId failure_domain;
  /// Address of the side process, `ip:port`.
  std::string side;
  /// Base URL of the backend server.
  std::string url;
  PlacementState state = PlacementState::kIn;
  bool checks_fencing = false;
  double weight = 1.0;
};

struct ServiceCall {
  std::string name;
  bool idempotent = false;
};

/// A plain service and its calls.
struct Service {
  std::string name;
  PoolId pool;
  std::vector<ServiceCall> calls;
};

/// Typed views of an item's state. The state must have passed the ticket
/// check; missing optional fields take their defaults.
Workspace ToWorkspace(const ConfigItem& item);
FailureDomain ToFailureDomain(const ConfigItem& item);
Pool ToPool(const ConfigItem& item);
BackendServer ToBackendServer(const ConfigItem& item);
Service ToService(const ConfigItem& item);

}  // namespace wasabiwall::state
