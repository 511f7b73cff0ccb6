#include "wasabiwall/transport/client_connection.h"

#include <algorithm>
#include <utility>

#include "wasabiwall/transport/local_reply.h"
#include "wasabiwall/transport/logging.h"

namespace wasabiwall::transport {
namespace {

/// Pipelined bytes from which reading pauses while a request is being answered,
/// and from which the connection may be closed to make room: a head of the
/// usual limit.
constexpr std::size_t kMaxPipelinedBytes = 16U << 10U;
/// Unsent bytes of a response up to which the next request is read.
constexpr std::size_t kMaxUnsentBytes = 64U << 10U;
/// How long input is still read after a rejection, so that the response is not
/// lost to a connection reset.
constexpr std::chrono::milliseconds kLingerTime{500};
/// Longest time that response bytes may stay unacknowledged by a caller.
constexpr std::chrono::milliseconds kUnacknowledgedTimeout{10000};
constexpr std::size_t kHeadAllowanceBytes = 1024;

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
      m_timer(context->loop),
      m_entry(&context->clients,
              [this](ingress::EvictionReason reason) { Evict(reason); }) {}

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
  UpdateHeld();
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
  if (m_exchange || m_waits_for_drain) {
    m_pipelined.append(data);
    if (m_pipelined.size() > kMaxPipelinedBytes) {
      m_tcp->PauseReading();
      if (!m_entry.Waits()) m_entry.BeginWait(m_context->loop->Now());
    }
  } else {
    Parse(data);
  }
  if (m_closed) return;
  m_entry.OnProgress(data.size());
  MakeRoom();
}

void ClientConnection::MakeRoom() {
  UpdateHeld();
  if (m_rejected) {
    DropInput();
    return;
  }
  if (m_context->clients.MakeRoom(&m_entry, m_context->loop->Now())) return;
  if (m_exchange && m_exchange_started) {
    // Only what it has sent ahead can be dropped, with the connection.
    if (m_entry.Waits()) Evict(ingress::EvictionReason::kMemory);
    return;
  }
  m_exchange.reset();
  if (m_waits_for_drain) {
    Evict(ingress::EvictionReason::kMemory);
    return;
  }
  Reject(protocol::ErrorKind::kOverloaded);
  DropInput();
}

void ClientConnection::UpdateHeld() {
  m_entry.Hold(ingress::kConnectionBytes + m_parser.HeldBytes() +
               m_request_bytes + m_request.body.capacity() +
               m_pipelined.capacity() + m_tcp->HeldBytes());
}

void ClientConnection::DropInput() {
  m_entry.EndWait();
  m_parser.Discard();
  // Swapped, since an assignment would keep the memory of the strings.
  std::string().swap(m_request.body);
  m_request = {};
  m_request_bytes = 0;
  m_body_share.Resize(0);
  std::string().swap(m_pipelined);
  UpdateHeld();
}

void ClientConnection::Evict(ingress::EvictionReason reason) {
  const auto self = shared_from_this();
  const bool receives = !m_exchange && m_parser.InMessage() && !m_rejected;
  if (receives && reason == ingress::EvictionReason::kMemory) {
    Reject(protocol::ErrorKind::kOverloaded);
    DropInput();
    return;
  }
  LogEnd("client_evicted",
         reason == ingress::EvictionReason::kMemory ? "memory" : "connections");
  if (m_exchange) m_exchange->Cancel();
  m_tcp->Reset();
  Close();
}

void ClientConnection::LogEnd(const char* event, const char* reason) {
  const auto now = m_context->loop->Now();
  if (!m_context->client_log.Take(now)) return;
  const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(
      m_entry.Waits() ? now - m_entry.WaitsSince() : now - now);
  LogInfo(event,
          {{"reason", reason},
           {"client", m_tcp->PeerAddress()},
           {"held_bytes", std::to_string(m_entry.Held())},
           {"unread_bytes", std::to_string(m_tcp->QueuedBytes())},
           {"waited_ms", std::to_string(waited.count())},
           {"all_held_bytes", std::to_string(m_context->clients.Used())}});
}

void ClientConnection::CheckReadPace() {
  const std::size_t queued = m_tcp->QueuedBytes();
  if (queued == 0) {
    m_read_pace.Reset();
    return;
  }
  const std::size_t taken = m_written_bytes - std::min(queued, m_written_bytes);
  const std::size_t newly = taken - std::min(m_taken_bytes, taken);
  m_taken_bytes = taken;
  m_entry.OnProgress(newly);
  if (!m_read_pace.IsTooSlow(newly, m_context->options.read_pace,
                             m_context->loop->Now())) {
    return;
  }
  const auto self = shared_from_this();
  LogEnd("client_too_slow", "read_pace");
  ++m_context->slow_readers;
  if (m_exchange) m_exchange->Cancel();
  m_tcp->Reset();
  Close();
}

void ClientConnection::OnDrained() {
  const auto self = shared_from_this();
  if (!m_parser.InMessage() && m_pipelined.size() <= kMaxPipelinedBytes) {
    m_entry.EndWait();
  }
  UpdateHeld();
  if (m_exchange) {
    m_exchange->OnOutputDrained();
    return;
  }
  if (m_waits_for_drain) {
    ReadNextRequest();
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

void ClientConnection::Parse(std::string_view data) {
  m_parser.SetMaxHeadBytes(Limits().max_header_bytes + kHeadAllowanceBytes);
  const bool idle = !m_parser.InMessage();
  std::size_t consumed = 0;
  const auto status = m_parser.Feed(data, &consumed);
  if (m_closed || m_rejected) return;
  switch (status) {
    case Http1Parser::Status::kPaused:
      m_pipelined.assign(data.substr(consumed));
      if (m_pipelined.size() > kMaxPipelinedBytes) {
        m_tcp->PauseReading();
        m_entry.BeginWait(m_context->loop->Now());
      }
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
  if (!idle || !m_parser.InMessage()) return;
  StartReadTimer();
  m_entry.BeginWait(m_context->loop->Now());
}

bool ClientConnection::OnHead(MessageHead head) {
  m_request = {};
  m_keep_alive = head.keep_alive;
  const std::string* expect = head.headers.Find("Expect");
  const bool expects_continue =
      expect != nullptr && EqualsIgnoringCase(*expect, "100-continue");
  const auto length = DeclaredLength(head);
  m_request.head = std::move(head);
  m_request_bytes = MemoryBytesOf(m_request.head);
  const std::size_t limit = Limits().max_body_bytes;
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
  const std::size_t limit = Limits().max_body_bytes;
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
  // The only body has only the limit of the configuration.
  if (m_context->request_bodies.Used() == body_bytes) return true;
  m_body_share.Resize(0);
  LogEnd("request_without_room", "bodies");
  Reject(protocol::ErrorKind::kOverloaded);
  return false;
}

void ClientConnection::OnRequestComplete() {
  if (m_rejected) return;
  m_parser.Pause();
  m_timer.Stop();
  m_entry.EndWait();
  m_request.received = m_context->loop->Now();
  m_request_bytes += m_request.body.capacity();
  m_exchange_started = false;
  m_exchange = std::make_shared<Exchange>(
      m_context, std::exchange(m_request, {}), ResponseOutput(),
      [this](Exchange::End end) { OnExchangeEnd(end); });
  // Deferred, since the parser is still running.
  m_context->loop->Post([self = shared_from_this()] {
    if (!self->m_exchange) return;
    self->m_exchange_started = true;
    self->m_exchange->Start();
  });
}

CallerResponse::Output ClientConnection::ResponseOutput() {
  return {.write =
              [this](std::string bytes) {
                m_written_bytes += bytes.size();
                m_tcp->Write(std::move(bytes));
                if (m_tcp->QueuedBytes() == 0) return;
                if (!m_entry.Waits()) m_entry.BeginWait(m_context->loop->Now());
                UpdateHeld();
                m_context->MakeRoomSoon();
              },
          .queued_bytes = [this] { return m_tcp->QueuedBytes(); },
          .closes_connection =
              [this] { return !m_keep_alive || m_context->stopping; }};
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
  m_request_bytes = 0;
  if (m_closed) return;
  UpdateHeld();
  m_waits_for_drain = false;
  if (!m_keep_alive || m_context->stopping) {
    CloseWhenDelivered();
    return;
  }
  StartReadTimer();
  m_waits_for_drain = m_tcp->QueuedBytes() > kMaxUnsentBytes;
  if (m_waits_for_drain) return;
  m_parser.Resume();
  const std::string pipelined = std::exchange(m_pipelined, {});
  m_tcp->ResumeReading();
  if (pipelined.empty()) return;
  m_entry.EndWait();
  Parse(pipelined);
  if (!m_closed) MakeRoom();
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

state::IngressLimits ClientConnection::Limits() const {
  return m_context->Config() ? m_context->Config()->limits
                             : state::IngressLimits{};
}

void ClientConnection::StartReadTimer() {
  const state::IngressLimits limits = Limits();
  const auto timeout =
      m_parser.InMessage() ? limits.header_timeout : limits.idle_timeout;
  if (!m_parser.InMessage()) m_idle_since = m_context->loop->Now();
  StartTimer(timeout);
}

void ClientConnection::StartTimer(std::chrono::milliseconds timeout) {
  m_timeout = timeout;
  // Asked for only if needed: it takes a system call.
  m_unacknowledged_bytes = IsDelivering() ? m_tcp->UnacknowledgedBytes() : 0;
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
  // The configuration may have raised the limit since the timer was started.
  const auto idle_left =
      m_idle_since + Limits().idle_timeout - m_context->loop->Now();
  const bool is_idle = !m_rejected && !IsBusy() && !IsDelivering();
  if (is_idle && idle_left > std::chrono::microseconds(0)) {
    StartTimer(std::chrono::ceil<std::chrono::milliseconds>(idle_left));
    return;
  }
  Close();
}

void ClientConnection::Reject(protocol::ErrorKind kind) {
  m_rejected = true;
  const LocalReply reply = LocalReplyFor({kind, "", {}});
  std::string response = EncodeHead(reply.head, reply.body.size(), true);
  if (m_request.head.method != "HEAD") response += reply.body;
  m_tcp->Write(std::move(response));
  const char* name = protocol::RowOf(kind).name;
  LogEnd("request_rejected", name);
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
