#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "wasabiwall/protocol/error_kind.h"
#include "wasabiwall/transport/gateway_context.h"

namespace wasabiwall::transport {

/// A caller's request with what the configuration says about it.
struct ResolvedCall {
  CallMetadata metadata;
  /// Keeps route, workspace and service alive.
  std::shared_ptr<const state::ServiceConfig> config;
  const state::Route* route = nullptr;
  /// Null on a public route.
  const state::Workspace* workspace = nullptr;
  const state::Service* service = nullptr;
  coordination::TimePoint deadline;

  /// @return Whether the call asks for an event stream.
  bool IsStream() const { return route->kind == state::CallKind::kStream; }

  /// @return Priority of the workspace, or that of the route; 0 is the most
  /// urgent.
  int Priority() const;

  /// @return Identifier of the workspace, or empty.
  std::string WorkspaceName() const;

  /// @return What identifies the call, for the log.
  std::vector<LogField> LogFields() const;
};

/// Looks up route, workspace and service of a request, and its deadline.
/// @param received When the request had been received in full.
/// @param call Receives what was found, also on an error.
/// @return Why the call must be refused, if it must.
std::optional<protocol::Error> ResolveCall(const GatewayContext& context,
                                           const MessageHead& request,
                                           coordination::TimePoint received,
                                           ResolvedCall* call);

}  // namespace wasabiwall::transport
