#include "wasabiwall/transport/exchange.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "wasabiwall/coordination/request_fingerprint.h"
#include "wasabiwall/protocol/event_stream.h"
#include "wasabiwall/transport/forwarded_request.h"
#include "wasabiwall/transport/local_reply.h"
#include "wasabiwall/transport/logging.h"

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

milliseconds ToMilliseconds(std::chrono::microseconds time) {
  return std::chrono::duration_cast<milliseconds>(time);
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
      m_quarantine(context),
      m_holder_lookup(context),
      m_queue_wait(&context->queue),
      m_move(context,
             [this] {
               const auto self = shared_from_this();
               return StartMove();
             }),
      m_hedge(context) {}

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
  const auto resolve = [this] {
    const auto self = shared_from_this();
    m_queue_wait.Leave();
    Resolve();
  };
  return m_queue_wait.Enter({.service = {},
                             .priority = 0,
                             .expires = m_request.received + wait,
                             .try_place =
                                 [this, resolve] {
                                   if (!m_context->Config()) return false;
                                   resolve();
                                   return true;
                                 },
                             .on_expired = resolve});
}

void Exchange::Resolve() {
  if (const auto error = ResolveCall(*m_context, m_request.head,
                                     m_request.received, &m_call)) {
    Fail(*error);
    return;
  }
  m_quarantine.Start(m_request.head, m_request.body, m_call);
  m_deadline_timer.StartAfterInput(TimeLeft(), [this] { OnDeadline(); });
  m_context->RetryBudgetFor(m_call.service->id).OnFirstAttempt();
  m_context->hedging.OnCall(m_call.service->id);
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
  return {
      .service = m_call.service,
      .shared_part =
          m_call.route->prefers_cached_prompt ? m_call.metadata.shared_part : 0,
      .shared_tokens = m_call.metadata.shared_tokens,
      .tried = m_tried_servers,
      .silent_domains = m_silent_domains,
      .versions =
          VersionsFor(*m_context, m_call,
                      m_attempt ? m_attempt->Server().version : std::string())};
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
      m_queue_wait.Leave();
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
  m_queue_wait.Leave();
  Refuse(ErrorKind::kDraining, "stopping");
  return true;
}

bool Exchange::Place() {
  if (RefuseIfStopping() || RefuseIfQuarantined()) return true;
  const auto placement =
      m_context->placement.Choose(Query(), m_context->loop->Now());
  if (!placement) {
    if (!m_queue_wait.IsWaiting()) Enqueue(placement.error());
    return false;
  }
  StartAttempt(*placement);
  return true;
}

void Exchange::Enqueue(PlacementRefusal refusal) {
  auto wait = Policy().QueueTimeout(refusal, QueueStage(), TimeLeft());
  if (refusal == PlacementRefusal::kHeldOff && HoldOffLeft() > wait) {
    wait = milliseconds(0);
  }
  m_tried_servers.clear();
  const bool waits =
      wait > milliseconds{0} &&
      m_queue_wait.Enter({.service = m_call.service->id,
                          .priority = m_call.Priority(),
                          .response_begun = m_response.HasBegun(),
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
                              }});
  LogInfo("no_backend_available",
          {{"id", m_call.metadata.attempt_id},
           {"reason", NameOf(refusal)},
           {"service", m_call.service->id.value},
           {"waits_ms", std::to_string(waits ? wait.count() : 0)}});
  if (!waits) RefuseUnplaced(refusal);
}

coordination::AttemptPolicy::QueueStage Exchange::QueueStage() const {
  using Stage = coordination::AttemptPolicy::QueueStage;
  if (m_response.HasBegun()) return Stage::kResponseBegun;
  return m_tried_servers.empty() ? Stage::kNew : Stage::kTried;
}

void Exchange::RefuseUnplaced(PlacementRefusal refusal) {
  m_queue_wait.Leave();
  const bool held_off = refusal == PlacementRefusal::kHeldOff;
  Refuse(coordination::ErrorOf(refusal), NameOf(refusal),
         held_off ? HoldOffLeft() : milliseconds(0));
}

