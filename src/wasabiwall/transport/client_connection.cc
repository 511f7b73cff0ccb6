#include "wasabiwall/transport/client_connection.h"

#include <charconv>
#include <utility>

#include "wasabiwall/transport/local_reply.h"
#include "wasabiwall/transport/logging.h"

namespace wasabiwall::transport {
namespace {

/// Pipelined bytes from which reading pauses while a request is being answered.
constexpr std::size_t kMaxPipelinedBytes = 64U << 10U;
/// How long input is still read after a rejection, so that the response is not
/// lost to a connection reset.
constexpr std::chrono::milliseconds kLingerTime{500};
/// Longest time that response bytes may stay unacknowledged by a caller.
constexpr std::chrono::milliseconds kUnacknowledgedTimeout{10000};
constexpr std::size_t kHeadAllowanceBytes = 1024;

std::optional<std::size_t> DeclaredLength(const MessageHead& head) {
  const std::string* text = head.headers.Find("Content-Length");
  if (text == nullptr) return std::nullopt;
  std::size_t length = 0;
  std::from_chars(text->data(), text->data() + text->size(), length);
  return length;
}

}  // namespace

ClientConnection::ClientConnection(GatewayContext* context,
                                   ClosedHandler on_closed)
    : m_context(context),
      m_on_closed(std::move(on_closed)),
      m_parser(
          Http1Parser::Kind::kRequests,
          {.on_head =
               [this](MessageHead head) { return OnHead(std::move(head)); },
           .on_body = [this](std::string_view data) { OnBody(data); },
           .on_complete = [this] { OnRequestComplete(); }}),
      m_body_share(&context->request_bodies),
      m_timer(context->loop) {}

void ClientConnection::Accept(uv_stream_t* listener) {
  const TcpOptions options{.unacknowledged_timeout = kUnacknowledgedTimeout,
                           .keep_alive = true};
  m_tcp = std::make_unique<TcpConnection>(
      m_context->loop, listener, options,
      TcpConnection::Handlers{
          .on_connected = nullptr,
          .on_data = [this](std::string_view data) { OnData(data); },
          .on_end = [this](ConnectionEnd) { OnEnd(); },
          .on_drained = [this] { OnDrained(); }});
  StartReadTimer();
}

bool ClientConnection::IsBusy() const {
  return m_exchange || m_parser.InMessage() || !m_pipelined.empty() ||
         IsDelivering();
}

void ClientConnection::CloseIfIdle() {
  if (!IsBusy()) Close();
}

void ClientConnection::OnProcessExit() {
  const auto self = shared_from_this();
  if (m_exchange) m_exchange->OnProcessExit();
}

void ClientConnection::OnData(std::string_view data) {
  const auto self = shared_from_this();
  if (m_rejected || m_closes_when_delivered) return;
  if (!m_exchange) {
    Parse(data);
    return;
  }
  m_pipelined.append(data);
  if (m_pipelined.size() > kMaxPipelinedBytes) m_tcp->PauseReading();
}

void ClientConnection::Parse(std::string_view data) {
  const state::IngressLimits limits = m_context->Config()
                                          ? m_context->Config()->limits
                                          : state::IngressLimits{};
  m_parser.SetMaxHeadBytes(limits.max_header_bytes + kHeadAllowanceBytes);
  const bool idle = !m_parser.InMessage();
  std::size_t consumed = 0;
  const auto status = m_parser.Feed(data, &consumed);
  if (m_closed || m_rejected) return;
  switch (status) {
    case Http1Parser::Status::kPaused:
      m_pipelined.assign(data.substr(consumed));
      return;
    case Http1Parser::Status::kMalformed:
      Reject(protocol::ErrorKind::kBadRequest);
      return;
    case Http1Parser::Status::kHeadTooLarge:
      Reject(protocol::ErrorKind::kHeadTooLarge);
      return;
    case Http1Parser::Status::kOk:
      break;
  }
  if (idle && m_parser.InMessage()) StartReadTimer();
}

bool ClientConnection::OnHead(MessageHead head) {
  m_request = {};
  m_keep_alive = head.keep_alive;
  const std::string* expect = head.headers.Find("Expect");
  const bool expects_continue =
      expect != nullptr && EqualsIgnoringCase(*expect, "100-continue");
  const auto length = DeclaredLength(head);
  m_request.head = std::move(head);
  const std::size_t limit = m_context->Config()
                                ? m_context->Config()->limits.max_body_bytes
                                : state::IngressLimits{}.max_body_bytes;
  if (length && *length > limit) {
    Reject(protocol::ErrorKind::kBodyTooLarge);
    return true;
  }
  if (length && !TakeRoom(*length)) return true;
  if (expects_continue) m_tcp->Write("HTTP/1.1 100 Continue\r\n\r\n");
  return true;
}

void ClientConnection::OnBody(std::string_view data) {
  if (m_rejected) return;
  const std::size_t limit = m_context->Config()
                                ? m_context->Config()->limits.max_body_bytes
                                : state::IngressLimits{}.max_body_bytes;
  if (m_request.body.size() + data.size() > limit) {
    Reject(protocol::ErrorKind::kBodyTooLarge);
    return;
  }
  const std::size_t size = m_request.body.size() + data.size();
  if (size > m_body_share.Size() && !TakeRoom(size)) return;
  m_request.body.append(data);
}

bool ClientConnection::TakeRoom(std::size_t body_bytes) {
  if (m_body_share.Resize(body_bytes)) return true;
  m_body_share.Resize(0);
  LogInfo("request_without_room",
          {{"body_bytes", std::to_string(body_bytes)},
           {"held_bytes", std::to_string(m_context->request_bodies.Used())}});
  Reject(protocol::ErrorKind::kOverloaded);
  return false;
}

void ClientConnection::OnRequestComplete() {
  if (m_rejected) return;
  m_parser.Pause();
  m_timer.Stop();
  m_request.received = m_context->loop->Now();
  m_exchange = std::make_shared<Exchange>(
      m_context, std::move(m_request),
      CallerResponse::Output{
          .write =
              [this](std::string bytes) { m_tcp->Write(std::move(bytes)); },
          .queued_bytes = [this] { return m_tcp->QueuedBytes(); },
          .closes_connection =
              [this] { return !m_keep_alive || m_context->stopping; }},
      [this](Exchange::End end) { OnExchangeEnd(end); });
  // Deferred, since the parser is still running.
  m_context->loop->Post([self = shared_from_this()] {
    if (self->m_exchange) self->m_exchange->Start();
  });
}

void ClientConnection::OnExchangeEnd(Exchange::End end) {
  if (m_closed) return;
  if (end == Exchange::End::kTruncated) {
    m_tcp->Reset();
    Close();
    return;
  }
  m_context->loop->Post(
      [self = shared_from_this()] { self->ReadNextRequest(); });
}

void ClientConnection::ReadNextRequest() {
  m_exchange.reset();
  m_body_share.Resize(0);
  if (m_closed) return;
  if (!m_keep_alive || m_context->stopping) {
    CloseWhenDelivered();
    return;
  }
  StartReadTimer();
  m_parser.Resume();
  const std::string pipelined = std::exchange(m_pipelined, {});
  m_tcp->ResumeReading();
  if (!pipelined.empty()) Parse(pipelined);
}

void ClientConnection::OnDrained() {
  const auto self = shared_from_this();
  if (m_exchange) {
    m_exchange->OnOutputDrained();
    return;
  }
  const bool is_closing =
      m_closes_when_delivered || m_context->stop_deadline.has_value();
  if (is_closing && !IsBusy()) {
    Close();
    return;
  }
  // The idle time begins once the response is delivered.
  if (!IsBusy() && !m_rejected) StartReadTimer();
}

void ClientConnection::CloseWhenDelivered() {
  m_closes_when_delivered = true;
  if (IsDelivering()) {
    StartReadTimer();
  } else {
    Close();
  }
}

void ClientConnection::OnEnd() {
  const auto self = shared_from_this();
  if (m_exchange) m_exchange->Cancel();
  Close();
}

void ClientConnection::StartReadTimer() {
  const state::IngressLimits limits = m_context->Config()
                                          ? m_context->Config()->limits
                                          : state::IngressLimits{};
  const auto timeout =
      m_parser.InMessage() ? limits.header_timeout : limits.idle_timeout;
  if (!m_parser.InMessage()) m_idle_since = m_context->loop->Now();
  StartTimer(timeout);
}

void ClientConnection::StartTimer(std::chrono::milliseconds timeout) {
  m_timeout = timeout;
  m_unacknowledged_bytes = m_tcp->UnacknowledgedBytes();
  m_timer.Start(timeout, [this] { OnTimeout(); });
}

void ClientConnection::OnTimeout() {
  const auto self = shared_from_this();
  if (m_parser.InMessage() && !m_rejected) {
    Reject(protocol::ErrorKind::kSlowRequest);
    return;
  }
  // A caller that has taken bytes meanwhile is slow, not gone.
  if (IsDelivering() && m_tcp->UnacknowledgedBytes() < m_unacknowledged_bytes) {
    StartTimer(m_timeout);
    return;
  }
  Close();
}

void ClientConnection::Reject(protocol::ErrorKind kind) {
  m_rejected = true;
  const LocalReply reply = LocalReplyFor({kind, "", {}});
  m_tcp->Write(EncodeHead(reply.head, reply.body.size(), true) + reply.body);
  const char* name = protocol::RowOf(kind).name;
  LogInfo("request_rejected", {{"reason", name}});
  m_context->metrics.CountCall("", name);
  StartTimer(kLingerTime);
}

void ClientConnection::Close() {
  if (!m_closed) m_tcp->Close();
  NotifyClosed();
}

void ClientConnection::NotifyClosed() {
  if (std::exchange(m_closed, true)) return;
  m_timer.Stop();
  const auto on_closed = std::exchange(m_on_closed, nullptr);
  if (on_closed) on_closed(shared_from_this());
}

}  // namespace wasabiwall::transport
