#include "wasabiwall/transport/exchange.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "wasabiwall/coordination/request_fingerprint.h"
#include "wasabiwall/protocol/event_stream.h"
#include "wasabiwall/transport/forwarded_request.h"
#include "wasabiwall/transport/local_reply.h"
#include "wasabiwall/transport/logging.h"
#include "wasabiwall/transport/server_notices.h"

namespace wasabiwall::transport {
namespace {

using coordination::HealthSignal;
using coordination::PlacementRefusal;
using protocol::ErrorKind;
using std::chrono::milliseconds;

/// Longest time that a call waits for a gateway that has just started to know
/// its configuration, and the share of the call's time that this may take.
constexpr milliseconds kMaxStartWait{500};
constexpr int kStartWaitDivisor = 8;

/// Header with which a caller resumes a stream.
constexpr std::string_view kLastEventId = "Last-Event-ID";

constexpr int kFirstServerError = 500;

/// @return The parts as fingerprints name them, separated by commas.
std::string NamesOf(const std::vector<std::uint64_t>& prompt_parts) {
  std::string names;
  for (const std::uint64_t part : prompt_parts) {
    if (!names.empty()) names += ',';
    names += coordination::FingerprintOfPromptPart(part);
  }
  return names.empty() ? "-" : names;
}

milliseconds ToMilliseconds(std::chrono::microseconds time) {
  return std::chrono::duration_cast<milliseconds>(time);
}

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

Exchange::Exchange(GatewayContext* context, GatewayRequest request,
                   CallerResponse::Output output,
                   std::function<void(End)> on_end)
    : m_context(context),
      m_request(std::move(request)),
      m_response(context->loop, &context->metrics, std::move(output),
                 m_request.received),
      m_on_end(std::move(on_end)),
      m_deadline_timer(context->loop),
      m_attempt_timer(context->loop),
      m_quarantine(context),
      m_holder_lookup(context),
      m_reply(&context->response_buffers) {}

void Exchange::Start() {
  if (m_ended) return;
  const auto self = shared_from_this();
  m_call.deadline = m_request.received;
  if (!m_context->Config() && WaitForConfig()) return;
  Resolve();
}

bool Exchange::WaitForConfig() {
  if (!m_context->starting) return false;
  const auto metadata = m_context->codec.decode_call(m_request.head.headers);
  const auto wait =
      std::min(kMaxStartWait,
               metadata.deadline.value_or(kMaxStartWait) / kStartWaitDivisor);
  return m_context->queue.Add({.service = {},
                               .priority = 0,
                               .expires = m_request.received + wait,
                               .try_place =
                                   [this] {
                                     if (!m_context->Config()) return false;
                                     const auto self = shared_from_this();
                                     m_waiter_id = 0;
                                     Resolve();
                                     return true;
                                   },
                               .on_expired =
                                   [this] {
                                     const auto self = shared_from_this();
                                     m_waiter_id = 0;
                                     Resolve();
                                   }},
                              &m_waiter_id);
}

void Exchange::Resolve() {
  if (const auto error = ResolveCall(*m_context, m_request.head,
                                     m_request.received, &m_call)) {
    Fail(*error);
    return;
  }
  m_quarantine.Start(m_request.head, m_request.body, m_call);
  const bool resumes = m_request.head.headers.Find(kLastEventId) != nullptr;
  m_reply.StartCall(m_call.IsStream(), resumes);
  m_deadline_timer.Start(TimeLeft(), [this] { OnDeadline(); });
  m_context->RetryBudgetFor(m_call.service->id).OnFirstAttempt();
  const bool asks_for_holders = m_holder_lookup.Start(
      Query(), m_call.metadata.attempt_id, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self) self->Place();
      });
  if (!asks_for_holders) Place();
}

milliseconds Exchange::TimeLeft() const {
  return ToMilliseconds(m_call.deadline - m_context->loop->Now());
}

coordination::PlacementQuery Exchange::Query() const {
  return {.service = m_call.service,
          .shared_part = m_call.route->prefers_cached_prompt
                             ? m_call.metadata.shared_part
                             : 0,
          .shared_tokens = m_call.metadata.shared_tokens,
          .tried = m_tried_servers,
          .silent_domains = m_silent_domains};
}

