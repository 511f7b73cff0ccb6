#pragma once

#include <string>

#include "wasabiwall/transport/gateway_context.h"

namespace wasabiwall::transport {

/// Records what a backend server says about itself in a response: its load,
/// that it is cold or leaves, or asks for no calls for a time.
/// @param placement Choice of the backend server for the call.
/// @param call_id Identifier of the call in logs.
void ApplyServerNotices(const coordination::Placement& placement,
                        const ReplyMetadata& reply, const std::string& call_id,
                        GatewayContext* context);

}  // namespace wasabiwall::transport
