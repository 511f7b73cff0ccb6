#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "wasabiwall/state/strong_id.h"

namespace wasabiwall::state {

using ServiceId = StrongId<struct ServiceTag>;

/// Whether a call on a route may run more than once.
enum class CallKind {
  /// May run more than once.
  kIdempotent,
  /// May run at most once.
  kNonIdempotent,
  /// Returns a server-sent event stream; idempotent only if the route is
  /// resumable.
  kStream,
};

/// Weight of one service in the traffic split of a route.
struct ServiceShare {
  ServiceId service;
  double weight = 1;
};

/// Maps calls to one host and path prefix to services.
struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  CallKind kind = CallKind::kNonIdempotent;
  /// Maximum time from the receipt of a call to the end of its response.
  std::chrono::milliseconds timeout{0};
  /// Latency objective for the first response data.
  std::chrono::milliseconds objective{0};
  /// Latency objective for the gap between two events of a stream.
  std::chrono::milliseconds event_gap{0};
  /// 0 is the highest priority.
  int priority = 0;
  std::vector<ServiceShare> services;
  int max_attempts = 1;
  /// Whether calls need no API key.
  bool is_public = false;
  /// Whether calls with the same prompt prefix prefer the same backend server,
  /// which may have the prefix cached.
  bool prefers_cached_prompt = false;
  /// Whether a broken stream may be resumed after its last complete event.
  bool resumable = false;

  /// @return Whether a call may run more than once.
  bool IsIdempotent() const {
    return kind == CallKind::kIdempotent ||
           (kind == CallKind::kStream && resumable);
  }
};

/// Properties of the model engines of a service.
struct EngineConfig {
  /// Maximum number of requests that run concurrently.
  int batch_size = 0;
  std::int64_t cache_tokens = 0;
};

/// A group of interchangeable backend servers.
struct Service {
  ServiceId id;
  /// Maximum number of connections to a backend server from all gateways
  /// combined.
  int max_connections = 0;
  /// Duration of a backend server's slow start, in which it counts as cold.
  std::chrono::milliseconds cold_time{0};
  /// Maximum rate of calls to a cold backend server; 0 for no limit.
  double cold_calls_per_second = 0;
  std::optional<EngineConfig> engine;
};

/// Size limits and timeouts for requests of callers.
struct IngressLimits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = 1 << 20;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

/// A workspace with its API keys.
struct Workspace {
  WorkspaceId id;
  std::vector<std::string> keys;
  /// Overrides the priority of the route.
  std::optional<int> priority;
};

/// One version of the complete routing configuration; immutable after Index.
class ServiceConfig {
 public:
  std::int64_t version = 0;
  IngressLimits limits;
  std::unordered_map<ServiceId, Service> services;
  /// Whether calls need the API key of a workspace, except on public routes.
  bool requires_key = false;

  /// Adds a route; call before Index.
  void AddRoute(Route route) { m_routes.push_back(std::move(route)); }

  /// Adds a workspace; call before Index.
  void AddWorkspace(Workspace workspace) {
    m_workspaces.push_back(std::move(workspace));
  }

  /// Builds the lookup tables; call once, after all routes and workspaces are
  /// added.
  void Index();

  /// @param host Host of the call; its port and letter case are ignored.
  /// @param path Path of the call, with or without a query.
  /// @return The route with the longest matching prefix, or null.
  const Route* FindRoute(std::string_view host, std::string_view path) const;

  /// @return The workspace that owns the API key, or null.
  const Workspace* FindWorkspace(std::string_view key) const;

  /// @return The service, or null.
  const Service* FindService(const ServiceId& id) const;

  const std::vector<Route>& Routes() const { return m_routes; }

 private:
  std::vector<Route> m_routes;
  std::vector<Workspace> m_workspaces;
  /// Indexes into m_routes by host, longest path prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> m_routes_by_host;
  std::unordered_map<std::string, std::size_t> m_workspace_by_key;
};

}  // namespace wasabiwall::state
