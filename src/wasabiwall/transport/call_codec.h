#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "wasabiwall/coordination/backend_load_table.h"
#include "wasabiwall/state/strong_id.h"
#include "wasabiwall/transport/http1_message.h"

namespace wasabiwall::transport {

/// What the headers of a caller's request say about the call.
struct CallMetadata {
  /// Empty when the request names none.
  std::string attempt_id;
  /// How long the caller waits for the whole answer.
  std::optional<std::chrono::milliseconds> deadline;
  /// Secret key of the caller's workspace.
  std::optional<std::string> key;
  /// Hash of the last part of the prompt that other calls share; 0 for none.
  std::uint64_t shared_part = 0;
  /// Tokens of all shared parts of the prompt.
  std::int64_t shared_tokens = 0;
};

/// What this process tells a backend server about a call.
struct ForwardedCall {
  std::chrono::milliseconds time_left{0};
  /// The only backend server that may run the call.
  state::BackendServerId backend_server;
  std::optional<state::WorkspaceId> workspace;
  /// 0 is the most urgent.
  int priority = 0;
  /// Last event that the caller has; a stream goes on after it.
  std::optional<std::int64_t> last_event_id;
  /// Address of an engine to copy cached prompt parts from.
  std::optional<std::string> fetch_from;
};

/// What a backend server's answer says besides its status and body.
struct ReplyMetadata {
  /// Empty when the answer names none.
  std::string attempt_id;
  /// The backend server has not run the call and will not.
  bool not_run = false;
  /// The answer came from another backend server than the expected one.
  bool wrong_backend = false;
  std::optional<coordination::ReportedLoad> load;
  /// How long the backend server will still be cold.
  std::optional<std::chrono::milliseconds> cold_left;
};

/// Translates between the headers of an interface and the product's types.
struct CallCodec {
  std::function<CallMetadata(const HeaderList&)> decode_call;
  /// Replaces the headers that this process sets itself.
  std::function<void(const ForwardedCall&, HeaderList*)> encode_call;
  std::function<ReplyMetadata(const MessageHead&)> decode_reply;
};

}  // namespace wasabiwall::transport
