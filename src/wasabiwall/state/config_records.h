#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "wasabiwall/state/config_item.h"
#include "wasabiwall/state/strong_id.h"

namespace wasabiwall::state {

/// Administrative state of a failure domain or backend server: kOut receives no
/// new calls.
enum class PlacementState { kIn, kOut };

/// An organisation of callers with its bearer token and weight.
struct Workspace {
  WorkspaceId id;
  /// Lower-case hex SHA-256 of the bearer token.
  std::string token_digest;
  double weight = 1.0;
};

/// A set of VMs that fail together and are taken out of service together.
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
  /// Maximum load of a backend server as a multiple of the pool's mean load;
  /// applies above `load_floor_units`.
  double max_load_ratio = 1.25;
  /// Load up to which `max_load_ratio` does not apply, in load units.
  std::int64_t load_floor_units = 8000;
  /// Maximum load of a backend server, in load units.
  std::int64_t load_ceiling_units = 64000;
  /// Load limit of a backend server at the start of its warm-up, in load units.
  std::int64_t warmup_units = 4000;
  /// Limit of concurrent calls at the start of the warm-up; ToPool sets a
  /// higher default for pools of services.
  std::int64_t warmup_calls = 4;
  /// Number of shards into which idempotency keys are partitioned.
  std::int64_t key_shards = 16;
  std::string policy = "rendezvous_bounded";
};

/// An instance of a model engine or plain service, with its side process.
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

/// A plain service and the calls that it offers.
struct Service {
  std::string name;
  PoolId pool;
  std::vector<ServiceCall> calls;
};

/// Converts an item's JSON state to a record. The state must have passed the
/// checks of a ticket; missing optional fields take their defaults.
Workspace ToWorkspace(const ConfigItem& item);
FailureDomain ToFailureDomain(const ConfigItem& item);
Pool ToPool(const ConfigItem& item);
BackendServer ToBackendServer(const ConfigItem& item);
Service ToService(const ConfigItem& item);

}  // namespace wasabiwall::state