void Exchange::Refuse(ErrorKind kind, const char* detail,
                      milliseconds hold_off) {
  const auto longest = coordination::MaxRetryAfter(TimeLeft());
  const auto after = m_context->retry_after_scheduler.Next(
      std::min(coordination::MinRetryAfter(kind), longest),
      m_context->loop->Now());
  Fail({kind, detail, hold_off + std::min(after, longest)});
}

void Exchange::StartAttempt(coordination::Placement placement) {
  m_queue_wait.Leave();
  const bool is_first = m_contacted_servers.empty();
  m_attempt = MakeAttempt(std::move(placement));
  if (is_first) {
    m_hedge.Arm(m_call, *m_attempt, [this] { OnHedgeDue(); });
  }
  StartSending(*m_attempt);
}

std::shared_ptr<Attempt> Exchange::MakeAttempt(
    coordination::Placement placement) {
  const bool caller_resumes =
      m_request.head.headers.Find(kLastEventId) != nullptr;
  auto attempt = std::make_shared<Attempt>(
      m_context, &m_call, std::move(placement), AttemptHooks());
  attempt->SetStreamStart(caller_resumes, m_attempt.get());
  return attempt;
}

void Exchange::StartSending(Attempt& attempt) {
  const state::BackendServerId id = attempt.Server().id;
  m_tried_servers.push_back(id);
  // A copy of the response to an earlier send of this call would be taken for
  // the response to this one.
  const bool is_repeat = !m_contacted_servers.insert(id).second;
  attempt.Start(
      m_request.head.method != "HEAD",
      is_repeat ? BackendPool::kNewConnection : Policy().MaxConnectionIdle());
}

Attempt::Hooks Exchange::AttemptHooks() {
  const auto guarded = [this](auto method) {
    return [this, method](Attempt& attempt) {
      const auto self = shared_from_this();
      m_move.Cancel();
      (this->*method)(attempt);
    };
  };
  return {
      .encode_request =
          [this](Attempt& attempt) { return EncodeRequest(attempt); },
      .may_run_again = [this] { return Policy().MayRunAgain(m_counts); },
      .on_events =
          [this](Attempt& attempt, const std::string& events) {
            const auto self = shared_from_this();
            OnEvents(attempt, events);
          },
      .on_complete = guarded(&Exchange::OnReplyComplete),
      .on_failed = guarded(&Exchange::OnAttemptFailed),
      .on_too_large = guarded(&Exchange::OnReplyTooLarge),
      .on_connect_timeout = guarded(&Exchange::OnConnectTimeout),
      .on_idle_timeout = guarded(&Exchange::OnIdleTimeout),
  };
}

std::string Exchange::EncodeRequest(const Attempt& attempt) {
  // The connection may have taken a while to open.
  if (m_quarantine.IsWithdrawn()) return "";
  ++m_counts.sends;
  ++m_counts.runs;
  ForwardedCall call{.time_left = std::max(milliseconds{1}, TimeLeft()),
                     .backend_server = attempt.Server().id,
                     .priority = m_call.Priority()};
  if (m_call.workspace != nullptr) call.workspace = m_call.workspace->id;
  call.last_event_id = attempt.Reply().LastEventId();
  if (const auto& holder = attempt.Placement().fetch_from) {
    call.fetch_from = holder->address;
  }
  return EncodeForwardedRequest(m_request.head, m_request.body, call,
                                m_context->codec);
}

void Exchange::OnHedgeDue() {
  const auto self = shared_from_this();
  if (m_ended || m_second_attempt || m_response.HasBegun() ||
      !m_attempt->IsRunning() || m_quarantine.IsWithdrawn()) {
    return;
  }
  auto placement = m_hedge.Choose(m_call, *m_attempt, m_counts, Query());
  if (!placement) return;
  m_move.Cancel();
  m_second_attempt = MakeAttempt(std::move(*placement));
  StartSending(*m_second_attempt);
}

