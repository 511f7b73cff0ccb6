#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "wasabiwall/transport/backend_pool.h"

namespace wasabiwall::transport {

/// Response to a call of AsyncHttpClient.
struct HttpReply {
  int status = 0;
  HeaderList headers;
  std::string body;
  /// When its head arrived.
  coordination::TimePoint began_at;
};

/// Limits of a call of AsyncHttpClient. The time that a call takes depends on
/// the size of its response, so that only a call without progress times out
/// early.
struct HttpCallLimits {
  /// Longest time until the response begins.
  std::chrono::milliseconds first_byte_timeout{1000};
  /// Longest time without a byte of the response after that.
  std::chrono::milliseconds idle_timeout{1000};
  /// Longest time from the first to the last byte.
  std::chrono::milliseconds transfer_timeout{5000};
  /// A response with a larger body is not read.
  std::size_t max_body_bytes = 8U << 20U;
  /// Whether the call gets a connection of its own, which ends with it.
  bool new_connection = false;
};

/// A call of AsyncHttpClient without a response.
struct HttpCallFailure {
  enum class Reason {
    /// The call failed or timed out.
    kNoReply,
    /// The body is larger than allowed.
    kTooLarge,
  };

  Reason reason = Reason::kNoReply;
  /// Bytes of the body that had arrived by then.
  std::size_t received_bytes = 0;
};

/// Sends requests to one HTTP service on an event loop, over pooled
/// connections.
class AsyncHttpClient {
 public:
  using ReplyHandler =
      std::function<void(tl::expected<HttpReply, HttpCallFailure>)>;

  AsyncHttpClient(EventLoop* loop, const std::string& address);

  /// Cancels pending calls; their handlers are not called.
  ~AsyncHttpClient();
  AsyncHttpClient(const AsyncHttpClient&) = delete;
  AsyncHttpClient& operator=(const AsyncHttpClient&) = delete;

  /// Sends a request.
  /// @param body Sent as JSON when not empty.
  void Call(const std::string& method, const std::string& target,
            const std::string& body, const HttpCallLimits& limits,
            ReplyHandler on_reply);

 private:
  struct PendingCall;

  EventLoop* m_loop;
  state::BackendServer m_server;
  BackendPool m_pool;
  std::vector<std::weak_ptr<PendingCall>> m_pending;
};

}  // namespace wasabiwall::transport
