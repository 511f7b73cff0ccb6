#include "wasabiwall/transport/async_http_client.h"

#include <utility>

namespace wasabiwall::transport {
namespace {

/// Longest idle time of a connection: longer than the pauses between calls.
constexpr std::chrono::milliseconds kMaxConnectionIdle{3000};

}  // namespace

struct AsyncHttpClient::PendingCall {
  explicit PendingCall(EventLoop* loop) : timer(loop) {}

  void Succeed() { Finish(std::move(reply)); }

  void Fail() {
    Finish(tl::make_unexpected(HttpCallFailure{reply.body.size()}));
  }

  void Finish(tl::expected<HttpReply, HttpCallFailure> result) {
    timer.Stop();
    const auto handler = std::exchange(on_reply, nullptr);
    if (handler) handler(std::move(result));
  }

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
    call->timer.Start(std::chrono::milliseconds(0), nullptr);
    call->timer.Stop();
  }
}

void AsyncHttpClient::Call(const std::string& method, const std::string& target,
                           const std::string& body,
                           std::chrono::milliseconds timeout,
                           ReplyHandler on_reply) {
  const auto call = std::make_shared<PendingCall>(m_loop);
  call->on_reply = std::move(on_reply);
  std::erase_if(m_pending, [](const auto& other) { return other.expired(); });
  m_pending.push_back(call);
  call->connection = m_pool.Acquire(m_server, kMaxConnectionIdle);
  std::string bytes = method + " " + target + " HTTP/1.1\r\n";
  AppendHeader("Host", m_server.address, &bytes);
  if (!body.empty()) AppendHeader("Content-Type", "application/json", &bytes);
  if (!body.empty() || method != "GET") {
    AppendHeader("Content-Length", std::to_string(body.size()), &bytes);
  }
  bytes.append("\r\n").append(body);
  call->timer.Start(timeout, [call] {
    call->connection->Close();
    call->Fail();
  });
  call->connection->Send(
      [bytes = std::move(bytes)] { return bytes; }, true,
      {.belongs_to_call = [](const MessageHead&) { return true; },
       .on_head =
           [call](const MessageHead& head) {
             call->reply.status = head.status;
           },
       .on_body =
           [call](std::string_view data) { call->reply.body.append(data); },
       .on_complete =
           [this, call] {
             m_pool.Release(call->connection);
             call->Succeed();
           },
       .on_failed = [call] { call->Fail(); }});
}

}  // namespace wasabiwall::transport
