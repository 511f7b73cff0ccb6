#include "wasabiwall/transport/rollout_observer.h"

#include <utility>

#include "wasabiwall/state/digest.h"

namespace wasabiwall::transport {
namespace {

using coordination::HealthSignal;
using state::RolloutStage;
using Outcome = rollout::AttemptObservation::Outcome;

/// Time to connect from which the stage is asked for again. Connections that
/// are open or near take less, and the stage need not be asked for twice.
constexpr std::chrono::milliseconds kLongConnect{5};

Outcome OutcomeOf(HealthSignal signal) {
  switch (signal) {
    case HealthSignal::kAnswered:
      return Outcome::kAnswered;
    case HealthSignal::kFailed:
      return Outcome::kFailed;
    case HealthSignal::kRefused:
    case HealthSignal::kUnreachable:
    case HealthSignal::kReplaced:
      break;
  }
  return Outcome::kIgnored;
}

}  // namespace

state::VersionRule VersionsFor(const GatewayContext& context,
                               const ResolvedCall& call,
                               const std::string& tried_version) {
  if (!context.rollouts) return {};
  const bool has_shared_prompt =
      call.route->prefers_cached_prompt && call.metadata.shared_part != 0;
  return context.rollouts->Choose(
      {.service = call.service->id,
       .session = has_shared_prompt ? call.metadata.shared_part
                                    : state::FastHash(call.metadata.attempt_id),
       .is_idempotent = call.route->IsIdempotent(),
       .tried_version = tried_version});
}

RolloutObserver::~RolloutObserver() { OnEnded(HealthSignal::kRefused); }

void RolloutObserver::OnStart(const ResolvedCall& call,
                              const state::BackendServer& server) {
  if (!m_context->rollouts) return;
  const bool is_idempotent = call.route->IsIdempotent();
  const auto* known = m_context->registry.Find(server.id);
  m_attempt =
      Attempt{.observation = {.service = call.service->id,
                              .version = server.version,
                              .route = call.route->name,
                              .server = server.id,
                              .is_idempotent = is_idempotent},
              .objective = call.route->objective,
              .started_at = Now(),
              // Cold backend servers of any version are slow.
              .is_ignored = known == nullptr ||
                            Now() < m_context->registry.ColdUntil(*known)};
  m_context->rollouts->OnSent(call.service->id, server.version, is_idempotent);
}

bool RolloutObserver::IsWithdrawn() const {
  if (!m_attempt || Now() - m_attempt->started_at < kLongConnect) return false;
  const rollout::AttemptObservation& observation = m_attempt->observation;
  const auto rollout = m_context->rollouts->StateOf(observation.service);
  if (!rollout) return false;
  const bool is_target = observation.version == rollout->target_version;
  switch (rollout->stage) {
    case RolloutStage::kCanary:
      return false;
    case RolloutStage::kShifting:
    case RolloutStage::kCompleted:
      // The old backend servers stop without draining.
      return !is_target && !observation.is_idempotent;
    case RolloutStage::kRolledBack:
      return is_target;
  }
  return false;
}

void RolloutObserver::OnWritten() {
  if (m_attempt) m_attempt->written_at = Now();
}

void RolloutObserver::OnHead() {
  if (!m_attempt || !m_attempt->written_at) return;
  m_attempt->observation.first_byte = Now() - *m_attempt->written_at;
}

void RolloutObserver::OnEvents() {
  if (!m_attempt) return;
  m_attempt->last_event = Now();
  if (m_attempt->first_event) {
    ++m_attempt->event_gaps;
  } else {
    m_attempt->first_event = m_attempt->last_event;
  }
}

void RolloutObserver::Ignore() {
  if (m_attempt) m_attempt->is_ignored = true;
}

void RolloutObserver::OnBrokenOff() {
  if (m_attempt) m_attempt->observation.broke_off = true;
}

void RolloutObserver::OnSilent() {
  if (m_attempt) m_attempt->is_silent = true;
}

void RolloutObserver::OnDeadline() {
  if (!m_attempt || !m_attempt->written_at) return;
  const bool had_time = Now() - *m_attempt->written_at >= m_attempt->objective;
  if (!had_time) {
    m_attempt->is_ignored = true;
  } else if (m_attempt->observation.first_byte) {
    m_attempt->is_cut = true;
  } else {
    m_attempt->is_silent = true;
  }
}

void RolloutObserver::OnEnded(HealthSignal signal) {
  if (!m_attempt) return;
  Attempt attempt = std::move(*m_attempt);
  m_attempt.reset();
  rollout::AttemptObservation& observation = attempt.observation;
  observation.outcome = OutcomeOf(signal);
  if (attempt.is_cut) observation.outcome = Outcome::kAnswered;
  if (attempt.is_silent) observation.outcome = Outcome::kFailed;
  const bool was_written = attempt.written_at.has_value();
  if (was_written) {
    observation.duration =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            Now() - *attempt.written_at);
  }
  if (attempt.is_ignored || !was_written)
    observation.outcome = Outcome::kIgnored;
  if (attempt.event_gaps > 0) {
    observation.event_gap =
        (attempt.last_event - *attempt.first_event) / attempt.event_gaps;
  }
  m_context->rollouts->OnEnded(observation);
}

}  // namespace wasabiwall::transport