void Exchange::KeepOnly(Attempt& winner) {
  const bool is_second = &winner == m_second_attempt.get();
  const auto loser = is_second ? m_attempt : m_second_attempt;
  const bool is_move = std::exchange(m_is_moving, false);
  m_hedge.OnAnswered(m_call, winner, is_move ? nullptr : loser.get());
  if (!loser) return;
  if (is_second) m_attempt = m_second_attempt;
  m_second_attempt.reset();
  const bool was_silent = is_move && is_second;
  if (was_silent) loser->Rollout().OnSilent();
  // The health of engines has counted the silence of a stream already.
  loser->Abort(was_silent && !m_call.IsStream() ? HealthSignal::kFailed
                                                : HealthSignal::kRefused);
}

bool Exchange::DropIfSecond(const Attempt& attempt) {
  if (!m_second_attempt) return false;
  const bool is_move = std::exchange(m_is_moving, false);
  const auto other = std::exchange(m_second_attempt, nullptr);
  if (&attempt != other.get()) m_attempt = other;
  LogInfo(is_move ? "moved_attempt_failed" : "hedged_attempt_failed",
          {{"id", m_call.metadata.attempt_id},
           {"backend", attempt.Server().id.value},
           {"remaining_backend", m_attempt->Server().id.value}});
  // It may have fallen silent meanwhile; the one that failed may have room
  // again by then.
  m_tried_servers = {m_attempt->Server().id};
  m_attempt->RestartIdleTimer();
  return true;
}

void Exchange::OnEvents(Attempt& attempt, const std::string& events) {
  // A backend server that sends nothing else may have stalled.
  if (protocol::HasContent(events)) {
    m_move.Cancel();
    KeepOnly(attempt);
    attempt.OnProgress(m_response.OnEvents(m_call.WorkspaceName()));
    if (attempt.HasJustBeenEstablished())
      m_quarantine.OnEstablished(attempt.SentAt());
  } else if (&attempt == m_second_attempt.get()) {
    return;
  }
  if (!m_response.HasBegun()) WriteHead(attempt.Reply(), std::nullopt);
  m_response.Write(EncodeChunk(events));
  if (!m_ended && m_response.IsBehind()) attempt.PauseReading();
}

void Exchange::OnReplyTooLarge(Attempt& attempt) {
  attempt.Abort(HealthSignal::kFailed);
  if (DropIfSecond(attempt)) return;
  Fail({ErrorKind::kAnswerCut, "answer too large", {}});
}

void Exchange::OnReplyComplete(Attempt& attempt) {
  const ReplyReader& reply = attempt.Reply();
  const char* truncation = reply.TruncationReason();
  attempt.CountResponse(truncation != nullptr ? truncation : "complete");
  const bool wrong_backend = reply.Metadata().wrong_backend;
  if (wrong_backend) m_context->crash_monitor.OnGone(attempt.Server().id);
  if (reply.Metadata().not_run) {
    if (!wrong_backend) {
      m_context->hedging.OnFull(m_call.service->id, m_context->loop->Now());
    }
    attempt.End(wrong_backend ? HealthSignal::kReplaced
                              : HealthSignal::kRefused);
    --m_counts.runs;
    RetryOrFail(attempt, true, ErrorKind::kOverloaded,
                wrong_backend ? "backend_replaced" : "refused_by_backend");
    return;
  }
  if (truncation != nullptr) {
    m_quarantine.OnBroken(attempt.Server(), attempt.IsEstablished(),
                          attempt.SentAt());
    attempt.Rollout().OnBrokenOff();
    if (m_quarantine.IsSuspect()) attempt.Rollout().Ignore();
    attempt.End(HealthSignal::kFailed);
    RetryOrFail(attempt, false, ErrorKind::kAnswerCut, truncation);
    return;
  }
  m_quarantine.OnAnswered(reply.Head().status, attempt.SentAt());
  const bool failed = reply.Head().status >= kFirstServerError;
  const bool continues = reply.IsEventStream() || reply.HasNothingLeft();
  const bool is_usable = !failed && (continues || !m_response.HasBegun());
  if (is_usable) KeepOnly(attempt);
  attempt.End(failed ? HealthSignal::kFailed : HealthSignal::kAnswered);
  if (!is_usable && DropIfSecond(attempt)) return;
  if (reply.IsEventStream() ||
      (m_response.HasBegun() && reply.HasNothingLeft())) {
    FinishStream(reply);
    return;
  }
  if (m_response.HasBegun() || (failed && Policy().MayRunAgain(m_counts))) {
    RetryOrFail(attempt, false, ErrorKind::kBackendServerFailed,
                failed ? "error_answer" : "no_event_stream");
    return;
  }
  WriteBufferedReply(reply);
}

