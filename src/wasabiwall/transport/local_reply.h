#pragma once

#include <optional>
#include <string>

#include "wasabiwall/protocol/error_kind.h"
#include "wasabiwall/transport/http1_message.h"

namespace wasabiwall::transport {

/// A response that this process generates itself, rather than a backend server.
struct LocalReply {
  MessageHead head;
  std::string body;
};

/// @return The response for an error, with a Retry-After header if the call has
/// certainly not run.
LocalReply LocalReplyFor(const protocol::Error& error);

/// @return Whether a status promises that the request has not run and never
/// will.
bool PromisesNotRun(int status);

/// @return An encoded response head, without the hop-by-hop headers of the
/// connection that it came on.
/// @param length Length of the body; without one, the body is chunked.
/// @param closes_connection Whether the connection closes after the response.
std::string EncodeHead(const MessageHead& head,
                       std::optional<std::size_t> length,
                       bool closes_connection);

}  // namespace wasabiwall::transport
