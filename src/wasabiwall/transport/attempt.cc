#include "wasabiwall/transport/attempt.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "wasabiwall/transport/logging.h"
#include "wasabiwall/transport/server_notices.h"

namespace wasabiwall::transport {
namespace {

using coordination::HealthSignal;
using std::chrono::milliseconds;

/// Time from the first event of a stream after which its backend server has
/// survived the beginning of the answer. Crashes were seen within 100 ms.
constexpr milliseconds kEstablishedTime{500};

std::vector<LogField> LogFieldsOf(const coordination::Placement& placement) {
  return {
      {"backend", placement.server.id.value},
      {"address", placement.server.address},
      {"load", std::to_string(placement.load)},
      {"mean_load", std::to_string(placement.mean_load)},
      {"load_bound", std::to_string(placement.load_bound)},
      {"rank", std::to_string(placement.rank)},
      {"fetch_from",
       placement.fetch_from ? placement.fetch_from->id.value : "-"},
  };
}

}  // namespace

Attempt::Attempt(GatewayContext* context, const ResolvedCall* call,
                 coordination::Placement placement, Hooks hooks)
    : m_context(context),
      m_call(call),
      m_placement(std::move(placement)),
      m_hooks(std::move(hooks)),
      m_timer(context->loop),
      m_reply(&context->response_buffers),
      m_rollout(context) {}

coordination::AttemptPolicy Attempt::Policy() const {
  return coordination::AttemptPolicy(*m_call->route);
}

void Attempt::SetStreamStart(bool caller_resumes, const Attempt* previous) {
  m_reply.StartCall(m_call->IsStream(), caller_resumes);
  if (previous != nullptr) m_reply.ContinueAfter(previous->m_reply);
}

void Attempt::Start(bool response_has_body, milliseconds max_connection_idle) {
  m_reply.StartAttempt(m_call->service->id.value, response_has_body);
  LogStart();
  const auto now = m_context->loop->Now();
  const state::BackendServer& server = Server();
  m_context->loads.OnSent(server.id);
  m_context->health.OnSent(server.id, now);
  m_context->cold_starts.OnSent(server.id, now);
  m_context->hold_offs.OnSent(server, now);
  m_rollout.OnStart(*m_call, server);
  m_connection = m_context->connections.Acquire(server, max_connection_idle);
  if (!m_connection->IsConnected()) {
    m_timer.StartAfterInput(Policy().ConnectTimeout(), [this] {
      const auto self = shared_from_this();
      m_hooks.on_connect_timeout(*this);
    });
  }
  m_connection->Send([this] { return EncodeRequest(); }, response_has_body,
                     ConnectionHandlers());
}

void Attempt::LogStart() const {
  std::vector<LogField> fields = {
      {"id", m_call->metadata.attempt_id},
      {"part", std::to_string(m_call->metadata.shared_part)},
      {"shared_tokens", std::to_string(m_call->metadata.shared_tokens)}};
  std::ranges::move(m_context->RegistryLogFields(Server().id),
                    std::back_inserter(fields));
  std::ranges::move(LogFieldsOf(m_placement), std::back_inserter(fields));
  LogInfo("backend_selected", fields);
}

BackendConnection::CallHandlers Attempt::ConnectionHandlers() {
  return {.belongs_to_call =
              [this](const MessageHead& head) { return BelongsToCall(head); },
          .on_head =
              [this](MessageHead head) {
                const auto self = shared_from_this();
                OnHead(std::move(head));
              },
          .on_body =
              [this](std::string_view data) {
                const auto self = shared_from_this();
                OnBody(data);
              },
          .on_complete =
              [this] {
                const auto self = shared_from_this();
                m_reply.OnMessageEnd();
                m_hooks.on_complete(*this);
              },
          .on_failed =
              [this] {
                const auto self = shared_from_this();
                if (const auto status = m_connection->InvalidStatus()) {
                  LogWarn("response_status_invalid",
                          {{"id", m_call->metadata.attempt_id},
                           {"backend", Server().id.value},
                           {"status", std::to_string(*status)}});
                }
                m_rollout.OnBrokenOff();
                m_hooks.on_failed(*this);
              }};
}

std::string Attempt::EncodeRequest() {
  std::string request;
  // The connection may have taken a while to open.
  if (!m_rollout.IsWithdrawn()) request = m_hooks.encode_request(*this);
  m_is_withdrawn = request.empty();
  if (m_is_withdrawn) return request;
  m_sent_at = m_context->loop->Now();
  m_rollout.OnWritten();
  StartIdleTimer();
  return request;
}

void Attempt::StartIdleTimer() {
  m_timer.Stop();
  if (!m_call->IsStream() && !m_hooks.may_run_again()) return;
  const auto idle_timeout = Policy().AttemptIdleTimeout(m_reply.HasStarted());
  m_timer.StartAfterInput(idle_timeout, [this] {
    const auto self = shared_from_this();
    m_hooks.on_idle_timeout(*this);
  });
}

bool Attempt::BelongsToCall(const MessageHead& head) {
  const auto reply = m_context->codec.decode_reply(head);
  const std::string& id = m_call->metadata.attempt_id;
  if (reply.attempt_id == id) return true;
  if (!reply.attempt_id.empty() || IsSuccess(head.status)) return false;
  // Backend servers name the call in their responses. Without its identifier,
  // an error may be extra bytes that follow the response to an earlier call;
  // there is none before the first response of a connection.
  if (m_connection->IsFirstResponse()) return true;
  m_connection->CloseAfterResponse();
  LogInfo("response_without_id_ignored",
          {{"id", id},
           {"backend", Server().id.value},
           {"status", std::to_string(head.status)}});
  return false;
}

void Attempt::OnHead(MessageHead head) {
  const auto now = m_context->loop->Now();
  ReplyMetadata metadata = m_context->codec.decode_reply(head);
  m_reply.OnHead(std::move(head), std::move(metadata));
  m_rollout.OnHead();
  const ReplyMetadata& reply = m_reply.Metadata();
  // Without the call's identifier, a late copy could not be told from the
  // response to a later call on this connection.
  if (reply.attempt_id.empty()) m_connection->CloseAfterResponse();
  m_context->failure_domains.OnAnswer(Server().failure_domain, now);
  ApplyServerNotices(m_placement, reply, m_call->metadata.attempt_id,
                     m_context);
  if (!m_reply.IsEventStream()) return;
  if (m_call->metadata.shared_part != 0) {
    m_context->prompt_directory.OnRead(m_call->metadata.shared_part,
                                       Server().id, now);
  }
  StartIdleTimer();
}

void Attempt::OnBody(std::string_view data) {
  std::string events;
  if (!m_reply.OnBody(data, &events)) {
    m_hooks.on_too_large(*this);
    return;
  }
  if (!m_reply.HasRoom()) WaitForRoom();
  if (!events.empty()) m_hooks.on_events(*this, events);
}

void Attempt::WaitForRoom() {
  if (!std::exchange(m_waits_for_room, true)) {
    LogInfo(
        "response_waits_for_room",
        {{"id", m_call->metadata.attempt_id},
         {"backend", Server().id.value},
         {"buffered_bytes", std::to_string(m_context->response_buffers.Used())},
         {"waiting", std::to_string(m_context->response_buffers.Waiting())}});
  }
  m_rollout.Ignore();
  // The backend server is not silent, it is not read.
  m_timer.Stop();
  m_connection->PauseReading();
  m_reply.WaitForRoom([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self) self->OnRoom();
  });
}

