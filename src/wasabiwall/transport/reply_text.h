#pragma once

#include <optional>
#include <string>

#include "wasabiwall/protocol/error_kind.h"
#include "wasabiwall/transport/http1_message.h"

namespace wasabiwall::transport {

/// An answer that this process makes itself.
struct OwnReply {
  MessageHead head;
  std::string body;
};

/// @return The answer for an error, with the time to come back where the call
/// has certainly not run.
OwnReply ReplyOf(const protocol::Error& error);

/// @return Bytes of a response head, without the headers of the connection
/// that it came on.
/// @param length Length of the body; a body without one is sent in chunks.
/// @param closes Whether the connection closes after the response.
std::string HeadText(const MessageHead& head, std::optional<std::size_t> length,
                     bool closes);

}  // namespace wasabiwall::transport
