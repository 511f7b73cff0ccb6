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

/// How often a call on a route may run.
enum class CallKind {
  /// Idempotent: may run more than once.
  kIdempotent,
  /// May run at most once.
  kNonIdempotent,
  /// Answered as an event stream; idempotent only where it is resumable.
  kStream,
};

/// Share of a route's traffic that one service gets.
struct ServiceShare {
  ServiceId service;
  double weight = 1;
};

/// Rule that sends calls of one host and path prefix to services.
struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  CallKind kind = CallKind::kNonIdempotent;
  /// Longest time that a caller is kept waiting.
  std::chrono::milliseconds timeout{0};
  /// Time to the first answer that callers are promised.
  std::chrono::milliseconds objective{0};
  /// Longest pause between two events of a stream that is still on time.
  std::chrono::milliseconds event_gap{0};
  /// 0 is the most urgent.
  int priority = 0;
  std::vector<ServiceShare> services;
  int max_attempts = 1;
  /// Whether calls need no key.
  bool is_public = false;
  /// Whether calls carry prompts whose cached parts are worth returning to.
  bool prefers_cached_prompt = false;
  bool resumable = false;

  /// @return Whether a call may run more than once.
  bool IsIdempotent() const {
    return kind == CallKind::kIdempotent ||
           (kind == CallKind::kStream && resumable);
  }
};

/// Properties of the model engines of a service.
struct EngineConfig {
  /// Requests that run at once.
  int batch_size = 0;
  std::int64_t cache_tokens = 0;
};

/// Group of backend servers that do the same work.
struct Service {
  ServiceId id;
  /// Connections that a backend server accepts from all callers combined.
  int max_connections = 0;
  /// How long a backend server stays cold after its start.
  std::chrono::milliseconds cold_time{0};
  /// Calls a second that a cold backend server bears; 0 for no limit.
  double cold_calls_per_second = 0;
  std::optional<EngineConfig> engine;
};

/// Bounds on what callers may send and how long they may take.
struct IngressLimits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = 1 << 20;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

/// A workspace and what it may do.
struct Workspace {
  WorkspaceId id;
  std::vector<std::string> keys;
  /// Precedes the priority of the route.
  std::optional<int> priority;
};

/// One version of the operators' whole configuration. Immutable once filled.
class ServiceConfig {
 public:
  std::int64_t version = 0;
  IngressLimits limits;
  std::unordered_map<ServiceId, Service> services;
  /// Whether calls need the key of a workspace.
  bool requires_key = false;

  /// Adds a route; call before Index.
  void AddRoute(Route route) { m_routes.push_back(std::move(route)); }

  /// Adds a workspace; call before Index.
  void AddWorkspace(Workspace workspace) {
    m_workspaces.push_back(std::move(workspace));
  }

  /// Builds the lookup tables; call once, after the last Add.
  void Index();

  /// @param host Host of the call; its port and letter case are ignored.
  /// @param path Path of the call, with or without a query.
  /// @return The route with the longest matching prefix, or null.
  const Route* FindRoute(std::string_view host, std::string_view path) const;

  /// @return The workspace that holds the key, or null.
  const Workspace* FindWorkspace(std::string_view key) const;

  /// @return The service, or null.
  const Service* FindService(const ServiceId& id) const;

  const std::vector<Route>& Routes() const { return m_routes; }

 private:
  std::vector<Route> m_routes;
  std::vector<Workspace> m_workspaces;
  /// Indexes of routes by host, longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> m_routes_by_host;
  std::unordered_map<std::string, std::size_t> m_workspace_by_key;
};

}  // namespace wasabiwall::state
