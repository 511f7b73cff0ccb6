#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "wasabiwall/coordination/clock.h"
#include "wasabiwall/protocol/error_kind.h"
#include "wasabiwall/state/strong_id.h"

namespace wasabiwall::coordination {

/// Properties of a call that decide how it may be retried.
struct CallSpec {
  /// Whether the call may be run again after it may have run.
  bool idempotent = true;
  /// Whether an idempotency key makes a retry safe.
  bool keyed = false;
  TimePoint deadline;
};

/// Action that the driver of a plan must take next.
enum class StepKind {
  /// Submit `attempt` to `target`.
  kSubmit,
  /// Pull the answer of `attempt` from `target` at `offset`.
  kPull,
  /// Ask `target` to place a tombstone for `attempt`, so that it never starts.
  kTombstone,
  /// Wait for `wait`, then call OnWaited.
  kWait,
  /// The answer is complete.
  kDone,
  /// Answer the caller with `error`.
  kFail,
};

/// An action with its arguments; which fields are set depends on `kind`.
struct Step {
  StepKind kind = StepKind::kFail;
  state::BackendServerId target;
  state::AttemptId attempt;
  std::int64_t offset = 0;
  /// Whether all other candidates have been tried.
  bool last_resort = false;
  std::chrono::milliseconds wait{0};
  protocol::Error error;
};

/// Whether a failed message can have reached the side process.
enum class DeliveryFailure {
  /// The message was not received.
  kNotDelivered,
  /// The message may have been received.
  kInDoubt,
};

/// Callbacks of a plan.
struct CallPlanHooks {
  /// Generates an attempt identifier.
  std::function<state::AttemptId()> new_attempt;
  /// Takes one attempt from the retry budget after a failure that cost a
  /// backend server work; false ends the call.
  std::function<bool()> take_retry;
  /// Takes one submit from the budget after a refusal; false ends the call.
  std::function<bool()> take_resubmit = [] { return true; };
  /// Returns the number of recorded engine crashes during which the request
  /// was in flight.
  std::function<int()> known_crashes = [] { return 0; };
};

/// State machine of one call over its attempts: tries candidates in order,
/// follows redirects, resolves failed deliveries and retries within the budget
/// until the call has one final result. Does no I/O: the driver carries out
/// each Step and reports the result through the On... functions.
class CallPlan {
 public:
  /// @param order Candidates, best first.
  CallPlan(CallSpec spec, std::vector<state::BackendServerId> order,
           CallPlanHooks hooks);

  /// Starts the call.
  /// @return The first step.
  Step Start(TimePoint now);

  /// Handles the admission of the attempt.
  Step OnAdmitted(TimePoint now);

  /// Handles a refusal of the attempt.
  /// @param owner Backend server that owns the key's shard; empty when
  /// unknown.
  Step OnRefused(TimePoint now, const protocol::Error& error,
                 const state::BackendServerId& owner);

  /// Handles a failed delivery of the submit message.
  Step OnSubmitFailed(TimePoint now, DeliveryFailure failure);

  /// Handles a part of the answer that was forwarded to the caller.
  /// @param offset Bytes received so far.
  Step OnPart(TimePoint now, std::int64_t offset);

  /// Handles the end of the attempt.
  /// @param error Why it failed; nothing after a complete answer.
  Step OnEnded(TimePoint now, const std::optional<protocol::Error>& error);

  /// Handles a failed delivery of the pull message.
  Step OnPullFailed(TimePoint now);

  /// Handles the reply to the tombstone message.
  /// @param never_started Whether the attempt can no longer start.
  Step OnTombstone(TimePoint now, bool never_started);

  /// Handles a failed delivery of the tombstone message.
  Step OnTombstoneFailed(TimePoint now);

  /// Handles the end of a kWait step's wait.
  Step OnWaited(TimePoint now);

  /// @return Number of submit messages so far.
  int Attempts() const { return m_attempts; }

 private:
  enum class AfterWait { kPull, kResubmit, kRetryAll };

  Step Submit(TimePoint now, const state::BackendServerId& target);
  Step Pull() const;
  Step Wait(std::chrono::milliseconds wait, AfterWait after);
  Step FailWith(const protocol::Error& error) const;
  Step NextCandidate(TimePoint now, const protocol::Error& error);
  /// Waits for a warming backend server to have capacity, then tries all
  /// candidates again.
  Step AwaitCapacity(const protocol::Error& error);
  bool CanAwaitCapacity(TimePoint now, const protocol::Error& error) const;
  Step AfterCrash(TimePoint now, const protocol::Error& error);
  /// Submits the call, which carries its crash records, to all candidates, so
  /// that each refuses a repeat through any entry; then fails.
  Step FailQuarantined(TimePoint now, const protocol::Error& error);
  Step NotifyNextCandidate(TimePoint now);
  Step AfterLostAttempt(TimePoint now);
  bool CanRetry() const;

  CallSpec m_spec;
  std::vector<state::BackendServerId> m_order;
  CallPlanHooks m_hooks;
  std::size_t m_next_candidate = 0;
  int m_attempts = 0;
  int m_max_attempts;
  bool m_last_resort = false;
  /// Error to fail with after all candidates have the crash records.
  std::optional<protocol::Error> m_final_error;
  int m_redirects = 0;
  int m_pull_failures = 0;
  int m_capacity_waits = 0;
  /// Refusal to fail with when no candidate gains capacity in time.
  std::optional<protocol::Error> m_capacity_error;
  /// Whether the current or an earlier attempt may have run; the call must
  /// then not fail with an error that says it did not.
  bool m_current_may_have_run = false;
  bool m_earlier_may_have_run = false;
  std::int64_t m_offset = 0;
  state::BackendServerId m_target;
  state::AttemptId m_attempt;
  AfterWait m_after_wait = AfterWait::kPull;
};

}  // namespace wasabiwall::coordination
