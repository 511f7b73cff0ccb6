#include "wasabiwall/coordination/call_plan.h"

#include <utility>

#include "wasabiwall/coordination/crash_records.h"

namespace wasabiwall::coordination {
namespace {

using protocol::Error;
using protocol::ErrorKind;
using protocol::RowOf;
using std::chrono::milliseconds;

constexpr int kMaxAttempts = 6;
constexpr int kMaxRedirects = 4;
constexpr int kMaxPullFailures = 3;
constexpr milliseconds kPullRetryWait{50};
constexpr milliseconds kResubmitWait{500};
/// Wait before all candidates are tried again, about the time in which a
/// warming backend server finishes a call.
constexpr milliseconds kCapacityWait{250};
/// Waits for capacity per call; together about as long as a warm-up takes.
constexpr int kMaxCapacityWaits = 12;

/// Returns whether every other backend server would refuse the call as well.
bool IsFinalRefusal(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kBadRequest:
    case ErrorKind::kKeyReused:
    case ErrorKind::kKeyExpired:
    case ErrorKind::kQuarantined:
    case ErrorKind::kStoreUnavailable:
    case ErrorKind::kOutcomeUnknown:
    case ErrorKind::kWorkspaceLimit:
    case ErrorKind::kDeadlineTooShort:
      return true;
    default:
      return false;
  }
}

}  // namespace

CallPlan::CallPlan(CallSpec spec, std::vector<state::BackendServerId> order,
                   CallPlanHooks hooks)
    : m_spec(spec),
      m_order(std::move(order)),
      m_hooks(std::move(hooks)),
      m_max_attempts(kMaxAttempts) {}

Step CallPlan::Start(TimePoint now) {
  return NextCandidate(now, Error{ErrorKind::kNoBackendServer, "", {}});
}

Step CallPlan::OnAdmitted(TimePoint /*now*/) {
  m_pull_failures = 0;
  m_current_may_have_run = true;
  return Pull();
}

Step CallPlan::OnRefused(TimePoint now, const Error& error,
                         const state::BackendServerId& owner) {
  if (m_final_error) return NotifyNextCandidate(now);
  if (m_hooks.known_crashes() >= kQuarantineCrashes) {
    return FailQuarantined(now, {ErrorKind::kQuarantined, "", {}});
  }
  if (IsFinalRefusal(error.kind)) return FailWith(error);
  if (error.kind != ErrorKind::kNotOwner) return NextCandidate(now, error);
  if (m_redirects++ >= kMaxRedirects) return FailWith(error);
  if (owner.value.empty() || owner == m_target) {
    return Wait(kResubmitWait, AfterWait::kResubmit);
  }
  return Submit(now, owner);
}

Step CallPlan::OnSubmitFailed(TimePoint now, DeliveryFailure failure) {
  if (m_final_error) return NotifyNextCandidate(now);
  const Error unreachable{ErrorKind::kNoBackendServer, "", {}};
  m_current_may_have_run = failure == DeliveryFailure::kInDoubt;
  if (!m_current_may_have_run || m_spec.idempotent) {
    return NextCandidate(now, unreachable);
  }
  return {
      .kind = StepKind::kTombstone, .target = m_target, .attempt = m_attempt};
}

Step CallPlan::OnPart(TimePoint now, std::int64_t offset) {
  m_offset = offset;
  m_pull_failures = 0;
  if (now < m_spec.deadline) return Pull();
  return FailWith({ErrorKind::kDeadlineExceeded, "", {}});
}

Step CallPlan::OnEnded(TimePoint now, const std::optional<Error>& error) {
  if (!error) return {.kind = StepKind::kDone};
  if (RowOf(error->kind).not_run) m_current_may_have_run = false;
  if (IsFinalRefusal(error->kind)) return FailWith(*error);
  if (m_offset > 0) {
    return FailWith({ErrorKind::kAnswerCut, RowOf(error->kind).name, {}});
  }
  if (RowOf(error->kind).not_run) return NextCandidate(now, *error);
  if (!m_spec.idempotent) return FailWith(*error);
  if (error->kind == ErrorKind::kBackendServerCrashed) {
    return AfterCrash(now, *error);
  }
  if (!m_hooks.take_retry()) return FailWith(*error);
  return NextCandidate(now, *error);
}

Step CallPlan::OnPullFailed(TimePoint now) {
  ++m_pull_failures;
  if (m_pull_failures <= kMaxPullFailures && now < m_spec.deadline) {
    return Wait(kPullRetryWait, AfterWait::kPull);
  }
  return AfterLostAttempt(now);
}

Step CallPlan::OnTombstone(TimePoint now, bool never_started) {
  if (!never_started) return Pull();
  m_current_may_have_run = false;
  return NextCandidate(now, {ErrorKind::kTombstoned, "", {}});
}

Step CallPlan::OnTombstoneFailed(TimePoint now) {
  return AfterLostAttempt(now);
}