void Exchange::OnAttemptFailed(Attempt& attempt) {
  if (attempt.IsWithdrawn()) {
    attempt.End(HealthSignal::kRefused);
    if (!DropIfSecond(attempt)) Place();
    return;
  }
  if (!attempt.HasSent()) {
    attempt.End(HealthSignal::kUnreachable);
    ++m_counts.unreachable;
    RetryOrFail(attempt, true, ErrorKind::kNoBackendServer, "unreachable");
    return;
  }
  const bool invalid_status = attempt.HasInvalidStatus();
  // An idle connection may have been dropped by the peer without notice.
  const bool stale = !invalid_status && attempt.IsStale();
  attempt.CountResponse(invalid_status ? "invalid_status"
                                       : "connection_broken");
  m_quarantine.OnBroken(attempt.Server(), attempt.IsEstablished(),
                        attempt.SentAt());
  if (m_quarantine.IsSuspect()) attempt.Rollout().Ignore();
  attempt.End(stale ? HealthSignal::kRefused : HealthSignal::kFailed);
  RetryOrFail(attempt, false,
              attempt.Reply().HasStarted() ? ErrorKind::kAnswerCut
                                           : ErrorKind::kBackendServerCrashed,
              invalid_status ? "invalid_status"
              : stale        ? "idle_connection_dropped"
                             : "connection_broken");
}

void Exchange::OnConnectTimeout(Attempt& attempt) {
  const state::BackendServer& server = attempt.Server();
  m_silent_domains.push_back(server.failure_domain);
  m_context->failure_domains.OnConnectTimeout(server, m_context->loop->Now());
  attempt.Abort(HealthSignal::kUnreachable);
  ++m_counts.unreachable;
  RetryOrFail(attempt, true, ErrorKind::kNoBackendServer, "connect_timeout");
}

void Exchange::OnIdleTimeout(Attempt& attempt) {
  // The other attempt is the retry.
  if (m_second_attempt) return;
  m_move.OnSilent(m_call, attempt, m_tried_servers,
                  Policy().MayRetry(m_counts, false, TimeLeft()));
}

bool Exchange::StartMove() {
  if (m_quarantine.IsSuspect()) return false;
  auto placement = m_context->placement.Choose(Query(), m_context->loop->Now());
  if (!placement || !TakeRetryToken()) return false;
  m_move.Cancel();
  LogInfo("attempt_moves", {{"id", m_call.metadata.attempt_id},
                            {"from", m_attempt->Server().id.value},
                            {"to", placement->server.id.value}});
  m_is_moving = true;
  m_second_attempt = MakeAttempt(std::move(*placement));
  StartSending(*m_second_attempt);
  return true;
}

void Exchange::CancelSecond() {
  m_hedge.Disarm();
  const auto hedge = std::exchange(m_second_attempt, nullptr);
  if (hedge) hedge->Abort(HealthSignal::kRefused);
}