void Attempt::OnRoom() {
  m_waits_for_room = false;
  if (m_reading_paused || !m_connection) return;
  m_connection->ResumeReading();
  if (m_reply.IsEventStream()) StartIdleTimer();
}

void Attempt::PauseReading() {
  m_reading_paused = true;
  m_rollout.Ignore();
  // The backend server is not silent, it is not read.
  m_timer.Stop();
  if (m_connection) m_connection->PauseReading();
}

void Attempt::ResumeReading() {
  if (!std::exchange(m_reading_paused, false)) return;
  if (!m_connection || m_waits_for_room) return;
  m_connection->ResumeReading();
  StartIdleTimer();
}

void Attempt::OnProgress(std::optional<std::chrono::microseconds> gap) {
  const auto now = m_context->loop->Now();
  const state::BackendServerId& id = Server().id;
  if (m_first_event_at) {
    if (gap) m_context->event_intervals.OnEvent(id, *gap, now);
  } else {
    m_first_event_at = now;
    m_context->health.OnAnswerBegun(id, now);
  }
  m_rollout.OnEvents();
  StartIdleTimer();
}

bool Attempt::IsEstablished() const {
  return m_first_event_at &&
         m_context->loop->Now() - *m_first_event_at >= kEstablishedTime;
}

void Attempt::CountResponse(const char* end) {
  m_context->metrics.CountBackendResponse(m_reply.FramingName(), end);
}

void Attempt::End(HealthSignal signal) {
  m_timer.Stop();
  const auto connection = std::exchange(m_connection, nullptr);
  if (!connection) return;
  const state::BackendServerId& id = connection->Server().id;
  m_context->loads.OnFinished(id);
  m_rollout.OnEnded(signal);
  if (m_context->health.OnSignal(id, signal, m_context->loop->Now())) {
    LogWarn("backend_ejected",
            {{"backend", id.value},
             {"id", m_call->metadata.attempt_id},
             {"failure_share",
              std::to_string(m_context->health.FailureShare(id))}});
  }
  m_context->connections.Release(connection);
}

void Attempt::Abort(HealthSignal signal) {
  if (!m_connection) return;
  m_connection->Close();
  End(signal);
}

}  // namespace wasabiwall::transport