Step CallPlan::OnWaited(TimePoint now) {
  if (now >= m_spec.deadline) {
    return FailWith({ErrorKind::kDeadlineExceeded, "", {}});
  }
  if (m_after_wait == AfterWait::kPull) return Pull();
  if (m_after_wait == AfterWait::kRetryAll) {
    return NextCandidate(now, *m_capacity_error);
  }
  return Submit(now, m_target);
}

Step CallPlan::Submit(TimePoint now, const state::BackendServerId& target) {
  if (now >= m_spec.deadline) {
    return FailWith({m_attempts == 0 ? ErrorKind::kDeadlineTooShort
                                     : ErrorKind::kDeadlineExceeded,
                     "",
                     {}});
  }
  ++m_attempts;
  m_earlier_may_have_run = m_earlier_may_have_run || m_current_may_have_run;
  m_current_may_have_run = false;
  m_target = target;
  m_attempt = m_hooks.new_attempt();
  m_pull_failures = 0;
  return {.kind = StepKind::kSubmit,
          .target = m_target,
          .attempt = m_attempt,
          .last_resort = m_last_resort};
}

Step CallPlan::Pull() const {
  return {.kind = StepKind::kPull,
          .target = m_target,
          .attempt = m_attempt,
          .offset = m_offset};
}

Step CallPlan::Wait(milliseconds wait, AfterWait after) {
  m_after_wait = after;
  return {.kind = StepKind::kWait, .wait = wait};
}

Step CallPlan::FailWith(const Error& error) const {
  const bool may_have_run = m_earlier_may_have_run || m_current_may_have_run;
  if (!may_have_run || !RowOf(error.kind).not_run) {
    return {.kind = StepKind::kFail, .error = error};
  }
  const ErrorKind kind = m_spec.idempotent ? ErrorKind::kBackendServerFailed
                                           : ErrorKind::kOutcomeUnknown;
  return {.kind = StepKind::kFail,
          .error = {kind, RowOf(error.kind).name, error.retry_after}};
}

Step CallPlan::NextCandidate(TimePoint now, const Error& error) {
  const bool exhausted =
      m_attempts >= m_max_attempts || m_next_candidate >= m_order.size();
  if (exhausted && CanAwaitCapacity(now, error)) return AwaitCapacity(error);
  if (m_attempts >= m_max_attempts) return FailWith(error);
  if (m_next_candidate >= m_order.size()) {
    const bool suspect = m_hooks.known_crashes() > 0;
    if (!suspect || m_last_resort) return FailWith(error);
    m_last_resort = true;
    m_next_candidate = 0;
    m_max_attempts += static_cast<int>(m_order.size());
    if (m_order.empty()) return FailWith(error);
  }
  if (m_attempts > 0 && !m_hooks.take_resubmit()) return FailWith(error);
  return Submit(now, m_order[m_next_candidate++]);
}

bool CallPlan::CanAwaitCapacity(TimePoint now, const Error& error) const {
  return error.kind == ErrorKind::kWarmingUp && !m_order.empty() &&
         m_capacity_waits < kMaxCapacityWaits &&
         now + kCapacityWait < m_spec.deadline;
}

Step CallPlan::AwaitCapacity(const Error& error) {
  ++m_capacity_waits;
  m_capacity_error = error;
  m_next_candidate = 0;
  m_max_attempts = m_attempts + static_cast<int>(m_order.size());
  return Wait(kCapacityWait, AfterWait::kRetryAll);
}

Step CallPlan::AfterCrash(TimePoint now, const Error& error) {
  if (m_hooks.known_crashes() >= kQuarantineCrashes) {
    return FailQuarantined(now, {error.kind, "quarantined",
                                 RowOf(ErrorKind::kQuarantined).retry_after});
  }
  if (!m_hooks.take_retry()) return FailWith(error);
  // Side processes earlier in the order may hold other crash records.
  m_next_candidate = 0;
  m_max_attempts += m_attempts;
  return NextCandidate(now, error);
}

Step CallPlan::FailQuarantined(TimePoint now, const Error& error) {
  m_final_error = error;
  m_next_candidate = 0;
  return NotifyNextCandidate(now);
}

Step CallPlan::NotifyNextCandidate(TimePoint now) {
  const bool finished =
      m_next_candidate >= m_order.size() || now >= m_spec.deadline;
  if (finished) return FailWith(*m_final_error);
  return Submit(now, m_order[m_next_candidate++]);
}

Step CallPlan::AfterLostAttempt(TimePoint now) {
  if (m_offset > 0) return FailWith({ErrorKind::kAnswerCut, "", {}});
  if (!CanRetry()) return FailWith({ErrorKind::kOutcomeUnknown, "", {}});
  if (!m_hooks.take_retry()) {
    return FailWith({ErrorKind::kBackendServerFailed, "", {}});
  }
  return NextCandidate(now, {ErrorKind::kBackendServerFailed, "", {}});
}

bool CallPlan::CanRetry() const { return m_spec.idempotent || m_spec.keyed; }

}  // namespace wasabiwall::coordination
