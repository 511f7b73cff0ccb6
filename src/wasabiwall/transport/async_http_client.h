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
  std::string body;
};

/// A call of AsyncHttpClient that failed or timed out.
struct HttpCallFailure {
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
  /// @param timeout Time after which the call fails.
  void Call(const std::string& method, const std::string& target,
            const std::string& body, std::chrono::milliseconds timeout,
            ReplyHandler on_reply);

 private:
  struct PendingCall;

  EventLoop* m_loop;
  state::BackendServer m_server;
  BackendPool m_pool;
  std::vector<std::weak_ptr<PendingCall>> m_pending;
};

}  // namespace wasabiwall::transport