bool Exchange::RefuseIfQuarantined() {
  const bool has_run = m_counts.runs > 0;
  switch (m_quarantine.Check(has_run, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && !self->m_ended) self->Place();
  })) {
    case QuarantineGuard::Verdict::kRun:
      return false;
    case QuarantineGuard::Verdict::kUndecided:
      m_waiter_id = 0;
      return true;
    case QuarantineGuard::Verdict::kRefuse:
      break;
  }
  Fail({has_run ? ErrorKind::kBackendServerCrashed : ErrorKind::kCrashSuspect,
        "", m_quarantine.RetryAfter()});
  return true;
}

bool Exchange::RefuseIfStopping() {
  const auto& stop_deadline = m_context->stop_deadline;
  if (!stop_deadline || m_counts.runs > 0 ||
      m_call.deadline <= *stop_deadline) {
    return false;
  }
  m_waiter_id = 0;
  Refuse(ErrorKind::kDraining, "stopping");
  return true;
}

bool Exchange::Place() {
  if (RefuseIfStopping() || RefuseIfQuarantined()) return true;
  const auto placement =
      m_context->placement.Choose(Query(), m_context->loop->Now());
  if (!placement) {
    if (m_waiter_id == 0) Enqueue(placement.error());
    return false;
  }
  StartAttempt(*placement);
  return true;
}

void Exchange::Enqueue(PlacementRefusal refusal) {
  auto wait =
      Policy().QueueTimeout(refusal, !m_tried_servers.empty(), TimeLeft());
  if (refusal == PlacementRefusal::kHeldOff && HoldOffLeft() > wait) {
    wait = milliseconds(0);
  }
  m_tried_servers.clear();
  const bool waits =
      wait > milliseconds{0} &&
      m_context->queue.Add({.service = m_call.service->id,
                            .priority = m_call.Priority(),
                            .expires = m_context->loop->Now() + wait,
                            .try_place =
                                [this] {
                                  const auto self = shared_from_this();
                                  return Place();
                                },
                            .on_expired =
                                [this, refusal] {
                                  const auto self = shared_from_this();
                                  RefuseUnplaced(refusal);
                                }},
                           &m_waiter_id);
  LogInfo("no_backend_available",
          {{"id", m_call.metadata.attempt_id},
           {"reason", NameOf(refusal)},
           {"service", m_call.service->id.value},
           {"waits_ms", std::to_string(waits ? wait.count() : 0)}});
  if (!waits) RefuseUnplaced(refusal);
}

void Exchange::RefuseUnplaced(PlacementRefusal refusal) {
  m_waiter_id = 0;
  const bool held_off = refusal == PlacementRefusal::kHeldOff;
  Refuse(coordination::ErrorOf(refusal), NameOf(refusal),
         held_off ? HoldOffLeft() : milliseconds(0));
}

milliseconds Exchange::HoldOffLeft() const {
  return m_context->placement.HoldOffLeft(*m_call.service,
                                          m_context->loop->Now());
}

void Exchange::Refuse(ErrorKind kind, const char* detail,
                      milliseconds hold_off) {
  const auto longest = coordination::MaxRetryAfter(TimeLeft());
  const auto after = m_context->retry_after_scheduler.Next(
      std::min(coordination::MinRetryAfter(kind), longest),
      m_context->loop->Now());
  Fail({kind, detail, hold_off + std::min(after, longest)});
}

coordination::AttemptPolicy Exchange::Policy() const {
  return coordination::AttemptPolicy(*m_call.route);
}

