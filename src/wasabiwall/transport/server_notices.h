#pragma once

#include <string>

#include "wasabiwall/transport/gateway_context.h"

namespace wasabiwall::transport {

/// Records what a backend server says about itself in a response: that it
/// leaves, or asks for no calls for a time.
/// @param call_id Identifier of the call in logs.
void ApplyServerNotices(const state::BackendServer& server,
                        const ReplyMetadata& reply, const std::string& call_id,
                        GatewayContext* context);

}  // namespace wasabiwall::transport
