#pragma once

#include <string>

#include "wasabiwall/transport/call_codec.h"

namespace wasabiwall::transport {

/// Encodes a caller's request as it is forwarded to a backend server: without
/// the headers of the caller's connection, with those that the codec sets.
/// @return Bytes of the request.
std::string EncodeForwardedRequest(const MessageHead& request,
                                   const std::string& body,
                                   const ForwardedCall& call,
                                   const CallCodec& codec);

}  // namespace wasabiwall::transport