void Exchange::StartAttempt(coordination::Placement placement) {
  m_waiter_id = 0;
  const state::BackendServer& server = placement.server;
  m_tried_servers.push_back(server.id);
  m_reply.StartAttempt(m_call.service->id.value);
  m_waits_for_room = false;
  m_attempt_has_events = false;
  std::vector<LogField> fields = {
      {"id", m_call.metadata.attempt_id},
      {"part", std::to_string(m_call.metadata.shared_part)},
      {"shared_tokens", std::to_string(m_call.metadata.shared_tokens)}};
  std::ranges::move(m_context->RegistryLogFields(server.id),
                    std::back_inserter(fields));
  std::ranges::move(LogFieldsOf(placement), std::back_inserter(fields));
  LogInfo("backend_selected", fields);
  m_context->loads.OnSent(server.id);
  m_context->health.OnSent(server.id, m_context->loop->Now());
  m_context->cold_starts.OnSent(server.id, m_context->loop->Now());
  m_context->hold_offs.OnSent(server, m_context->loop->Now());
  // A copy of the response to an earlier send of this call would be taken for
  // the response to this one.
  const bool is_repeat = !m_contacted_servers.insert(server.id).second;
  m_connection = m_context->connections.Acquire(
      server,
      is_repeat ? BackendPool::kNewConnection : Policy().MaxConnectionIdle());
  m_placement = std::move(placement);
  if (!m_connection->IsConnected()) {
    m_attempt_timer.Start(Policy().ConnectTimeout(),
                          [this] { OnConnectTimeout(); });
  }
  const auto guarded = [this](auto method) {
    return [this, method] {
      const auto self = shared_from_this();
      (this->*method)();
    };
  };
  m_connection->Send(
      [this] { return EncodeRequest(); }, m_request.head.method != "HEAD",
      {.belongs_to_call =
           [this](const MessageHead& head) {
             const auto reply = m_context->codec.decode_reply(head);
             return reply.attempt_id == m_call.metadata.attempt_id ||
                    (reply.attempt_id.empty() && !IsSuccess(head.status));
           },
       .on_head =
           [this](MessageHead head) {
             const auto self = shared_from_this();
             OnReplyHead(std::move(head));
           },
       .on_body =
           [this](std::string_view data) {
             const auto self = shared_from_this();
             OnReplyBody(data);
           },
       .on_complete = guarded(&Exchange::OnReplyComplete),
       .on_failed = guarded(&Exchange::OnAttemptFailed)});
}

std::string Exchange::EncodeRequest() {
  // The connection may have taken a while to open.
  m_is_withdrawn = m_quarantine.IsWithdrawn();
  if (m_is_withdrawn) return "";
  ++m_counts.sends;
  ++m_counts.runs;
  m_sent_at = m_context->loop->Now();
  StartIdleTimer();
  ForwardedCall call{.time_left = std::max(milliseconds{1}, TimeLeft()),
                     .backend_server = m_placement->server.id,
                     .priority = m_call.Priority()};
  if (m_call.workspace != nullptr) call.workspace = m_call.workspace->id;
  call.last_event_id = m_reply.LastEventId();
  if (m_placement->fetch_from) {
    call.fetch_from = m_placement->fetch_from->address;
  }
  return EncodeForwardedRequest(m_request.head, m_request.body, call,
                                m_context->codec);
}

void Exchange::StartIdleTimer() {
  m_attempt_timer.Stop();
  const bool is_stream = m_call.IsStream();
  if (!is_stream && !Policy().MayRunAgain(m_counts)) return;
  const auto idle_timeout = Policy().AttemptIdleTimeout(m_reply.HasStarted());
  m_attempt_timer.Start(idle_timeout, [this] {
    const auto self = shared_from_this();
    OnIdleTimeout();
  });
}

void Exchange::OnReplyHead(MessageHead head) {
  const auto now = m_context->loop->Now();
  ReplyMetadata metadata = m_context->codec.decode_reply(head);
  m_reply.OnHead(std::move(head), std::move(metadata));
  const ReplyMetadata& reply = m_reply.Metadata();
  // Without the call's identifier, a late copy could not be told from the
  // response to a later call on this connection.
  if (reply.attempt_id.empty()) m_connection->CloseAfterResponse();
  m_context->failure_domains.OnAnswer(m_placement->server.failure_domain, now);
  ApplyServerNotices(*m_placement, reply, m_call.metadata.attempt_id,
                     m_context);
  if (!m_reply.IsEventStream()) return;
  if (m_call.metadata.shared_part != 0) {
    m_context->prompt_directory.OnRead(m_call.metadata.shared_part,
                                       m_placement->server.id, now);
  }
  StartIdleTimer();
}