void Exchange::RetryOrFail(const Attempt& attempt, bool not_run, ErrorKind kind,
                           const char* reason) {
  if (DropIfSecond(attempt)) return;
  const ReplyReader& reply = attempt.Reply();
  const bool will_retry =
      Policy().MayRetry(m_counts, not_run, TimeLeft()) && TakeRetryToken();
  std::vector<LogField> fields = {
      {"id", m_call.metadata.attempt_id},
      {"backend", attempt.Server().id.value},
      {"fingerprint", m_quarantine.Fingerprint()},
      {"reason", reason},
      {"not_run", not_run ? "true" : "false"},
      {"repeats", will_retry ? "true" : "false"},
      {"left_ms", std::to_string(TimeLeft().count())}};
  std::ranges::move(reply.LogFields(), std::back_inserter(fields));
  LogInfo("attempt_failed", fields);
  if (will_retry) {
    Place();
    return;
  }
  if (reply.IsCompletePlain() && !not_run && !m_response.HasBegun() &&
      reply.Head().status >= kFirstServerError) {
    WriteBufferedReply(reply);
    return;
  }
  Refuse(kind, reason);
}

void Exchange::WriteHead(const ReplyReader& reply,
                         std::optional<std::size_t> length) {
  m_response.WriteHead(reply.Head(), length, m_call.WorkspaceName());
}

void Exchange::WriteBufferedReply(const ReplyReader& reply) {
  // Callers send a call again that has not run; only what the backend server
  // says of it shows that, and it has said nothing.
  if (!m_call.route->IsIdempotent() && PromisesNotRun(reply.Head().status)) {
    Fail({ErrorKind::kBackendServerFailed, "unexplained_refusal", {}});
    return;
  }
  WriteHead(reply, reply.Length());
  if (m_ended) return;
  m_response.Write(reply.Body());
  FinishAnswered(reply);
}

void Exchange::FinishStream(const ReplyReader& reply) {
  if (!m_response.HasBegun()) WriteHead(reply, std::nullopt);
  if (m_ended) return;
  const std::string& rest = reply.Rest();
  std::string bytes = rest.empty() ? "" : EncodeChunk(rest);
  m_response.Write(bytes.append(kLastChunk));
  FinishAnswered(reply);
}

void Exchange::FinishAnswered(const ReplyReader& reply) {
  Finish(End::kComplete, "answered_" + std::to_string(reply.Head().status));
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
  m_queue_wait.Leave();
  const bool has_started = m_attempt && m_attempt->Reply().HasStarted();
  if (m_attempt) m_attempt->Rollout().OnDeadline();
  AbortAttempt(has_started ? HealthSignal::kRefused : HealthSignal::kFailed);
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
  CancelSecond();
  m_quarantine.OnEnded(m_counts.runs > 0);
  m_holder_lookup.Cancel();
  m_queue_wait.Leave();
  m_move.Cancel();
  const auto now = m_context->loop->Now();
  const bool answered = outcome.starts_with("answered");
  if (answered) m_context->retry_after_scheduler.OnAnswered(now);
  m_context->metrics.CountCall(m_call.WorkspaceName(), answered ? "" : outcome);
  m_context->metrics.CountAttempts(m_counts.sends);
  std::vector<LogField> fields = m_call.LogFields();
  std::ranges::move(m_quarantine.LogFields(), std::back_inserter(fields));
  const auto took = ToMilliseconds(now - m_request.received);
  fields.insert(fields.end(), {{"outcome", outcome},
                               {"sends", std::to_string(m_counts.sends)},
                               {"may_have_run", std::to_string(m_counts.runs)},
                               {"total_ms", std::to_string(took.count())}});
  std::ranges::move(m_response.LogFields(), std::back_inserter(fields));
  const ReplyReader none(&m_context->response_buffers);
  const ReplyReader& reply = m_attempt ? m_attempt->Reply() : none;
  std::ranges::move(reply.LogFields(), std::back_inserter(fields));
  LogInfo("call", fields);
  m_on_end(end);
}

}  // namespace wasabiwall::transport
