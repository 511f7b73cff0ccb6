#include "wasabiwall/transport/backend_connection.h"

#include <charconv>
#include <utility>

namespace wasabiwall::transport {
namespace {

constexpr int kFirstFinalStatus = 200;
constexpr int kFirstStatus = 100;
constexpr int kLastStatus = 599;
/// After this status the connection speaks another protocol, which no call asks
/// for.
constexpr int kSwitchingProtocols = 101;
/// Bytes that may come without a byte of the call's response body: heads,
/// chunk framing, and responses to calls that were abandoned.
constexpr std::size_t kMaxBytesWithoutBody = 256U << 10U;

bool IsStatus(int status) {
  return status >= kFirstStatus && status <= kLastStatus &&
         status != kSwitchingProtocols;
}

/// @return Seconds of `timeout=N` in a Keep-Alive field.
std::optional<std::chrono::seconds> ParseIdleTimeout(
    const std::string* keep_alive) {
  constexpr std::string_view name = "timeout=";
  if (keep_alive == nullptr) return std::nullopt;
  const auto at = keep_alive->find(name);
  if (at == std::string::npos) return std::nullopt;
  int seconds = 0;
  const char* begin = keep_alive->data() + at + name.size();
  const auto result =
      std::from_chars(begin, keep_alive->data() + keep_alive->size(), seconds);
  if (result.ec != std::errc()) return std::nullopt;
  return std::chrono::seconds(seconds);
}

}  // namespace

BackendConnection::BackendConnection(EventLoop* loop,
                                     state::BackendServer server)
    : m_loop(loop),
      m_server(std::move(server)),
      m_parser(
          Http1Parser::Kind::kResponses,
          {.on_head =
               [this](MessageHead head) { return OnHead(std::move(head)); },
           .on_body = [this](std::string_view data) { OnBody(data); },
           .on_complete = [this] { OnMessageComplete(); }}) {}

void BackendConnection::Open(const TcpOptions& options,
                             std::function<void()> on_ended) {
  m_on_ended = std::move(on_ended);
  const auto address = ParseAddress(m_server.address);
  m_tcp = std::make_unique<TcpConnection>(
      m_loop, address.value_or(Address{}), options,
      TcpConnection::Handlers{
          .on_connected = [this] { SendNow(); },
          .on_data = [this](std::string_view data) { OnData(data); },
          .on_end = [this](ConnectionEnd end) { OnEnd(end); },
          .on_drained = nullptr});
}

void BackendConnection::Send(std::function<std::string()> request,
                             bool response_has_body, CallHandlers handlers) {
  m_request = std::move(request);
  m_call = std::make_shared<CallHandlers>(std::move(handlers));
  m_response_has_body = response_has_body;
  m_request_sent = m_head_received = m_discarding = m_response_complete = false;
  m_bytes_without_body = 0;
  if (m_tcp->IsConnected()) SendNow();
}

void BackendConnection::SendNow() {
  if (!m_request) return;
  const std::string bytes = std::exchange(m_request, nullptr)();
  if (bytes.empty()) {
    const auto self = shared_from_this();
    Fail();
    return;
  }
  m_request_sent = true;
  m_tcp->Write(bytes);
}

void BackendConnection::Close() {
  const auto self = shared_from_this();
  m_call.reset();
  m_request = nullptr;
  m_unusable = true;
  if (m_tcp) m_tcp->Close();
  if (std::exchange(m_ended, true)) return;
  const auto on_ended = std::exchange(m_on_ended, nullptr);
  if (on_ended) on_ended();
}

bool BackendConnection::IsReusable() const {
  return !m_unusable && m_keep_alive && !m_parser.InMessage() &&
         IsConnected() && m_tcp->QueuedBytes() == 0;
}

void BackendConnection::OnData(std::string_view data) {
  const auto self = shared_from_this();
  std::size_t consumed = 0;
  m_bytes_without_body += data.size();
  const auto status = m_parser.Feed(data, &consumed);
  if (status != Http1Parser::Status::kOk ||
      m_bytes_without_body > kMaxBytesWithoutBody) {
    m_unusable = true;
  }
  if (m_response_complete) {
    Complete();
    return;
  }
  if (m_unusable) Fail();
}

void BackendConnection::OnEnd(ConnectionEnd end) {
  const auto self = shared_from_this();
  // A body without a length is complete when the peer closes the connection in
  // order. Nothing tells whether one that ends before the request was written
  // does so on purpose.
  const bool is_complete = end == ConnectionEnd::kClosed &&
                           m_tcp->QueuedBytes() == 0 && m_parser.InBody() &&
                           m_parser.FeedEof();
  m_unusable = true;
  if (is_complete && m_response_complete) {
    Complete();
    return;
  }
  Fail();
}

bool BackendConnection::OnHead(MessageHead head) {
  if (!IsStatus(head.status)) {
    m_invalid_status = head.status;
    m_unusable = true;
    m_discarding = true;
    return true;
  }
  if (head.status < kFirstFinalStatus) {
    m_discarding = true;
    return true;
  }
  if (!m_call || m_head_received || m_unusable) {
    // Bytes after a complete response belong to no call.
    m_unusable = true;
    m_discarding = true;
    return true;
  }
  m_discarding = !m_call->belongs_to_call(head);
  m_keep_alive = m_keep_alive && head.keep_alive;
  if (m_discarding) {
    m_has_discarded = true;
    return true;
  }
  m_head_received = true;
  if (const auto idle_timeout =
          ParseIdleTimeout(head.headers.Find("Keep-Alive"))) {
    m_idle_timeout = idle_timeout;
  }
  const auto call = m_call;
  call->on_head(std::move(head));
  return m_response_has_body;
}

void BackendConnection::OnBody(std::string_view data) {
  if (m_discarding || !m_call) return;
  m_bytes_without_body = 0;
  const auto call = m_call;
  call->on_body(data);
}

void BackendConnection::OnMessageComplete() {
  if (!m_discarding && m_head_received) m_response_complete = true;
}

void BackendConnection::Complete() {
  ++m_completed_calls;
  m_response_complete = false;
  const auto call = std::exchange(m_call, nullptr);
  if (call) call->on_complete();
  if (m_unusable) Close();
}

void BackendConnection::Fail() {
  const auto call = std::exchange(m_call, nullptr);
  Close();
  if (call) call->on_failed();
}

}  // namespace wasabiwall::transport