void Exchange::OnReplyBody(std::string_view data) {
  std::string events;
  if (!m_reply.OnBody(data, &events)) {
    AbortAttempt(HealthSignal::kFailed);
    Fail({ErrorKind::kAnswerCut, "answer too large", {}});
    return;
  }
  if (!m_reply.HasRoom()) WaitForRoom();
  if (events.empty()) return;
  // A backend server that sends nothing else may have stalled.
  if (protocol::HasContent(events)) OnEvents();
  ForwardEvents(events);
}

void Exchange::WaitForRoom() {
  if (!std::exchange(m_waits_for_room, true)) {
    LogInfo(
        "response_waits_for_room",
        {{"id", m_call.metadata.attempt_id},
         {"backend", m_placement->server.id.value},
         {"buffered_bytes", std::to_string(m_context->response_buffers.Used())},
         {"waiting", std::to_string(m_context->response_buffers.Waiting())}});
  }
  // The backend server is not silent, it is not read.
  m_attempt_timer.Stop();
  m_connection->PauseReading();
  m_reply.WaitForRoom([this] {
    m_waits_for_room = false;
    if (m_reading_paused || !m_connection) return;
    m_connection->ResumeReading();
    if (m_reply.IsEventStream()) StartIdleTimer();
  });
}

void Exchange::OnEvents() {
  const auto now = m_context->loop->Now();
  const state::BackendServerId& id = m_placement->server.id;
  const auto gap = m_response.OnEvents(m_call.WorkspaceName());
  if (std::exchange(m_attempt_has_events, true)) {
    if (gap) m_context->event_intervals.OnEvent(id, *gap, now);
  } else {
    m_context->health.OnAnswerBegun(id, now);
  }
  StartIdleTimer();
}

void Exchange::ForwardEvents(const std::string& events) {
  if (!m_response.HasBegun()) WriteHead(std::nullopt);
  m_response.Write(EncodeChunk(events));
  if (m_ended || !m_response.IsBehind()) return;
  m_reading_paused = true;
  m_connection->PauseReading();
}

void Exchange::OnOutputDrained() {
  if (!std::exchange(m_reading_paused, false)) return;
  if (m_connection && !m_waits_for_room) m_connection->ResumeReading();
}

void Exchange::CountResponse(const char* end) {
  m_context->metrics.CountBackendResponse(m_reply.FramingName(), end);
}

void Exchange::OnReplyComplete() {
  m_reply.OnMessageEnd();
  const char* truncation = m_reply.TruncationReason();
  CountResponse(truncation != nullptr ? truncation : "complete");
  const ReplyMetadata& reply = m_reply.Metadata();
  if (reply.wrong_backend) {
    m_context->crash_monitor.OnGone(m_placement->server.id);
  }
  if (reply.not_run) {
    EndAttempt(reply.wrong_backend ? HealthSignal::kReplaced
                                   : HealthSignal::kRefused);
    --m_counts.runs;
    RetryOrFail(
        true, ErrorKind::kOverloaded,
        reply.wrong_backend ? "backend_replaced" : "refused_by_backend");
    return;
  }
  if (truncation != nullptr) {
    m_quarantine.OnBroken(m_placement->server);
    EndAttempt(HealthSignal::kFailed);
    RetryOrFail(false, ErrorKind::kAnswerCut, truncation);
    return;
  }
  m_quarantine.OnAnswered(m_reply.Head().status, m_sent_at);
  const bool failed = m_reply.Head().status >= kFirstServerError;
  EndAttempt(failed ? HealthSignal::kFailed : HealthSignal::kAnswered);
  if (m_reply.IsEventStream()) {
    FinishStream();
    return;
  }
  if (m_response.HasBegun() || (failed && Policy().MayRunAgain(m_counts))) {
    RetryOrFail(false, ErrorKind::kBackendServerFailed,
                failed ? "error_answer" : "no_event_stream");
    return;
  }
  WriteBufferedReply();
}

