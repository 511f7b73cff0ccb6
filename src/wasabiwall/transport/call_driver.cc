#include "wasabiwall/transport/call_driver.h"

#include <algorithm>
#include <optional>
#include <thread>
#include <utility>

#include "wasabiwall/coordination/crash_record_codec.h"
#include "wasabiwall/protocol/event_stream.h"
#include "wasabiwall/state/digest.h"

namespace wasabiwall::transport {
namespace {

namespace gen = protocol::gen;
using coordination::CallPlan;
using coordination::DeliveryFailure;
using coordination::PlannedCall;
using coordination::Step;
using coordination::StepKind;
using coordination::TimePoint;
using protocol::Error;
using protocol::ErrorKind;
using std::chrono::milliseconds;

constexpr milliseconds kPullWait{2000};
constexpr std::int64_t kPullBytes = 256 << 10;

milliseconds Until(TimePoint deadline, TimePoint now) {
  return std::chrono::duration_cast<milliseconds>(deadline - now);
}

Error ToError(const std::string& kind, const std::string& detail,
              std::int64_t retry_after_ms) {
  Error error{protocol::ParseErrorKind(kind).value_or(ErrorKind::kInternal),
              detail,
              {}};
  if (retry_after_ms > 0) error.retry_after = milliseconds(retry_after_ms);
  return error;
}

}  // namespace

/// State of one call while it is driven.
class CallDriver::Run {
 public:
  Run(CallDriver* driver, const PlannedCall& call, ServerResponse* response)
      : m_driver(driver),
        m_call(call),
        m_response(response),
        m_plan(driver->m_entry->MakePlan(call)),
        m_clock(coordination::SteadyClock()),
        m_started(m_clock()),
        m_content_type(call.streaming ? "text/event-stream"
                                      : "application/json") {}

  CallOutcome Drive() {
    Step step = m_plan.Start(m_clock());
    while (step.kind != StepKind::kDone && step.kind != StepKind::kFail) {
      step = Carry(step);
    }
    m_outcome.attempts = m_plan.Attempts();
    if (step.kind == StepKind::kDone) {
      m_driver->m_entry->OnAnswered(m_call);
      FinishAnswer();
    } else {
      AnswerError(
          m_driver->m_entry->WithRetryAfter(m_call.request.pool, step.error));
    }
    return m_outcome;
  }

 private:
  Step Carry(const Step& step) {
    switch (step.kind) {
      case StepKind::kSubmit:
        return Submit(step);
      case StepKind::kPull:
        return Pull(step);
      case StepKind::kTombstone:
        return Tombstone(step);
      default:
        std::this_thread::sleep_for(step.wait);
        return m_plan.OnWaited(m_clock());
    }
  }

  std::string AddressOf(const state::BackendServerId& server) const {
    const auto view = m_driver->m_config->View();
    const auto found = view->backend_servers.find(server.value);
    return found == view->backend_servers.end() ? "" : found->second.side;
  }

  gen::Envelope MakeEnvelope(const state::BackendServerId& target) const {
    gen::Envelope envelope = m_driver->m_hooks.make_envelope(target);
    m_driver->m_entry->Stamp(AddressOf(target), &envelope);
    return envelope;
  }

  Step Submit(const Step& step) {
    gen::SubmitRequest request = m_call.request;
    request.envelope = MakeEnvelope(step.target);
    request.attempt_id = step.attempt.value;
    request.request_id = m_call.request.request_id;
    request.deadline_ms = Until(m_call.spec.deadline, m_clock()).count();
    request.crashes = coordination::ToThrift(
        m_driver->m_entry->Crashes().Of(request.fingerprint, m_clock()));
    request.last_resort = step.last_resort;
    m_outcome.backend_server = step.target.value;
    m_outcome.attempt = step.attempt.value;
    const auto reply =
        m_driver->m_peers->Submit(AddressOf(step.target), request);
    if (!reply) {
      m_driver->m_entry->Members().OnFailure(step.target, m_clock());
      return m_plan.OnSubmitFailed(m_clock(), reply.error());
    }
    Heard(step.target, reply->envelope);
    m_driver->m_entry->Crashes().Observe(
        coordination::FromThrift(reply->crashes), m_clock());
    if (reply->admitted) return m_plan.OnAdmitted(m_clock());
    return m_plan.OnRefused(
        m_clock(),
        ToError(reply->error_kind, reply->detail, reply->retry_after_ms),
        state::BackendServerId(reply->owner));
  }

  Step Pull(const Step& step) {
    gen::PullRequest request;
    request.envelope = MakeEnvelope(step.target);
    request.attempt_id = step.attempt.value;
    request.offset = step.offset;
    request.max_bytes = kPullBytes;
    const milliseconds left = Until(m_call.spec.deadline, m_clock());
    request.wait_ms = std::clamp(left, milliseconds(0), kPullWait).count();
    const auto reply = m_driver->m_peers->Pull(AddressOf(step.target), request);
    if (!reply) {
      m_driver->m_entry->Members().OnFailure(step.target, m_clock());
      return m_plan.OnPullFailed(m_clock());
    }
    Heard(step.target, reply->envelope);
    m_driver->m_entry->Crashes().Observe(
        coordination::FromThrift(reply->crashes), m_clock());
    // A late or crossed reply is not this attempt's next part.
    if (reply->attempt_id != step.attempt.value ||
        reply->offset != step.offset) {
      return m_plan.OnPullFailed(m_clock());
    }
    if (!Forward(*reply)) {
      Cancel(step);
      return {.kind = StepKind::kFail,
              .error = {ErrorKind::kCancelled, "", {}}};
    }
    if (!reply->ended) return m_plan.OnPart(m_clock(), m_received);
    return Ended(*reply);
  }

