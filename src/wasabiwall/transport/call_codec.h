#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "wasabiwall/coordination/backend_load_table.h"
#include "wasabiwall/state/strong_id.h"
#include "wasabiwall/transport/http1_message.h"

namespace wasabiwall::transport {

/// Metadata of a call, from the headers of the caller's request.
struct CallMetadata {
  /// Empty when the request names none.
  std::string attempt_id;
  /// Time within which the caller expects the complete response.
  std::optional<std::chrono::milliseconds> deadline;
  /// Secret key of the caller's workspace.
  std::optional<std::string> key;
  /// Hash of the last prompt part that other calls share; 0 for none.
  std::uint64_t shared_part = 0;
  /// Tokens of all shared parts of the prompt.
  std::int64_t shared_tokens = 0;
  /// Hashes of the prompt parts that other calls may share, in order. A part
  /// that belongs to this call alone is not among them.
  std::vector<std::uint64_t> prompt_parts;
};

/// Metadata of a call that the gateway sends to the backend server.
struct ForwardedCall {
  std::chrono::milliseconds time_left{0};
  /// The only backend server that may run the call.
  state::BackendServerId backend_server;
  std::optional<state::WorkspaceId> workspace;
  /// 0 is the most urgent.
  int priority = 0;
  /// Identifier of the last event that the caller has received; the stream
  /// resumes after it.
  std::optional<std::int64_t> last_event_id;
  /// Address of an engine to copy cached prompt parts from.
  std::optional<std::string> fetch_from;
};

/// Metadata of a backend server's response, from its head.
struct ReplyMetadata {
  /// Empty when the response names none.
  std::string attempt_id;
  /// The backend server has not run the call and will not.
  bool not_run = false;
  /// The response came from another backend server than the expected one.
  bool wrong_backend = false;
  /// The backend server is going to stop and must not get new calls.
  bool leaving = false;
  /// Time for which the backend server, turning the call away, asks this
  /// process for no further calls.
  std::optional<std::chrono::milliseconds> hold_off;
  /// Such a request that could not be read, for the log; empty if none.
  std::string unreadable_hold_off;
  std::optional<coordination::ReportedLoad> load;
  /// How long work takes on the machine of the backend server; 100 is as usual.
  std::optional<int> work_time_percent;
  /// Remaining time of the backend server's cold start.
  std::optional<std::chrono::milliseconds> cold_left;
};

/// Converts between the HTTP headers of an interface and call metadata.
struct CallCodec {
  std::function<CallMetadata(const HeaderList&)> decode_call;
  /// Replaces the headers that the gateway sets itself.
  std::function<void(const ForwardedCall&, HeaderList*)> encode_call;
  std::function<ReplyMetadata(const MessageHead&)> decode_reply;
};

}  // namespace wasabiwall::transport