void Exchange::OnAttemptFailed() {
  if (std::exchange(m_is_withdrawn, false)) {
    EndAttempt(HealthSignal::kRefused);
    Place();
    return;
  }
  if (!m_connection->HasSent()) {
    EndAttempt(HealthSignal::kUnreachable);
    ++m_counts.unreachable;
    RetryOrFail(true, ErrorKind::kNoBackendServer, "unreachable");
    return;
  }
  // An idle connection may have been dropped by the peer without notice.
  const bool has_started = m_reply.HasStarted();
  const bool stale = m_connection->WasUsedBefore() && !has_started;
  CountResponse("connection_broken");
  m_quarantine.OnBroken(m_placement->server);
  EndAttempt(stale ? HealthSignal::kRefused : HealthSignal::kFailed);
  RetryOrFail(
      false,
      has_started ? ErrorKind::kAnswerCut : ErrorKind::kBackendServerCrashed,
      stale ? "idle_connection_dropped" : "connection_broken");
}

void Exchange::OnConnectTimeout() {
  const auto self = shared_from_this();
  const state::BackendServer& server = m_placement->server;
  m_silent_domains.push_back(server.failure_domain);
  m_context->failure_domains.OnConnectTimeout(server, m_context->loop->Now());
  AbortAttempt(HealthSignal::kUnreachable);
  ++m_counts.unreachable;
  RetryOrFail(true, ErrorKind::kNoBackendServer, "connect_timeout");
}

void Exchange::OnIdleTimeout() {
  const bool will_retry = Policy().MayRunAgain(m_counts) &&
                          Policy().MayRetry(m_counts, false, TimeLeft()) &&
                          TakeRetryToken();
  const state::BackendServerId id = m_placement->server.id;
  // The duration of plain calls varies too much for one call that times out to
  // indicate a failing backend server.
  const bool is_ejected =
      m_call.IsStream() && m_context->health.OnResponseTimeout(
                               id, m_sent_at, m_context->loop->Now());
  LogInfo("attempt_idle_timeout",
          {{"id", m_call.metadata.attempt_id},
           {"backend", id.value},
           {"begun", m_reply.HasStarted() ? "true" : "false"},
           {"spared", is_ejected ? "true" : "false"},
           {"repeats", will_retry ? "true" : "false"}});
  if (!will_retry) return;
  AbortAttempt(m_call.IsStream() ? HealthSignal::kRefused
                                 : HealthSignal::kFailed);
  Place();
}

void Exchange::EndAttempt(HealthSignal signal) {
  m_attempt_timer.Stop();
  const auto connection = std::exchange(m_connection, nullptr);
  if (!connection) return;
  const state::BackendServerId& id = connection->Server().id;
  m_context->loads.OnFinished(id);
  if (m_context->health.OnSignal(id, signal, m_context->loop->Now())) {
    LogWarn("backend_ejected",
            {{"backend", id.value},
             {"id", m_call.metadata.attempt_id},
             {"failure_share",
              std::to_string(m_context->health.FailureShare(id))}});
  }
  m_context->connections.Release(connection);
}

void Exchange::AbortAttempt(HealthSignal signal) {
  if (!m_connection) return;
  m_connection->Close();
  EndAttempt(signal);
}

bool Exchange::TakeRetryToken() {
  return m_counts.sends == 0 ||
         m_context->RetryBudgetFor(m_call.service->id).Take();
}

void Exchange::RetryOrFail(bool not_run, ErrorKind kind, const char* reason) {
  const bool will_retry =
      Policy().MayRetry(m_counts, not_run, TimeLeft()) && TakeRetryToken();
  std::vector<LogField> fields = {
      {"id", m_call.metadata.attempt_id},
      {"backend", m_placement->server.id.value},
      {"fingerprint", m_quarantine.Fingerprint()},
      {"reason", reason},
      {"not_run", not_run ? "true" : "false"},
      {"repeats", will_retry ? "true" : "false"},
      {"left_ms", std::to_string(TimeLeft().count())}};
  std::ranges::move(m_reply.LogFields(), std::back_inserter(fields));
  LogInfo("attempt_failed", fields);
  if (will_retry) {
    Place();
    return;
  }
  if (m_reply.IsCompletePlain() && !not_run && !m_response.HasBegun() &&
      m_reply.Head().status >= kFirstServerError) {
    WriteBufferedReply();
    return;
  }
  Refuse(kind, reason);
}

void Exchange::WriteHead(std::optional<std::size_t> length) {
  m_response.WriteHead(m_reply.Head(), length, m_call.WorkspaceName());
}