  Step Ended(const gen::PullReply& reply) {
    if (!reply.error_kind.empty()) {
      return m_plan.OnEnded(m_clock(), ToError(reply.error_kind, reply.detail,
                                               reply.retry_after_ms));
    }
    const bool whole =
        reply.total_bytes == m_received && reply.digest == m_digest.Finish();
    if (whole) return m_plan.OnEnded(m_clock(), std::nullopt);
    return m_plan.OnEnded(m_clock(), Error{ErrorKind::kAnswerCut, "", {}});
  }

  Step Tombstone(const Step& step) {
    gen::TombstoneRequest request;
    request.envelope = MakeEnvelope(step.target);
    request.attempt_id = step.attempt.value;
    const auto reply =
        m_driver->m_peers->Tombstone(AddressOf(step.target), request);
    if (!reply) return m_plan.OnTombstoneFailed(m_clock());
    return m_plan.OnTombstone(m_clock(), reply->never_started);
  }

  void Cancel(const Step& step) {
    gen::TombstoneRequest request;
    request.envelope = MakeEnvelope(step.target);
    request.attempt_id = step.attempt.value;
    request.cancel = m_call.spec.idempotent;
    (void)m_driver->m_peers->Tombstone(AddressOf(step.target), request);
  }

  void Heard(const state::BackendServerId& server,
             const gen::Envelope& envelope) {
    m_driver->m_entry->Members().OnSuccess(server);
    m_driver->m_entry->ObserveEnvelope(AddressOf(server), envelope);
    m_driver->m_hooks.on_envelope(envelope);
  }

  /// Passes received bytes on; false when the caller is gone.
  bool Forward(const gen::PullReply& reply) {
    if (!reply.content_type.empty()) m_content_type = reply.content_type;
    if (reply.http_status != 0) m_status = reply.http_status;
    if (reply.data.empty()) return true;
    NoteTime();
    m_received += static_cast<std::int64_t>(reply.data.size());
    m_outcome.bytes = m_received;
    m_digest.Add(reply.data);
    if (!m_call.streaming || !IsEventStream()) {
      m_body += reply.data;
      return true;
    }
    if (!m_begun) {
      m_begun = true;
      if (!m_response->Begin(m_status, m_content_type)) return false;
    }
    m_unwritten += reply.data;
    const std::size_t size = protocol::CompleteEventsSize(m_unwritten);
    if (size == 0) return true;
    const std::string complete = m_unwritten.substr(0, size);
    m_unwritten.erase(0, size);
    return m_response->Write(complete);
  }

  bool IsEventStream() const {
    return protocol::MayBeEventStream(m_content_type);
  }

  void NoteTime() {
    const TimePoint now = m_clock();
    if (m_received == 0) {
      m_outcome.first_byte = now - m_started;
    } else if (m_call.streaming) {
      m_driver->m_hooks.on_part_gap(m_call.request.workspace,
                                    now - m_last_part);
    }
    m_last_part = now;
  }

  void FinishAnswer() {
    if (m_begun) {
      if (!m_unwritten.empty()) m_response->Write(m_unwritten);
      m_response->End();
      return;
    }
    m_response->Send(m_status, m_content_type, m_body, milliseconds(0));
  }

  void AnswerError(const Error& error) {
    m_outcome.error_kind = protocol::RowOf(error.kind).name;
    if (!m_begun) {
      m_response->Send(protocol::RowOf(error.kind).http_status,
                       "application/json", protocol::ErrorBody(error),
                       error.RetryAfter());
      return;
    }
    m_response->Write("event: error\ndata: " + protocol::ErrorBody(error) +
                      "\n\n");
    m_response->End();
  }

  CallDriver* m_driver;
  const PlannedCall& m_call;
  ServerResponse* m_response;
  CallPlan m_plan;
  coordination::ClockHook m_clock;
  TimePoint m_started;
  TimePoint m_last_part;
  CallOutcome m_outcome;
  std::int64_t m_received = 0;
  state::Sha256Hasher m_digest;
  std::string m_body;
  /// The unfinished event at the end of what a streamed answer has so far.
  std::string m_unwritten;
  std::string m_content_type;
  int m_status = 200;
  bool m_begun = false;
};

CallDriver::CallDriver(coordination::EntryNode* entry,
                       const state::ConfigStore* config, PeerClient* peers,
                       CallDriverHooks hooks)
    : m_entry(entry),
      m_config(config),
      m_peers(peers),
      m_hooks(std::move(hooks)) {}

CallOutcome CallDriver::Drive(const PlannedCall& call,
                              ServerResponse* response) {
  return Run(this, call, response).Drive();
}

}  // namespace wasabiwall::transport
