#include "wasabiwall/transport/async_http_client.h"

#include <algorithm>
#include <utility>

namespace wasabiwall::transport {
namespace {

/// Longest idle time of a connection: longer than the pauses between calls.
constexpr std::chrono::milliseconds kMaxConnectionIdle{3000};

}  // namespace

struct AsyncHttpClient::PendingCall
    : public std::enable_shared_from_this<PendingCall> {
  PendingCall(EventLoop* event_loop, const HttpCallLimits& call_limits)
      : loop(event_loop), limits(call_limits), timer(event_loop) {}

  void OnHead(const MessageHead& head) {
    reply.status = head.status;
    reply.headers = head.headers;
    reply.began_at = loop->Now();
    if (DeclaredLength(head).value_or(0) > limits.max_body_bytes) {
      Abort(HttpCallFailure::Reason::kTooLarge);
      return;
    }
    RestartTimer();
  }

  void OnBody(std::string_view data) {
    if (reply.body.size() + data.size() > limits.max_body_bytes) {
      Abort(HttpCallFailure::Reason::kTooLarge);
      return;
    }
    reply.body.append(data);
    RestartTimer();
  }

  void StartTimer(std::chrono::milliseconds timeout) {
    timer.Start(timeout, [call = shared_from_this()] {
      call->Abort(HttpCallFailure::Reason::kNoReply);
    });
  }

  /// Waits for more of the response.
  void RestartTimer() {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        reply.began_at + limits.transfer_timeout - loop->Now());
    StartTimer(
        std::clamp(left, std::chrono::milliseconds(0), limits.idle_timeout));
  }

  void Abort(HttpCallFailure::Reason reason) {
    connection->Close();
    Fail(reason);
  }

  void Succeed() { Finish(std::move(reply)); }

  void Fail(HttpCallFailure::Reason reason) {
    Finish(tl::make_unexpected(HttpCallFailure{reason, reply.body.size()}));
  }

  void Finish(tl::expected<HttpReply, HttpCallFailure> result) {
    timer.Stop();
    const auto handler = std::exchange(on_reply, nullptr);
    if (handler) handler(std::move(result));
  }

  EventLoop* loop;
  HttpCallLimits limits;
  Timer timer;
  HttpReply reply;
  std::shared_ptr<BackendConnection> connection;
  ReplyHandler on_reply;
};

AsyncHttpClient::AsyncHttpClient(EventLoop* loop, const std::string& address)
    : m_loop(loop), m_pool(loop) {
  m_server.id = state::BackendServerId(address);
  m_server.address = address;
}

AsyncHttpClient::~AsyncHttpClient() {
  for (const auto& pending : m_pending) {
    const auto call = pending.lock();
    if (!call) continue;
    call->connection->Close();
    // The timer's callback holds a reference to the call.
    call->timer.Stop();
  }
}

void AsyncHttpClient::Call(const std::string& method, const std::string& target,
                           const std::string& body,
                           const HttpCallLimits& limits,
                           ReplyHandler on_reply) {
  const auto call = std::make_shared<PendingCall>(m_loop, limits);
  call->on_reply = std::move(on_reply);
  std::erase_if(m_pending, [](const auto& other) { return other.expired(); });
  m_pending.push_back(call);
  call->connection = m_pool.Acquire(m_server, limits.new_connection
                                                  ? BackendPool::kNewConnection
                                                  : kMaxConnectionIdle);
  if (limits.new_connection) call->connection->CloseAfterResponse();
  std::string bytes = method + " " + target + " HTTP/1.1\r\n";
  AppendHeader("Host", m_server.address, &bytes);
  if (!body.empty()) AppendHeader("Content-Type", "application/json", &bytes);
  if (!body.empty() || method != "GET") {
    AppendHeader("Content-Length", std::to_string(body.size()), &bytes);
  }
  bytes.append("\r\n").append(body);
  call->StartTimer(limits.first_byte_timeout);
  call->connection->Send(
      [bytes = std::move(bytes)] { return bytes; }, true,
      {.belongs_to_call = [](const MessageHead&) { return true; },
       .on_head = [call](const MessageHead& head) { call->OnHead(head); },
       .on_body = [call](std::string_view data) { call->OnBody(data); },
       .on_complete =
           [this, call] {
             m_pool.Release(call->connection);
             call->Succeed();
           },
       .on_failed = [call] { call->Fail(HttpCallFailure::Reason::kNoReply); }});
}

}  // namespace wasabiwall::transport