void Exchange::WriteBufferedReply() {
  WriteHead(m_reply.Body().size());
  if (m_ended) return;
  m_response.Write(m_reply.Body());
  FinishAnswered();
}

void Exchange::FinishStream() {
  if (!m_response.HasBegun()) WriteHead(std::nullopt);
  if (m_ended) return;
  const std::string& rest = m_reply.Rest();
  std::string bytes = rest.empty() ? "" : EncodeChunk(rest);
  m_response.Write(bytes.append(kLastChunk));
  FinishAnswered();
}

void Exchange::FinishAnswered() {
  Finish(End::kComplete, "answered_" + std::to_string(m_reply.Head().status));
}

void Exchange::Fail(protocol::Error error) {
  if (m_ended) return;
  if (m_response.HasBegun()) {
    Finish(End::kTruncated, protocol::RowOf(error.kind).name);
    return;
  }
  // A call that may have run must not be reported as not run.
  if (m_counts.runs > 0 && protocol::RowOf(error.kind).not_run) {
    error.kind = ErrorKind::kBackendServerFailed;
  }
  const LocalReply reply = LocalReplyFor(error);
  m_response.WriteHead(reply.head, reply.body.size(), m_call.WorkspaceName());
  if (m_ended) return;
  if (m_request.head.method != "HEAD") m_response.Write(reply.body);
  Finish(End::kComplete, protocol::RowOf(error.kind).name);
}

void Exchange::OnDeadline() {
  const auto self = shared_from_this();
  if (m_waiter_id != 0) {
    m_context->queue.Remove(std::exchange(m_waiter_id, 0));
  }
  AbortAttempt(m_reply.HasStarted() ? HealthSignal::kRefused
                                    : HealthSignal::kFailed);
  Fail({m_counts.runs > 0 ? ErrorKind::kDeadlineExceeded
                          : ErrorKind::kDeadlineTooShort,
        "",
        {}});
}

void Exchange::OnProcessExit() {
  if (m_ended) return;
  const auto self = shared_from_this();
  AbortAttempt(HealthSignal::kRefused);
  Refuse(ErrorKind::kDraining, "stopping");
}

void Exchange::Cancel() {
  if (m_ended) return;
  const auto self = shared_from_this();
  AbortAttempt(HealthSignal::kRefused);
  m_response.Discard();
  Finish(End::kTruncated, "cancelled");
}

void Exchange::Finish(End end, const std::string& outcome) {
  if (std::exchange(m_ended, true)) return;
  m_deadline_timer.Stop();
  m_attempt_timer.Stop();
  m_quarantine.OnEnded(m_counts.runs > 0);
  m_holder_lookup.Cancel();
  if (m_waiter_id != 0) m_context->queue.Remove(std::exchange(m_waiter_id, 0));
  const auto now = m_context->loop->Now();
  const std::string workspace = m_call.WorkspaceName();
  const bool answered = outcome.starts_with("answered");
  if (answered) m_context->retry_after_scheduler.OnAnswered(now);
  m_context->metrics.CountCall(workspace, answered ? "" : outcome);
  m_context->metrics.CountAttempts(m_counts.sends);
  std::vector<LogField> fields = {
      {"id", m_call.metadata.attempt_id},
      {"fingerprint",
       m_quarantine.Fingerprint().empty() ? "-" : m_quarantine.Fingerprint()},
      {"parts", NamesOf(m_call.metadata.prompt_parts)},
      {"held_by", m_quarantine.HeldBy()},
      {"outcome", outcome},
      {"route", m_call.route != nullptr ? m_call.route->name : "-"},
      {"workspace", workspace.empty() ? "-" : workspace},
      {"config", std::to_string(m_call.config ? m_call.config->version : 0)},
      {"sends", std::to_string(m_counts.sends)},
      {"may_have_run", std::to_string(m_counts.runs)},
      {"total_ms",
       std::to_string(ToMilliseconds(now - m_request.received).count())}};
  std::ranges::move(m_response.LogFields(), std::back_inserter(fields));
  std::ranges::move(m_reply.LogFields(), std::back_inserter(fields));
  LogInfo("call", fields);
  m_on_end(end);
}

}  // namespace wasabiwall::transport
